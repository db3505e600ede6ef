package policy

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenSnapshot = "sender.snapshot"

func goldenSettings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: time.Second, Deadline: 16 * time.Second, Weight: 1},
			{
				Effect:           IdempotentByKey,
				DedupAllZones:    true,
				DedupWindow:      10 * time.Second,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         16 * time.Second,
				Weight:           3,
			},
			{Effect: NonIdempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 2},
		},
		DestinationKinds:      []DestinationKind{{MaxBatch: 1}, {MaxBatch: 2, LimitPerEndpoint: true}},
		Tenants:               []Tenant{{Quota: 50}},
		ZoneCosts:             []float64{0, 0.5},
		FleetSize:             3,
		MaxInFlightCalls:      30,
		MaxPendingMessages:    100,
		MaxAttempts:           8,
		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
		OrderingPause:         500 * time.Millisecond,
	}
}

// goldenEngine returns an Engine in the middle of a run: calls are in flight, messages wait, and endpoints are paced,
// ejected, or blocked by a Retry-After.
func goldenEngine(t *testing.T) *Engine {
	t.Helper()
	engine, err := New(goldenSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Second
	engine.Step(at, []Event{goldenList()})
	checked := func(endpointID string, outcome Outcome, retryAfter time.Duration) Event {
		return Event{
			Kind:        HealthChecked,
			Endpoint:    endpointID,
			Outcome:     outcome,
			RetryAfter:  retryAfter,
			Latency:     20 * time.Millisecond,
			LimitReport: LimitReport{Present: true, Remaining: 0.5, Limit: 30},
		}
	}
	at += time.Second
	engine.Step(at, []Event{
		checked("s-0", OK, 0),
		checked("s-4", OK, 0),
		checked("s-2", Error, 0),
		checked("s-2", Error, 0),
		checked("s-2", Error, 0),
	})
	var sent []Action
	for id := range MessageID(12) {
		at += 10 * time.Millisecond
		for _, a := range engine.Step(at, []Event{goldenMessage(id + 1)}) {
			if a.Kind == Send {
				sent = append(sent, a)
			}
		}
	}
	for i, outcome := range []Outcome{Overloaded, Timeout, ConnectFailed, OK} {
		a := sent[i]
		event := Event{
			Kind:         AttemptFinished,
			MessageID:    a.MessageID,
			Endpoint:     a.Endpoint,
			Outcome:      outcome,
			Latency:      30 * time.Millisecond,
			MessageEnded: outcome == OK,
		}
		at += 10 * time.Millisecond
		engine.Step(at, []Event{event})
	}
	at += 10 * time.Millisecond
	engine.Step(at, []Event{
		checked("s-5", Overloaded, 2*time.Second),
		{Kind: QuotaGranted, Destination: 1, ReservedFraction: 0.5, GrantedCalls: 2, TimeLeft: time.Second},
	})
	return engine
}

// goldenList is a list of six endpoints of three destinations.
func goldenList() Event {
	list := Event{Kind: EndpointSnapshot}
	for i := range 6 {
		list.Endpoints = append(list.Endpoints, Endpoint{
			ID:          fmt.Sprint("s-", i),
			Destination: DestinationID(1 + i/2),
			Kind:        i / 4,
			Zone:        i % 2,
			Weight:      20,
			InService:   true,
		})
	}
	return list
}

// goldenMessage returns the event of a submitted message. Message 12 is recovered from an earlier process.
func goldenMessage(id MessageID) Event {
	event := Event{
		Kind:        MessageAccepted,
		MessageID:   id,
		Key:         fmt.Sprint("key ", id%2),
		Class:       int(id % 3),
		Destination: DestinationID(1 + id%3),
		TimeLeft:    10 * time.Second,
	}
	if id == 12 {
		event.Recovered = &RecoveredMessage{Attempts: 1, MayHaveRun: true, SinceFirstRun: time.Second, FirstRunZone: 1}
	}
	return event
}

// A snapshot that an earlier build wrote is restored and written again byte for byte. The decisions that led to its
// state are not checked, since they may change while the format stays the same.
func TestGoldenSnapshot(t *testing.T) {
	if *update {
		golden.Write(t, goldenSnapshot, goldenEngine(t).Snapshot(nil))
	}
	engine, err := Restore(goldenSettings(), golden.Read(t, goldenSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, false, goldenSnapshot, engine.Snapshot(nil))
	type content struct{ messages, inFlight, retryAfter, paced, ejected, warmingUp, keyQueues int }
	got := content{messages: len(engine.messages), inFlight: engine.callsInFlight, keyQueues: len(engine.keyQueues)}
	views, _ := engine.Views()
	for _, view := range views {
		if view.RetryAfterUntil > engine.now {
			got.retryAfter++
		}
		if view.PacingRate > 0 {
			got.paced++
		}
		if view.Ejected {
			got.ejected++
		}
		if view.WarmingUp {
			got.warmingUp++
		}
	}
	want := content{messages: 11, inFlight: 6, retryAfter: 1, paced: 4, ejected: 1, warmingUp: 2, keyQueues: 2}
	if got != want {
		t.Errorf("restored as %+v, want %+v", got, want)
	}
}
