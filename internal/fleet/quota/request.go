package quota

import "time"

const (
	// GrantTTL is how long after its request a granted call may still be made.
	GrantTTL = 2 * time.Second

	// maxCallsPerRequest bounds the calls of one request.
	maxCallsPerRequest = 16
	// requestIdleTimeout is the time after which a request is withdrawn if the policy does not repeat it.
	requestIdleTimeout = 600 * time.Millisecond
	// outcomeReportInterval is the time after which an acknowledged request is sent again, only to report the outcomes
	// of further calls.
	outcomeReportInterval = time.Second
)

// pendingRequest is the requesting member's record of its current request.
type pendingRequest struct {
	ID          uint32        `cbor:"ID"`
	Calls       int           `cbor:"N"`   // wanted in total; 0: there is no request
	Granted     int           `cbor:"Got"` // how many of Calls were granted so far
	LeaseHolder string        `cbor:"To"`
	RequestedAt time.Duration `cbor:"At"`
	RepeatedAt  time.Duration `cbor:"Again"` // when the policy last requested calls
	SentAt      time.Duration `cbor:"Sent"`
	SentSeq     uint64        `cbor:"Seq"` // sequence number of the last message with this request; 0: not sent yet
	Acked       bool          `cbor:"Acked"`
}

func (r *pendingRequest) satisfied() bool { return r.Granted >= r.Calls }

func (r *pendingRequest) expired(now time.Duration) bool { return now >= r.RequestedAt+GrantTTL }

// Request requests a number of calls from the scope's lease holder, in addition to those granted already. The policy
// repeats the request for as long as it wants the calls.
func (l *Ledger) Request(now time.Duration, scope Scope, calls int) {
	l.Now = now
	account := l.Accounts[scope]
	if account == nil || account.Limit <= 0 || calls <= 0 || account.LeaseHolder == "" {
		return
	}
	pending := &account.Pending
	if pending.satisfied() || pending.expired(now) || pending.LeaseHolder != account.LeaseHolder {
		l.LastID++
		*pending = pendingRequest{ID: l.LastID, LeaseHolder: account.LeaseHolder, RequestedAt: now, SentAt: never}
	}
	if wanted := min(maxCallsPerRequest, pending.Granted+calls); wanted > pending.Calls {
		pending.Calls = wanted
		pending.SentAt = never
		pending.Acked = false
	}
	pending.RepeatedAt = now
}

// sendRequest sends this member's request to the lease holder if it is due. If this member is the lease holder itself,
// the request goes straight into the queue.
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
		pending.Calls = pending.Granted // withdraws the request, which is sent at once
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

// sendDue reports whether a request is to be sent, either for the first time or again.
func (r *pendingRequest) sendDue(now time.Duration) bool {
	if r.Acked {
		return now >= r.SentAt+outcomeReportInterval
	}
	return now >= r.SentAt+resendInterval
}

// receiveGrant records calls that a lease holder has granted. Late and duplicate grants are ignored.
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
