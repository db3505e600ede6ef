package checker

import (
	"fmt"
	"slices"
	"time"
)

// maxViolations is how many violations of each rule, and how many run errors, a result keeps.
// RuleResult.ViolationCount includes the violations that are not kept.
const maxViolations = 20

// Rule is the name of a rule, as reports and stored results have it.
type Rule string

// The six rules of the protocol.
const (
	NoMessageLost         Rule = "no message is lost"
	NoDuplicateEffect     Rule = "no effect happens twice"
	DrainRespected        Rule = "drains are kept"
	RecoveryNotOverloaded Rule = "a returning destination is not pushed over"
	OrderKept             Rule = "order is kept where asked"
	RetryAfterRespected   Rule = "waits are heeded"
)

// State is the outcome of checking a rule or a run, as reports and stored results have it.
type State string

// States of a rule. The state of a run is never NotExercised.
const (
	Held         State = "held"
	Violated     State = "BROKEN"
	NotExercised State = "not exercised" // the run gave no occasion to violate the rule
	Inconclusive State = "not judged"    // no violation was found, but the record is incomplete or the load was late
)

// Violation is one violation of a rule, or one run error.
type Violation struct {
	At       time.Duration `json:"at"`
	Text     string        `json:"text"`
	Evidence []int         `json:"events"` // indexes of the events that show the violation
}

// RuleResult is the result of checking a run against one rule.
type RuleResult struct {
	Rule           Rule        `json:"rule"`
	State          State       `json:"state"`
	Exercised      int         `json:"exercised"` // occasions on which the rule could have been violated
	ViolationCount int         `json:"count"`
	Violations     []Violation `json:"breaks,omitempty"` // the first maxViolations of them
}

// addViolation counts a violation, and keeps it unless the result has maxViolations already. It sorts the evidence
// and removes duplicates.
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

// conclude sets the state after the check. conclusive is false if a run without violations does not show that the
// rule was held.
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

// Result is the result of checking a run.
type Result struct {
	Rules []RuleResult `json:"findings"`
	// RunErrors are errors that no rule covers, such as a call with an unknown message. Any run error makes the run
	// Violated.
	RunErrors []Violation `json:"faults,omitempty"`
	// InconclusiveReasons say why a run without violations does not show that the rules were held.
	InconclusiveReasons []string        `json:"doubts,omitempty"`
	PeerViews           *PeerViewResult `json:"beliefs,omitempty"` // nil if no relay was queried about its peers
	Service             Service         `json:"service"`
	ClockSteps          int             `json:"clock_steps,omitempty"` // of the wall clock; no result depends on it
}

// State returns Violated if a rule or a peer view was violated or the run has errors, Inconclusive if the run is
// inconclusive, and otherwise Held.
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
