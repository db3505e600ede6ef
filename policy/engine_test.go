package policy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a timer that fires slightly early but still counts as set, so that the message it was set for
// never gets an answer.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.accept(1, 0)
	h.now += 1500 * ms
	at := h.now
	h.engine.requestTimer(at + 500*time.Nanosecond)
	h.engine.timerAt, h.engine.requestedTimerAt = h.engine.requestedTimerAt, 0
	actions := h.engine.Step(at, []Event{{Kind: TimerFired}})
	if !hasAction(actions, SetTimer) {
		t.Errorf("actions %+v after an early timer, want a new timer", actions)
	}
}

// Guards against two leaks: key queues whose pause outlasted their last message were never removed, nor were any
// destinations.
func TestNothingIsRetainedAfterRemoval(t *testing.T) {
	settings := testSettings()
	settings.MaxInFlightCalls, settings.MaxPendingMessages = 50, 100
	h := newHarness(t, settings)
	for i := range 300 {
		id, name := MessageID(i), fmt.Sprint("r", i)
		destination := DestinationID(i)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: destination, InService: true}}})
		h.step(Event{
			Kind:        MessageAccepted,
			MessageID:   id,
			Key:         name,
			Class:       2,
			Destination: destination,
			TimeLeft:    9 * time.Second,
		})
		h.finish(id, name, Timeout, time.Second, 0)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: destination, Removed: true}}})
	}
	h.now += time.Minute
	h.step(Event{Kind: TimerFired}, Event{Kind: EndpointDelta})
	engine := h.engine
	for name, n := range map[string]int{
		"key queues":          len(engine.keyQueues),
		"destinations":        len(engine.destinations),
		"sorted destinations": len(engine.sortedDestinations),
		"endpoints":           len(engine.endpoints),
		"messages":            len(engine.messages),
		"active destinations": len(engine.active),
		"empty destinations":  len(emptyDestinationsOf(engine)),
	} {
		if n != 0 {
			t.Errorf("%d %s are retained", n, name)
		}
	}
}
