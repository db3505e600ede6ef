package experiment

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// TestSmallerScenarios checks the smaller scenarios of one to which each kind of step applies, and their order. The
// step that shortens the scenario must also cut the traffic after the new end.
func TestSmallerScenarios(t *testing.T) {
	second := func(n int) scenario.Duration { return scenario.Duration(time.Duration(n) * time.Second) }
	file := scenario.File{
		Length: second(60),
		Relays: 2,
		Traffic: []scenario.Traffic{
			{Rate: minRate, To: second(60)},
			{Rate: 50, From: second(30), To: second(60)},
		},
		Faults: []scenario.Fault{{
			Kind:         scenario.FaultFailCalls,
			Start:        second(5),
			Duration:     second(4),
			Destinations: []int{1, 3},
			Relays:       []int{1, 2},
		}},
	}
	onlyFaulty := func(f scenario.File, want int) bool { return slices.Equal(f.Faults[0].Destinations, []int{want}) }
	steps := smallerScenarios(file)
	for _, c := range []struct {
		name string
		want func(scenario.File) bool
	}{
		{"fault removed", func(f scenario.File) bool { return len(f.Faults) == 0 }},
		{"first traffic removed", func(f scenario.File) bool { return len(f.Traffic) == 1 && f.Traffic[0].Rate == 50 }},
		{"second traffic removed", func(f scenario.File) bool { return len(f.Traffic) == 1 && f.Length == second(60) }},
		{"shortened", func(f scenario.File) bool {
			return f.Length == second(20) && len(f.Traffic) == 1 && f.Traffic[0].To == second(20)
		}},
		{"relay removed", func(f scenario.File) bool {
			return f.Relays == 1 && slices.Equal(f.Faults[0].Relays, []int{1})
		}},
		{"rate halved", func(f scenario.File) bool { return f.Traffic[0].Rate == minRate && f.Traffic[1].Rate == 25 }},
		{"fault halved", func(f scenario.File) bool { return f.Faults[0].Duration == second(2) }},
		{"first destination removed", func(f scenario.File) bool { return onlyFaulty(f, 3) }},
		{"second destination removed", func(f scenario.File) bool { return onlyFaulty(f, 1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if len(steps) == 0 {
				t.Fatal("smallerScenarios returned no scenario for this step")
			}
			if !c.want(steps[0]) {
				t.Errorf("unexpected smaller scenario: %+v", steps[0])
			}
			steps = steps[1:]
		})
	}
	if len(steps) > 0 {
		t.Errorf("smallerScenarios returned %d scenarios more than expected", len(steps))
	}
	if len(file.Faults[0].Destinations) != 2 || file.Traffic[1].Rate != 50 {
		t.Errorf("smallerScenarios changed its argument: %+v", file)
	}
}
