package policy

import (
	"fmt"
	"testing"
	"time"
)

// A wake that came a fraction early was taken as still to come, and the message it was for had no answer.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.accept(1, 0)
	h.now += 1500 * ms
	at := h.now
	h.engine.requestTimer(at + 500*time.Nanosecond)
	h.engine.timerAt, h.engine.requestedTimerAt = h.engine.requestedTimerAt, 0
	actions := h.engine.Step(at, []Event{{Kind: TimerFired}})
	if !hasAction(actions, SetTimer) {
		t.Errorf("no wake asked for: %+v", actions)
	}
}

// Turns were once kept for good when their rest outlasted their last message, and destinations always.
func TestNothingIsRetainedAfterRemoval(t *testing.T) {
	settings := testSettings()
	settings.MaxInFlightCalls, settings.MaxPendingMessages = 50, 100
	h := newHarness(t, settings)
	for i := range 300 {
		id, name := uint32(i), fmt.Sprint("r", i)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, InService: true}}})
		h.step(
			Event{Kind: MessageAccepted, MessageID: id, Key: name, Class: 2, Destination: i, TimeLeft: 9 * time.Second},
		)
		h.finish(id, name, Timeout, time.Second, 0)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, Removed: true}}})
	}
	h.now += time.Minute
	h.step(Event{Kind: TimerFired}, Event{Kind: EndpointDelta})
	engine := h.engine
	if n := len(engine.keyQueues) + len(engine.destinations) + len(engine.sortedDestinations) + len(engine.endpoints) + len(engine.messages) + len(engine.active) + len(emptyDestinationsOf(engine)); n != 0 {
		t.Errorf("held: %d turns, %d destinations (%d in order), %d routes, %d messages, %d active, %d bare",
			len(engine.keyQueues), len(engine.destinations), len(engine.sortedDestinations), len(engine.endpoints), len(engine.messages), len(engine.active), len(emptyDestinationsOf(engine)))
	}
}
