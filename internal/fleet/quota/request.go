package quota

import "time"

const (
	// GrantTTL is how long a granted call may be used, from when it was requested.
	GrantTTL = 2 * time.Second

	// maxCallsPerRequest bounds the calls of one request.
	maxCallsPerRequest = 16
	// requestIdleTimeout is the time after which a request that the policy does not repeat is withdrawn.
	requestIdleTimeout = 600 * time.Millisecond
	// outcomeReportInterval is how often a request that was acknowledged is sent again, to report the outcomes of calls
	// meanwhile.
	outcomeReportInterval = time.Second
)

// pendingRequest is a request as the member that makes it records it.
type pendingRequest struct {
	ID          uint32        `cbor:"ID"`
	Calls       int           `cbor:"N"`   // wanted in all; 0: there is no request
	Granted     int           `cbor:"Got"` // of them
	LeaseHolder string        `cbor:"To"`
	RequestedAt time.Duration `cbor:"At"`
	RepeatedAt  time.Duration `cbor:"Again"` // when the policy asked for calls last
	SentAt      time.Duration `cbor:"Sent"`
	SentSeq     uint64        `cbor:"Seq"` // of the message that carried it last; 0: none has
	Acked       bool          `cbor:"Acked"`
}

func (r *pendingRequest) satisfied() bool { return r.Granted >= r.Calls }

func (r *pendingRequest) expired(now time.Duration) bool { return now >= r.RequestedAt+GrantTTL }

// Request asks for a number of calls in all. The policy repeats it for as long as it wants them.
func (l *Ledger) Request(now time.Duration, scope Scope, calls int) {
	l.Now = now
	account := l.Accounts[scope]
	if account == nil || account.Limit <= 0 || calls <= 0 || account.LeaseHolder == "" {
		return
	}
	pending := &account.Pending
	if pending.satisfied() || pending.expired(now) || pending.LeaseHolder != account.LeaseHolder {
		l.NextID++
		*pending = pendingRequest{ID: l.NextID, LeaseHolder: account.LeaseHolder, RequestedAt: now, SentAt: never}
	}
	if wanted := min(maxCallsPerRequest, pending.Granted+calls); wanted > pending.Calls {
		pending.Calls = wanted
		pending.SentAt = never
		pending.Acked = false
	}
	pending.RepeatedAt = now
}

// sendRequest sends this member's request if it is due, or puts it into the queue where the member is itself the lease
// holder.
func (l *Ledger) sendRequest(scope Scope, account *Account) {
	pending := &account.Pending
	if pending.Calls == 0 {
		return
	}
	if pending.expired(l.Now) || pending.satisfied() {
		pending.Calls = 0
		return
	}
	if l.Now >= pending.RepeatedAt+requestIdleTimeout {
		pending.Calls = pending.Granted // withdraws it, and is sent at once
	} else if !pending.sendDue(l.Now) {
		return
	}
	pending.SentAt = l.Now
	request := Request{
		Scope:     scope,
		ID:        pending.ID,
		Calls:     pending.Calls,
		Delivered: account.Delivered,
		Rejected:  account.Rejected,
	}
	if pending.LeaseHolder == l.Settings.Self {
		l.recordOwnOutcomes(account)
		l.enqueue(account, Message{Member: l.Settings.Self, Incarnation: l.Settings.Incarnation}, request)
	} else {
		m := l.messageTo(pending.LeaseHolder)
		m.Requests = append(m.Requests, request)
	}
	if pending.satisfied() {
		pending.Calls = 0
	}
}

// sendDue reports whether a request is to be sent, for the first time or again.
func (r *pendingRequest) sendDue(now time.Duration) bool {
	if r.Acked {
		return now >= r.SentAt+outcomeReportInterval
	}
	return now >= r.SentAt+resendInterval
}

// receiveGrant takes calls that a lease holder grants. Late and duplicate grants are ignored.
func (l *Ledger) receiveGrant(member string, grant Grant) {
	account := l.Accounts[grant.Scope]
	if account == nil {
		return
	}
	pending := &account.Pending
	matches := pending.Calls > 0 && pending.ID == grant.ID && pending.LeaseHolder == member
	if !matches || pending.expired(l.Now) {
		return
	}
	calls := min(grant.Calls, maxCallsPerRequest) - pending.Granted
	if calls <= 0 {
		return
	}
	pending.Granted += calls
	l.changes = append(l.changes, Change{
		Scope:            grant.Scope,
		ReservedFraction: account.NotifiedFraction,
		Calls:            calls,
		TTL:              pending.RequestedAt + GrantTTL - l.Now,
	})
}
