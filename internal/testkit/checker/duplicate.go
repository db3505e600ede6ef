package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// checkNoDuplicateEffect checks that a message is sent again only as its class allows, whether by the relay or by a
// client that the relay asks to submit the message again.
func checkNoDuplicateEffect(r *record, result *RuleResult) {
	for _, m := range r.submissions {
		uncertain := false
		for i, a := range m.attempts {
			if o, _ := r.outcome(a, never); o == pending || o == mayHaveRun {
				uncertain = true
			}
			for _, earlier := range m.attempts[:i] {
				if earlier.call != a.call {
					r.checkRepeat(result, m, earlier, a)
				}
			}
		}
		resubmission := r.checkResubmission(result, m)
		if uncertain || resubmission || len(m.attempts) > 1 {
			result.Exercised++
		}
	}
}

// checkRepeat checks an attempt of a message against an earlier one.
func (r *record) checkRepeat(result *RuleResult, m *message, earlier, repeat attempt) {
	at := repeat.FirstByteAt
	evidence := []int{m.index, earlier.index, repeat.index}
	o, _ := r.outcome(earlier, at)
	switch {
	case o == pending && !r.Rules.DuplicatesAllowed && !r.givenUpBy(earlier, at+Tolerance):
		result.addViolation(at, evidence, "message %s was sent to %s while a call to %s was out",
			m.ID, repeat.Endpoint, earlier.Endpoint)
	case o == didNotRun:
	case m.class.Effect == eventlog.Idempotent:
	case m.class.Effect == eventlog.IdempotentByKey:
		r.checkRepeatByKey(result, m, earlier, repeat)
	default:
		result.addViolation(at, evidence, "message %s must not be repeated, may have run at %s, and was sent to %s",
			m.ID, earlier.Endpoint, repeat.Endpoint)
	}
}

// givenUpBy reports whether the relay has given up an attempt by a time, as its endpoint observed it. The endpoint may
// observe that after another one has received the next attempt, although the relay gave up this one first.
func (r *record) givenUpBy(a attempt, by time.Duration) bool {
	return a.aborted != noEvent && r.events[a.aborted].At <= by && r.events[a.aborted].Cause == eventlog.CauseRelay
}

// checkRepeatByKey checks that the endpoint of a repeat recognizes the idempotency key of an earlier attempt: the
// repeat must come within the deduplication window, and in the same zone unless keys are recognized across zones.
func (r *record) checkRepeatByKey(result *RuleResult, m *message, earlier, repeat attempt) {
	at := repeat.FirstByteAt
	evidence := []int{m.index, earlier.index, repeat.index}
	zone, repeatZone := r.endpoints[earlier.Endpoint].zone, r.endpoints[repeat.Endpoint].zone
	late := at - earlier.FirstByteAt - m.class.DedupWindow
	switch {
	case late > Tolerance:
		result.addViolation(at, evidence, "message %s was repeated %v after its window of %v",
			m.ID, late, m.class.DedupWindow)
	case zone != repeatZone && !m.class.DedupAcrossZones:
		result.addViolation(at, evidence, "message %s may have run in zone %s and was repeated in zone %s",
			m.ID, zone, repeatZone)
	}
}

// checkResubmission checks that no client is asked to submit a message again that may have run. It reports whether
// a client was asked to do so after an attempt of the message. A resubmission may reach any zone, so deduplication
// by key protects against a second effect only if it works across zones.
func (r *record) checkResubmission(result *RuleResult, m *message) (exercised bool) {
	if m.class.Effect == eventlog.Idempotent ||
		m.class.Effect == eventlog.IdempotentByKey && m.class.DedupAcrossZones {
		return false
	}
	for _, i := range append(slices.Clone(m.notices), m.answer) {
		if i == noEvent || !asksForResubmission(r.events[i]) {
			continue
		}
		exercised = exercised || len(m.attempts) > 0
		at := r.events[i].At
		mayHaveRunBy := func(a attempt) bool {
			o, _ := r.outcome(a, at)
			return o != didNotRun && a.At < at
		}
		if n := slices.IndexFunc(m.attempts, mayHaveRunBy); n >= 0 {
			a := m.attempts[n]
			result.addViolation(at, []int{m.index, a.index, i},
				"message %s (%s) was refused though a call to %s may have run", m.ID, m.class.Effect, a.Endpoint)
		}
	}
	return exercised
}
