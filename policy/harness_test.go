package policy

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one Engine with an explicit clock.
type harness struct {
	t        *testing.T
	engine   *Engine
	now      time.Duration
	attempts map[MessageID]int
}

// testSettings are settings of a single relay with a class of each effect and three kinds of destination.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 2 * time.Second, Deadline: 60 * time.Second, Weight: 1},
			{
				Effect:           IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 2 * time.Second,
				Deadline:         60 * time.Second,
				Weight:           1,
			},
			{
				Effect:           NonIdempotent,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         60 * time.Second,
				Weight:           1,
			},
		},
		DestinationKinds:      []DestinationKind{{MaxBatch: 1}, {LimitPerEndpoint: true, MaxBatch: 1}, {MaxBatch: 3}},
		FleetSize:             1,
		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        10 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        2 * time.Second,
		OrderingPause:         100 * ms,
	}
}

// newHarness returns a harness whose Engine has received a list of endpoints, all in service.
func newHarness(t *testing.T, settings Settings, list ...Endpoint) *harness {
	t.Helper()
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, engine: engine, now: time.Minute, attempts: map[MessageID]int{}}
	for i := range list {
		list[i].InService = true
	}
	h.step(Event{Kind: EndpointSnapshot, Endpoints: list})
	return h
}

// step applies events at the current time and returns the actions other than SetTimer.
func (h *harness) step(events ...Event) []Action {
	var actions []Action
	for _, a := range h.engine.Step(h.now, events) {
		if a.Kind != SetTimer {
			actions = append(actions, a)
		}
	}
	return actions
}

// accept submits a message for destination 0.
func (h *harness) accept(id MessageID, classIndex int) []Action {
	return h.step(Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, TimeLeft: 60 * time.Second})
}

// finish lets time pass and then ends the oldest attempt of a message with an outcome.
func (h *harness) finish(id MessageID, endpointID string, outcome Outcome, after, retryAfter time.Duration) []Action {
	h.now += after
	n := h.attempts[id]
	h.attempts[id]++
	return h.step(Event{
		Kind:         AttemptFinished,
		MessageID:    id,
		Attempt:      n,
		Endpoint:     endpointID,
		Outcome:      outcome,
		Latency:      after,
		RetryAfter:   retryAfter,
		MessageEnded: outcome == OK,
	})
}

// advance lets time pass and fires a timer.
func (h *harness) advance(after time.Duration) []Action {
	h.now += after
	return h.step(Event{Kind: TimerFired})
}

// firstSend returns the endpoint of the first Send action; "" if there is none.
func firstSend(actions []Action) string {
	for _, a := range actions {
		if a.Kind == Send {
			return a.Endpoint
		}
	}
	return ""
}

// hasAction reports whether there is an action of a kind.
func hasAction(actions []Action, kind ActionKind) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == kind })
}
