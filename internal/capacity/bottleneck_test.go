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
		"a relay that asks discovery never becomes ready":       100,
		"the list takes 2 MB":                                   500,
		"the list at rest takes 5 % of a core":                  2500,
		"a start takes 10 s":                                    9900,
		"8,640 changes a day take 5 % of a core":                499_900,
		"no further limit is lent":                              50,
		"the module alone takes a core":                         999_000,
		"a relay with a longer table of members does not start": 50,
		"what a member sends takes 1 KB/s":                      1000.0 / 140,
		"a relay takes a core, connections used again":          48_000,
		"a relay takes a core, a connection for each call":      32_000,
		"a restart takes 10 s":                                  990_000,
		"the module takes a core":                               999e6,
		"they take 5 % of a core":                               0.05 * 86_400 / 1.1e-3,
		"they take 1 KB/s":                                      576_000,
	} {
		if got := limits[description]; !closeTo(got, want) {
			t.Errorf("%s: limit %g, want %g", description, got, want)
		}
	}
	for i, want := range []string{
		"destinations: a relay that asks discovery never becomes ready",
		"relays: a relay with a longer table of members does not start",
		"destinations: no further limit is lent",
		"relays: what a member sends takes 1 KB/s",
		"destinations: the list takes 2 MB",
		"backlog: a restart takes 10 s",
	} {
		if order[i] != want {
			t.Errorf("bottleneck %d: %s, want %s", i, order[i], want)
		}
	}
	const want = "a relay that asks discovery never becomes ready"
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
			if b.Description == "a start takes 10 s" && !closeTo(b.Limit, want) {
				t.Errorf("largest size %g: limit %g, want %g (%s)", maxSize, b.Limit, want, b.Derivation)
			}
		}
	}
}
