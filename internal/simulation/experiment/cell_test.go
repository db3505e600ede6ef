package experiment

import (
	"slices"
	"testing"
)

// TestCellsOrder checks that Cells sorts numbers and durations by value, other levels as text, and results by seed.
func TestCellsOrder(t *testing.T) {
	var results []Result
	for _, seed := range []uint64{2, 1 << 63, 1} {
		for _, value := range []string{"100ms", "2s", "b", "10", "9", "a", "1m"} {
			results = append(results, Result{Cell: []Level{{"x", value}}, Seed: seed})
		}
	}
	cells := Cells(results)
	var values []string
	for _, cell := range cells {
		values = append(values, cell.Levels[0].Value)
		var seeds []uint64
		for _, result := range cell.Results {
			seeds = append(seeds, result.Seed)
		}
		if want := []uint64{1, 2, 1 << 63}; !slices.Equal(seeds, want) {
			t.Errorf("%s: seeds %v, want %v", cell.Name(), seeds, want)
		}
	}
	if want := []string{"100ms", "2s", "9", "10", "1m", "a", "b"}; !slices.Equal(values, want) {
		t.Errorf("cells %v, want %v", values, want)
	}
}
