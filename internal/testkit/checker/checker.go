// Package checker checks the record of a run against the six rules of the protocol, and measures the service that
// the clients received. It does no I/O and does not depend on how the events were recorded: the same checks apply
// to a rehearsal with real processes and to an emulation in virtual time.
//
// A rule that the run gave no occasion to violate is reported as not exercised, not as held: a run without a
// Retry-After does not show that relays respect it. Each violation lists the events that show it. Time limits are
// those of the protocol, with a tolerance for the delays that sockets and schedulers add.
package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// Tolerance is added to the time limits of the protocol, for the latency of sockets and schedulers.
	Tolerance = 50 * time.Millisecond
	// FinalAnswerTimeout is the time after a message's deadline within which the message must be delivered or ended
	// by a notice.
	FinalAnswerTimeout = 300 * time.Millisecond
	// MinInformedRatio is the part of an overload, from 0 to 1, that relays that had observed the outage must have
	// sent for the overload to be a violation.
	MinInformedRatio = 2.0 / 3

	// restartGrace is the time after a restarted relay is ready during which no final answer is overdue.
	restartGrace = 1500 * time.Millisecond
	// maxLoadLag is the greatest 99th percentile of the submissions' lag behind their plan with which a run still
	// offers the planned load. A run with a greater lag is inconclusive.
	maxLoadLag = 50 * time.Millisecond
)

// ruleChecks lists the check of each rule, in the order of the results. A check adds to the RuleResult the
// violations and the number of occasions on which the rule could have been violated.
var ruleChecks = []struct {
	rule  Rule
	check func(*record, *RuleResult)
}{
	{NoMessageLost, checkNoMessageLost},
	{NoDuplicateEffect, checkNoDuplicateEffect},
	{DrainRespected, checkDrainRespected},
	{RecoveryNotOverloaded, checkRecoveryNotOverloaded},
	{OrderKept, checkOrderKept},
	{RetryAfterRespected, checkRetryAfterRespected},
}

// Check checks the record of a run against the rules and measures its service. The events must be sorted by time.
func Check(h eventlog.Header, events []eventlog.Event) Result {
	r := newRecord(h, events)
	result := Result{
		RunErrors:           r.runErrors,
		InconclusiveReasons: r.inconclusiveReasons,
		ClockSteps:          r.clockSteps,
	}
	for _, c := range ruleChecks {
		ruleResult := RuleResult{Rule: c.rule}
		c.check(r, &ruleResult)
		ruleResult.conclude(len(r.inconclusiveReasons) == 0)
		result.Rules = append(result.Rules, ruleResult)
	}
	result.PeerViews = checkPeerViews(r)
	result.Service = measureService(r)
	return result
}
