package capacity

import (
	"fmt"
	"math"
)

// Verdict says whether the target's fleet can have what a figure asks.
type Verdict int

// The verdicts.
const (
	WithinBudget Verdict = iota // or there is no budget
	BudgetExceeded
	NotMeasured
	NoMechanism
)

// String returns the verdict in the words of the page.
func (v Verdict) String() string {
	return [...]string{"carried", "over", "not measured", "no mechanism yet"}[v]
}

// Figure is what the target asks of one part of the fleet.
type Figure struct {
	Name        string
	Value       float64 // NaN: unknown
	Unit        Unit
	Derivation  string // the arithmetic and the measurements behind the value
	Budget      float64
	BudgetName  string // empty: there is no budget
	Mechanism   string // the packages that provide it; empty: there are none
	Consequence string // what happens beyond the budget, if more than a slower relay
}

// Verdict returns the verdict on the figure.
func (f Figure) Verdict() Verdict {
	switch {
	case f.Mechanism == "":
		return NoMechanism
	case math.IsNaN(f.Value):
		return NotMeasured
	case f.BudgetName != "" && f.Value > f.Budget:
		return BudgetExceeded
	}
	return WithinBudget
}

// VerdictText returns the verdict in words, with the factor by which a budget is exceeded.
func (f Figure) VerdictText() string {
	verdict := f.Verdict()
	if verdict != BudgetExceeded {
		return verdict.String()
	}
	text := fmt.Sprintf("**over, %.3g times**", f.Value/f.Budget)
	if f.Consequence != "" {
		text += ": " + f.Consequence
	}
	return text
}

// withBudget returns the figure with a budget.
func (f Figure) withBudget(budget float64, name string) Figure {
	f.Budget, f.BudgetName = budget, name
	return f
}

// Role is one part of the fleet with its figures.
type Role struct {
	Name    string
	Figures []Figure
}
