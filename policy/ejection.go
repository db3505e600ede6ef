package policy

import (
	"math/bits"
	"time"
)

// Ejection times. The paper that describes this selector calls an ejection a "skip".
const (
	initialEjectionTime = 2 * time.Second  // most outages last longer, but a failed trial costs only one call
	maxEjectionTime     = 10 * time.Second // the ejection time in the paper
	ejectionGrowth      = 1.5              // factor by which the time grows with each failed trial
	ejectionJitter      = 0.2              // random variation of the time, so that relays do not retry in step
)

// Thresholds that tell an outage from a rate limit and from single lost calls.
const (
	outageRetryAfter         = 2500 * time.Millisecond // a longer Retry-After exceeds any rate limit's window
	outageRejections         = 4                       // consecutive rejections that show an outage
	minOutageRejectionTime   = 2 * time.Second         // these must span this time; a limit's window is usually shorter
	ejectAfterFailures       = 3                       // consecutive failures that eject an endpoint
	ejectAfterRecentFailures = 5                       // failures among the last 8 outcomes that eject an endpoint
)

// failureRule defines which failures it matches, whether they eject the endpoint, and how else the Engine responds.
type failureRule struct {
	name    string
	matches func(e *Engine, ep *endpoint, obs observation) bool
	ejects  bool
	respond func(e *Engine, ep *endpoint, obs observation) // nil: no other response
}

// failureRules are evaluated in order; only the first that matches is applied.
var failureRules = []failureRule{
	// An endpoint that rejects calls in an outage comes back with only a part of its capacity.
	{name: "outage", matches: showsOutage, ejects: true, respond: (*Engine).suspectScope},
	{name: "rejected", matches: isRejection, respond: (*Engine).decreasePacing},
	{name: "trial failed", matches: isFailedTrial, ejects: true},
	// An endpoint with a full connection table refuses a connection at once, but may accept the next one.
	{name: "connect exhausted", matches: isConnectExhaustion, respond: (*Engine).pauseConnecting},
	{name: "consecutive failures", matches: hasConsecutiveFailures, ejects: true},
	// In an outage some calls may still succeed, so successes between failures do not rule it out.
	{name: "mostly failing", matches: isMostlyFailing, ejects: true},
	{name: "failed", matches: func(*Engine, *endpoint, observation) bool { return true }},
}

// showsOutage matches a rejection with a long Retry-After, and the last of at least outageRejections consecutive
// rejections that span at least minOutageRejectionTime.
func showsOutage(e *Engine, ep *endpoint, obs observation) bool {
	if obs.outcome != Overloaded {
		return false
	}
	lasting := ep.consecutiveRejections >= outageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
	return obs.retryAfter > outageRetryAfter || lasting
}

// isRejection matches any rejection.
func isRejection(_ *Engine, _ *endpoint, obs observation) bool { return obs.outcome == Overloaded }

// isFailedTrial matches any failure of an endpoint that was ejected and has delivered nothing since.
func isFailedTrial(_ *Engine, ep *endpoint, _ observation) bool { return ep.ejected }

// isConnectExhaustion matches a failed connection that looks like a full connection table.
func isConnectExhaustion(_ *Engine, _ *endpoint, obs observation) bool { return obs.connectExhausted }

// hasConsecutiveFailures matches if ejectAfterFailures failures or more have occurred without a delivery between
// them.
func hasConsecutiveFailures(_ *Engine, ep *endpoint, _ observation) bool {
	return ep.consecutiveFailures >= ejectAfterFailures
}

// isMostlyFailing matches if recentFailures, the last eight outcomes, holds ejectAfterRecentFailures failures or
// more.
func isMostlyFailing(_ *Engine, ep *endpoint, _ observation) bool {
	return bits.OnesCount8(ep.recentFailures) >= ejectAfterRecentFailures
}

// applyFailureRules applies the first rule that matches a failure. It ignores a truncated attempt, which had too
// little time for an answer: such an attempt may make its endpoint suspect, but does not eject it.
func (e *Engine) applyFailureRules(ep *endpoint, obs observation) {
	if obs.truncated {
		return
	}
	for _, rule := range failureRules {
		if !rule.matches(e, ep, obs) {
			continue
		}
		if rule.respond != nil {
			rule.respond(e, ep, obs)
		}
		if rule.ejects {
			e.eject(ep, obs.sentAt)
		}
		return
	}
}

// eject makes an endpoint suspect and ejects it: messages skip it for a time that grows with each failed trial. The
// failure of a call that was sent before the current ejection began does not prolong that ejection.
func (e *Engine) eject(ep *endpoint, sentAt time.Duration) {
	e.suspect(ep)
	if ep.ejected && sentAt < ep.ejectedUntil-ep.ejectionTime {
		return
	}
	length := initialEjectionTime
	if ep.ejected && ep.ejectionTime > 0 {
		length = min(maxEjectionTime, time.Duration(float64(ep.ejectionTime)*ejectionGrowth))
	}
	ep.ejectionTime = time.Duration(float64(length) * (1 + ejectionJitter*(2*e.rng.Float64()-1)))
	ep.ejected = true
	ep.ejectedUntil = e.now + ep.ejectionTime
}
