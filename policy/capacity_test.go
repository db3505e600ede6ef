package policy

import (
	"testing"
	"time"
)

// Where nothing tells what a destination takes, a sender goes by what it took from it: the budget of a route in doubt
// is then this sender's part of a destination of that size, not of one call a second; it is no less than that, and a
// told limit goes before it.
func TestUnknownCapacityFollowsOwnDeliveries(t *testing.T) {
	for _, test := range []struct {
		name       string
		weights    bool
		deliveries int // one in 100 ms
		least      float64
		most       float64
	}{
		{"nothing delivered", false, 0, 1, 1},
		{"some delivered", false, 40, 300 * 1.5, 300 * 5},
		{"told", true, 40, 50, 50},
	} {
		settings := restartSettings()
		settings.DestinationKinds, settings.FleetSize, settings.IgnoreWeights = []DestinationKind{{MaxBatch: 1}}, 300, !test.weights
		engine, err := New(settings, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		engine.Step(
			now,
			[]Event{
				{
					Kind:      EndpointSnapshot,
					Endpoints: []Endpoint{{ID: "only", Destination: 5, Weight: 50, InService: true}},
				},
			},
		)
		for range test.deliveries {
			now += 100 * time.Millisecond
			engine.Step(now, []Event{{Kind: HealthChecked, Endpoint: "only", Outcome: OK}})
		}
		ep := engine.endpoints["only"]
		if capacity := engine.scopeCapacity(ep.scope); capacity < test.least || capacity > test.most {
			t.Errorf("%s: takes %.1f calls a second, want %.1f to %.1f", test.name, capacity, test.least, test.most)
		}
		engine.Step(
			now,
			[]Event{
				{Kind: HealthChecked, Endpoint: "only", Outcome: Error},
				{Kind: HealthChecked, Endpoint: "only", Outcome: Error},
			},
		)
		if all := engine.recoveryRate(ep) * float64(settings.FleetSize); !ep.warmingUp || test.deliveries > 0 && all < 2 ||
			all > engine.scopeCapacity(ep.scope) {
			t.Errorf("%s: in doubt all senders may make %.2f calls a second", test.name, all)
		}
	}
}
