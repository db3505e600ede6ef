package policy

import (
	"math"
	"time"
)

// Slow start of endpoints that may be coming back from an outage.
const (
	recoveryPushRatio  = 2.0 / 3 // of an overload: relays that saw a failure may not cause one below this
	recoveryDeviations = 1.0     // standard deviations of the fleet's sum of calls that are kept free
	recoveryLapseRatio = 0.1     // of the overload window: a call that was due and not made lapses after this
)

// startWarmUp begins the warm-up of a suspect endpoint with its first delivery. An endpoint that is only weakly
// suspected needs none, unless this relay's share is more than one call in all of it.
func (e *Engine) startWarmUp(ep *endpoint) {
	ep.recoveredAt = e.now
	ep.warmingUp = !ep.weaklySuspected || e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() > 1
}

// recoveryRate returns how many calls a second this relay may make to a suspect endpoint.
//
// An endpoint that takes C calls a second from all relays when warm overloads at OverloadFactor*fraction*C*window calls
// in an overload window, with the fraction of its capacity that it has at the window's end. Relays that saw a failure
// may make two thirds of that: the safe calls. Relays draw the times of their calls apart, so a sum of n calls scatters
// by sqrt(n), or by half a call for each relay if these make few. The expected n with n + deviations*scatter = safe
// calls is shared out by fair shares, which add up. A call that is not made lapses.
//
// The fraction grows with the time since the first delivery, but no further than consecutive successes bear out: an
// outage fails most calls, and k successes in a row have a probability of 2^-k in it.
func (e *Engine) recoveryRate(ep *endpoint) float64 {
	fraction := e.settings.WarmUpInitialCapacity
	remaining := 1 - e.settings.WarmUpInitialCapacity
	window := e.settings.OverloadWindow.Seconds()
	warmUp := e.settings.WarmUpDuration.Seconds()
	if ep.recoveredAt > 0 {
		borneOut := 1 - math.Pow(0.5, float64(ep.consecutiveSuccesses))
		fraction += remaining * min((e.now-ep.recoveredAt).Seconds()/warmUp, borneOut)
	}
	capacity := max(e.scopeCapacity(ep.scope), e.deliveryRate(ep.scope))
	fractionAtEnd := min(1, fraction+remaining*window/warmUp)
	safeCalls := recoveryPushRatio * e.settings.OverloadFactor * fractionAtEnd * capacity * window
	root := (math.Sqrt(recoveryDeviations*recoveryDeviations+4*safeCalls) - recoveryDeviations) / 2
	expectedCalls := max(root*root, safeCalls-recoveryDeviations*math.Sqrt(float64(e.settings.FleetSize))/2)
	return expectedCalls / (window * (1 + recoveryLapseRatio)) * e.fairShare(ep.scope) / capacity
}

// recoveryBudgetAt returns the time at which the recovery budget allows the next call to an endpoint; 0 if it is not
// suspect. Guards against overloading a destination that is coming back: all calls to suspect endpoints of a scope draw
// on one budget. Its first call is drawn by chance, so that the sum over all relays is right. The budget holds during
// an outage too, since nothing reports its end.
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

// inheritsSuspicion reports whether an endpoint that has not answered yet is in the state of its siblings, or of those
// that it has replaced.
func (e *Engine) inheritsSuspicion(ep *endpoint) bool {
	if ep.lastSuccessAt != 0 {
		return false
	}
	scope := ep.scope
	return scope.consecutiveFailures >= suspectAfterFailures || scope.hasSuspect() ||
		e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration
}

// refillRecoveryTokens adds the recovery tokens of the time since the last refill; calls that were due too long ago
// lapse. A Retry-After saves none up: else all relays that got it would call at its end.
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
