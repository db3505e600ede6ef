package policy

import (
	"math/bits"
	"time"
)

const (
	initialEjectionTime      = 2 * time.Second         // first skip: most outages last longer, a trial costs one call
	maxEjectionTime          = 10 * time.Second        // longest skip, the page's own length
	ejectionGrowth           = 1.5                     // factor from one skip to the next while trials fail
	ejectionJitter           = 0.2                     // share by which a skip varies: senders do not return in step
	outageRetryAfter         = 2500 * time.Millisecond // a told wait beyond this means shut, not a limit's span
	outageRejections         = 4                       // refusals in a row, with no answer between, that mean shut
	minOutageRejectionTime   = 2 * time.Second         // and over at least this long: longer than a limit's usual span
	ejectAfterFailures       = 3                       // failures in a row that skip a route
	ejectAfterRecentFailures = 5                       // the same that skip a route
)

// failureRule is one failure rule: what it matches, whether the route is skipped, and what else follows.
type failureRule struct {
	name    string
	matches func(e *Engine, ep *endpoint, obs observation) bool
	ejects  bool
	respond func(e *Engine, ep *endpoint, obs observation)
}

// failureRules is evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// A long told wait or a run of refusals is a shut destination: it comes back cold.
	{"shut", func(e *Engine, ep *endpoint, obs observation) bool {
		run := ep.consecutiveRejections >= outageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
		return obs.outcome == Overloaded && (obs.retryAfter > outageRetryAfter || run)
	}, true, (*Engine).suspectScope},
	{"full", func(_ *Engine, _ *endpoint, obs observation) bool { return obs.outcome == Overloaded }, false, (*Engine).decreasePacing},
	{"trial failed", func(_ *Engine, ep *endpoint, _ observation) bool { return ep.ejected }, true, nil},
	// A full table refuses at once and may take the next: a short rest, idle connections closed.
	{"crowded", func(_ *Engine, _ *endpoint, obs observation) bool { return obs.connectExhausted }, false, (*Engine).pauseConnecting},
	{"in a row", func(_ *Engine, ep *endpoint, _ observation) bool { return ep.consecutiveFailures >= ejectAfterFailures }, true, nil},
	// Outages may fail only most calls: successes between do not clear them.
	{"mostly failing", func(_ *Engine, ep *endpoint, _ observation) bool {
		return bits.OnesCount8(ep.recentFailures) >= ejectAfterRecentFailures
	}, true, nil},
	{"failed", func(*Engine, *endpoint, observation) bool { return true }, false, nil},
}

// eject enters a route in the skip table. Failures of calls sent before the skip began add nothing.
func (e *Engine) eject(ep *endpoint, sent time.Duration) {
	e.suspect(ep)
	if ep.ejected && sent < ep.ejectedUntil-ep.ejectionTime {
		return
	}
	next := initialEjectionTime
	if ep.ejected && ep.ejectionTime > 0 {
		next = min(maxEjectionTime, time.Duration(float64(ep.ejectionTime)*ejectionGrowth))
	}
	ep.ejectionTime = time.Duration(float64(next) * (1 + ejectionJitter*(2*e.rng.Float64()-1)))
	ep.ejected, ep.ejectedUntil = true, e.now+ep.ejectionTime
}
