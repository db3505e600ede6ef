package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// maxMessageItems bounds the leases, requests and grants of one message, so that it fits a datagram.
const maxMessageItems = 24

// Scope is what shares a limit: a destination, or an endpoint of it with a limit of its own.
type Scope struct {
	_           struct{} `cbor:",toarray"`
	Destination policy.DestinationID
	Endpoint    string
}

func (s Scope) compare(other Scope) int {
	return cmp.Or(cmp.Compare(s.Destination, other.Destination), cmp.Compare(s.Endpoint, other.Endpoint))
}

// Lease lends a lease holder a part of the sender's share. It also reports the outcomes of the sender's own calls.
type Lease struct {
	Scope     Scope   `cbor:"Scope"`
	Rate      float64 `cbor:"Rate"`    // calls a second
	Delivered uint32  `cbor:"Done"`    // calls of the sender's incarnation that were delivered
	Rejected  uint32  `cbor:"Refused"` // calls of the sender's incarnation that were rejected
}

// Request asks a lease holder for calls. Messages with the same ID are one request, and the newest of them counts. It
// also reports the outcomes of the sender's own calls.
type Request struct {
	Scope     Scope  `cbor:"Scope"`
	ID        uint32 `cbor:"ID"`
	Calls     int    `cbor:"N"` // wanted in all, those granted already included; 0 withdraws the request
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

// Grant answers a Request.
type Grant struct {
	Scope Scope  `cbor:"Scope"`
	ID    uint32 `cbor:"ID"`
	Calls int    `cbor:"N"` // granted in all so far
}

// Message is what one member sends to one other.
type Message struct {
	Member string `cbor:"Member"` // the sender of a received message, the receiver of one to be sent
	loadreport.Incarnation
	Seq         uint64        `cbor:"Seq"`
	TransitTime time.Duration `cbor:"Held"` // an upper bound
	// AckedSeq is the greatest Seq received from the other member in its AckedIncarnation.
	AckedSeq         uint64                 `cbor:"Seen"`
	AckedIncarnation loadreport.Incarnation `cbor:"Of"`
	Ping             bool                   `cbor:"Ping"` // asks for an answer
	// AsksForLeases asks whether the receiver holds a lease of another incarnation of the sender.
	AsksForLeases bool `cbor:"New"`
	// HoldsNoLease answers that it holds none, and will accept none for as long as one may be in transit.
	HoldsNoLease bool      `cbor:"None"`
	Leases       []Lease   `cbor:"Loans"`
	Requests     []Request `cbor:"Asks"`
	Grants       []Grant   `cbor:"Gives"`
}

func (m *Message) itemCount() int { return len(m.Leases) + len(m.Requests) + len(m.Grants) }

// messageTo returns the message that goes to a member with this step, to be added to.
func (l *Ledger) messageTo(member string) *Message {
	m := l.outbox[member]
	if m == nil {
		m = &Message{Member: member}
		l.outbox[member] = m
	}
	return m
}

// takeMessages empties the outbox, and returns its messages in datagrams, sorted by member.
func (l *Ledger) takeMessages() (messages []Message) {
	for _, member := range slices.Sorted(maps.Keys(l.outbox)) {
		m := l.outbox[member]
		messages = append(messages, l.takeDatagram(m))
		for m.itemCount() > 0 {
			messages = append(messages, l.takeDatagram(m))
		}
	}
	clear(l.outbox)
	return messages
}

// takeDatagram returns as much of a message as fits one datagram, with a sequence number of its own, and leaves the
// rest in m.
func (l *Ledger) takeDatagram(m *Message) Message {
	p := l.peer(m.Member)
	l.Seq++
	datagram := Message{
		Member:           m.Member,
		Incarnation:      l.Settings.Incarnation,
		Seq:              l.Seq,
		AckedSeq:         p.LastSeq,
		AckedIncarnation: p.Incarnation,
		Ping:             m.Ping,
		AsksForLeases:    m.AsksForLeases,
		HoldsNoLease:     m.HoldsNoLease,
	}
	if m.HoldsNoLease {
		datagram.AckedIncarnation = p.AcceptedIncarnation
	}
	free := maxMessageItems
	datagram.Grants, m.Grants = takeUpTo(m.Grants, &free)
	datagram.Requests, m.Requests = takeUpTo(m.Requests, &free)
	datagram.Leases, m.Leases = takeUpTo(m.Leases, &free)
	if len(datagram.Leases) > 0 {
		p.LeasesSentAt = l.Now
		p.LeasesSeq = l.Seq
		p.LeasesAcked = false
	}
	for _, request := range datagram.Requests {
		l.Accounts[request.Scope].Pending.SentSeq = l.Seq
	}
	return datagram
}

// takeUpTo splits off as many items as are free, and lowers free by their number.
func takeUpTo[T any](items []T, free *int) (taken, rest []T) {
	n := min(len(items), *free)
	*free -= n
	return items[:n:n], items[n:]
}

// Receive takes a message that was received from another member. One that is older than another of the same incarnation
// is late or a duplicate: of it only the grants still count, since they state totals.
func (l *Ledger) Receive(now time.Duration, m Message) {
	l.Now = now
	if !slices.Contains(l.Settings.Members, m.Member) || m.Member == l.Settings.Self || m.TransitTime < 0 {
		return
	}
	p := l.peer(m.Member)
	if m.AsksForLeases && (m.Incarnation == p.Incarnation || now >= p.AcceptOnlyUntil) {
		// Before incarnations are compared: a member that has lost its data directory starts with a lesser one.
		l.answerLeaseQuery(m, p)
	}
	if !p.accepts(now, m.Incarnation) {
		return
	}
	l.updatePeer(p, m)
	for _, grant := range m.Grants {
		l.receiveGrant(m.Member, grant)
	}
	if m.Seq <= p.LastSeq {
		return
	}
	p.LastSeq = m.Seq
	if m.Ping || m.AsksForLeases || len(m.Leases)+len(m.Requests) > 0 {
		l.messageTo(m.Member) // sent even if nothing is added: it acknowledges this one
	}
	for _, lease := range m.Leases {
		l.receiveLease(m, lease)
	}
	for _, request := range m.Requests {
		l.receiveRequest(m, request)
	}
}
