package policy

import (
	"math"
	"time"
)

// Requests for quota of other relays.
const (
	quotaRequestInterval = 100 * time.Millisecond // time between requests while messages wait
	quotaRequestLead     = 700 * time.Millisecond // time by which a request goes ahead of the calls
)

// applyGrant applies the quota that other relays grant this one, and the part of its own that it has lent. Granted
// calls that were not used yet expire with the first grant of them.
func (e *Engine) applyGrant(event *Event) {
	dest := e.destinations[event.Destination]
	if dest == nil {
		return
	}
	for _, scope := range dest.scopes {
		if len(scope.endpoints) == 0 || !e.isLargeFleet(scope) {
			continue
		}
		if scope.perEndpoint && scope.endpoints[0].ID != event.Endpoint {
			continue
		}
		scope.quotaShared = true
		scope.reservedFraction = math.Min(1, math.Max(0, event.ReservedFraction))
		if event.GrantedCalls > 0 && event.TimeLeft > 0 {
			scope.addGrant(event.GrantedCalls, e.now, e.now+event.TimeLeft)
		}
		e.recheck(dest)
	}
}

// addGrant adds granted calls that expire at a time.
func (scope *limitScope) addGrant(calls int, now, expiresAt time.Duration) {
	if scope.hasGrant(now) {
		scope.grantedCalls += calls
		scope.grantExpiresAt = min(expiresAt, scope.grantExpiresAt)
		return
	}
	scope.grantedCalls = calls
	scope.grantExpiresAt = expiresAt
}

// hasGrant reports whether a call may be made beyond the relay's own pacing rate.
func (scope *limitScope) hasGrant(now time.Duration) bool {
	return scope.grantedCalls > 0 && now < scope.grantExpiresAt
}

// requestQuota asks other relays for calls while messages wait for pacing alone, and returns the time at which to look
// again. Nothing but pacing blocks the scope from openAt on; the request goes shortly ahead of that, since calls that
// the recovery budget allows lapse while it is answered.
func (e *Engine) requestQuota(scope *limitScope, openAt, pacedAt time.Duration) time.Duration {
	waiting := len(scope.destination.queue)
	if !scope.quotaShared || waiting == 0 {
		return pacedAt
	}
	if openAt > e.now+quotaRequestLead {
		return min(pacedAt, openAt-quotaRequestLead)
	}
	if e.now >= scope.quotaRequestedAt+quotaRequestInterval {
		batch := e.maxBatch(scope.kind)
		calls := (waiting + batch - 1) / batch
		e.emit(Action{Kind: RequestQuota, Endpoint: scope.endpoints[0].ID, Calls: calls})
		scope.quotaRequestedAt = e.now
	}
	return min(pacedAt, scope.quotaRequestedAt+quotaRequestInterval)
}
