package policy

// Evidence that makes an endpoint suspect.
const (
	suspectAfterFailures       = 2   // consecutive failures after which an endpoint may be in an outage
	suspectAfterRecentFailures = 3   // failures among the last 8 outcomes after which it may be in one
	sparseOutageRejections     = 2   // consecutive rejections that do so at a relay with a sparse share
	weakSignalProbability      = 0.6 // with which one rejection, or a connection that failed at once, does so
)

// suspect makes an endpoint take calls from the recovery budget only, until it has recovered and warmed up.
func (e *Engine) suspect(ep *endpoint) {
	scope := ep.scope
	if !scope.hasSuspect() {
		scope.recoveryTokens = e.rng.Float64()
		scope.recoveryUpdatedAt = e.now
		scope.deliveryRate = e.deliveryRate(scope)
		scope.deliveryRateAt = e.now
	}
	ep.warmingUp = true
	ep.weaklySuspected = false
	ep.recoveredAt = 0
	ep.consecutiveSuccesses = 0
	ep.lastFailureSentAt = scope.lastFailureSentAt
}

// suspectScope makes all endpoints suspect that share the scope of one.
func (e *Engine) suspectScope(ep *endpoint, _ observation) {
	for _, other := range ep.scope.endpoints {
		e.suspect(other)
	}
}

// suspectWeakly makes an endpoint suspect until its next delivery, where this relay's share is less than a call in an
// overload window. Guards against hundreds of relays that saw one failure each, and overload the endpoint together.
func (e *Engine) suspectWeakly(ep *endpoint) {
	if ep.warmingUp || !e.hasSparseShare(ep.scope) {
		return
	}
	e.suspect(ep)
	ep.weaklySuspected = true
}

// suspectOnWeakSignal takes two rejections some time apart for a sign of an outage. Where this relay's share is less
// than a call in a warm-up, it takes one rejection, or a connection that failed as at a full table, for one by chance.
// Guards against many relays that have seen one failure each and all come back together. Most rejections are those of a
// limit, so some relays must come back: those that do are under two thirds, while they come less than five times as
// often as others.
func (e *Engine) suspectOnWeakSignal(ep *endpoint) {
	repeated := ep.consecutiveRejections >= sparseOutageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
	if repeated && e.settings.FleetSize > smallFleetSize && !e.hasSparseShare(ep.scope) {
		e.suspect(ep)
		return
	}
	seldomCalled := !e.recentlyHealthy(ep) && e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() < 1
	if repeated || seldomCalled && e.rng.Float64() < weakSignalProbability {
		e.suspectWeakly(ep)
	}
}
