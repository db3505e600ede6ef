package policy

import (
	"math"
	"testing"
	"time"
)

// A relay estimates an unknown capacity of a destination from its own deliveries. The recovery budget of a suspect
// endpoint is then based on this estimate, and not on the minimum of one call a second. The estimate is never below
// that minimum, and a known limit takes precedence over it.
func TestUnknownCapacityFollowsOwnDeliveries(t *testing.T) {
	for _, test := range []struct {
		name       string
		weights    bool
		deliveries int // one every 100 ms
		least      float64
		most       float64
	}{
		{"nothing delivered", false, 0, 1, 1},
		{"some delivered", false, 40, 300 * 1.5, 300 * 5},
		{"known", true, 40, 50, 50},
	} {
		settings := restartSettings()
		settings.DestinationKinds = []DestinationKind{{MaxBatch: 1}}
		settings.FleetSize = 300
		settings.IgnoreWeights = !test.weights
		engine, err := New(settings, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		list := []Endpoint{{ID: "only", Destination: 5, Weight: 50, InService: true}}
		engine.Step(now, []Event{{Kind: EndpointSnapshot, Endpoints: list}})
		for range test.deliveries {
			now += 100 * time.Millisecond
			engine.Step(now, []Event{{Kind: HealthChecked, Endpoint: "only", Outcome: OK}})
		}
		ep := engine.endpoints["only"]
		if capacity := engine.scopeCapacity(ep.scope); capacity < test.least || capacity > test.most {
			t.Errorf("%s: capacity %.1f calls a second, want %.1f to %.1f", test.name, capacity, test.least, test.most)
		}
		failed := Event{Kind: HealthChecked, Endpoint: "only", Outcome: Error}
		engine.Step(now, []Event{failed, failed})
		all := engine.recoveryRate(ep) * float64(settings.FleetSize)
		tooFew := test.deliveries > 0 && all < 2
		if !ep.warmingUp || tooFew || all > engine.scopeCapacity(ep.scope) {
			t.Errorf("%s: suspect %v, want true; all relays together may make %.2f calls a second, want at most %.2f "+
				"and, after deliveries, at least 2", test.name, ep.warmingUp, all, engine.scopeCapacity(ep.scope))
		}
	}
}

func TestDecayWindow(t *testing.T) {
	window := decayWindow(10 * time.Second)
	for _, test := range []struct {
		since time.Duration
		want  float64
	}{{0, 1}, {10 * time.Second, 1 / math.E}, {20 * time.Second, 1 / (math.E * math.E)}} {
		if got := window.remaining(test.since); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("%v of a count is left after %v, want %v", got, test.since, test.want)
		}
	}
	if got := window.seconds(); got != 10 {
		t.Errorf("a window of ten seconds has %v seconds, want 10", got)
	}
}
