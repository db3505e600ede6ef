package policy

import (
	"math"
	"time"
)

// BlockCause is what keeps a message from a route.
type BlockCause int

// The causes, as they are looked at: the first that holds is told, of those with a time the one that holds longest.
const (
	NotBlocked        BlockCause = iota // nothing: it goes in its turn
	AttemptsExhausted                   // it has no attempt left, or its time is up
	EndpointDraining                    // the route drains
	WaitingForKey                       // an earlier message of its key is not finished
	WrongDedupZone                      // it may have run, and its repeat is dropped elsewhere only
	InsufficientTime                    // less time is left than an answer of the route takes
	TrialInFlight                       // the route is skipped, and the one trial call is out
	EndpointSaturated                   // too many slots are at the route, or its oldest calls are overdue
	OrderingPause
	RetryAfterPending
	EndpointEjected
	WarmUpBudget // the budget of a route that may be cold
	Paced
	ConcurrencyLimit
	NoEndpoint
)

// Blocker is what keeps a waiting message from a route. Until: math.MaxInt64 where only an outcome or the list ends it.
type Blocker struct {
	MessageID uint32
	Endpoint  string
	Cause     BlockCause
	Until     time.Duration
}

// Blockers tells what keeps the messages that wait, by destination and in order. It must be asked of a copy (Restore of
// a Snapshot): looking may cast doubt on a route, as dispatch itself does.
func (e *Engine) Blockers() (blockers []Blocker) {
	for _, dest := range e.sortedDestinations {
		for _, msg := range dest.queue {
			if !dest.hasEndpoints() {
				blockers = append(blockers, Blocker{msg.id, "", NoEndpoint, math.MaxInt64})
			}
			for _, scope := range dest.scopes {
				for _, ep := range scope.endpoints {
					c, at := e.findBlocker(msg, ep)
					blockers = append(blockers, Blocker{msg.id, ep.ID, c, at})
				}
			}
		}
	}
	return blockers
}

func (e *Engine) findBlocker(msg *message, ep *endpoint) (BlockCause, time.Duration) {
	const never = time.Duration(math.MaxInt64)
	switch {
	case e.attemptsExhausted(msg) || e.now >= msg.deadline:
		return AttemptsExhausted, never
	case !ep.InService || ep.Removed:
		return EndpointDraining, never
	case msg.keyQueue != nil && msg.keyQueue.messages[0] != msg:
		return WaitingForKey, never
	case e.attemptAllowedAt(msg, ep) == never:
		return WrongDedupZone, never
	case msg.deadline-e.now < ep.latencyMean:
		return InsufficientTime, never
	case ep.ejected && len(ep.calls) > 0:
		return TrialInFlight, never
	case e.saturated(ep):
		return EndpointSaturated, never
	}
	cause, until := NotBlocked, e.now
	longer := func(c BlockCause, at time.Duration) {
		if at > until {
			cause, until = c, at
		}
	}
	if msg.keyQueue != nil && msg.attempts == 0 {
		longer(OrderingPause, msg.keyQueue.pausedUntil)
	}
	longer(RetryAfterPending, ep.scope.retryAfterUntil)
	longer(EndpointEjected, ep.ejectedUntil)
	longer(WarmUpBudget, e.recoveryBudgetAt(ep))
	longer(Paced, e.acceptsCallAt(ep))
	if cause == NotBlocked && e.settings.MaxInFlightCalls > 0 && e.callsInFlight >= e.settings.MaxInFlightCalls {
		return ConcurrencyLimit, never
	}
	return cause, until
}

// EndpointView is what a Sender holds of a route and of its gate, the scope that shares a limit. Rates are in calls a
// second.
type EndpointView struct {
	Endpoint
	PacingRate, LastRejectedRate, Limit, FairShare          float64 // 0: free, none, not told
	RetryAfterUntil, DecreasedAt, EjectedUntil, RecoveredAt time.Duration
	LatencyMean                                             time.Duration // of its answers
	Ejected, WarmingUp, RecentlyHealthy                     bool          // Alive: it has answered of late
	// calls of the route, of its gate; messages waiting at the destination
	Calls, InFlight, Queued int
}

// Views tells of all routes, by destination, and how many slots are taken.
func (e *Engine) Views() (views []EndpointView, slots int) {
	for _, dest := range e.sortedDestinations {
		for _, scope := range dest.scopes {
			for _, ep := range scope.endpoints {
				views = append(views, EndpointView{
					ep.Endpoint, scope.pacingRate, scope.lastRejectedRate, e.knownLimit(scope), e.fairShare(scope), scope.retryAfterUntil, scope.decreasedAt, ep.ejectedUntil,
					ep.recoveredAt, ep.latencyMean, ep.ejected, ep.warmingUp, e.recentlyHealthy(ep), len(ep.calls), scope.inFlight, len(dest.queue),
				})
			}
		}
	}
	return views, e.callsInFlight
}
