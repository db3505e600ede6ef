package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Confidence is the confidence level of the intervals on pages and in tables.
const Confidence = 0.95

// Difference is the difference of a measure between two sets of results, A and B. It is computed over pairs of results,
// one from each set, that have the same key.
type Difference struct {
	Measure    string
	Pairs      int
	A, B       float64 // means of the measure
	Mean       float64 // mean of B - A
	Low, High  float64 // confidence interval of Mean
	Confidence float64 // confidence level of the interval
	// Increased and Decreased count the pairs in which the measure of B is above and below that of A.
	Increased, Decreased int
}

// Significant reports whether the confidence interval excludes 0.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// String describes the difference in one line.
func (d Difference) String() string {
	verdict := "no difference seen"
	if d.Significant() {
		verdict = fmt.Sprintf("%+.4f", d.Mean)
	}
	means := fmt.Sprintf("%.4f  %.4f  %+.4f  [%+.4f, %+.4f]", d.A, d.B, d.Mean, d.Low, d.High)
	return fmt.Sprintf("%-13s %s of %d pairs, up in %d, down in %d: %s",
		d.Measure, means, d.Pairs, d.Increased, d.Decreased, verdict)
}

// Interval returns the mean of a sample and the confidence interval of the population's mean, by Student's t. The
// interval of fewer than two values is unbounded.
func Interval(values []float64, confidence float64) (mean, low, high float64) {
	if len(values) == 0 {
		return math.NaN(), math.Inf(-1), math.Inf(1)
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile((1 + confidence) / 2)
	half := t * deviation / math.Sqrt(float64(len(values)))
	return mean, mean - half, mean + half
}

// pair is two results with the same key.
type pair struct{ a, b Result }

// Compare pairs the results of a and b by a key, and returns the differences of the measures that both have.
func Compare(a, b []Result, key func(Result) string, confidence float64) (differences []Difference) {
	pairs := pairUp(a, b, key)
	for _, measure := range Measures {
		if d := compareMeasure(pairs, measure.Name, confidence); d.Pairs > 0 {
			differences = append(differences, d)
		}
	}
	return differences
}

func pairUp(a, b []Result, key func(Result) string) (pairs []pair) {
	byKey := map[string]Result{}
	for _, result := range a {
		if result.Error == "" {
			byKey[key(result)] = result
		}
	}
	for _, result := range b {
		if other, ok := byKey[key(result)]; ok && result.Error == "" {
			pairs = append(pairs, pair{a: other, b: result})
		}
	}
	return pairs
}

func compareMeasure(pairs []pair, measure string, confidence float64) Difference {
	d := Difference{Measure: measure, Confidence: confidence}
	var changes []float64
	for _, p := range pairs {
		a, okA := p.a.Measures[measure]
		b, okB := p.b.Measures[measure]
		if !okA || !okB {
			continue
		}
		d.A += a
		d.B += b
		changes = append(changes, b-a)
		switch {
		case b > a:
			d.Increased++
		case b < a:
			d.Decreased++
		}
	}
	d.Pairs = len(changes)
	if d.Pairs == 0 {
		return d
	}
	d.A /= float64(d.Pairs)
	d.B /= float64(d.Pairs)
	d.Mean, d.Low, d.High = Interval(changes, confidence)
	return d
}

// WithLevel returns the results of the cells in which the factor with the given path has the given value.
func WithLevel(results []Result, path, value string) (selected []Result) {
	for _, result := range results {
		if slices.Contains(result.Cell, Level{Path: path, Value: value}) {
			selected = append(selected, result)
		}
	}
	return selected
}

// KeyWithoutFactor returns a key function that ignores one factor. With this key, Compare pairs results that differ in
// that factor only.
func KeyWithoutFactor(path string) func(Result) string {
	return func(r Result) string {
		isFactor := func(level Level) bool { return level.Path == path }
		return runKey(slices.DeleteFunc(slices.Clone(r.Cell), isFactor), r.Seed)
	}
}
