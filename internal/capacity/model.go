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
	// maxLinearResidual is the residual above which a model is nonlinear.
	maxLinearResidual = 0.15
	// maxExtrapolation is how far beyond its largest size a nonlinear model is extrapolated, as a factor.
	maxExtrapolation = 10
	// minSizes is the number of sizes that a model needs.
	minSizes = 3
)

var (
	errTooFewSizes = errors.New("fewer than three sizes were measured")
	errNonlinear   = errors.New("bends")
)

// Model describes how the cost of a series grows with the size: a line, and for nonlinear series a power law beside it.
type Model struct {
	Intercept, Slope float64
	Residual         float64 // the largest deviation of a point from the line, as a fraction of the point
	MinSize, MaxSize float64 // that were measured
	Points           []Point // those that did not fail
	// ExtrapolationReason is that of the series.
	ExtrapolationReason string
	// Coefficient and Exponent are the power law through the last minSizes points. Both 0: there is none.
	Coefficient, Exponent float64
}

// Fit fits a model to a series. Points are weighted for relative deviation, so that the small sizes count as much as
// the large ones. A cost that decreases with the size is taken as constant, at its mean.
func Fit(s Series) (Model, error) {
	m := Model{ExtrapolationReason: s.ExtrapolationReason}
	var sizes, values, weights []float64
	for _, p := range s.Points {
		if p.Failed {
			continue
		}
		m.Points = append(m.Points, p)
		weight := 1.0
		if p.Value != 0 {
			weight = 1 / (p.Value * p.Value)
		}
		sizes, values, weights = append(sizes, p.Size), append(values, p.Value), append(weights, weight)
	}
	if len(sizes) < minSizes {
		return Model{}, errTooFewSizes
	}
	m.MinSize, m.MaxSize = slices.Min(sizes), slices.Max(sizes)
	m.Intercept, m.Slope = stat.LinearRegression(sizes, values, weights, false)
	if m.Slope < 0 {
		m.Intercept, m.Slope = stat.Mean(values, weights), 0
	}
	for i, value := range values {
		if value != 0 {
			m.Residual = max(m.Residual, math.Abs(m.linear(sizes[i])-value)/math.Abs(value))
		}
	}
	m.fitPowerLaw(sizes[len(sizes)-minSizes:], values[len(values)-minSizes:])
	return m, nil
}

// fitPowerLaw fits a line to the logarithms. Without positive sizes and values there is no power law.
func (m *Model) fitPowerLaw(sizes, values []float64) {
	var logSizes, logValues []float64
	for i, size := range sizes {
		if size <= 0 || values[i] <= 0 {
			return
		}
		logSizes, logValues = append(logSizes, math.Log(size)), append(logValues, math.Log(values[i]))
	}
	intercept, slope := stat.LinearRegression(logSizes, logValues, nil, false)
	m.Coefficient, m.Exponent = math.Exp(intercept), slope
}

// Nonlinear reports whether the points deviate too far from the line.
func (m Model) Nonlinear() bool { return m.Residual > maxLinearResidual }

func (m Model) linear(size float64) float64 { return m.Intercept + m.Slope*size }

// pessimistic is the larger cost of the line and the power law.
func (m Model) pessimistic(size float64) float64 {
	return max(m.linear(size), m.Coefficient*math.Pow(size, m.Exponent))
}

// isTooFar reports whether a nonlinear model must not be extrapolated to a size.
func (m Model) isTooFar(size float64) bool {
	return size > maxExtrapolation*m.MaxSize && m.ExtrapolationReason == ""
}

func (m Model) extrapolationError(size float64) error {
	return fmt.Errorf("%w by %.0f %% and is not drawn out from %s to %s",
		errNonlinear, 100*m.Residual, Format(m.MaxSize, Count), Format(size, Count))
}

// Cost returns the cost at a size. Linear models follow the line. Nonlinear ones interpolate between the points, and
// take the larger of line and power law beyond them, up to maxExtrapolation unless the series has a reason to go on.
func (m Model) Cost(size float64) (float64, error) {
	switch {
	case !m.Nonlinear():
		return m.linear(size), nil
	case size >= m.MinSize && size <= m.MaxSize:
		return m.interpolate(size)
	case m.isTooFar(size):
		return 0, m.extrapolationError(size)
	case size > m.MaxSize:
		return m.pessimistic(size), nil
	}
	return m.linear(size), nil
}

func (m Model) interpolate(size float64) (float64, error) {
	var sizes, values []float64
	for _, p := range m.Points {
		sizes, values = append(sizes, p.Size), append(values, p.Value)
	}
	var between interp.PiecewiseLinear
	if err := between.Fit(sizes, values); err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	return between.Predict(size), nil
}

// SizeAt returns the size at which the cost reaches a value: +Inf if no size does, 0 if every size does.
func (m Model) SizeAt(cost float64) (float64, error) {
	if m.Nonlinear() {
		if size, ok := m.measuredSizeAt(cost); ok {
			return size, nil
		}
	}
	growingPowerLaw := m.Nonlinear() && m.Exponent > 0
	if m.Slope <= 0 && !growingPowerLaw {
		if m.Intercept > cost {
			return 0, nil
		}
		return math.Inf(1), nil
	}
	size := math.Inf(1)
	if m.Slope > 0 {
		size = max(0, (cost-m.Intercept)/m.Slope)
	}
	if growingPowerLaw {
		size = min(size, math.Pow(cost/m.Coefficient, 1/m.Exponent))
	}
	if m.Nonlinear() && m.isTooFar(size) {
		return 0, m.extrapolationError(size)
	}
	return size, nil
}

// measuredSizeAt interpolates the first size that reaches a cost between two points. It is false if the smallest size
// has already reached it, or none has.
func (m Model) measuredSizeAt(cost float64) (float64, bool) {
	i := slices.IndexFunc(m.Points, func(p Point) bool { return p.Value >= cost })
	if i <= 0 {
		return 0, false
	}
	before, after := m.Points[i-1], m.Points[i]
	return before.Size + (after.Size-before.Size)*(cost-before.Value)/(after.Value-before.Value), true
}
