package capacity

import (
	"fmt"
	"math"
	"testing"
)

func TestBottlenecks(t *testing.T) {
	target, run := roundExample()
	all := Bottlenecks(target, run)
	limits := map[string]float64{}
	var order []string
	for _, b := range all {
		limits[b.Description] = b.Limit
		order = append(order, fmt.Sprintf("%s: %s", b.Axis, b.Description))
	}
	for description, want := range map[string]float64{
		"a relay that loads its list from discovery never becomes ready":    100,
		"the list uses more than 2 MB":                                      500,
		"an unchanged list uses more than 5 % of a core":                    2500,
		"a start takes more than 10 s":                                      9900,
		"8,640 changes per day use more than 5 % of a core":                 499_900,
		"further limits are not shared by leases":                           50,
		"the engine alone uses more than a core":                            999_000,
		"a relay with a larger member table does not start":                 50,
		"a member sends more than 1 KB/s":                                   1000.0 / 140,
		"a relay uses more than a core with reused connections":             48_000,
		"a relay uses more than a core with a new connection for each call": 32_000,
		"a restart takes more than 10 s":                                    990_000,
		"the engine uses more than a core":                                  999e6,
		"the changes use more than 5 % of a core":                           0.05 * 86_400 / 1.1e-3,
		"the changes use more than 1 KB/s":                                  576_000,
	} {
		if got := limits[description]; !closeTo(got, want) {
			t.Errorf("%s: limit %g, want %g", description, got, want)
		}
	}
	for i, want := range []string{
		"destinations: a relay that loads its list from discovery never becomes ready",
		"relays: a relay with a larger member table does not start",
		"destinations: further limits are not shared by leases",
		"relays: a member sends more than 1 KB/s",
		"destinations: the list uses more than 2 MB",
		"backlog: a restart takes more than 10 s",
	} {
		if order[i] != want {
			t.Errorf("bottleneck %d: %s, want %s", i, order[i], want)
		}
	}
	const want = "a relay that loads its list from discovery never becomes ready"
	if first, ok := FirstBottleneck(all); !ok || first.Description != want {
		t.Errorf("first bottleneck: %+v, want %s", first, want)
	}
}

// A bottleneck that stops the relay comes before an exceeded budget, even if the budget is exceeded at a smaller
// fraction of the target. Bottlenecks with the same effect are sorted by their fraction of the target.
func TestFirstBottleneck(t *testing.T) {
	target, run := roundExample()
	exceeded := Run{Series: []Series{linearSeries(FleetByteRate, ByteRate, 0, 1e6, 10, 30, 100)}}
	if first, ok := FirstBottleneck(Bottlenecks(target, exceeded)); !ok || first.Effect != OverBudget {
		t.Errorf("first bottleneck: %+v, want effect %q", first, OverBudget)
	}
	exceeded.Series = append(exceeded.Series,
		newSeries(FleetMaxMembers, Count, Point{Size: 99, Value: 99}, Point{Size: 100, Failed: true}))
	if first, _ := FirstBottleneck(Bottlenecks(target, exceeded)); first.Effect != Stops || first.Limit != 99 {
		t.Errorf("first bottleneck: %+v, want effect %q at 99", first, Stops)
	}
	exceeded.Series = append(exceeded.Series,
		newSeries(RelayDiscoveryTime, Seconds, Point{Size: 980, Value: 1}, Point{Size: 990, Failed: true}))
	if first, _ := FirstBottleneck(Bottlenecks(target, exceeded)); first.Limit != 980 {
		t.Errorf("first bottleneck: %+v, want a limit of 980", first)
	}
	run.Series = []Series{linearSeries(RelayStartupTime, Seconds, 0, 1e-6, 10, 100, 1000)}
	if first, ok := FirstBottleneck(Bottlenecks(target, run)); ok {
		t.Errorf("first bottleneck: %+v, want none below its target", first)
	}
}

// A nonlinear model may reach its budget only at a size to which it must not be extrapolated. There is no bottleneck if
// the model may be extrapolated to the target. Otherwise the limit is unknown.
func TestBottleneckBeyondExtrapolation(t *testing.T) {
	target, _ := roundExample()
	nonlinear := func(maxSize float64) Run {
		return Run{Series: []Series{newSeries(RelayStartupTime, Seconds,
			Point{Size: maxSize / 100, Value: 1e-6},
			Point{Size: maxSize / 10, Value: 3e-6},
			Point{Size: maxSize, Value: 4e-6},
		)}}
	}
	for maxSize, want := range map[float64]float64{100: math.Inf(1), 99: math.NaN()} {
		for _, b := range Bottlenecks(target, nonlinear(maxSize)) {
			if b.Description == "a start takes more than 10 s" && !closeTo(b.Limit, want) {
				t.Errorf("largest size %g: limit %g, want %g (%s)", maxSize, b.Limit, want, b.Derivation)
			}
		}
	}
}
