package checker

import (
	"fmt"
	"slices"
	"time"
)

// maxViolations bounds how many violations of a rule a result keeps. All are counted.
const maxViolations = 20

// Rule is one of the six rules. The values stand in reports and in stored results.
type Rule string

// The six rules.
const (
	NoMessageLost         Rule = "no message is lost"
	NoDuplicateEffect     Rule = "no effect happens twice"
	DrainRespected        Rule = "drains are kept"
	RecoveryNotOverloaded Rule = "a returning destination is not pushed over"
	OrderKept             Rule = "order is kept where asked"
	RetryAfterRespected   Rule = "waits are heeded"
)

// State is what a run shows about a rule. The values stand in reports and in stored results.
type State string

// The states.
const (
	Held         State = "held"
	Violated     State = "BROKEN"
	NotExercised State = "not exercised" // the rule could not have been violated
	Inconclusive State = "not judged"    // no violation was found, but the record or the load is incomplete
)

// Violation is one violation of a rule.
type Violation struct {
	At       time.Duration `json:"at"`
	Text     string        `json:"text"`
	Evidence []int         `json:"events"` // the indexes of the events that show it
}

// RuleResult is what a run shows about one rule.
type RuleResult struct {
	Rule           Rule        `json:"rule"`
	State          State       `json:"state"`
	Exercised      int         `json:"exercised"` // occasions on which the rule could have been violated
	ViolationCount int         `json:"count"`
	Violations     []Violation `json:"breaks,omitempty"` // the first maxViolations of them
}

// addViolation counts a violation, and keeps it if the result has few. The evidence need not be sorted.
func (r *RuleResult) addViolation(at time.Duration, evidence []int, format string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) >= maxViolations {
		return
	}
	slices.Sort(evidence)
	r.Violations = append(r.Violations, Violation{
		At:       at,
		Text:     fmt.Sprintf(format, args...),
		Evidence: slices.Compact(evidence),
	})
}

// conclude sets the state once the rule is checked. conclusive is false if the absence of violations shows nothing.
func (r *RuleResult) conclude(conclusive bool) {
	switch {
	case r.ViolationCount > 0:
		r.State = Violated
	case !conclusive:
		r.State = Inconclusive
	case r.Exercised == 0:
		r.State = NotExercised
	default:
		r.State = Held
	}
}

// Result is what a run shows.
type Result struct {
	Rules []RuleResult `json:"findings"`
	// RunErrors are what must not happen in any run, whatever the rules, such as a call with an unknown message.
	RunErrors []Violation `json:"faults,omitempty"`
	// InconclusiveReasons say why the absence of violations shows nothing.
	InconclusiveReasons []string        `json:"doubts,omitempty"`
	PeerViews           *PeerViewResult `json:"beliefs,omitempty"` // nil if no relay was queried
	Service             Service         `json:"service"`
	ClockSteps          int             `json:"clock_steps,omitempty"` // of the wall clock; nothing here depends on it
}

// State sums the result up: Violated if a rule was or the run has errors, Inconclusive if it shows nothing, else Held.
func (r Result) State() State {
	switch {
	case r.violated():
		return Violated
	case !r.OK():
		return Inconclusive
	default:
		return Held
	}
}

func (r Result) violated() bool {
	return len(r.RunErrors) > 0 || r.PeerViews.violated() || r.anyRule(Violated)
}

// OK reports whether the run is conclusive, violates no rule and has no errors.
func (r Result) OK() bool {
	return !r.violated() && len(r.InconclusiveReasons) == 0 && !r.anyRule(Inconclusive)
}

func (r Result) anyRule(state State) bool {
	return slices.ContainsFunc(r.Rules, func(rule RuleResult) bool { return rule.State == state })
}

// ForRule returns the result of a rule. It panics if the rule was not checked.
func (r Result) ForRule(rule Rule) RuleResult {
	i := slices.IndexFunc(r.Rules, func(result RuleResult) bool { return result.Rule == rule })
	return r.Rules[i]
}
