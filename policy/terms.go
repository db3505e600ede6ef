package policy

import "time"

// strictestMaxAttempts is the number of attempts of a message whose number is not known. Any other limit is at least 1.
const strictestMaxAttempts = 1

// MessageTerms are the rules that bind a message for as long as it is pending: its class and its maximum number of
// attempts, as the settings had them when the message was accepted. They are stored under their JSON tags, so the tags
// must not change.
type MessageTerms struct {
	Class       Class `json:"Class"`
	MaxAttempts int   `json:"MaxAttempts"` // 0: no limit
}

// StrictestTerms returns the terms of a message of which it is not known under which terms it was accepted. timeLeft is
// the time to its deadline.
func StrictestTerms(timeLeft time.Duration) MessageTerms {
	return MessageTerms{Class: strictestClass(timeLeft), MaxAttempts: strictestMaxAttempts}
}

// strictestClass returns the class with the strictest rules: non-idempotent and ordered.
func strictestClass(timeLeft time.Duration) Class {
	return Class{
		Effect:           NonIdempotent,
		Ordered:          true,
		LatencyObjective: timeLeft / 2,
		Deadline:         timeLeft,
		Weight:           1,
	}
}

// StricterTerms returns terms that allow a repeat, an attempt or another order only if both earlier and later allow it.
// All else is as in later.
func StricterTerms(earlier, later MessageTerms) MessageTerms {
	return MessageTerms{
		Class:       StricterClass(earlier.Class, later.Class),
		MaxAttempts: StricterMaxAttempts(earlier.MaxAttempts, later.MaxAttempts),
	}
}

// StricterClass returns a class that allows a repeat or another order only if both earlier and later allow it. Its
// deadline is the longer one, since it only bounds the deadline that a client sets for each message. All else is as in
// later.
func StricterClass(earlier, later Class) Class {
	class := later
	class.Effect = max(earlier.Effect, later.Effect) // effects ascend in strictness, from Idempotent to NonIdempotent
	class.Ordered = earlier.Ordered || later.Ordered
	class.Deadline = max(earlier.Deadline, later.Deadline)
	if earlier.Effect != IdempotentByKey {
		return class
	}
	class.DedupAllZones = earlier.DedupAllZones
	class.DedupWindow = earlier.DedupWindow
	if later.Effect == IdempotentByKey {
		class.DedupAllZones = earlier.DedupAllZones && later.DedupAllZones
		class.DedupWindow = min(earlier.DedupWindow, later.DedupWindow)
	}
	return class
}

// StricterMaxAttempts returns the lower of two maximum numbers of attempts, of which 0 means no limit.
func StricterMaxAttempts(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
