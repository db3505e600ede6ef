package modelcheck

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// engineStart is the time on an engine's own clock when its relay starts. It is not 0, which an engine might
	// treat as unset.
	engineStart = time.Second
	// restartSeedStep is what each restart adds to the seed of a relay's engine. It exceeds the number of relays, so
	// that each engine has its own seed.
	restartSeedStep = 100
)

// newEngine returns a new engine for an incarnation of a relay.
func (x *explorer) newEngine(relay, incarnation int) (*policy.Engine, error) {
	return policy.New(x.settings, uint64(relay+restartSeedStep*incarnation))
}

// startRelay starts a relay for the first time.
func (x *explorer) startRelay(s *state, relay int) error {
	r := &s.relays[relay]
	engine, err := x.newEngine(relay, r.incarnation)
	if err != nil {
		return fmt.Errorf("model %q: start relay %d: %w", x.model.Name, relay, err)
	}
	r.epoch = s.now - engineStart
	x.runEngine(s, relay, engine, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: x.model.Endpoints}})
	r.engine = engine.Snapshot(nil)
	return nil
}

// restart kills a relay and restarts it with the content of its journal.
func (x *explorer) restart(s *state, relay int) {
	r := &s.relays[relay]
	r.incarnation++
	engine, err := x.newEngine(relay, r.incarnation)
	if err != nil {
		s.violate(checker.NoMessageLost, "relay %d cannot be restarted: %v", relay, err)
		return
	}
	r.epoch = s.now - engineStart
	r.timerAt = 0
	r.calls = nil
	r.delayed = nil
	clear(r.retryAfter) // a Retry-After does not outlast a restart
	r.outageFailures = 0
	events := []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: x.observedEndpoints(r)}}
	for i := range r.messages {
		m := &r.messages[i]
		m.fromBeforeRestart = true
		if x.forgetsMessage(m, s.now) {
			m.lostByJournal = true
			continue
		}
		if m.ended {
			continue // its final answer is decided, and only the notice is sent again
		}
		events = append(events, x.recoveredEvent(s, m))
	}
	x.runEngine(s, relay, engine, events)
	r.engine = engine.Snapshot(nil)
}

// observedEndpoints returns the endpoint list that a relay has observed.
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

// recoveredEvent returns the event for a message that an engine recovers from the journal. If a call of the message
// may have run, its outcome is recorded as unknown.
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
	x.changeEvent(&event) // the delay is ignored: an engine recovers its journal when it starts
	return event
}

// deliverEvent passes an event to a relay's engine, unless the mutant delays or drops it.
func (x *explorer) deliverEvent(s *state, relay int, event policy.Event) {
	delay := x.changeEvent(&event)
	switch {
	case delay < 0: // the event is dropped
	case delay > 0:
		r := &s.relays[relay]
		r.delayed = append(r.delayed, delayedEvent{s.now + delay, event})
	default:
		x.stepEngine(s, relay, []policy.Event{event})
	}
}

// stepEngine restores a relay's engine from its snapshot, runs a step and takes a new snapshot.
func (x *explorer) stepEngine(s *state, relay int, events []policy.Event) {
	engine, err := policy.Restore(x.settings, s.relays[relay].engine)
	if err != nil {
		s.violate(checker.NoMessageLost, "relay %d: the engine cannot be restored from its snapshot: %v", relay, err)
		return
	}
	x.runEngine(s, relay, engine, events)
	s.relays[relay].engine = engine.Snapshot(nil)
}

// runEngine runs a step of an engine, and checks and executes its actions.
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

// endMessage ends a message that the engine rejects or fails.
func (x *explorer) endMessage(s *state, relay int, action policy.Action) {
	m := s.relays[relay].message(action.MessageID)
	if m == nil {
		return
	}
	if m.ended {
		s.violate(checker.NoMessageLost, "message %d has two final answers", m.id)
		return
	}
	if action.Kind == policy.Reject {
		x.checkReject(s, m)
	}
	m.ended = true
}

// send checks a call that an engine makes and adds it to the calls in flight.
func (x *explorer) send(s *state, relay int, action policy.Action) {
	r := &s.relays[relay]
	m := r.message(action.MessageID)
	endpointIndex := x.endpointIndex(action.Endpoint)
	if m == nil || endpointIndex < 0 {
		s.violate(
			checker.NoMessageLost,
			"relay %d sends message %d to %q: unknown message or endpoint",
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
