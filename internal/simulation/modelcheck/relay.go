package modelcheck

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// engineStart is an engine's own time when its relay starts. It is not 0, which some engines might take for unset.
	engineStart = time.Second
	// restartSeedStep is what each restart adds to the seed of a relay's engine: more than there are relays.
	restartSeedStep = 100
)

// newEngine returns the engine of a relay that starts, in its incarnation.
func (x *explorer) newEngine(relay, incarnation int) (*policy.Engine, error) {
	return policy.New(x.settings, uint64(relay+restartSeedStep*incarnation))
}

// startRelay starts a relay for the first time.
func (x *explorer) startRelay(s *state, relay int) error {
	r := &s.relays[relay]
	engine, err := x.newEngine(relay, r.incarnation)
	if err != nil {
		return fmt.Errorf("explore: %s: %w", x.model.Name, err)
	}
	r.epoch = s.now - engineStart
	x.runEngine(s, relay, engine, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: x.model.Endpoints}})
	r.engine = engine.Snapshot(nil)
	return nil
}

// restart kills a relay and starts it again with what its journal holds.
func (x *explorer) restart(s *state, relay int) {
	r := &s.relays[relay]
	r.incarnation++
	engine, err := x.newEngine(relay, r.incarnation)
	if err != nil {
		s.violate(checker.NoMessageLost, "relay %d does not start again: %v", relay, err)
		return
	}
	r.epoch = s.now - engineStart
	r.timerAt = 0
	r.calls = nil
	r.delayed = nil
	clear(r.retryAfter) // a restart ends a Retry-After
	r.outageFailures = 0
	events := []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: x.observedEndpoints(r)}}
	for i := range r.messages {
		m := &r.messages[i]
		m.fromBeforeRestart = true
		if x.forgetsMessage(m, s.now) {
			m.forgotten = true
			continue
		}
		if m.ended {
			continue // only its notice is sent once more
		}
		events = append(events, x.recoveredEvent(s, m))
	}
	x.runEngine(s, relay, engine, events)
	r.engine = engine.Snapshot(nil)
}

// observedEndpoints returns the endpoints as a relay has observed them.
func (x *explorer) observedEndpoints(r *relayState) (endpoints []policy.Endpoint) {
	for _, endpoint := range x.model.Endpoints {
		if change, drains := r.observed[endpoint.ID]; drains {
			if change.removed {
				continue
			}
			endpoint.InService = false
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// recoveredEvent tells an engine of a message from the journal. The outcomes of its calls are unknown now.
func (x *explorer) recoveredEvent(s *state, m *messageState) policy.Event {
	recovered := &policy.RecoveredMessage{
		Attempts:     m.attempts,
		MayHaveRun:   m.mayHaveRun,
		FirstRunZone: m.firstRunZone,
	}
	if m.mayHaveRun {
		recovered.SinceFirstRun = s.now - m.firstRunAt
		m.hasUnknownOutcome, m.unknownOutcomeAt = true, s.now
	}
	event := x.acceptedEvent(s, m)
	event.Recovered = recovered
	x.changeEvent(&event) // what the journal holds cannot be delayed
	return event
}

// deliverEvent gives a relay's engine an event, as far as the mutant lets it through.
func (x *explorer) deliverEvent(s *state, relay int, event policy.Event) {
	delay := x.changeEvent(&event)
	switch {
	case delay < 0: // it never arrives
	case delay > 0:
		r := &s.relays[relay]
		r.delayed = append(r.delayed, delayedEvent{s.now + delay, event})
	default:
		x.stepEngine(s, relay, []policy.Event{event})
	}
}

// stepEngine restores a relay's engine, runs a step and takes its snapshot.
func (x *explorer) stepEngine(s *state, relay int, events []policy.Event) {
	engine, err := policy.Restore(x.settings, s.relays[relay].engine)
	if err != nil {
		s.violate(checker.NoMessageLost, "relay %d: its state cannot be put back: %v", relay, err)
		return
	}
	x.runEngine(s, relay, engine, events)
	s.relays[relay].engine = engine.Snapshot(nil)
}

// runEngine runs a step of an engine, executes its actions, and checks them.
func (x *explorer) runEngine(s *state, relay int, engine *policy.Engine, events []policy.Event) {
	r := &s.relays[relay]
	for _, action := range engine.Step(s.now-r.epoch, events) {
		if !x.allowsAction(&action) {
			continue
		}
		switch action.Kind {
		case policy.SetTimer:
			r.timerAt = s.now + action.Delay
		case policy.Send:
			x.send(s, relay, action)
		case policy.Reject, policy.Fail:
			x.endMessage(s, relay, action)
		}
	}
}

// endMessage gives a message its final answer, other than a delivery.
func (x *explorer) endMessage(s *state, relay int, action policy.Action) {
	m := s.relays[relay].message(action.MessageID)
	if m == nil {
		return
	}
	if m.ended {
		s.violate(checker.NoMessageLost, "message %d ends twice", m.id)
		return
	}
	if action.Kind == policy.Reject {
		x.checkReject(s, m)
	}
	m.ended = true
}

// send checks a call of a relay and puts it in flight.
func (x *explorer) send(s *state, relay int, action policy.Action) {
	r := &s.relays[relay]
	m := r.message(action.MessageID)
	endpointIndex := x.endpointIndex(action.Endpoint)
	if m == nil || endpointIndex < 0 {
		s.violate(
			checker.NoMessageLost,
			"relay %d sends message %d to %q, of which one is not there",
			relay,
			action.MessageID,
			action.Endpoint,
		)
		return
	}
	endpoint := x.model.Endpoints[endpointIndex]
	x.checkSend(s, relay, m, endpoint)
	call := callState{
		messageID: m.id,
		attempt:   m.attempts,
		endpoint:  endpointIndex,
		sentAt:    s.now,
		timeoutAt: action.TimeoutAt + r.epoch,
	}
	r.calls = append(r.calls, call)
	m.attempts++
	m.possibleRuns = append(m.possibleRuns, call.attempt)
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, s.now, endpoint.Zone
	}
	if s.outage == outageOver {
		x.checkRecovery(s, relay, endpoint)
	}
}
