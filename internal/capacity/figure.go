package capacity

import (
	"fmt"
	"math"
)

// Verdict states whether a figure is within its budget, or why that is not known.
type Verdict int

// The verdicts.
const (
	WithinBudget Verdict = iota // or the figure has no budget
	BudgetExceeded
	NotMeasured
	NoMechanism
)

// String returns the verdict as the capacity page prints it.
func (v Verdict) String() string {
	return [...]string{"within budget", "over budget", "not measured", "not implemented"}[v]
}

// Figure is a quantity that the target requires of one part of the fleet, with its budget.
type Figure struct {
	Name        string
	Value       float64 // NaN: unknown
	Unit        Unit
	Derivation  string // the arithmetic and the measurements behind the value
	Budget      float64
	BudgetName  string // empty: the figure has no budget
	Mechanism   string // the packages that implement it; empty: none do
	Consequence string // what happens beyond the budget; empty: the relay is only slower
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

// VerdictText returns the verdict as text. For an exceeded budget it adds the factor and the consequence.
func (f Figure) VerdictText() string {
	verdict := f.Verdict()
	if verdict != BudgetExceeded {
		return verdict.String()
	}
	text := fmt.Sprintf("**over budget by a factor of %.3g**", f.Value/f.Budget)
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
