package policy

import (
	"math/bits"
	"slices"
	"time"
)

// observation describes one outcome at an endpoint, as input of the failure rules.
type observation struct {
	outcome          Outcome
	retryAfter       time.Duration
	sentAt           time.Duration
	truncated        bool // ended before an answer could be expected
	connectExhausted bool // the connection failed as at a full connection table
}

// healthChecked applies the outcome of a health check.
func (e *Engine) healthChecked(event *Event) {
	ep := e.endpoints[event.Endpoint]
	if ep == nil {
		return
	}
	e.recordLimit(ep, event.LimitReport)
	ep.scope.retryAfter(e.now + event.RetryAfter)
	e.observeOutcome(ep, observation{
		outcome:    event.Outcome,
		retryAfter: event.RetryAfter,
		sentAt:     e.now - event.Latency,
	}, event.Latency)
	e.recheck(ep.scope.destination)
}

// observeOutcome updates the state of an endpoint and its scope with an outcome.
func (e *Engine) observeOutcome(ep *endpoint, obs observation, latency time.Duration) {
	if e.now < e.closeIdleUntil[ep.Kind] {
		e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
	}
	switch obs.outcome {
	case OK:
		e.recordSuccess(ep, obs.sentAt, latency)
	case NotSent, Cancelled: // no evidence about the endpoint
	case Overloaded:
		e.recordRejection(ep, obs)
		e.applyFailureRules(ep, obs)
	default:
		e.observeFailure(ep, obs, latency)
	}
}

// recordSuccess records a delivery.
func (e *Engine) recordSuccess(ep *endpoint, sentAt, latency time.Duration) {
	scope := ep.scope
	// A delivery after failed connections shows that a connection table was full and that there was no outage. Only
	// then are connections closed after use. In an outage of other endpoints, closing them would cost the fleet a
	// handshake for each call.
	if scope.connectExhaustions > 0 && scope.consecutiveFailures == 0 && e.settings.FleetSize > smallFleetSize {
		e.closeIdleUntil[ep.Kind] = e.now + connectShortageWindow
	}
	ep.lastSuccessAt = e.now
	ep.lastAnsweredSendAt = max(ep.lastAnsweredSendAt, sentAt)
	ep.consecutiveFailures = 0
	ep.consecutiveRejections = 0
	ep.recentFailures <<= 1
	ep.answerLost = false
	scope.consecutiveFailures = 0
	scope.connectExhaustions = 0
	e.recordLatency(ep, latency)
	if ep.ejected {
		e.endEjection(ep)
	}
	e.recordDelivery(scope)
	ep.consecutiveSuccesses++
	// The delivery of a call that was sent before another call failed at once does not show a recovery.
	if ep.warmingUp && ep.recoveredAt == 0 && sentAt > ep.lastFailureSentAt {
		e.startWarmUp(ep)
	}
	e.increasePacing(scope)
}

// endEjection ends the ejection of an endpoint that has delivered. If no other endpoint of the scope is healthy,
// the scope restarts at pacingRestartRate.
func (e *Engine) endEjection(ep *endpoint) {
	ep.ejected = false
	ep.ejectedUntil = 0
	ep.ejectionTime = 0
	scope := ep.scope
	siblingHealthy := slices.ContainsFunc(scope.endpoints, func(other *endpoint) bool {
		return other != ep && e.recentlyHealthy(other)
	})
	if siblingHealthy {
		return // the scope as a whole had no outage and keeps its pacing rate
	}
	scope.pacingRate = pacingRestartRate
	scope.tokens = 0
	scope.tokensUpdatedAt = e.now
}

// recordRejection records a call that was rejected by a limit or an overload.
func (e *Engine) recordRejection(ep *endpoint, obs observation) {
	if ep.consecutiveRejections == 0 {
		ep.firstRejectedAt = e.now
	}
	ep.consecutiveRejections++
	ep.scope.lastFailureSentAt = max(ep.scope.lastFailureSentAt, obs.sentAt)
	e.suspectOnWeakSignal(ep)
}

// observeFailure updates the state of an endpoint with a call that was neither delivered nor rejected.
func (e *Engine) observeFailure(ep *endpoint, obs observation, latency time.Duration) {
	ep.answerLost = ep.answerLost || obs.outcome == Reset
	if obs.outcome == Timeout || obs.outcome == Reset {
		// The call may have been lost because its connection is broken, so the next call must open a new
		// connection.
		e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
		if e.isNoEvidence(ep, obs) {
			return
		}
	}
	if obs.outcome == Timeout {
		e.recordLatency(ep, latency+latency/2) // the answer takes longer than the timeout
	}
	obs.connectExhausted = e.looksConnectExhausted(ep, obs)
	if e.failedToConnectAtOnce(obs) {
		e.connectShortageUntil[ep.Kind] = e.now + connectShortageWindow
	}
	if obs.connectExhausted {
		ep.scope.connectExhaustions++
		e.suspectOnWeakSignal(ep)
	} else {
		e.recordFailure(ep, obs)
	}
	e.applyFailureRules(ep, obs)
}

// isNoEvidence reports whether a lost call is no evidence about the health of its endpoint. This is so if a later
// call was answered, or if the endpoint is healthy and either the connection broke or the attempt had less time
// than an answer takes. Otherwise a backlog of messages whose attempts have too little time, close to their
// deadlines, could keep an endpoint suspect forever.
func (e *Engine) isNoEvidence(ep *endpoint, obs observation) bool {
	if ep.lastAnsweredSendAt >= obs.sentAt {
		return true
	}
	return (obs.outcome == Reset || obs.truncated) && e.recentlyHealthy(ep)
}

// recordFailure counts a failure of an endpoint and of its scope, and marks them as suspect if the failures are
// sufficient evidence.
func (e *Engine) recordFailure(ep *endpoint, obs observation) {
	scope := ep.scope
	ep.consecutiveFailures++
	ep.consecutiveRejections = 0
	// In an outage, all or most calls fail at once. Timeouts between answers are lost calls, and are not counted
	// here.
	if obs.outcome == Error || obs.outcome == ConnectFailed {
		ep.recentFailures = ep.recentFailures<<1 | 1
		scope.lastFailureSentAt = max(scope.lastFailureSentAt, obs.sentAt)
	}
	mostlyFailing := bits.OnesCount8(ep.recentFailures) >= suspectAfterRecentFailures
	if ep.consecutiveFailures >= suspectAfterFailures || mostlyFailing {
		e.suspect(ep)
	} else {
		e.suspectWeakly(ep)
	}
	// Consecutive failures across all endpoints of a scope indicate an outage of all of them.
	scope.consecutiveFailures++
	if scope.consecutiveFailures >= ejectAfterFailures {
		e.suspectScope(ep, obs)
	}
}
