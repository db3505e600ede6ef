package policy

import (
	"slices"
	"testing"
	"time"
)

func TestEndpointsAreOrderedByWeightCostAndTieBreaker(t *testing.T) {
	settings := testSettings()
	settings.ZoneCosts = []float64{0, 0.03}
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1, Zone: 1, Weight: 5}, Endpoint{ID: "c", Kind: 1, Weight: 5},
		Endpoint{ID: "b", Kind: 1, Weight: 5}, Endpoint{ID: "z", Kind: 1, Zone: 1, Weight: 9})
	var got []string
	got = append(got, firstSend(h.accept(1, 0)))
	for range 3 {
		got = append(got, firstSend(h.finish(1, got[len(got)-1], Overloaded, 10*ms, 0)))
	}
	// Each rejection leaves its scope paced and without tokens, so the message goes to the next endpoint.
	slices.Sort(got[1:3]) // the order of the equal endpoints b and c is not checked
	if want := []string{"z", "b", "c", "a"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Guards against a fleet whose relays all call the first of several equal endpoints while the others are idle.
func TestFleetSpreadsOverEqualEndpoints(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(60) {
		settings := testSettings()
		settings.FleetSize = 60
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		actions := engine.Step(time.Minute, []Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{
				{ID: "a", InService: true},
				{ID: "b", InService: true},
				{ID: "c", InService: true},
			}},
			{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		})
		first[firstSend(actions)]++
	}
	if first["a"] < 10 || first["b"] < 10 || first["c"] < 10 {
		t.Errorf("first choices of 60 relays: %v", first)
	}
}

func TestDrainingEndpointTakesNothing(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	actions := h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a"}}},
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second})
	if hasAction(actions, Send) {
		t.Errorf("sent to a draining endpoint: %+v", actions)
	}
}

func TestOverdueCallsSaturateAnEndpoint(t *testing.T) {
	settings := testSettings()
	settings.MaxInFlightCalls = 8
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1})
	h.accept(1, 0)
	h.accept(2, 0)
	h.now += 5 * time.Second
	if actions := h.accept(3, 0); hasAction(actions, Send) {
		t.Errorf("a third call to a silent endpoint: %+v", actions)
	}
}
