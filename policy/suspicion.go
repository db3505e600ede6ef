package policy

// Evidence that makes an endpoint suspect.
const (
	suspectAfterFailures       = 2   // consecutive failures that make an endpoint suspect
	suspectAfterRecentFailures = 3   // failures among the last 8 outcomes that make it suspect
	sparseOutageRejections     = 2   // consecutive rejections that make it suspect (large fleet or sparse share)
	weakSignalProbability      = 0.6 // probability that a rejection or an immediate connection failure makes it suspect
)

// suspect marks an endpoint as suspect: it takes calls from the recovery budget only, until it has recovered and
// warmed up.
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

// suspectScope marks all endpoints of an endpoint's scope as suspect.
func (e *Engine) suspectScope(ep *endpoint, _ observation) {
	for _, other := range ep.scope.endpoints {
		e.suspect(other)
	}
}

// suspectWeakly marks an endpoint as suspect on weak evidence, which the next delivery may clear, if this relay's
// share is less than one call in an overload window. Otherwise hundreds of relays that saw one failure each could
// together overload the endpoint.
func (e *Engine) suspectWeakly(ep *endpoint) {
	if ep.warmingUp || !e.hasSparseShare(ep.scope) {
		return
	}
	e.suspect(ep)
	ep.weaklySuspected = true
}

// suspectOnWeakSignal treats two rejections some time apart as a sign of an outage. If this relay's share is less
// than one call in a warm-up, it also treats a single rejection, or a connection that failed as at a full
// connection table, as such a sign, with a probability of weakSignalProbability. Otherwise many relays that saw one
// failure each would all resume their calls at the same time. Most rejections are caused by a limit, however, so
// some of these relays must resume. They make less than two thirds of all calls as long as each of them calls less
// than five times as often as the other relays.
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
