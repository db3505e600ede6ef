package policy

import (
	"testing"
	"time"
)

// Of many relays' first calls to what is listed anew spread; what is told again stands as if it had been known all
// along, and is free for the same calls as that: no more.
func TestRelistedEndpointIsAsIfKnown(t *testing.T) {
	countCalls := func(seed uint64, repeated, complete bool, after time.Duration) (n int) {
		settings := testSettings()
		settings.FleetSize = 300
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		entry := Endpoint{ID: "a", Destination: 1, Kind: 1, Weight: 60, InService: true, Relisted: repeated}
		known := Event{Kind: EndpointSnapshot}
		if complete {
			known.Endpoints = []Endpoint{entry}
		}
		engine.Step(time.Second, []Event{known})
		events := []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{entry}}}
		for id := range uint32(10) {
			events = append(
				events,
				Event{Kind: MessageAccepted, MessageID: id + 1, Destination: 1, TimeLeft: time.Second},
			)
		}
		for _, a := range engine.Step(time.Second+after, events) {
			if a.Kind == Send {
				n++
			}
		}
		return n
	}
	for _, after := range []time.Duration{0, time.Second, MaxInitialSpread, time.Minute} {
		freshCalls, again, known := 0, 0, 0
		for seed := range uint64(50) {
			freshCalls += countCalls(seed, false, false, after)
			again += countCalls(seed, true, false, after)
			known += countCalls(seed, false, true, after)
		}
		t.Logf(
			"%v after a start, 50 relays: %d calls to what is new, %d to what is told again, %d where it was known",
			after,
			freshCalls,
			again,
			known,
		)
		if again != known {
			t.Errorf("%v after a start: %d calls to what is told again, %d to what was known", after, again, known)
		}
		if after >= MaxInitialSpread && freshCalls >= again {
			t.Errorf(
				"%v after a start: %d calls to what is new, %d to what is told again: this shows nothing",
				after,
				freshCalls,
				again,
			)
		}
	}
}
