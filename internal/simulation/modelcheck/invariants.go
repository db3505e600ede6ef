package modelcheck

import (
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The invariants are the rules of package checker. They are checked against the time at which a relay acts, so that no
// tolerance for the latency of sockets is needed.

const (
	// drainGracePeriod is how long a relay may go on calling an endpoint after it observed that the endpoint drains.
	drainGracePeriod = time.Second
	// retryAfterRounding is how much earlier than its end a Retry-After may be taken to be over, since it is sent in
	// whole milliseconds.
	retryAfterRounding = time.Millisecond
)

// checkFinalAnswers checks that the final answer of each message of a relay is reported within finalAnswerGrace of
// its deadline.
func (s *state) checkFinalAnswers(relay int) {
	for _, m := range s.relays[relay].messages {
		if !m.endReported && s.now > m.deadline+finalAnswerGrace {
			s.violate(
				checker.NoMessageLost,
				"message %d, accepted by relay %d at %v, has no final answer %v after its deadline",
				m.id,
				relay,
				m.acceptedAt,
				s.now-m.deadline,
			)
		}
	}
}

// checkReject checks a message that is rejected, so that its client may submit it again: either no call of it may
// have run, or its class allows it to run again in any zone.
func (x *explorer) checkReject(s *state, m *messageState) {
	class := x.class(m.index)
	repeatable := class.Effect == policy.Idempotent || class.Effect == policy.IdempotentByKey && class.DedupAllZones
	if m.mayHaveRun && !repeatable {
		s.violate(
			checker.NoDuplicateEffect,
			"message %d is rejected, so that it may be submitted again, though a call may have run",
			m.id,
		)
	}
}

// checkSend checks a call that a relay is about to make.
func (x *explorer) checkSend(s *state, relay int, m *messageState, endpoint policy.Endpoint) {
	if m.ended {
		s.violate(checker.NoMessageLost, "message %d is sent after its final answer", m.id)
	}
	if m.mayHaveRun {
		x.checkRepeat(s, m, endpoint)
	}
	x.checkEndpoint(s, relay, endpoint)
	if x.class(m.index).Ordered && x.model.Messages[m.index].Key != "" {
		x.checkOrder(s, &s.relays[relay], m)
	}
}

// checkRepeat checks that a message that may have run is allowed to run again at an endpoint.
func (x *explorer) checkRepeat(s *state, m *messageState, endpoint policy.Endpoint) {
	class := x.class(m.index)
	switch class.Effect {
	case policy.NonIdempotent:
		s.violate(
			checker.NoDuplicateEffect,
			"message %d is not idempotent, may have run, and is sent again",
			m.id,
		)
	case policy.IdempotentByKey:
		if late := s.now - m.firstRunAt - class.DedupWindow; late > 0 {
			s.violate(
				checker.NoDuplicateEffect,
				"message %d is sent again %v after its deduplication window",
				m.id,
				late,
			)
		} else if endpoint.Zone != m.firstRunZone && !class.DedupAllZones {
			s.violate(
				checker.NoDuplicateEffect,
				"message %d may have run in zone %d and is sent again in zone %d",
				m.id,
				m.firstRunZone,
				endpoint.Zone,
			)
		}
	}
}

// checkEndpoint checks that a relay may call an endpoint. It may not once drainGracePeriod has passed since it
// observed that the endpoint drains, nor before the end of a Retry-After.
func (x *explorer) checkEndpoint(s *state, relay int, endpoint policy.Endpoint) {
	r := &s.relays[relay]
	if change, drains := r.observed[endpoint.ID]; drains && s.now > change.observedAt+drainGracePeriod {
		s.violate(
			checker.DrainRespected,
			"relay %d calls %s %v after it observed that the endpoint drains",
			relay,
			endpoint.ID,
			s.now-change.observedAt,
		)
	}
	if until := r.retryAfter[x.limitScope(endpoint)]; s.now < until-retryAfterRounding {
		s.violate(
			checker.RetryAfterRespected,
			"relay %d calls %s %v before the end of a Retry-After",
			relay,
			endpoint.ID,
			until-s.now,
		)
	}
}

// checkOrder checks that no earlier message of the same ordering key forbids sending a message.
func (x *explorer) checkOrder(s *state, r *relayState, m *messageState) {
	for i := range r.messages {
		earlier := &r.messages[i]
		if earlier.id >= m.id || earlier.fromBeforeRestart || !x.sameOrderingKey(earlier, m) {
			continue
		}
		switch {
		case !earlier.ended:
			s.violate(
				checker.OrderKept,
				"message %d is sent while %d, an earlier one of its ordering key, has no final answer",
				m.id,
				earlier.id,
			)
		case r.hasCall(earlier.id):
			s.violate(
				checker.OrderKept,
				"message %d is sent while a call of %d, an earlier one of its ordering key, is in flight",
				m.id,
				earlier.id,
			)
		case earlier.hasUnknownOutcome && s.now < earlier.unknownOutcomeAt+x.model.Settings.OrderingPause:
			s.violate(
				checker.OrderKept,
				"message %d is sent only %v after a call that may still run, of message %d with the same ordering key",
				m.id,
				s.now-earlier.unknownOutcomeAt,
				earlier.id,
			)
		}
	}
}

// sameOrderingKey reports whether two messages must be delivered in order. Ordering keys of different classes are
// different keys.
func (x *explorer) sameOrderingKey(a, b *messageState) bool {
	messageA, messageB := x.model.Messages[a.index], x.model.Messages[b.index]
	return messageA.Class == messageB.Class && messageA.Key == messageB.Key
}

// checkRecovery records a call to the destination after its outage. It checks, as package checker does, that relays
// that are informed of the outage do not overload the destination while it warms up.
func (x *explorer) checkRecovery(s *state, relay int, endpoint policy.Endpoint) {
	settings := &x.model.Settings
	windowStart := s.now - settings.OverloadWindow
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return a.at <= windowStart })
	s.arrivals = append(s.arrivals, arrival{s.now, relay})
	sinceOutage := s.now - s.outageEnd
	if sinceOutage >= settings.WarmUpDuration {
		return
	}
	warmUp := upstream.WarmUp{
		StartedAt:       s.outageEnd,
		FullCapacity:    endpoint.Weight,
		InitialCapacity: settings.WarmUpInitialCapacity,
		Duration:        settings.WarmUpDuration,
	}
	capacity := warmUp.CapacityAt(s.now)
	budget := upstream.OverloadBudget(settings.OverloadFactor, capacity, settings.OverloadWindow)
	calls := float64(len(s.arrivals))
	callsOfInformed := x.callsOfInformedRelays(s)
	if calls > budget && float64(callsOfInformed) >= checker.MinInformedRatio*calls {
		s.violate(
			checker.RecoveryNotOverloaded,
			"%.0f calls in %v to a destination that recovered %v ago and can serve %.2f a second, "+
				"%d of them by relays that observed its outage",
			calls,
			settings.OverloadWindow,
			sinceOutage,
			math.Round(capacity*100)/100,
			callsOfInformed,
		)
	}
}

// callsOfInformedRelays counts the calls within the overload window that were made by relays informed of the outage.
func (x *explorer) callsOfInformedRelays(s *state) (calls int) {
	for _, a := range s.arrivals {
		if s.relays[a.relay].outageFailures >= max(1, x.model.FailuresToDetect) {
			calls++
		}
	}
	return calls
}
