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
	// maxLinearResidual is the largest residual with which a model counts as linear.
	maxLinearResidual = 0.15
	// maxExtrapolation limits the extrapolation of nonlinear models, as a multiple of the largest measured size.
	maxExtrapolation = 10
	// minSizes is the minimum number of sizes that a model is fitted to.
	minSizes = 3
)

var (
	errTooFewSizes = errors.New("fewer than three sizes were measured")
	errNonlinear   = errors.New("has a nonlinear model")
)

// Model describes how the cost of a series grows with the size: by a line and, if the line fits badly, by a power law.
type Model struct {
	Intercept, Slope float64
	Residual         float64 // the largest deviation of a point from the line, as a fraction of the point
	MinSize, MaxSize float64 // of Points
	Points           []Point // measurements that did not fail
	// ExtrapolationReason is copied from the series.
	ExtrapolationReason string
	// Coefficient and Exponent define the power law Coefficient * size^Exponent, fitted to the last minSizes points.
	// Both are 0 if there is no power law.
	Coefficient, Exponent float64
}

// Fit fits a model to the points of a series that did not fail. It minimizes the relative deviations, so that small
// sizes count as much as large ones. A cost that decreases with the size is modeled as constant, at its weighted mean.
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

// fitPowerLaw fits a line to the logarithms of sizes and values. If one of them is not positive, there is no power law.
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

// Nonlinear reports whether a point deviates from the line by more than maxLinearResidual.
func (m Model) Nonlinear() bool { return m.Residual > maxLinearResidual }

func (m Model) linear(size float64) float64 { return m.Intercept + m.Slope*size }

// pessimistic returns the larger of the costs that the line and the power law give.
func (m Model) pessimistic(size float64) float64 {
	return max(m.linear(size), m.Coefficient*math.Pow(size, m.Exponent))
}

// isTooFar reports whether a nonlinear model must not be extrapolated to a size.
func (m Model) isTooFar(size float64) bool {
	return size > maxExtrapolation*m.MaxSize && m.ExtrapolationReason == ""
}

func (m Model) extrapolationError(size float64) error {
	return fmt.Errorf("%w with a residual of %.0f %% and is not extrapolated from %s to %s",
		errNonlinear, 100*m.Residual, Format(m.MaxSize, Count), Format(size, Count))
}

// Cost returns the cost at a size. A linear model follows the line. A nonlinear one interpolates between its points,
// follows the line below them, and takes the larger of line and power law above them. A size of more than
// maxExtrapolation times the largest is an error unless the series has an ExtrapolationReason.
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
		return 0, fmt.Errorf("capacity: interpolate between the points: %w", err)
	}
	return between.Predict(size), nil
}

// SizeAt returns the size at which the cost reaches a value: +Inf if no size does, 0 if every size does. It is an error
// if the model must not be extrapolated to that size.
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

// measuredSizeAt interpolates between two points and returns the smallest size whose cost reaches a value. It returns
// false if the cost of the first point already reaches the value, or if no point does.
func (m Model) measuredSizeAt(cost float64) (float64, bool) {
	i := slices.IndexFunc(m.Points, func(p Point) bool { return p.Value >= cost })
	if i <= 0 {
		return 0, false
	}
	before, after := m.Points[i-1], m.Points[i]
	return before.Size + (after.Size-before.Size)*(cost-before.Value)/(after.Value-before.Value), true
}
