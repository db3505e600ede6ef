package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// stepState is the work that a step collects from its events. Relay.step does this work in a fixed order.
type stepState struct {
	policyEvents    []policy.Event
	submissions     []*submitEvent
	sendChecks      []sendCheck
	metricsRequests []metricsRequest
	handOver        *handOverRequest // nil: no hand-over is requested
}

// reset empties the state for the next step. It reuses the capacity of the slices that are no longer referenced after a
// step.
func (s *stepState) reset() {
	clear(s.submissions)
	clear(s.sendChecks)
	clear(s.metricsRequests)
	*s = stepState{
		submissions:     s.submissions[:0],
		sendChecks:      s.sendChecks[:0],
		metricsRequests: s.metricsRequests[:0],
	}
}

// step applies a batch of events, calls the policy, and executes its actions. The order is fixed: first the changes to
// the relay's state, then new messages, decisions and calls, and last the replies to requests about the state after the
// step.
func (r *Relay) step(batch []event) {
	if r.handedOver {
		r.forwardEvents(batch)
		return
	}
	now := r.now()
	if !r.timerAt.IsZero() && !time.Now().Before(r.timerAt) {
		r.timerAt = time.Time{}
	}
	s := &r.current
	s.policyEvents = append([]policy.Event(nil), r.deferredEvents...)
	r.deferredEvents = r.deferredEvents[:0]
	for _, e := range batch {
		e.apply(r, s)
	}
	r.expire()
	r.decideAndExecute(now, s)
	r.saveEndpointHealth()
	r.saveRules()
	r.answerRequests(s)
	s.reset()
	r.closeWhenDrained()
}

// decideAndExecute accepts the step's messages, calls the policy, and executes its actions.
func (r *Relay) decideAndExecute(now time.Duration, s *stepState) {
	waiting := r.accept(s.submissions)
	if r.sendingStopped {
		r.execute(nil, waiting)
		return
	}
	events := s.policyEvents
	for _, submitted := range waiting {
		switch m := submitted.acceptedAs; {
		case m.Message != submitted.message: // a duplicate of an earlier submission in this step
		case m.Attempts > 0:
			events = append(events, r.recoveredEvent(m))
		default:
			events = append(events, r.acceptedEvent(m))
		}
	}
	r.execute(r.decide(now, events), waiting)
}

// answerRequests replies to requests about the state after this step, and hands over if that is requested.
func (r *Relay) answerRequests(s *stepState) {
	for _, check := range s.sendChecks {
		check.reply <- outgoing(r.sendableAttempts(check.call))
	}
	if len(s.metricsRequests) > 0 {
		r.updateGauges()
	}
	for _, request := range s.metricsRequests {
		close(request.done)
	}
	if s.handOver != nil {
		s.handOver.reply <- r.transferState()
	}
}

// closeWhenDrained closes drained, for which shutdown waits, once no message or call is left to wait for.
func (r *Relay) closeWhenDrained() {
	if !r.stopping || r.drainedClosed {
		return
	}
	if r.allFinished() || r.sendingStopped && r.callsInFlight == 0 {
		r.drainedClosed = true
		close(r.drained)
	}
}

// decide runs a step of the policy and of the fleet's member, if there is one, and records the step.
func (r *Relay) decide(now time.Duration, events []policy.Event) []policy.Action {
	if r.largeList.Load() {
		events = r.updateWorkingSet(now, events)
	}
	r.recorder.PrepareStep(events)
	actions := r.engine.Step(now, events)
	if r.fleet == nil {
		r.recorder.Step(now, events, actions)
		return actions
	}
	views := func() []policy.EndpointView {
		views, _ := r.engine.Views()
		return views
	}
	fleetStep, received := r.fleet.Step(now, events, actions, views)
	if r.recorder.Recorder != nil {
		r.recorder.StepWithFleet(now, events, actions, fleetStep.Append(nil))
	}
	if len(received) > 0 {
		r.deferredEvents = append(r.deferredEvents, received...)
		r.requestStep() // the policy receives these events in the next step, soon
	}
	return actions
}
