package experiment

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is what a measure of b is more than of a, over pairs that differ in nothing else.
type Difference struct {
	Measure    string
	Pairs      int
	A, B       float64 // means
	Mean       float64 // of B less A
	Low, High  float64 // within which it is, with Confidence
	Confidence float64
	Increased, Decreased   int // pairs in which it rose and fell
}

// Significant tells whether there is a difference: the interval does not hold 0.
func (d Difference) Significant() bool { return d.Low > 0 || d.High < 0 }

// String says it in a line.
func (d Difference) String() string {
	verdict := "no difference seen"
	if d.Significant() {
		verdict = fmt.Sprintf("%+.4f", d.Mean)
	}
	return fmt.Sprintf(
		"%-13s %.4f  %.4f  %+.4f  [%+.4f, %+.4f] of %d pairs, up in %d, down in %d: %s",
		d.Measure,
		d.A,
		d.B,
		d.Mean,
		d.Low,
		d.High,
		d.Pairs,
		d.Increased,
		d.Decreased,
		verdict,
	)
}

// Confidence is that of the intervals, unless another is asked for.
const Confidence = 0.95

// Interval is the mean of values and the interval in which the mean of all such is, with a confidence, by Student's t.
// Of fewer than two the interval is unbounded.
func Interval(values []float64, confidence float64) (mean, low, high float64) {
	if len(values) == 0 {
		return math.NaN(), math.Inf(-1), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile((1 + confidence) / 2)
	half := t * dev / math.Sqrt(float64(len(values)))
	return mean, mean - half, mean + half
}

// Compare pairs the results of a and b by a key, and tells the differences of the measures that both have.
func Compare(a, b []Result, key func(Result) string, confidence float64) (all []Difference) {
	of := map[string]Result{}
	for _, r := range a {
		if r.Error == "" {
			of[key(r)] = r
		}
	}
	var pairs [][2]Result
	for _, r := range b {
		if x, ok := of[key(r)]; ok && r.Error == "" {
			pairs = append(pairs, [2]Result{x, r})
		}
	}
	for _, name := range MeasureNames {
		d := Difference{Measure: name[0], Confidence: confidence}
		var diffs []float64
		for _, p := range pairs {
			va, oka := p[0].Measures[name[0]]
			vb, okb := p[1].Measures[name[0]]
			if !oka || !okb {
				continue
			}
			d.A, d.B = d.A+va, d.B+vb
			diffs = append(diffs, vb-va)
			switch {
			case vb > va:
				d.Increased++
			case vb < va:
				d.Decreased++
			}
		}
		if d.Pairs = len(diffs); d.Pairs == 0 {
			continue
		}
		d.A, d.B = d.A/float64(d.Pairs), d.B/float64(d.Pairs)
		d.Mean, d.Low, d.High = Interval(diffs, confidence)
		all = append(all, d)
	}
	return all
}

// WithLevel are the results with a factor at a value, and a key that leaves that factor out: those of two values can be
// paired.
func WithLevel(all []Result, path, value string) (some []Result) {
	for _, r := range all {
		if slices.Contains(r.Cell, Level{path, value}) {
			some = append(some, r)
		}
	}
	return some
}

// KeyWithoutFactor names a run by all but one factor.
func KeyWithoutFactor(path string) func(Result) string {
	return func(r Result) string {
		var parts []string
		for _, v := range r.Cell {
			if v.Path != path {
				parts = append(parts, v.Path+"="+v.Value)
			}
		}
		return fmt.Sprint(strings.Join(parts, " "), " seed=", r.Seed)
	}
}

// Cell is the results of one cell, over its seeds.
type Cell struct {
	Cell    []Level
	Results []Result
}

// Name names the cell.
func (c Cell) Name() string { return formatLevels(c.Cell) }

// Values are those of a measure.
func (c Cell) Values(measure string) (all []float64) {
	for _, r := range c.Results {
		if v, ok := r.Measures[measure]; ok && r.Error == "" {
			all = append(all, v)
		}
	}
	slices.Sort(all)
	return all
}

// Cells groups results by their cells, in the order in which these come up in the plan's or else in the file.
func Cells(all []Result) (cells []Cell) {
	at := map[string]int{}
	for _, r := range all {
		name := formatLevels(r.Cell)
		i, ok := at[name]
		if !ok {
			i = len(cells)
			at[name] = i
			cells = append(cells, Cell{Cell: r.Cell})
		}
		cells[i].Results = append(cells[i].Results, r)
	}
	for i := range cells {
		slices.SortFunc(cells[i].Results, func(a, b Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	}
	slices.SortStableFunc(cells, func(a, b Cell) int { return compareCells(a.Cell, b.Cell) })
	return cells
}

// compareCells orders by the factors' values, numbers as numbers.
func compareCells(a, b []Level) int {
	for i := range min(len(a), len(b)) {
		if a[i].Value == b[i].Value {
			continue
		}
		x, errA := parseNumber(a[i].Value)
		y, errB := parseNumber(b[i].Value)
		if errA == nil && errB == nil && x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a[i].Value, b[i].Value)
	}
	return len(a) - len(b)
}

func parseNumber(s string) (float64, error) {
	if d, err := time.ParseDuration(s); err == nil {
		return d.Seconds(), nil
	}
	return strconv.ParseFloat(s, 64)
}
