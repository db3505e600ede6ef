package capacity

import (
	"errors"
	"fmt"
	"math"
)

// Verdict says whether the fleet of the target can bear a figure.
type Verdict int

// The verdicts.
const (
	Carried Verdict = iota
	Over
	NotMeasured
	NoMechanism
)

// String is the verdict in the page's words.
func (v Verdict) String() string {
	return [...]string{"carried", "over", "not measured", "no mechanism yet"}[v]
}

// Figure is what the target asks of one part.
type Figure struct {
	What      string
	Value     float64 // NaN: not known
	Unit      Unit
	How       string // the arithmetic, with its measured numbers
	Budget    float64
	Allowed   string // whose budget it is; "": none was told
	Mechanism string // that carries it, by its package; "": there is none
	Stops     string // what ends there altogether; "": nothing does
}

// Verdict is that of a figure.
func (f Figure) Verdict() Verdict {
	switch {
	case f.Mechanism == "":
		return NoMechanism
	case math.IsNaN(f.Value):
		return NotMeasured
	case f.Allowed != "" && f.Value > f.Budget:
		return Over
	}
	return Carried
}

// Says is the verdict in words, with by how much a figure is over.
func (f Figure) Says() string {
	v := f.Verdict()
	if v != Over {
		return v.String()
	}
	s := fmt.Sprintf("**over, %.3g times**", f.Value/f.Budget)
	if f.Stops != "" {
		s += ": " + f.Stops
	}
	return s
}

// Role is one part of the fleet with its figures.
type Role struct {
	Name    string
	Figures []Figure
}

// book works out figures from the readings of one run.
type book struct {
	Target
	run Run
}

func (b book) line(name string) (Series, Line, error) {
	s, ok := b.run.series(name)
	if !ok {
		return s, Line{}, errors.New("not measured")
	}
	l, err := Fit(s)
	return s, l, err
}

// at is a measured cost at size n, with how it was had. What cannot be had is NaN, with why.
func (b book) at(name string, n float64) (float64, string) {
	s, l, err := b.line(name)
	if err != nil {
		return math.NaN(), fmt.Sprintf("`%s`: %v", name, err)
	}
	v, err := l.At(n)
	if err != nil {
		return math.NaN(), fmt.Sprintf("`%s` %v", name, err)
	}
	how := fmt.Sprintf("`%s` at %s %s", name, Format(n, Count), s.Axis)
	if n > l.Most {
		how += fmt.Sprintf(", %s times beyond the largest measured", short(n/l.Most))
	}
	if l.Bends() {
		how += fmt.Sprintf(" (bends by %.0f %%)", 100*l.Residual)
		if n > drawnOut*l.Most {
			how += ": " + l.Why
		}
	}
	return v, how
}

// reaches is the size at which a measured cost comes to y.
func (b book) reaches(name string, y float64) (float64, string) {
	_, l, err := b.line(name)
	if err != nil {
		return math.NaN(), fmt.Sprintf("`%s`: %v", name, err)
	}
	n, err := l.Reaches(y)
	if err != nil {
		return math.NaN(), fmt.Sprintf("`%s` %v", name, err)
	}
	how := "`" + name + "`"
	if n < l.Least {
		how += fmt.Sprintf(": over at the smallest size measured, %s", exact(l.Least))
	}
	if n > l.Most && !math.IsInf(n, 1) {
		how += fmt.Sprintf(", %s times beyond the largest measured", short(n/l.Most))
	}
	return n, how
}
