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

// Scope identifies a rate limit: that of a destination, or that of one of its endpoints. Endpoint is empty for the
// limit of a destination.
type Scope struct {
	_           struct{} `cbor:",toarray"`
	Destination policy.DestinationID
	Endpoint    string
}

func (s Scope) compare(other Scope) int {
	return cmp.Or(cmp.Compare(s.Destination, other.Destination), cmp.Compare(s.Endpoint, other.Endpoint))
}

// Lease lends a lease holder a part of the sender's even share. It also reports the outcomes of the sender's own calls.
type Lease struct {
	Scope     Scope   `cbor:"Scope"`
	Rate      float64 `cbor:"Rate"`    // calls a second
	Delivered uint32  `cbor:"Done"`    // delivered calls of the sender's incarnation, in total
	Rejected  uint32  `cbor:"Refused"` // rejected calls of the sender's incarnation, in total
}

// Request asks a lease holder for calls. Messages with the same ID belong to one request, of which the newest counts. A
// Request also reports the outcomes of the sender's own calls, as a Lease does.
type Request struct {
	Scope Scope  `cbor:"Scope"`
	ID    uint32 `cbor:"ID"`
	// Calls is the total number of wanted calls, including those granted already. If it is no greater than the number
	// granted, the sender wants no more.
	Calls     int    `cbor:"N"`
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

// Grant answers the Request with the same ID.
type Grant struct {
	Scope Scope  `cbor:"Scope"`
	ID    uint32 `cbor:"ID"`
	Calls int    `cbor:"N"` // granted in total so far
}

// Message is sent from one member to another.
type Message struct {
	Member string `cbor:"Member"` // the sender of a received message, the receiver of one to be sent
	loadreport.Incarnation
	Seq         uint64        `cbor:"Seq"`
	TransitTime time.Duration `cbor:"Held"` // an upper bound, set by the receiver
	// AckedSeq is the greatest Seq received from the other member in its AckedIncarnation. With HoldsNoLease,
	// AckedIncarnation is the incarnation that has asked.
	AckedSeq         uint64                 `cbor:"Seen"`
	AckedIncarnation loadreport.Incarnation `cbor:"Of"`
	Ping             bool                   `cbor:"Ping"` // requests any message in reply
	// AsksForLeases asks whether the receiver holds a lease of another incarnation of the sender.
	AsksForLeases bool `cbor:"New"`
	// HoldsNoLease answers AsksForLeases: the sender holds no such lease, and accepts none for as long as one may be in
	// transit.
	HoldsNoLease bool      `cbor:"None"`
	Leases       []Lease   `cbor:"Loans"`
	Requests     []Request `cbor:"Asks"`
	Grants       []Grant   `cbor:"Gives"`
}

func (m *Message) itemCount() int { return len(m.Leases) + len(m.Requests) + len(m.Grants) }

// messageTo returns the message for a member in the outbox, to which the caller adds items. It creates the message if
// there is none.
func (l *Ledger) messageTo(member string) *Message {
	m := l.outbox[member]
	if m == nil {
		m = &Message{Member: member}
		l.outbox[member] = m
	}
	return m
}

// takeMessages empties the outbox and returns its messages, split into datagrams and sorted by member.
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

// takeDatagram returns as much of a message as fits one datagram, under a new sequence number. The remaining items stay
// in m.
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

// takeUpTo splits off up to *free items and lowers *free by their number.
func takeUpTo[T any](items []T, free *int) (taken, rest []T) {
	n := min(len(items), *free)
	*free -= n
	return items[:n:n], items[n:]
}

// Receive processes a message from another member. A message that is no newer than one received earlier from the same
// incarnation is late or a duplicate. Its leases and requests are ignored, but its grants still count, since they state
// totals.
func (l *Ledger) Receive(now time.Duration, m Message) {
	l.Now = now
	if !slices.Contains(l.Settings.Members, m.Member) || m.Member == l.Settings.Self || m.TransitTime < 0 {
		return
	}
	p := l.peer(m.Member)
	if m.AsksForLeases && (m.Incarnation == p.Incarnation || now >= p.AcceptOnlyUntil) {
		// Answered before incarnations are compared, because a member that has lost its data directory starts with a
		// lesser incarnation than before.
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
		l.messageTo(m.Member) // creates a reply, which acknowledges m even if nothing is added to it
	}
	for _, lease := range m.Leases {
		l.receiveLease(m, lease)
	}
	for _, request := range m.Requests {
		l.receiveRequest(m, request)
	}
}
