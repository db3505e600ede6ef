package experiment

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

const slotsPlan = `
name = "x"
scenario = "dinner-rush"
seeds = 6
[[factor]]
path = "settings.slots"
values = [2, 40]
[[factor]]
path = "module.senders"
values = [2]
`

// TestCompare checks that Compare finds a difference between few and many call slots over equal seeds, and finds none
// between a set of results and itself.
func TestCompare(t *testing.T) {
	const factor = "settings.slots"
	results := playAll(t, parsePlan(t, slotsPlan))
	few, many := WithLevel(results, factor, "2"), WithLevel(results, factor, "40")
	if len(few) != 6 || len(many) != 6 {
		t.Fatalf("%d results with 2 slots and %d with 40, want 6 each", len(few), len(many))
	}
	compareService := func(a, b []Result) Difference {
		for _, d := range Compare(a, b, KeyWithoutFactor(factor), Confidence) {
			if d.Measure == MeasureService {
				return d
			}
		}
		t.Fatal("Compare returned no difference for the service")
		return Difference{}
	}
	if d := compareService(few, many); !d.Significant() || d.Mean < 0.05 || d.Increased != 6 || d.Pairs != 6 {
		t.Errorf("2 and 40 slots: %v, want an increase of at least 0.05 in 6 of 6 pairs", d)
	}
	if d := compareService(many, many); d.Significant() || !strings.Contains(d.String(), "no difference seen") {
		t.Errorf("equal results: %v, want no difference", d)
	}
}

// playAll plays all runs of an experiment, and returns the results as read from the file that PlayAll wrote.
func playAll(t *testing.T, p Plan) []Result {
	t.Helper()
	var out bytes.Buffer
	if _, err := p.PlayAll(t.Context(), &out, PlayOptions{Revision: "r"}); err != nil {
		t.Fatal(err)
	}
	results, err := ReadResults(&out)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// TestInterval compares an interval with the table of Student's t: the 95 % interval of four values extends 3.182
// standard errors to each side of the mean.
func TestInterval(t *testing.T) {
	mean, low, high := Interval([]float64{1, 2, 3, 4}, 0.95)
	if want := 2 * 3.182446 * 1.2909944 / 2; mean != 2.5 || math.Abs(high-low-want) > 1e-5 {
		t.Errorf("mean %v, interval %v to %v; want 2.5 and a width of %v", mean, low, high, want)
	}
}
