package modelcheck

import (
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The rules of package checker as invariants. They go by the relays' own times, so that nothing is allowed for sockets.

const (
	// drainGracePeriod is how long a relay may go on calling an endpoint after it observed that it drains.
	drainGracePeriod = time.Second
	// retryAfterRounding allows for a Retry-After in whole milliseconds.
	retryAfterRounding = time.Millisecond
)

// checkFinalAnswers checks that no message of a relay is without an end for long after its deadline.
func (s *state) checkFinalAnswers(relay int) {
	for _, m := range s.relays[relay].messages {
		if !m.endReported && s.now > m.deadline+finalAnswerGrace {
			s.violate(
				checker.NoMessageLost,
				"message %d, taken on by relay %d at %v, has no end %v after its time",
				m.id,
				relay,
				m.acceptedAt,
				s.now-m.deadline,
			)
		}
	}
}

// checkReject checks that a message that is rejected, so that its client may submit it again, has not run or may run
// again.
func (x *explorer) checkReject(s *state, m *messageState) {
	class := x.class(m.index)
	repeatable := class.Effect == policy.Idempotent || class.Effect == policy.IdempotentByKey && class.DedupAllZones
	if m.mayHaveRun && !repeatable {
		s.violate(
			checker.NoDuplicateEffect,
			"message %d is refused, which says that it may come again, though a call may have run",
			m.id,
		)
	}
}

// checkSend checks a call that a relay is about to make.
func (x *explorer) checkSend(s *state, relay int, m *messageState, endpoint policy.Endpoint) {
	if m.ended {
		s.violate(checker.NoMessageLost, "message %d is sent after its end", m.id)
	}
	if m.mayHaveRun {
		x.checkRepeat(s, m, endpoint)
	}
	x.checkEndpoint(s, relay, endpoint)
	if x.class(m.index).Ordered && x.model.Messages[m.index].Key != "" {
		x.checkOrder(s, &s.relays[relay], m)
	}
}

// checkRepeat checks that a message that may have run may run again at an endpoint.
func (x *explorer) checkRepeat(s *state, m *messageState, endpoint policy.Endpoint) {
	class := x.class(m.index)
	switch class.Effect {
	case policy.NonIdempotent:
		s.violate(
			checker.NoDuplicateEffect,
			"message %d must never run twice, may have run, and is sent again",
			m.id,
		)
	case policy.IdempotentByKey:
		if late := s.now - m.firstRunAt - class.DedupWindow; late > 0 {
			s.violate(checker.NoDuplicateEffect, "message %d is repeated %v after its window", m.id, late)
		} else if endpoint.Zone != m.firstRunZone && !class.DedupAllZones {
			s.violate(
				checker.NoDuplicateEffect,
				"message %d may have run in zone %d and is repeated in zone %d",
				m.id,
				m.firstRunZone,
				endpoint.Zone,
			)
		}
	}
}

// checkEndpoint checks that an endpoint may be called: it is in service and no Retry-After forbids it.
func (x *explorer) checkEndpoint(s *state, relay int, endpoint policy.Endpoint) {
	r := &s.relays[relay]
	if change, drains := r.observed[endpoint.ID]; drains && s.now > change.observedAt+drainGracePeriod {
		s.violate(
			checker.DrainRespected,
			"relay %d sends to %s %v after it was told that it is no longer in service",
			relay,
			endpoint.ID,
			s.now-change.observedAt,
		)
	}
	if until := r.retryAfter[x.limitScope(endpoint)]; s.now < until-retryAfterRounding {
		s.violate(
			checker.RetryAfterRespected,
			"relay %d sends to %s %v before the end of a told wait",
			relay,
			endpoint.ID,
			until-s.now,
		)
	}
}

// checkOrder checks a call against the earlier messages of its ordering key.
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
				"message %d is sent while %d, before it of its key, is unfinished",
				m.id,
				earlier.id,
			)
		case r.hasCall(earlier.id):
			s.violate(
				checker.OrderKept,
				"message %d is sent while a call of %d, before it of its key, is out",
				m.id,
				earlier.id,
			)
		case earlier.hasUnknownOutcome && s.now < earlier.unknownOutcomeAt+x.model.Settings.OrderingPause:
			s.violate(
				checker.OrderKept,
				"message %d is sent %v after a call of %d that may still run",
				m.id,
				s.now-earlier.unknownOutcomeAt,
				earlier.id,
			)
		}
	}
}

// sameOrderingKey reports whether two messages must be delivered in order: keys are those of a class.
func (x *explorer) sameOrderingKey(a, b *messageState) bool {
	messageA, messageB := x.model.Messages[a.index], x.model.Messages[b.index]
	return messageA.Class == messageB.Class && messageA.Key == messageB.Key
}

// checkRecovery records a call to the destination after its outage and checks, as package checker does, that relays
// which knew of the outage do not overload it.
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
			"%.0f calls in %v to a destination that is back since %v and can do %.2f a second, "+
				"%d of them by relays that saw it fail",
			calls,
			settings.OverloadWindow,
			sinceOutage,
			math.Round(capacity*100)/100,
			callsOfInformed,
		)
	}
}

// callsOfInformedRelays counts the recent calls of relays that knew of the outage.
func (x *explorer) callsOfInformedRelays(s *state) (calls int) {
	for _, a := range s.arrivals {
		if s.relays[a.relay].outageFailures >= max(1, x.model.FailuresToDetect) {
			calls++
		}
	}
	return calls
}
