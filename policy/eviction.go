package policy

import (
	"math"
	"slices"
	"time"
)

// Evictable tells whether forgetting a destination, as of the last step, drops nothing that binds: no message is held
// and no call out, no told wait and no skip is in force, no route is cold, in doubt or warming up, what it was refused
// no longer matters, and others share none of its limit. Told of again it stands as at a start, which is bolder in
// nothing of that. The caller leaves a destination alone for WarmUpDuration first: what one failure or one refusal
// tells is not looked at here.
func (e *Engine) Evictable(destinationID int) bool {
	dest := e.destinations[destinationID]
	return dest == nil || dest.messageCount == 0 && !slices.ContainsFunc(dest.scopes, e.hasBindingState)
}

// hasBindingState tells whether a gate holds anything that must outlast it.
func (e *Engine) hasBindingState(scope *limitScope) bool {
	switch {
	case scope.inFlight > 0, e.now < scope.retryAfterUntil:
		return true
	case scope.quotaShared: // the fleet tells changes alone: a fresh gate would use the part that is lent
		return true
	case e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration: // what takes the place of a route in doubt inherits it
		return true
	case scope.consecutiveFailures >= suspectAfterFailures || scope.connectExhaustions >= maxConnectExhaustions: // of whatever routes: the next failure is an outage's
		return true
	}
	return e.hasReducedPacing(scope) || slices.ContainsFunc(scope.endpoints, e.isImpaired)
}

// isImpaired tells whether a route is skipped, in doubt, or coming back.
func (e *Engine) isImpaired(ep *endpoint) bool {
	switch {
	case len(ep.calls) > 0, ep.ejected, e.now < ep.ejectedUntil:
		return true
	case ep.warmingUp && (ep.recoveredAt == 0 || e.now < ep.recoveredAt+e.settings.WarmUpDuration):
		return true
	}
	return ep.lastSuccessAt == 0 && ep.scope.hasSuspect() // it stands as its siblings do, when it is looked at
}

// hasReducedPacing tells whether a gate's pace is one that a start must not do away with: a call's worth is not yet earned back,
// or a refusal lowered it and it would not have grown back by now, even at its slowest growth. After rejectionFreeWindow a refusal
// is of no account, as in growth itself.
func (e *Engine) hasReducedPacing(scope *limitScope) bool {
	switch {
	case scope.pacingRate == 0:
		return false
	case scope.tokens+e.tokenRate(scope)*(e.now-scope.tokensUpdatedAt).Seconds() < 1:
		return true
	case scope.decreasedAt == 0:
		return false
	}
	most := scope.lastRejectedRate // of a few, who start free: the rate that was refused
	if e.isLargeFleet(scope) {
		most = e.fairPacingRate(scope)
	}
	back := math.Log(most/scope.pacingRate) / math.Log1p(cautiousPacingGrowth)
	return e.now < scope.decreasedAt+max(rejectionFreeWindow, time.Duration(back*float64(time.Second)))
}
