package hollow

import (
	"context"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/policy"
)

// minStepInterval is the least time between two steps of a member.
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

	// The loop's own.
	nextMessage     float64 // number of the message that is due next
	lastMessageID   policy.MessageID
	pendingOutcomes []policy.Event // for the next step
	hasSnapshot     bool
}

// requestStep makes the loop step soon.
func (m *simulatedMember) requestStep() {
	select {
	case m.stepRequested <- struct{}{}:
	default: // A request is pending already.
	}
}

// loop steps the member as a relay's event loop does: on request, and no more often than minStepInterval.
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

// step steps the member. With a Retry-After it observes that, too.
func (m *simulatedMember) step(retryAfter time.Duration) {
	now := m.clock()
	events, actions := m.simulate(now, retryAfter)
	record, _ := m.member.Step(now, events, actions, nil) // Effects on an engine: there is none.
	m.steps.Add(1)
	if p := m.fleet.propagation.Load(); p != nil && p.isContained(record.Received) {
		p.record(m.index)
	}
}

// simulate returns what a relay would have seen and done since the last step: first of all the endpoint snapshot, then
// the outcomes of the last step's calls, a Retry-After if there is one, and the messages that are due with their calls.
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

// snapshot is the endpoint list, with one endpoint for each destination.
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
