package hollow

import (
	"context"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/policy"
)

// minStepInterval is the minimum time between two steps of a member.
const minStepInterval = 5 * time.Millisecond

// simulatedMember is a real fleet member with a simulated relay around it.
type simulatedMember struct {
	fleet         *Fleet
	index         int
	member        *fleet.Member
	clock         func() time.Duration
	stop          context.CancelFunc
	stepRequested chan struct{}
	changes       chan time.Duration // Retry-After values to observe
	steps         atomic.Uint64

	// The fields below are used by loop only.
	nextMessage     float64 // sequence number of the next message; it is due at this number divided by MessageRate
	lastMessageID   policy.MessageID
	pendingOutcomes []policy.Event // outcomes of calls, delivered in the next step
	hasSnapshot     bool           // the endpoint snapshot was delivered
}

// requestStep makes the loop step the member as soon as minStepInterval allows.
func (m *simulatedMember) requestStep() {
	select {
	case m.stepRequested <- struct{}{}:
	default: // A request is pending already.
	}
}

// loop steps the member as a relay's event loop does: on request, and at most once per minStepInterval.
func (m *simulatedMember) loop(ctx context.Context) {
	for {
		var retryAfter time.Duration
		select {
		case <-ctx.Done():
			return
		case <-m.stepRequested:
		case retryAfter = <-m.changes:
		}
		m.step(retryAfter)
		time.Sleep(minStepInterval)
	}
}

// step steps the member. If retryAfter is not 0, the member also observes an answer with this Retry-After.
func (m *simulatedMember) step(retryAfter time.Duration) {
	now := m.clock()
	events, actions := m.simulate(now, retryAfter)
	record, _ := m.member.Step(now, events, actions, nil) // There is no engine to take the returned events.
	m.steps.Add(1)
	if p := m.fleet.propagation.Load(); p != nil && p.isContained(record.Received) {
		p.record(m.index)
	}
}

// simulate returns the events and actions of a relay since the last step: the endpoint snapshot in the first step, the
// outcomes of the last step's calls, an answer with Retry-After if retryAfter is not 0, and the messages that are due,
// with a call for each.
func (m *simulatedMember) simulate(
	now, retryAfter time.Duration,
) (events []policy.Event, actions []policy.Action) {
	events, m.pendingOutcomes = m.pendingOutcomes, nil
	if !m.hasSnapshot {
		m.hasSnapshot = true
		events = append(events, m.fleet.snapshot())
	}
	if retryAfter > 0 {
		events = append(events, policy.Event{
			Kind:       policy.AttemptFinished,
			Endpoint:   endpointID(m.fleet.changedDestination()),
			Outcome:    policy.Overloaded,
			RetryAfter: retryAfter,
		})
	}
	active := m.fleet.options.ActiveDestinations
	if active == 0 {
		return events, nil
	}
	for due := now.Seconds() * m.fleet.options.MessageRate; m.nextMessage < due; m.nextMessage++ {
		m.lastMessageID++
		id := m.lastMessageID
		destination := policy.DestinationID(int(id) % active)
		events = append(events, policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: destination})
		actions = append(actions, policy.Action{Kind: policy.Send, MessageID: id, Endpoint: endpointID(destination)})
		m.pendingOutcomes = append(m.pendingOutcomes, policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    id,
			Endpoint:     endpointID(destination),
			Outcome:      policy.OK,
			MessageEnded: true,
		})
	}
	return events, actions
}

// snapshot returns the endpoint list as an event. It has one endpoint for each destination, including the
// changedDestination.
func (f *Fleet) snapshot() policy.Event {
	event := policy.Event{Kind: policy.EndpointSnapshot}
	for destination := range policy.DestinationID(f.options.Destinations + 1) {
		event.Endpoints = append(event.Endpoints, policy.Endpoint{
			ID:          endpointID(destination),
			Destination: destination,
			Weight:      f.options.Limit,
			InService:   true,
		})
	}
	return event
}
