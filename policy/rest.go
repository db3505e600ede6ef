package policy

import (
	"math"
	"slices"
	"time"
)

// Which destinations a caller with very many may have a Sender forget (EndpointDelta with Gone) and tell it again
// later. Nothing is sent or held by what stands here, and nothing changes: asking leaves no trace.

// Evictable tells whether forgetting a destination, as of the last step, drops nothing that binds: no message is held
// and no call out, no told wait and no skip is in force, no route is cold, in doubt or warming up, what it was refused
// no longer matters, and others share none of its limit. Told of again it stands as at a start, which is bolder in
// nothing of that. The caller leaves a destination alone for WarmUpDuration first: what one failure or one refusal
// tells is not looked at here.
func (s *Engine) Evictable(dest int) bool {
	d := s.destinations[dest]
	return d == nil || d.messageCount == 0 && !slices.ContainsFunc(d.scopes, s.hasBindingState)
}

// hasBindingState tells whether a gate holds anything that must outlast it.
func (s *Engine) hasBindingState(g *limitScope) bool {
	switch {
	case g.inFlight > 0, s.now < g.retryAfterUntil:
		return true
	case g.quotaShared: // the fleet tells changes alone: a fresh gate would use the part that is lent
		return true
	case s.now < g.suspectRemovedAt+s.settings.WarmUpDuration: // what takes the place of a route in doubt inherits it
		return true
	case g.consecutiveFailures >= suspectAfterFailures || g.connectExhaustions >= maxConnectExhaustions: // of whatever routes: the next failure is an outage's
		return true
	}
	return s.hasReducedPacing(g) || slices.ContainsFunc(g.endpoints, s.isImpaired)
}

// isImpaired tells whether a route is skipped, in doubt, or coming back.
func (s *Engine) isImpaired(r *endpoint) bool {
	switch {
	case len(r.calls) > 0, r.ejected, s.now < r.ejectedUntil:
		return true
	case r.warmingUp && (r.recoveredAt == 0 || s.now < r.recoveredAt+s.settings.WarmUpDuration):
		return true
	}
	return r.lastSuccessAt == 0 && r.scope.hasSuspect() // it stands as its siblings do, when it is looked at
}

// hasReducedPacing tells whether a gate's pace is one that a start must not do away with: a call's worth is not yet earned back,
// or a refusal lowered it and it would not have grown back by now, even at its slowest growth. After rejectionFreeWindow a refusal
// is of no account, as in growth itself.
func (s *Engine) hasReducedPacing(g *limitScope) bool {
	switch {
	case g.pacingRate == 0:
		return false
	case g.tokens+s.tokenRate(g)*(s.now-g.tokensUpdatedAt).Seconds() < 1:
		return true
	case g.decreasedAt == 0:
		return false
	}
	most := g.lastRejectedRate // of a few, who start free: the rate that was refused
	if s.isLargeFleet(g) {
		most = s.fairPacingRate(g)
	}
	back := math.Log(most/g.pacingRate) / math.Log1p(cautiousPacingGrowth)
	return s.now < g.decreasedAt+max(rejectionFreeWindow, time.Duration(back*float64(time.Second)))
}
