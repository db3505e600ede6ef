package capacity

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestFitLine(t *testing.T) {
	line := []Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}
	decreasing := []Point{{Size: 1, Value: 8}, {Size: 2, Value: 8}, {Size: 4, Value: 7}}
	for _, c := range []struct {
		name             string
		points           []Point
		intercept, slope float64
	}{
		{"a line", line, 3, 2},
		{"decreasing costs are constant", decreasing, (8.0/64 + 8.0/64 + 7.0/49) / (1.0/64 + 1.0/64 + 1.0/49), 0},
		{"failed sizes are ignored", append(line, Point{Size: 8, Failed: true}), 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, err := Fit(newSeries("x", Seconds, c.points...))
			if err != nil {
				t.Fatal(err)
			}
			if !closeTo(m.Slope, c.slope) && math.Abs(m.Slope-c.slope) > 1e-9 ||
				math.Abs(m.Intercept-c.intercept) > 1e-6 {
				t.Errorf("the line is %g + %g n, want %g + %g n", m.Intercept, m.Slope, c.intercept, c.slope)
			}
			if m.Nonlinear() {
				t.Errorf("the model is nonlinear: residual %g", m.Residual)
			}
		})
	}
}

func TestFitSquare(t *testing.T) {
	m, err := Fit(newSeries("x", Seconds,
		Point{Size: 1, Value: 1}, Point{Size: 10, Value: 100}, Point{Size: 100, Value: 10_000}))
	if err != nil {
		t.Fatal(err)
	}
	if !m.Nonlinear() {
		t.Errorf("the model is linear: residual %g", m.Residual)
	}
}

func TestFitTooFewSizes(t *testing.T) {
	s := newSeries("x", Seconds,
		Point{Size: 1, Value: 1}, Point{Size: 2, Value: 2}, Point{Size: 3, Failed: true})
	if _, err := Fit(s); err == nil {
		t.Error("a model was fitted to two sizes")
	}
}

// The residual is the largest deviation of a point from the line, as a fraction of the point's value. It decides
// whether a model is nonlinear.
func TestResidual(t *testing.T) {
	for _, c := range []struct {
		deviation float64
		nonlinear bool
	}{{0.1, false}, {0.5, true}} {
		outlier := 200 * (1 + c.deviation)
		m, err := Fit(newSeries("x", Bytes,
			Point{Size: 1, Value: 100},
			Point{Size: 2, Value: outlier},
			Point{Size: 3, Value: 300},
			Point{Size: 4, Value: 400},
		))
		if err != nil {
			t.Fatal(err)
		}
		if want := math.Abs(m.linear(2)-outlier) / outlier; !closeTo(m.Residual, want) ||
			m.Nonlinear() != c.nonlinear {
			t.Errorf("deviation %g: residual %g, want %g; nonlinear: %v", c.deviation, m.Residual, want, m.Nonlinear())
		}
	}
}

// A nonlinear model interpolates between its points. It is not extrapolated beyond ten times its largest size unless
// the series has an ExtrapolationReason.
func TestNonlinearModel(t *testing.T) {
	s := newSeries("x", Seconds,
		Point{Size: 1, Value: 1}, Point{Size: 10, Value: 100}, Point{Size: 100, Value: 10_000})
	m, err := Fit(s)
	if err != nil || !m.Nonlinear() {
		t.Fatal(m, err)
	}
	if cost, err := m.Cost(55); err != nil || !closeTo(cost, 5050) {
		t.Errorf("cost at 55, between two points: %g, %v; want 5050", cost, err)
	}
	if size, err := m.SizeAt(5050); err != nil || !closeTo(size, 55) {
		t.Errorf("cost 5050 is reached at %g, %v; want 55", size, err)
	}
	if cost, err := m.Cost(1000); err != nil || !closeTo(cost, 1e6) { // the power law size^2, far above the line
		t.Errorf("cost at ten times the largest size: %g, %v; want 1e6", cost, err)
	}
	if size, err := m.SizeAt(1e6); err != nil || !closeTo(size, 1000) {
		t.Errorf("cost 1e6 is reached at %g, %v; want 1000", size, err)
	}
	if cost, err := m.Cost(1001); err == nil {
		t.Errorf("cost at 1001: %g, want an error", cost)
	}
	if size, err := m.SizeAt(1e9); err == nil {
		t.Errorf("cost 1e9 is reached at %g, want an error", size)
	}
	s.ExtrapolationReason = "a test"
	if m, _ = Fit(s); m.ExtrapolationReason == "" {
		t.Fatal("the model lacks the ExtrapolationReason of the series")
	}
	if _, err := m.Cost(1e6); err != nil {
		t.Errorf("cost at 1e6 with an ExtrapolationReason: %v", err)
	}
}

func TestSizeAtInvertsCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intercept := rapid.Float64Range(0, 1e6).Draw(t, "intercept")
		slope := rapid.Float64Range(1e-3, 1e6).Draw(t, "slope")
		m, err := Fit(linearSeries("x", Bytes, intercept, slope, 10, 100, 1000))
		if err != nil {
			t.Fatal(err)
		}
		size := rapid.Float64Range(1, 1e9).Draw(t, "size")
		want := intercept + slope*size
		cost, err := m.Cost(size)
		if err != nil || math.Abs(cost-want) > 1e-3*want {
			t.Fatalf("cost %g at size %g, want %g: %v", cost, size, want, err)
		}
		again, err := m.SizeAt(cost)
		if err != nil || math.Abs(again-size) > 1e-3*size+1e-6*intercept/slope {
			t.Fatalf("SizeAt(Cost(size)) is %g for size %g: %v", again, size, err)
		}
	})
}
