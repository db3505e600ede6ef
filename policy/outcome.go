package policy

import (
	"math/bits"
	"slices"
	"time"
)

const (
	recentlyHealthyWindow = 3 * time.Second // a route that answered within this is alive
)

// observation is one outcome at a route, as the failure rules see it.
type observation struct {
	outcome          Outcome
	retryAfter       time.Duration
	sentAt           time.Duration
	truncated        bool // cut off before an answer could be expected
	connectExhausted bool // no connection, as when a table is full
}

// observeOutcome takes an outcome as an observation of its route.
func (e *Engine) observeOutcome(ep *endpoint, obs observation, latency time.Duration) {
	if e.now < e.closeIdleUntil[ep.Kind] {
		e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
	}
	switch obs.outcome {
	case OK:
		e.recordSuccess(ep, obs.sentAt, latency)
		return
	case NotSent, Cancelled:
		return
	case Overloaded:
		if ep.consecutiveRejections == 0 {
			ep.firstRejectedAt = e.now
		}
		ep.consecutiveRejections++
		ep.scope.lastFailureSentAt = max(ep.scope.lastFailureSentAt, obs.sentAt)
		e.suspectOnWeakSignal(ep)
	default:
		ep.answerLost = ep.answerLost || obs.outcome == Reset
		if obs.outcome == Timeout || obs.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next one takes a fresh one.
			e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
			// A later call was answered, or the route lives: this one says nothing of its standing.
			// Nor does a call with less time than an answer takes. Guards against a backlog whose late calls
			// keep a route in doubt for good.
			if ep.lastAnsweredSendAt >= obs.sentAt || (obs.outcome == Reset || obs.truncated) && e.recentlyHealthy(ep) {
				return
			}
		}
		if obs.outcome == Timeout {
			e.recordLatency(ep, latency+latency/2)
		}
		obs.connectExhausted = e.looksConnectExhausted(ep, obs)
		if obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound {
			e.connectShortageUntil[ep.Kind] = e.now + connectShortageWindow
		}
		if obs.connectExhausted {
			ep.scope.connectExhaustions++
			e.suspectOnWeakSignal(ep)
			break
		}
		ep.consecutiveFailures, ep.consecutiveRejections = ep.consecutiveFailures+1, 0
		// An outage answers no call or fails most at once: time-outs between answers are losses, not that.
		if obs.outcome == Error || obs.outcome == ConnectFailed {
			ep.recentFailures = ep.recentFailures<<1 | 1
			ep.scope.lastFailureSentAt = max(ep.scope.lastFailureSentAt, obs.sentAt)
		}
		if ep.consecutiveFailures >= suspectAfterFailures || bits.OnesCount8(ep.recentFailures) >= suspectAfterRecentFailures {
			e.suspect(ep)
		} else {
			e.suspectWeakly(ep)
		}
		// Failures in a row over all routes of a gate tell of an outage of them all.
		if ep.scope.consecutiveFailures++; ep.scope.consecutiveFailures >= ejectAfterFailures {
			e.suspectScope(ep, obs)
		}
	}
	// A call cut off early, for lack of time left, may cast doubt on its route but skips none.
	if obs.truncated {
		return
	}
	for _, rule := range failureRules {
		if rule.matches(e, ep, obs) {
			if rule.respond != nil {
				rule.respond(e, ep, obs)
			}
			if rule.ejects {
				e.eject(ep, obs.sentAt)
			}
			return
		}
	}
}

func (e *Engine) recordSuccess(ep *endpoint, sent, latency time.Duration) {
	scope := ep.scope
	// A table that was full and takes a call again was not away. Guards against connections closed after
	// every use for an outage of others: each call of a fleet then cost a handshake.
	if scope.connectExhaustions > 0 && scope.consecutiveFailures == 0 && e.settings.FleetSize > smallFleetSize {
		e.closeIdleUntil[ep.Kind] = e.now + connectShortageWindow
	}
	ep.lastSuccessAt, ep.lastAnsweredSendAt, ep.consecutiveFailures, ep.consecutiveRejections, ep.answerLost = e.now, max(ep.lastAnsweredSendAt, sent), 0, 0, false
	ep.recentFailures, scope.consecutiveFailures, scope.connectExhaustions = ep.recentFailures<<1, 0, 0
	e.recordLatency(ep, latency)
	if ep.ejected {
		ep.ejected, ep.ejectedUntil, ep.ejectionTime = false, 0, 0
		// Where a sibling answered all the while, the destination was not away: its pace stands.
		if !slices.ContainsFunc(scope.endpoints, func(other *endpoint) bool { return other != ep && e.recentlyHealthy(other) }) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = pacingRestartRate, 0, e.now
		}
	}
	e.recordDelivery(scope)
	// What was sent before a call that failed at once tells of no return.
	if ep.consecutiveSuccesses++; ep.warmingUp && ep.recoveredAt == 0 && sent > ep.lastFailureSentAt {
		ep.recoveredAt, ep.warmingUp = e.now, !ep.weaklySuspected || e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() > 1
	}
	e.increasePacing(scope)
}
