package policy

import (
	"testing"
	"time"
)

// A large fleet spreads its first calls to a new endpoint. An endpoint that is listed again after an eviction
// allows exactly the calls that it would allow if it had been listed without interruption.
func TestRelistedEndpointIsAsIfKnown(t *testing.T) {
	countCalls := func(seed uint64, relisted, known bool, after time.Duration) (n int) {
		settings := testSettings()
		settings.FleetSize = 300
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		entry := Endpoint{ID: "a", Destination: 1, Kind: 1, Weight: 60, InService: true, Relisted: relisted}
		snapshot := Event{Kind: EndpointSnapshot}
		if known {
			snapshot.Endpoints = []Endpoint{entry}
		}
		engine.Step(time.Second, []Event{snapshot})
		events := []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{entry}}}
		for id := range MessageID(10) {
			accepted := Event{Kind: MessageAccepted, MessageID: id + 1, Destination: 1, TimeLeft: time.Second}
			events = append(events, accepted)
		}
		for _, a := range engine.Step(time.Second+after, events) {
			if a.Kind == Send {
				n++
			}
		}
		return n
	}
	for _, after := range []time.Duration{0, time.Second, MaxInitialSpread, time.Minute} {
		toNew, toRelisted, toKnown := 0, 0, 0
		for seed := range uint64(50) {
			toNew += countCalls(seed, false, false, after)
			toRelisted += countCalls(seed, true, false, after)
			toKnown += countCalls(seed, false, true, after)
		}
		t.Logf("%v after a start, 50 relays: %d calls to a new endpoint, %d to a relisted one, %d to a known one",
			after, toNew, toRelisted, toKnown)
		if toRelisted != toKnown {
			t.Errorf("%v after a start: %d calls to a relisted endpoint, %d to a known one", after, toRelisted, toKnown)
		}
		if after >= MaxInitialSpread && toNew >= toRelisted {
			t.Errorf("%v after a start: %d calls to a new endpoint, want fewer than the %d to a relisted one",
				after, toNew, toRelisted)
		}
	}
}
