package policy

import (
	"math"
	"time"
)

const (
	recoveryPushRatio  = 2.0 / 3 // of a push: less from senders told of failures breaks no failback
	recoveryDeviations = 1       // deviations of the sum of all calls that are kept free
	recoveryLapseRatio = 0.1     // of the window: a call due in doubt lapses after this
)

// recoveryRate is how many calls a second this sender may make to a route in doubt that takes L from all when
// warm. It falls over at OverloadFactor*share*L*OverloadWindow calls in a window, at the share of its end.
// Senders told of a failure break no rule below two thirds of that: b. Calls are drawn apart: a sum of n
// scatters by sqrt(n), by half a call for each of few. n + scatter*deviation = b gives n, shared by parts
// that add up. A call not made lapses. The share grows with the time since the first delivery, no further
// than deliveries in a row bear out: an outage fails most calls, k in a row have a chance of 2^-k in it.
func (e *Engine) recoveryRate(ep *endpoint) float64 {
	share, warming := e.settings.WarmUpInitialCapacity, 1-e.settings.WarmUpInitialCapacity
	window, warm := e.settings.OverloadWindow.Seconds(), e.settings.WarmUpDuration.Seconds()
	if ep.recoveredAt > 0 {
		share += warming * min((e.now-ep.recoveredAt).Seconds()/warm, 1-math.Pow(0.5, float64(ep.consecutiveSuccesses)))
	}
	capacity := max(e.scopeCapacity(ep.scope), e.deliveryRate(ep.scope))
	b := recoveryPushRatio * e.settings.OverloadFactor * min(1, share+warming*window/warm) * capacity * window
	root := (math.Sqrt(recoveryDeviations*recoveryDeviations+4*b) - recoveryDeviations) / 2
	n := max(root*root, b-recoveryDeviations*math.Sqrt(float64(e.settings.FleetSize))/2)
	return n / (window * (1 + recoveryLapseRatio)) * e.fairShare(ep.scope) / capacity
}

// recoveryBudgetAt is when a route that may be cold takes its next call. Guards against pushing over a returning
// destination: every send to a route in doubt draws on one budget of its gate. The first call is drawn by
// chance, so that the sum over all senders is right. It holds during an outage too, whose end is not told.
func (e *Engine) recoveryBudgetAt(ep *endpoint) time.Duration {
	scope := ep.scope
	ep.warmingUp = ep.warmingUp && (ep.recoveredAt == 0 || e.now < ep.recoveredAt+e.settings.WarmUpDuration)
	if ep.lastSuccessAt == 0 && (scope.consecutiveFailures >= suspectAfterFailures || scope.hasSuspect() || e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration) {
		e.suspect(ep) // not answered yet: it stands as its siblings do, or those it replaced
	}
	if !ep.warmingUp {
		return 0
	}
	rate := e.recoveryRate(ep)
	// A told wait saves nothing up: all who were told it would call at its end.
	scope.recoveryUpdatedAt = max(scope.recoveryUpdatedAt, scope.retryAfterUntil)
	if e.now > scope.recoveryUpdatedAt {
		scope.recoveryTokens += rate * (e.now - scope.recoveryUpdatedAt).Seconds()
		scope.recoveryTokens -= math.Max(0, math.Floor(scope.recoveryTokens-rate*recoveryLapseRatio*e.settings.OverloadWindow.Seconds()))
		scope.recoveryUpdatedAt = e.now
	}
	if scope.recoveryTokens >= 1 {
		return 0
	}
	return scope.recoveryUpdatedAt + max(time.Millisecond, callInterval(rate/(1-scope.recoveryTokens)))
}
