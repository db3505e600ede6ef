package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/interp"
	"gonum.org/v1/gonum/stat"
)

const (
	// bent is the residual over which a line is said to bend.
	bent = 0.15
	// drawnOut is how many times its largest size a line that bends is drawn out at most.
	drawnOut = 10
	leastFit = 3 // sizes
)

var (
	errFew  = errors.New("fewer than three sizes were measured")
	errBent = errors.New("bends")
)

func exp(x float64) float64 { return math.Exp(x) }

// Line is what was measured as a line over sizes.
type Line struct {
	Base, Slope float64
	Residual    float64 // the largest deviation of a reading, as a share of the reading
	Least, Most float64 // sizes measured
	Points      []Point // that ended
	Why         string
	// Power is the power of its size that the last three readings grow by, Scale what it is of size 1; 0: none.
	Power, Scale float64
}

// Fit draws a line through the readings of a series. Each counts by its share, so that the small sizes say as much as
// the large ones. A cost that falls with size is taken as level, at its mean.
func Fit(s Series) (Line, error) {
	l := Line{Why: s.Why}
	var xs, ys, weights []float64
	for _, p := range s.Points {
		if p.Stopped {
			continue
		}
		l.Points = append(l.Points, p)
		w := 1.0
		if p.Value != 0 {
			w = 1 / (p.Value * p.Value)
		}
		xs, ys, weights = append(xs, p.N), append(ys, p.Value), append(weights, w)
	}
	if len(xs) < leastFit {
		return Line{}, errFew
	}
	l.Least, l.Most = slices.Min(xs), slices.Max(xs)
	l.Base, l.Slope = stat.LinearRegression(xs, ys, weights, false)
	if l.Slope < 0 {
		l.Base, l.Slope = stat.Mean(ys, weights), 0
	}
	for i := range xs {
		if ys[i] != 0 {
			l.Residual = max(l.Residual, math.Abs(l.line(xs[i])-ys[i])/math.Abs(ys[i]))
		}
	}
	l.power(xs[len(xs)-leastFit:], ys[len(ys)-leastFit:])
	return l, nil
}

// power draws a line through the logarithms of readings.
func (l *Line) power(xs, ys []float64) {
	var u, v []float64
	for i := range xs {
		if xs[i] <= 0 || ys[i] <= 0 {
			return
		}
		u, v = append(u, math.Log(xs[i])), append(v, math.Log(ys[i]))
	}
	a, b := stat.LinearRegression(u, v, nil, false)
	l.Scale, l.Power = math.Exp(a), b
}

// beyond is the cost past the largest size of a line that bends: the dearer of the line and the power.
func (l Line) beyond(n float64) float64 { return max(l.line(n), l.Scale*math.Pow(n, l.Power)) }

// Bends tells whether the readings are no line.
func (l Line) Bends() bool { return l.Residual > bent }

func (l Line) line(n float64) float64 { return l.Base + l.Slope*n }

// At is the cost at size n: by the line, or where the line bends between the readings beside n, and past them by the
// dearer of the line and the power by which the last three grow. Beyond ten times the largest size a line that bends
// gives an error, unless the series says why it may.
func (l Line) At(n float64) (float64, error) {
	switch {
	case !l.Bends():
		return l.line(n), nil
	case n >= l.Least && n <= l.Most:
		var between interp.PiecewiseLinear
		if err := between.Fit(l.axes()); err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
		return between.Predict(n), nil
	case n > drawnOut*l.Most && l.Why == "":
		return 0, fmt.Errorf(
			"%w by %.0f %% and is not drawn out from %s to %s",
			errBent,
			100*l.Residual,
			Format(l.Most, Count),
			Format(n, Count),
		)
	case n > l.Most:
		return l.beyond(n), nil
	}
	return l.line(n), nil
}

func (l Line) axes() (xs, ys []float64) {
	for _, p := range l.Points {
		xs, ys = append(xs, p.N), append(ys, p.Value)
	}
	return xs, ys
}

// Reaches is the size at which the cost comes to y: +Inf if none does, 0 if each does.
func (l Line) Reaches(y float64) (float64, error) {
	if l.Bends() {
		for i, p := range l.Points {
			if p.Value < y {
				continue
			}
			if i == 0 {
				break
			}
			was := l.Points[i-1]
			return was.N + (p.N-was.N)*(y-was.Value)/(p.Value-was.Value), nil
		}
	}
	if l.Slope <= 0 && !(l.Bends() && l.Power > 0) {
		if l.Base > y {
			return 0, nil
		}
		return math.Inf(1), nil
	}
	n := math.Inf(1)
	if l.Slope > 0 {
		n = max(0, (y-l.Base)/l.Slope)
	}
	if l.Bends() && l.Power > 0 {
		n = min(n, math.Pow(y/l.Scale, 1/l.Power))
	}
	if l.Bends() && n > drawnOut*l.Most && l.Why == "" {
		return 0, fmt.Errorf(
			"%w by %.0f %% and is not drawn out from %s to %s",
			errBent,
			100*l.Residual,
			Format(l.Most, Count),
			Format(n, Count),
		)
	}
	return n, nil
}

// stopped is the largest size that came to an end below one that did not; false if all ended, or none.
func (s Series) stopped() (last, first float64, ok bool) {
	for _, p := range s.Points {
		if p.Stopped {
			return last, p.N, true
		}
		last = p.N
	}
	return 0, 0, false
}
