package checker

import "time"

// orderingKey is an ordering key at one relay.
type orderingKey struct{ relay, key string }

// checkOrderKept checks that a relay sends the messages of an ordering key one after another.
func checkOrderKept(r *record, result *RuleResult) {
	queues := map[orderingKey][]*message{}
	for _, m := range r.submissions {
		if !m.class.Ordered || m.OrderingKey == "" || m.noAnswer != noEvent {
			continue
		}
		key := orderingKey{m.Relay, m.OrderingKey}
		for _, earlier := range queues[key] {
			if !r.mustPrecede(earlier, m) {
				continue
			}
			result.Exercised++
			if event, text := r.orderConflict(earlier, m); text != "" {
				result.addViolation(m.attempts[0].FirstByteAt, []int{earlier.index, m.index, event},
					"key %s: message %s was sent while %s %s", key.key, m.ID, earlier.ID, text)
			}
		}
		queues[key] = append(queues[key], m)
	}
}

// mustPrecede reports whether an earlier message of a key must end before a later one is sent. Which of the two came
// first is certain only if the one was accepted before the other was submitted. A restart between them ends the order.
func (r *record) mustPrecede(earlier, later *message) bool {
	return r.accepted(earlier) && r.events[earlier.answer].At <= later.At && len(later.attempts) > 0 &&
		!r.startedBetween(later.Relay, earlier.At, later.attempts[0].FirstByteAt)
}

// orderConflict returns the first attempt of the later message that was sent too early, and what the earlier message
// was then; "" if there is none.
func (r *record) orderConflict(earlier, later *message) (event int, text string) {
	finalAt := r.finalDecisionAt(earlier)
	for _, next := range later.attempts {
		if next.FirstByteAt < finalAt {
			return next.index, "was unfinished"
		}
		for _, previous := range earlier.attempts {
			if text := r.attemptConflict(previous, next); text != "" {
				return next.index, text
			}
		}
	}
	return noEvent, ""
}

// finalDecisionAt returns when a message was delivered or given up. A notice is sent after its decision.
func (r *record) finalDecisionAt(m *message) time.Duration {
	at, _, _ := r.delivery(m)
	for _, notice := range m.notices {
		at = min(at, r.events[notice].At-Tolerance)
	}
	return at
}

// attemptConflict returns why an attempt of the next message of a key was sent too early after an attempt of the
// previous one; "" if it was not.
func (r *record) attemptConflict(previous, next attempt) string {
	if previous.FirstByteAt > next.FirstByteAt {
		return ""
	}
	o, endedAt := r.outcome(previous, next.FirstByteAt)
	if o == mayHaveRun && previous.reply != noEvent {
		return "" // an error was answered: the call runs no more
	}
	if o != pending && o != mayHaveRun {
		return ""
	}
	if len(previous.IDs) > 1 {
		// The relay may give up one message of a batch at any time while the call goes on for the others, and the
		// ordering pause begins then. No endpoint observes when that was.
		return ""
	}
	switch {
	case o == pending:
		return "had a call out"
	case next.FirstByteAt < endedAt+r.Rules.OrderingPause:
		return "had a call that may still run"
	default:
		return ""
	}
}
