package policy

import (
	"math"
	"time"
)

const (
	quotaRequestInterval = 100 * time.Millisecond // while messages wait, others are asked for calls so often
	quotaRequestLead     = 700 * time.Millisecond // and so long before the calls may leave
)

// applyGrant takes what others leave this sender of a limit. Rights that were not used yet end with the first of them.
func (e *Engine) applyGrant(event *Event) {
	dest := e.destinations[event.Destination]
	if dest == nil {
		return
	}
	for _, scope := range dest.scopes {
		if len(scope.endpoints) == 0 || !e.isLargeFleet(scope) || scope.perEndpoint && scope.endpoints[0].ID != event.Endpoint {
			continue
		}
		scope.quotaShared, scope.reservedFraction = true, math.Min(1, math.Max(0, event.ReservedFraction))
		if event.GrantedCalls > 0 && event.TimeLeft > 0 {
			expiresAt := e.now + event.TimeLeft
			if scope.hasGrant(e.now) {
				expiresAt = min(expiresAt, scope.grantExpiresAt)
			} else {
				scope.grantedCalls = 0
			}
			scope.grantedCalls, scope.grantExpiresAt = scope.grantedCalls+event.GrantedCalls, expiresAt
		}
		e.recheck(dest)
	}
}

// hasGrant tells whether a call may be made beyond the sender's own pace.
func (scope *limitScope) hasGrant(now time.Duration) bool {
	return scope.grantedCalls > 0 && now < scope.grantExpiresAt
}

// requestQuota has others asked for calls shortly before the own pace is all that closes a gate, and while messages
// wait: what the recovery budget lets through lapses meanwhile. It returns when to look again.
func (e *Engine) requestQuota(scope *limitScope, open, paced time.Duration) time.Duration {
	if !scope.quotaShared || len(scope.destination.queue) == 0 {
		return paced
	} else if open > e.now+quotaRequestLead {
		return min(paced, open-quotaRequestLead)
	}
	if n := e.maxBatch(scope.kind); e.now >= scope.quotaRequestedAt+quotaRequestInterval {
		e.emit(Action{Kind: RequestQuota, Endpoint: scope.endpoints[0].ID, Calls: (len(scope.destination.queue) + n - 1) / n})
		scope.quotaRequestedAt = e.now
	}
	return min(paced, scope.quotaRequestedAt+quotaRequestInterval)
}
