package policy

import (
	"math"
	"time"
)

// Slow start of endpoints that may be coming back from an outage.
const (
	recoveryPushRatio  = 2.0 / 3 // fraction of an overload's calls allowed to relays that saw a failure
	recoveryDeviations = 1.0     // margin for chance, in standard deviations of the fleet's number of calls
	recoveryLapseRatio = 0.1     // fraction of the overload window after which a due call that was not made lapses
)

// startWarmUp starts the warm-up of a suspect endpoint at its first delivery. An endpoint that is only weakly
// suspected needs no warm-up, unless this relay's share is more than one call in a whole warm-up.
func (e *Engine) startWarmUp(ep *endpoint) {
	ep.recoveredAt = e.now
	ep.warmingUp = !ep.weaklySuspected || e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() > 1
}

// recoveryRate returns how many calls a second this relay may make to a suspect endpoint.
//
// Let C be the calls a second that the endpoint takes from all relays when it is warm, and fraction the part of
// this capacity that it has at the end of an overload window. Then OverloadFactor*fraction*C*window calls within
// the window overload it. Relays that saw a failure may make two thirds of these calls: safeCalls. Each relay draws
// the times of its calls at random. A total of n calls therefore has a standard deviation of sqrt(n), or, if the
// relays make few calls each, of half a call for each relay: sqrt(FleetSize)/2. The expected number of calls, n, is
// such that n + recoveryDeviations*deviation = safeCalls. Each relay makes its fair share of them; the fair shares
// add up to the capacity. A call that is not made lapses.
//
// The fraction grows with the time since the first delivery, but only as far as consecutive successes confirm the
// recovery: most calls fail in an outage, so k consecutive successes have a probability of at most 2^-k in it.
func (e *Engine) recoveryRate(ep *endpoint) float64 {
	fraction := e.settings.WarmUpInitialCapacity
	remaining := 1 - e.settings.WarmUpInitialCapacity
	window := e.settings.OverloadWindow.Seconds()
	warmUp := e.settings.WarmUpDuration.Seconds()
	if ep.recoveredAt > 0 {
		confidence := 1 - math.Pow(0.5, float64(ep.consecutiveSuccesses))
		fraction += remaining * min((e.now-ep.recoveredAt).Seconds()/warmUp, confidence)
	}
	capacity := max(e.scopeCapacity(ep.scope), e.deliveryRate(ep.scope))
	fractionAtEnd := min(1, fraction+remaining*window/warmUp)
	safeCalls := recoveryPushRatio * e.settings.OverloadFactor * fractionAtEnd * capacity * window
	root := (math.Sqrt(recoveryDeviations*recoveryDeviations+4*safeCalls) - recoveryDeviations) / 2
	expectedCalls := max(root*root, safeCalls-recoveryDeviations*math.Sqrt(float64(e.settings.FleetSize))/2)
	return expectedCalls / (window * (1 + recoveryLapseRatio)) * e.fairShare(ep.scope) / capacity
}

// recoveryBudgetAt returns the time at which the recovery budget allows the next call to an endpoint, or 0 if the
// endpoint is not suspect or may take a call now. To avoid overloading a destination that recovers from an outage,
// all calls to the suspect endpoints of a scope share one budget. The time of its first call is random, so that the
// calls of all relays add up to the intended number. The budget also applies during an outage, since nothing
// reports the end of the outage.
func (e *Engine) recoveryBudgetAt(ep *endpoint) time.Duration {
	if ep.warmingUp && e.isWarm(ep) {
		ep.warmingUp = false
	}
	if e.inheritsSuspicion(ep) {
		e.suspect(ep)
	}
	if !ep.warmingUp {
		return 0
	}
	scope := ep.scope
	rate := e.recoveryRate(ep)
	e.refillRecoveryTokens(scope, rate)
	if scope.recoveryTokens >= 1 {
		return 0
	}
	return scope.recoveryUpdatedAt + max(time.Millisecond, callInterval(rate/(1-scope.recoveryTokens)))
}

// isWarm reports whether the warm-up of an endpoint is over.
func (e *Engine) isWarm(ep *endpoint) bool {
	return ep.recoveredAt != 0 && e.now >= ep.recoveredAt+e.settings.WarmUpDuration
}

// inheritsSuspicion reports whether an endpoint that has not delivered yet counts as suspect, because other
// endpoints of its scope fail or are suspect, or because a suspect endpoint of the scope was removed during the
// last warm-up time.
func (e *Engine) inheritsSuspicion(ep *endpoint) bool {
	if ep.lastSuccessAt != 0 {
		return false
	}
	scope := ep.scope
	return scope.consecutiveFailures >= suspectAfterFailures || scope.hasSuspect() ||
		e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration
}

// refillRecoveryTokens adds the recovery tokens earned since the last refill. Tokens of calls that were due too
// long ago lapse. No tokens are earned during a Retry-After: otherwise all relays that received it would call at
// its end.
func (e *Engine) refillRecoveryTokens(scope *limitScope, rate float64) {
	scope.recoveryUpdatedAt = max(scope.recoveryUpdatedAt, scope.retryAfterUntil)
	if e.now <= scope.recoveryUpdatedAt {
		return
	}
	lapseAfter := rate * recoveryLapseRatio * e.settings.OverloadWindow.Seconds()
	scope.recoveryTokens += rate * (e.now - scope.recoveryUpdatedAt).Seconds()
	scope.recoveryTokens -= math.Max(0, math.Floor(scope.recoveryTokens-lapseAfter))
	scope.recoveryUpdatedAt = e.now
}
