package quota

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// tokenBurstWindow bounds the tokens that a lease holder saves up to those of so much time, and to one call at
	// least.
	tokenBurstWindow = 300 * time.Millisecond
	// maxQueuedRequests bounds the requests that a lease holder has for one scope.
	maxQueuedRequests = 4096
	// headroomRatio is the part of the rate held that is not granted: calls come in bursts, and to hit the limit costs
	// more than the headroom.
	headroomRatio = 0.05
)

// queuedRequest is a request as its lease holder records it.
type queuedRequest struct {
	Requester string `cbor:"From"`
	loadreport.Incarnation
	ID        uint32        `cbor:"ID"`
	Calls     int           `cbor:"N"`     // wanted in all
	Granted   int           `cbor:"Given"` // of them
	ExpiresAt time.Duration `cbor:"Until"`
}

// refill turns the rate held since the last refill into tokens. After a stop of the process, a lease counts up to its
// end. No more than tokenBurstWindow's tokens are saved up.
func (l *Ledger) refill(account *Account) {
	if l.Now <= account.RefilledAt {
		return
	}
	added := 0.0
	rate := 0.0
	for _, lease := range account.HeldLeases {
		if until := min(lease.ExpiresAt, l.Now); until > account.RefilledAt {
			added += lease.Rate * (until - account.RefilledAt).Seconds()
		}
		rate += lease.Rate
	}
	account.HeldLeases = slices.DeleteFunc(account.HeldLeases, func(lease heldLease) bool {
		return lease.ExpiresAt <= l.Now
	})
	maxRate := lendableFraction * account.Limit
	if rate > maxRate {
		added *= maxRate / rate
	}
	maxTokens := max(1, min(rate, maxRate)*tokenBurstWindow.Seconds())
	account.Tokens = min(maxTokens, account.Tokens+added*account.CapacityFraction*(1-headroomRatio))
	account.growCapacity(l.Now - account.RefilledAt)
	account.RefilledAt = l.Now
}

// receiveRequest takes a request of another member, and the outcomes that are reported with it.
func (l *Ledger) receiveRequest(m Message, request Request) {
	account := l.Accounts[request.Scope]
	if account == nil {
		return
	}
	account.recordMemberOutcomes(l.Now, m.Member, outcomeCount{m.Incarnation, request.Delivered, request.Rejected})
	l.enqueue(account, m, request)
}

// enqueue adds a request to the queue, or updates the one that its member has there.
func (l *Ledger) enqueue(account *Account, m Message, request Request) {
	added := queuedRequest{
		Requester:   m.Member,
		Incarnation: m.Incarnation,
		ID:          request.ID,
		Calls:       min(request.Calls, maxCallsPerRequest),
		ExpiresAt:   l.Now - m.TransitTime + GrantTTL,
	}
	i := slices.IndexFunc(account.Queue, func(queued queuedRequest) bool { return queued.Requester == m.Member })
	if i < 0 {
		if len(account.Queue) < maxQueuedRequests && added.Calls > 0 {
			account.Queue = append(account.Queue, added)
		}
		return
	}
	queued := &account.Queue[i]
	if queued.ID != added.ID || queued.Incarnation != added.Incarnation {
		*queued = added
		return
	}
	queued.Calls = added.Calls // ExpiresAt stays that of the first message of the request
	if queued.Granted > 0 {    // the grant may have been lost
		reply := l.messageTo(m.Member)
		reply.Grants = append(reply.Grants, Grant{Scope: request.Scope, ID: added.ID, Calls: queued.Granted})
	}
}

// hasWaitingRequest reports whether a request in the queue wants more calls than it was granted.
func (a *Account) hasWaitingRequest() bool {
	return slices.ContainsFunc(a.Queue, func(queued queuedRequest) bool { return queued.Granted < queued.Calls })
}

// grantTokens grants whole tokens to the requests in the queue, round robin, one call at a time.
func (l *Ledger) grantTokens(scope Scope, account *Account) {
	account.Queue = slices.DeleteFunc(account.Queue, func(queued queuedRequest) bool {
		return l.Now >= queued.ExpiresAt
	})
	satisfied := 0 // requests in succession that want no more
	for account.Tokens >= 1 && satisfied < len(account.Queue) {
		queued := account.Queue[0]
		account.Queue = append(account.Queue[:0], account.Queue[1:]...)
		if queued.Granted >= queued.Calls {
			// It stays in the queue, so that a repeated request is answered with the same grant.
			account.Queue = append(account.Queue, queued)
			satisfied++
			continue
		}
		satisfied = 0
		account.Tokens--
		queued.Granted++
		account.Queue = append(account.Queue, queued)
		l.sendGrant(queued.Requester, Grant{Scope: scope, ID: queued.ID, Calls: queued.Granted})
	}
}

// sendGrant sends a grant to a member, in place of an earlier one for the same request that has not left yet.
func (l *Ledger) sendGrant(member string, grant Grant) {
	if member == l.Settings.Self {
		l.receiveGrant(member, grant)
		return
	}
	m := l.messageTo(member)
	i := slices.IndexFunc(m.Grants, func(earlier Grant) bool {
		return earlier.Scope == grant.Scope && earlier.ID == grant.ID
	})
	if i >= 0 {
		m.Grants[i] = grant
		return
	}
	m.Grants = append(m.Grants, grant)
}
