package modelcheck

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// finalAnswerGrace is the time after a message's deadline within which its final answer must be reported.
const finalAnswerGrace = checker.FinalAnswerTimeout

// successor returns the state that a move leads to.
func (x *explorer) successor(from *state, move Move) *state {
	relay := move.Relay
	if move.Kind == MoveAdvanceTime {
		relay = allRelays
	}
	s := from.clone(relay)
	s.violation = nil
	switch move.Kind {
	case MoveSubmit:
		x.submit(s, move.Relay)
	case MoveFinishCall:
		outcome := move.callOutcome(x.model)
		switch {
		case move.Outcome == outageError:
			s.relays[move.Relay].outageFailures++
		case outcome.Outcome != policy.OK:
			s.faults++
		}
		x.finishCall(s, move.Relay, move.Index, outcome)
	case MoveObserveDraining:
		x.observeEndpoint(s, move.Relay, x.model.DrainingEndpoints[move.Index], false)
	case MoveObserveRemoval:
		x.observeEndpoint(s, move.Relay, x.model.DrainingEndpoints[move.Index], true)
	case MoveAcknowledgeNotice:
		s.relays[move.Relay].messages[move.Index].endReported = true
	case MoveRestart:
		s.restarts++
		x.restart(s, move.Relay)
	case MoveStartOutage:
		s.outage, s.outageStart = outageActive, s.now
	case MoveEndOutage:
		s.outage, s.outageEnd = outageOver, s.now
	case MoveAdvanceTime:
		x.advanceTime(s)
	}
	return s
}

// submit has a relay accept the next message.
func (x *explorer) submit(s *state, relay int) {
	message := messageState{
		id:         policy.MessageID(s.submitted + 1),
		index:      s.submitted,
		acceptedAt: s.now,
		deadline:   s.now + x.class(s.submitted).Deadline,
	}
	s.submitted++
	r := &s.relays[relay]
	r.messages = append(r.messages, message)
	x.deliverEvent(s, relay, x.acceptedEvent(s, &message))
}

// class returns the class of one of the model's messages.
func (x *explorer) class(message int) policy.Class {
	return x.model.Settings.Classes[x.model.Messages[message].Class]
}

// acceptedEvent returns the event for a message that a relay has accepted.
func (x *explorer) acceptedEvent(s *state, m *messageState) policy.Event {
	message := x.model.Messages[m.index]
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   m.id,
		Key:         message.Key,
		Class:       message.Class,
		Tenant:      -1,
		Destination: x.model.Endpoints[0].Destination,
		TimeLeft:    m.deadline - s.now,
	}
}

// finishCall ends a call with an outcome.
func (x *explorer) finishCall(s *state, relay, callIndex int, outcome CallOutcome) {
	r := &s.relays[relay]
	call := r.calls[callIndex]
	r.calls = slices.Delete(r.calls, callIndex, callIndex+1)
	m := r.message(call.messageID)
	switch outcome.Outcome {
	case policy.OK:
		m.ended, m.endReported = true, true
		if r.outageFailures < x.model.FailuresToDetect {
			r.outageFailures = 0 // they are no longer consecutive
		}
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		m.possibleRuns = slices.DeleteFunc(m.possibleRuns, func(attempt int) bool { return attempt == call.attempt })
		m.mayHaveRun = len(m.possibleRuns) > 0
	case policy.Reset, policy.Timeout, policy.Cancelled, policy.UnprovenRejection:
		m.hasUnknownOutcome, m.unknownOutcomeAt = true, s.now
	}
	endpoint := x.model.Endpoints[call.endpoint]
	if outcome.RetryAfter > 0 {
		scope := x.limitScope(endpoint)
		r.retryAfter[scope] = max(r.retryAfter[scope], s.now+outcome.RetryAfter)
	}
	if outcome.Outcome == policy.Timeout && s.outage == outageActive {
		r.outageFailures++
	}
	x.deliverEvent(s, relay, policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    call.messageID,
		Attempt:      call.attempt,
		Endpoint:     endpoint.ID,
		Outcome:      outcome.Outcome,
		Latency:      s.now - call.sentAt,
		MessageEnded: outcome.Outcome == policy.OK,
		RetryAfter:   outcome.RetryAfter,
	})
}

// limitScope returns the rate-limit scope of an endpoint, within which a Retry-After applies: the ID of the
// endpoint, or "" for the whole destination.
func (x *explorer) limitScope(endpoint policy.Endpoint) string {
	if x.model.Settings.DestinationKinds[endpoint.Kind].LimitPerEndpoint {
		return endpoint.ID
	}
	return ""
}

// endpointIndex returns the index in Model.Endpoints of an endpoint; -1 if the model has none with that ID.
func (x *explorer) endpointIndex(id string) int {
	return slices.IndexFunc(x.model.Endpoints, func(e policy.Endpoint) bool { return e.ID == id })
}

// observeEndpoint has a relay observe that an endpoint drains or is removed.
func (x *explorer) observeEndpoint(s *state, relay int, id string, removed bool) {
	endpoint := x.model.Endpoints[x.endpointIndex(id)]
	endpoint.InService, endpoint.Removed = false, removed
	observed := s.relays[relay].observed
	change, known := observed[id]
	if !known {
		change.observedAt = s.now
	}
	change.removed = removed
	observed[id] = change
	x.deliverEvent(s, relay, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{endpoint}})
}

// advanceTime advances the time until something is due, but by no more than the model's time step, and processes
// what is due then.
func (x *explorer) advanceTime(s *state) {
	next := x.nextDue(s)
	x.reportEnds(s)
	s.now = next
	for relay := range s.relays {
		x.expireCalls(s, relay)
		x.deliverDueEvents(s, relay)
		s.checkFinalAnswers(relay)
	}
}

// nextDue returns the next time at which a timer, a timeout, a delayed event or the check of a final answer is due,
// but at most the end of the model's time step.
func (x *explorer) nextDue(s *state) time.Duration {
	next := s.now + x.model.MaxTimeStep
	consider := func(due time.Duration) {
		if due > s.now {
			next = min(next, due)
		}
	}
	for i := range s.relays {
		r := &s.relays[i]
		consider(r.timerAt)
		for _, call := range r.calls {
			consider(call.timeoutAt)
		}
		for _, delayed := range r.delayed {
			consider(delayed.due)
		}
		for _, m := range r.messages {
			if !m.endReported {
				consider(m.deadline + finalAnswerGrace + time.Millisecond)
			}
		}
	}
	return next
}

// reportEnds reports the final answers of all ended messages, except those that a mutant loses.
func (x *explorer) reportEnds(s *state) {
	for i := range s.relays {
		for k := range s.relays[i].messages {
			m := &s.relays[i].messages[k]
			if m.ended && !m.lostByJournal && !x.dropsNotice(m.id) {
				m.endReported = true
			}
		}
	}
}

// expireCalls ends a relay's calls that have timed out.
func (x *explorer) expireCalls(s *state, relay int) {
	r := &s.relays[relay]
	for {
		call := slices.IndexFunc(r.calls, func(c callState) bool { return c.timeoutAt <= s.now })
		if call < 0 {
			return
		}
		x.finishCall(s, relay, call, CallOutcome{Outcome: policy.Timeout})
	}
}

// deliverDueEvents passes the delayed events that are due to a relay's engine, and fires its timer if that is due.
func (x *explorer) deliverDueEvents(s *state, relay int) {
	r := &s.relays[relay]
	var due []policy.Event
	r.delayed = slices.DeleteFunc(r.delayed, func(d delayedEvent) bool {
		if d.due <= s.now {
			due = append(due, d.event)
		}
		return d.due <= s.now
	})
	if r.timerAt > 0 && r.timerAt <= s.now {
		r.timerAt = 0
		due = append(due, policy.Event{Kind: policy.TimerFired})
	}
	if len(due) > 0 {
		x.stepEngine(s, relay, due)
	}
}
