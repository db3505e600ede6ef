// Package checker checks the record of a run against the six rules of the protocol, and measures the service that the
// clients had. It does no I/O and does not depend on how the events were recorded: a rehearsal with real processes and
// an emulation in virtual time are checked alike.
//
// A rule is held, violated, or not exercised: a run in which no Retry-After was sent shows nothing about waiting. Each
// violation names the events that show it. Time limits are those of the protocol, with a tolerance for what sockets
// and schedulers add.
package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// Tolerance is added to each limit of the protocol, for the latency of sockets and schedulers.
	Tolerance = 50 * time.Millisecond
	// FinalAnswerTimeout is the time after its deadline within which a message needs a delivery or a final notice.
	FinalAnswerTimeout = 300 * time.Millisecond
	// MinInformedRatio is the least part of an overload that must come from relays that had observed the outage, for
	// the overload to be a violation.
	MinInformedRatio = 2.0 / 3

	// restartGrace is the time after a restarted relay is ready during which no final answer is overdue.
	restartGrace = 1500 * time.Millisecond
	// maxLoadLag is the 99th percentile of the submissions' lag up to which a run offers the load that it was planned
	// to offer. A run with a greater lag is inconclusive.
	maxLoadLag = 50 * time.Millisecond
)

// ruleChecks are the checks of the rules, in the order of the results. Each counts in the result on how many occasions
// the rule could have been violated, and adds the violations.
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

// Check checks a run. The events must be in the order of their times.
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
