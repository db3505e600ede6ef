package policy

import (
	"math/bits"
	"time"
)

// Ejection times. An ejection is what the paper calls a "skip".
const (
	initialEjectionTime = 2 * time.Second  // most outages last longer, and a trial costs one call
	maxEjectionTime     = 10 * time.Second // the length in the paper
	ejectionGrowth      = 1.5              // factor from one ejection to the next while trials fail
	ejectionJitter      = 0.2              // fraction by which a time varies, so that relays do not return in step
)

// Evidence of an outage, as opposed to a limit or to single losses.
const (
	outageRetryAfter         = 2500 * time.Millisecond // a longer Retry-After is no limit's window
	outageRejections         = 4                       // consecutive rejections that show an outage
	minOutageRejectionTime   = 2 * time.Second         // if they last so long: longer than a limit's usual window
	ejectAfterFailures       = 3                       // consecutive failures that eject an endpoint
	ejectAfterRecentFailures = 5                       // failures among the last 8 outcomes that eject an endpoint
)

// failureRule says what follows from a failure: whether the endpoint is ejected, and what else.
type failureRule struct {
	name    string
	matches func(e *Engine, ep *endpoint, obs observation) bool
	ejects  bool
	respond func(e *Engine, ep *endpoint, obs observation) // nil: nothing
}

// failureRules are evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// An outage that rejects calls: the endpoint comes back with a part of its capacity.
	{name: "outage", matches: showsOutage, ejects: true, respond: (*Engine).suspectScope},
	{name: "rejected", matches: isRejection, respond: (*Engine).decreasePacing},
	{name: "trial failed", matches: isFailedTrial, ejects: true},
	// A full connection table rejects at once, and may take the next connection.
	{name: "connect exhausted", matches: isConnectExhaustion, respond: (*Engine).pauseConnecting},
	{name: "consecutive failures", matches: hasConsecutiveFailures, ejects: true},
	// An outage may fail only most calls: successes between them do not clear it.
	{name: "mostly failing", matches: isMostlyFailing, ejects: true},
	{name: "failed", matches: func(*Engine, *endpoint, observation) bool { return true }},
}

// showsOutage matches a long Retry-After, and consecutive rejections over some time.
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

// isConnectExhaustion matches a connection that failed as at a full connection table.
func isConnectExhaustion(_ *Engine, _ *endpoint, obs observation) bool { return obs.connectExhausted }

// hasConsecutiveFailures matches enough failures without a delivery between them.
func hasConsecutiveFailures(_ *Engine, ep *endpoint, _ observation) bool {
	return ep.consecutiveFailures >= ejectAfterFailures
}

// isMostlyFailing matches enough failures among the last outcomes.
func isMostlyFailing(_ *Engine, ep *endpoint, _ observation) bool {
	return bits.OnesCount8(ep.recentFailures) >= ejectAfterRecentFailures
}

// applyFailureRules applies the first rule that matches a failure. An attempt that ended early, for lack of time, may
// make its endpoint suspect but ejects none.
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

// eject makes messages pass an endpoint by for a while, longer with each failed trial. Failures of calls that were sent
// before the ejection began add nothing.
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
