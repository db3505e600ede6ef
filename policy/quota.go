package policy

import (
	"math"
	"time"
)

// Requests to other relays for quota.
const (
	quotaRequestInterval = 100 * time.Millisecond // time between requests while messages wait
	quotaRequestLead     = 700 * time.Millisecond // time by which a request precedes the calls
)

// applyGrant applies the quota that other relays grant to this relay, and the fraction of its own quota that this
// relay has not lent. If several grants have unused calls, all these calls expire with the grant that expires
// first.
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

// addGrant adds granted calls that expire at expiresAt, or with an earlier grant that still has unused calls.
func (scope *limitScope) addGrant(calls int, now, expiresAt time.Duration) {
	if scope.hasGrant(now) {
		scope.grantedCalls += calls
		scope.grantExpiresAt = min(expiresAt, scope.grantExpiresAt)
		return
	}
	scope.grantedCalls = calls
	scope.grantExpiresAt = expiresAt
}

// hasGrant reports whether the scope has a granted call, which may be made in addition to the relay's own pacing
// rate.
func (scope *limitScope) hasGrant(now time.Duration) bool {
	return scope.grantedCalls > 0 && now < scope.grantExpiresAt
}

// requestQuota requests calls from other relays while messages wait only for pacing, and returns the time at which
// to check again. From openAt on, nothing but pacing blocks the scope. The request is sent shortly before openAt:
// calls that the recovery budget allows would lapse while the relay waits for the reply.
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
