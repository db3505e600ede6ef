package policy

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one Sender with an explicit clock.
type harness struct {
	t        *testing.T
	engine   *Engine
	now      time.Duration
	attempts map[uint32]int
}

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
		DestinationKinds: []DestinationKind{{MaxBatch: 1}, {LimitPerEndpoint: true, MaxBatch: 1}, {MaxBatch: 3}},
		FleetSize:        1, WarmUpInitialCapacity: 0.2, WarmUpDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, OrderingPause: 100 * ms,
	}
}

func newHarness(t *testing.T, settings Settings, list ...Endpoint) *harness {
	t.Helper()
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, engine: engine, now: time.Minute, attempts: map[uint32]int{}}
	for i := range list {
		list[i].InService = true
	}
	h.step(Event{Kind: EndpointSnapshot, Endpoints: list})
	return h
}

// step gives events at the present time and keeps the actions other than wakes.
func (h *harness) step(events ...Event) []Action {
	var actions []Action
	for _, a := range h.engine.Step(h.now, events) {
		if a.Kind != SetTimer {
			actions = append(actions, a)
		}
	}
	return actions
}

func (h *harness) accept(id uint32, classIndex int) []Action {
	return h.step(Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, TimeLeft: 60 * time.Second})
}

func (h *harness) finish(id uint32, endpointID string, outcome Outcome, after, wait time.Duration) []Action {
	h.now += after
	n := h.attempts[id]
	h.attempts[id]++
	return h.step(Event{
		Kind: AttemptFinished, MessageID: id, Attempt: n, Endpoint: endpointID, Outcome: outcome, Latency: after, RetryAfter: wait,
		MessageEnded: outcome == OK,
	})
}

// advance lets time pass and wakes the Sender.
func (h *harness) advance(after time.Duration) []Action {
	h.now += after
	return h.step(Event{Kind: TimerFired})
}

// firstSend tells where the first Send of the actions goes; "" if none.
func firstSend(actions []Action) string {
	for _, a := range actions {
		if a.Kind == Send {
			return a.Endpoint
		}
	}
	return ""
}

func hasAction(actions []Action, k ActionKind) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == k })
}
