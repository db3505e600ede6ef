package capacity

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

var errNotMeasured = errors.New("not measured")

// estimate is a value that is derived from the measurements or the target.
type estimate struct {
	value      float64 // NaN: unknown
	derivation string  // the measurements behind the value, or why it is unknown
}

// derived returns an estimate with a formatted derivation.
func derived(value float64, format string, args ...any) estimate {
	return estimate{value, fmt.Sprintf(format, args...)}
}

// unknown returns an estimate without a value. The arguments format the reason.
func unknown(format string, args ...any) estimate {
	return derived(math.NaN(), format, args...)
}

// withValue returns an estimate of another value, with the derivation of e.
func (e estimate) withValue(value float64) estimate { return estimate{value, e.derivation} }

// explained returns e with a formatted text appended to its derivation.
func (e estimate) explained(format string, args ...any) estimate {
	return estimate{e.value, e.derivation + fmt.Sprintf(format, args...)}
}

// figure returns the estimate as a figure without a budget.
func (e estimate) figure(name string, unit Unit, mechanism string) Figure {
	return Figure{Name: name, Value: e.value, Unit: unit, Derivation: e.derivation, Mechanism: mechanism}
}

// estimator derives the values of a target from the measurements of one run.
type estimator struct {
	Target
	run Run
}

func (e estimator) model(name string) (Series, Model, error) {
	s, ok := e.run.series(name)
	if !ok {
		return s, Model{}, errNotMeasured
	}
	m, err := Fit(s)
	return s, m, err
}

// cost estimates the cost of a series at a size.
func (e estimator) cost(name string, size float64) estimate {
	s, m, err := e.model(name)
	if err != nil {
		return unknown("`%s`: %v", name, err)
	}
	value, err := m.Cost(size)
	if err != nil {
		return unknown("`%s` %v", name, err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "`%s` at %s %s", name, Format(size, Count), s.Axis)
	if size > m.MaxSize {
		text.WriteString(extrapolationNote(size, m))
	}
	if m.Nonlinear() {
		fmt.Fprintf(&text, " (nonlinear model, residual %.0f %%)", 100*m.Residual)
		if size > maxExtrapolation*m.MaxSize {
			text.WriteString(": " + m.ExtrapolationReason)
		}
	}
	return estimate{value, text.String()}
}

// sizeAt estimates the size at which the cost of a series reaches a value.
func (e estimator) sizeAt(name string, cost float64) estimate {
	_, m, err := e.model(name)
	if err != nil {
		return unknown("`%s`: %v", name, err)
	}
	size, err := m.SizeAt(cost)
	if err != nil {
		return unknown("`%s` %v", name, err)
	}
	text := "`" + name + "`"
	if size < m.MinSize {
		text += fmt.Sprintf(": over budget at the smallest measured size, %s", formatInteger(m.MinSize))
	}
	if size > m.MaxSize && !math.IsInf(size, 1) {
		text += extrapolationNote(size, m)
	}
	return estimate{size, text}
}

func extrapolationNote(size float64, m Model) string {
	return fmt.Sprintf(", extrapolated to %s times the largest measured size", formatSignificant(size/m.MaxSize))
}

// deltaBytes estimates the bytes on the wire of a change of one endpoint: the growth of the snapshot per destination,
// divided by the endpoints of a destination.
func (e estimator) deltaBytes() estimate {
	_, m, err := e.model(SnapshotBytes)
	if err != nil {
		return unknown("`%s`: %v", SnapshotBytes, err)
	}
	endpoint := m.Slope / e.DestinationEndpoints
	return estimate{endpoint, fmt.Sprintf("%s per endpoint from `%s`", Format(endpoint, Bytes), SnapshotBytes)}
}

// limit holds the largest size of a series that passed.
type limit struct {
	series      string
	measured    bool    // false: only the name of the series is set
	largest     float64 // the largest size that was measured
	found       bool    // whether a size failed
	passed      float64 // if found: the largest size below firstFailed, or 0
	firstFailed float64 // if found: the smallest size that failed
}

// limit returns the limit of a series, with measured false if the run does not have the series.
func (e estimator) limit(name string) limit {
	s, ok := e.run.series(name)
	if !ok {
		return limit{series: name}
	}
	l := limit{series: name, measured: true, largest: s.Points[len(s.Points)-1].Size}
	l.passed, l.firstFailed, l.found = s.largestPassed()
	return l
}

// derivation names the largest size that passed and the smallest that failed. It is valid only if found is true.
func (l limit) derivation() string {
	return fmt.Sprintf("`%s`: %s passed, %s failed", l.series, formatInteger(l.passed), formatInteger(l.firstFailed))
}
