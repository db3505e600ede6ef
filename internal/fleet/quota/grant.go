package quota

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// tokenBurstWindow bounds the tokens that a lease holder accumulates to those of this much time. It may always
	// accumulate one token, however low its rate.
	tokenBurstWindow = 300 * time.Millisecond
	// maxQueuedRequests bounds the requests in a lease holder's queue for one scope.
	maxQueuedRequests = 4096
	// headroomRatio is the fraction of the held rate that is not granted. Calls come in bursts, and exceeding the
	// destination's limit costs more than the headroom does.
	headroomRatio = 0.05
)

// queuedRequest is a request in the queue of its lease holder.
type queuedRequest struct {
	Requester string `cbor:"From"`
	loadreport.Incarnation
	ID        uint32        `cbor:"ID"`
	Calls     int           `cbor:"N"`     // wanted in total
	Granted   int           `cbor:"Given"` // how many of Calls were granted so far
	ExpiresAt time.Duration `cbor:"Until"`
}

// refill converts the rate held since the last refill into tokens. A lease that has expired since then, for example
// while the process was stopped, counts until its expiry. Tokens beyond those of tokenBurstWindow are discarded.
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

// receiveRequest processes a request of another member and the outcomes that are reported with it.
func (l *Ledger) receiveRequest(m Message, request Request) {
	account := l.Accounts[request.Scope]
	if account == nil {
		return
	}
	account.recordMemberOutcomes(l.Now, m.Member, outcomeCount{m.Incarnation, request.Delivered, request.Rejected})
	l.enqueue(account, m, request)
}

// enqueue adds a request to the queue. If the queue has a request of the same member, it updates or replaces that one.
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
	if queued.Granted > 0 {    // the message with the grant may have been lost
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
	satisfied := 0 // consecutive requests that want no more calls
	for account.Tokens >= 1 && satisfied < len(account.Queue) {
		queued := account.Queue[0]
		account.Queue = append(account.Queue[:0], account.Queue[1:]...)
		if queued.Granted >= queued.Calls {
			// The request stays in the queue until it expires, so that a repeat of it is answered with the same grant.
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

// sendGrant adds a grant to the outgoing message for a member, where it replaces an earlier grant for the same request.
// A grant to this member itself takes effect at once.
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
