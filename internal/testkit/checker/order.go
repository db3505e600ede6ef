package checker

import "time"

// orderingKey is a map key for an ordering key at one relay. There is no order between relays.
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

// mustPrecede reports whether the earlier message of a key must end before the later one is sent. Their order is
// certain only if the earlier message was accepted before the later one was submitted. A restart of the relay
// between the submission of the earlier message and the first attempt of the later one ends the order.
func (r *record) mustPrecede(earlier, later *message) bool {
	return r.accepted(earlier) && r.events[earlier.answer].At <= later.At && len(later.attempts) > 0 &&
		!r.startedBetween(later.Relay, earlier.At, later.attempts[0].FirstByteAt)
}

// orderConflict finds the first attempt of the later message that was sent too early. It returns the index of the
// call event and a text with the state of the earlier message at that time, or noEvent and "" if there is no such
// attempt.
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

// finalDecisionAt returns when a message was delivered or given up, or never. A relay sends a notice after it has
// given up the message, so Tolerance is subtracted from the time of the notice.
func (r *record) finalDecisionAt(m *message) time.Duration {
	at, _, _ := r.delivery(m)
	for _, notice := range m.notices {
		at = min(at, r.events[notice].At-Tolerance)
	}
	return at
}

// attemptConflict returns a text with the reason why an attempt of the next message of a key was sent too early
// after an attempt of the previous message, or "" if it was not.
func (r *record) attemptConflict(previous, next attempt) string {
	if previous.FirstByteAt > next.FirstByteAt {
		return ""
	}
	o, endedAt := r.outcome(previous, next.FirstByteAt)
	if o == mayHaveRun && previous.reply != noEvent {
		return "" // the endpoint answered with an error, so the call no longer runs
	}
	if o != pending && o != mayHaveRun {
		return ""
	}
	if len(previous.IDs) > 1 {
		// The relay may give up one message of a batch at any time while the call continues for the others. The
		// ordering pause begins at that time, which no endpoint observes.
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
