package policy

const (
	sparseOutageRejections     = 2   // refusals in a row after which a sparse sender doubts
	weakSignalProbability      = 0.6 // chance that one does, and that a connection failed at once does
	suspectAfterFailures       = 2   // failures in a row after which a route may be in an outage
	suspectAfterRecentFailures = 3   // errors or failed connections of the last 8 outcomes that say so
)

// suspect puts a route under the recovery budget.
func (e *Engine) suspect(ep *endpoint) {
	if scope := ep.scope; !scope.hasSuspect() {
		scope.recoveryTokens, scope.recoveryUpdatedAt = e.rng.Float64(), e.now
		scope.deliveryRate, scope.deliveryRateAt = e.deliveryRate(scope), e.now
	}
	ep.warmingUp, ep.weaklySuspected, ep.recoveredAt, ep.consecutiveSuccesses, ep.lastFailureSentAt = true, false, 0, 0, ep.scope.lastFailureSentAt
}

// suspectScope does so with all routes that share the limit of one.
func (e *Engine) suspectScope(ep *endpoint, _ observation) {
	for _, other := range ep.scope.endpoints {
		e.suspect(other)
	}
}

// suspectWeakly puts a route in slight doubt, which one delivery clears, where this sender's part is under a call
// in the span of a fall. Guards against hundreds of senders, told of one failure each, that push as one.
func (e *Engine) suspectWeakly(ep *endpoint) {
	if !ep.warmingUp && e.hasSparseShare(ep.scope) {
		e.suspect(ep)
		ep.weaklySuspected = true
	}
}

// suspectOnWeakSignal takes two refusals some time apart for a sign of an outage and, where this sender's part is under a call in a
// warm-up, by chance one refusal or connection failed as at a full table. Guards against many senders told once that
// all come again. Most refusals being a limit's, some must: those left are under two thirds while they come less than
// five times as often as others.
func (e *Engine) suspectOnWeakSignal(ep *endpoint) {
	repeated := ep.consecutiveRejections >= sparseOutageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
	seldom := !e.recentlyHealthy(ep) && e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() < 1
	if repeated && e.settings.FleetSize > smallFleetSize && !e.hasSparseShare(ep.scope) {
		e.suspect(ep)
	} else if repeated || seldom && e.rng.Float64() < weakSignalProbability {
		e.suspectWeakly(ep)
	}
}
