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

// TestCompare compares two settings on equal seeds: it finds the one that matters, and none between equal ones.
func TestCompare(t *testing.T) {
	const factor = "settings.slots"
	results := playAll(t, parsePlan(t, slotsPlan))
	few, many := WithLevel(results, factor, "2"), WithLevel(results, factor, "40")
	if len(few) != 6 || len(many) != 6 {
		t.Fatalf("%d and %d", len(few), len(many))
	}
	compareService := func(a, b []Result) Difference {
		for _, d := range Compare(a, b, KeyWithoutFactor(factor), Confidence) {
			if d.Measure == MeasureService {
				return d
			}
		}
		t.Fatal("no service")
		return Difference{}
	}
	if d := compareService(few, many); !d.Significant() || d.Mean < 0.05 || d.Increased != 6 || d.Pairs != 6 {
		t.Errorf("%v", d)
	}
	if d := compareService(many, many); d.Significant() || !strings.Contains(d.String(), "no difference seen") {
		t.Errorf("%v", d)
	}
}

// playAll plays an experiment and reads its results back.
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

// TestInterval compares with the table of Student's t: that of four values is 3.182 standard errors.
func TestInterval(t *testing.T) {
	mean, low, high := Interval([]float64{1, 2, 3, 4}, 0.95)
	if want := 2 * 3.182446 * 1.2909944 / 2; mean != 2.5 || math.Abs(high-low-want) > 1e-5 {
		t.Errorf("%v, %v to %v", mean, low, high)
	}
}
