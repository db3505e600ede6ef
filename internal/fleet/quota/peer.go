package quota

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// livenessTimeout is how long a member counts as live after it has sent a message. Only live members become lease
	// holders.
	livenessTimeout = 3 * time.Second
	// pingInterval is the time between two pings, or two lease queries, to a member that does not answer.
	pingInterval = 250 * time.Millisecond
	// maxPings bounds the silent members that are pinged for one scope at a time.
	maxPings = 3
)

// peer is this member's record of another member.
type peer struct {
	loadreport.Incarnation
	LastSeq    uint64        `cbor:"Seen"`  // the greatest sequence number received from this incarnation
	LastSentAt time.Duration `cbor:"Heard"` // the earliest time at which the peer can have sent its last message
	PingedAt   time.Duration `cbor:"Pinged"`

	// The last leases sent to the peer, and whether it has acknowledged them.
	LeasesSentAt time.Duration `cbor:"Sent"`
	LeasesAcked  bool          `cbor:"Acked"`
	LeasesSeq    uint64        `cbor:"SentAs"`

	// HoldsNoLease is set once the peer has answered that it holds no lease of another incarnation of this member.
	HoldsNoLease bool          `cbor:"None"`
	QueriedAt    time.Duration `cbor:"Asked"` // when the peer was last asked whether it holds such a lease

	// AcceptedIncarnation is the only incarnation of the peer whose messages are accepted before AcceptOnlyUntil. This
	// member has confirmed to that incarnation that it holds no lease of another one.
	AcceptedIncarnation loadreport.Incarnation `cbor:"Only"`
	AcceptOnlyUntil     time.Duration          `cbor:"Until"`
}

// peer returns the record of another member, and creates it if there is none yet.
func (l *Ledger) peer(member string) *peer {
	p := l.Peers[member]
	if p == nil {
		p = &peer{LastSentAt: never, PingedAt: never, LeasesSentAt: never, LeasesAcked: true}
		l.Peers[member] = p
	}
	return p
}

// accepts reports whether messages of an incarnation are accepted. Those of an incarnation before the current one are
// not. Before AcceptOnlyUntil, only those of AcceptedIncarnation are.
func (p *peer) accepts(now time.Duration, incarnation loadreport.Incarnation) bool {
	if incarnation.Compare(p.Incarnation) < 0 {
		return false
	}
	return now >= p.AcceptOnlyUntil || incarnation == p.AcceptedIncarnation
}

// updatePeer updates the record of a message's sender, and marks the leases and requests that the message acknowledges.
func (l *Ledger) updatePeer(p *peer, m Message) {
	acksThisIncarnation := m.AckedIncarnation == l.Settings.Incarnation
	if m.HoldsNoLease && acksThisIncarnation {
		p.HoldsNoLease = true
	}
	if m.Incarnation != p.Incarnation {
		p.Incarnation = m.Incarnation
		p.LastSeq = 0
	}
	if m.TransitTime <= livenessTimeout {
		p.LastSentAt = max(p.LastSentAt, l.Now-m.TransitTime)
	}
	if !acksThisIncarnation {
		return
	}
	if m.AckedSeq >= p.LeasesSeq {
		p.LeasesAcked = true
	}
	for _, account := range l.Accounts {
		pending := &account.Pending
		if pending.LeaseHolder == m.Member && pending.SentSeq > 0 && m.AckedSeq >= pending.SentSeq {
			pending.Acked = true
		}
	}
}

// isLive reports whether a member counts as live, so that it may become lease holder.
func (l *Ledger) isLive(member string) bool {
	return member == l.Settings.Self || l.Now-l.peer(member).LastSentAt < livenessTimeout
}

// leaseHolder returns the first live member in a scope's own order. The order is that of rendezvous hashing, so that
// few lease holders change when members come or go. Silent members before the first live one are pinged, so that their
// return is noticed.
func (l *Ledger) leaseHolder(scope Scope) string {
	pings := 0
	for _, candidate := range rankMembers(l.Settings.Members, scope) {
		if l.isLive(candidate.name) {
			return candidate.name
		}
		p := l.peer(candidate.name)
		if pings < maxPings && l.Now >= p.PingedAt+pingInterval {
			p.PingedAt = l.Now
			l.messageTo(candidate.name).Ping = true
			pings++
		}
	}
	return l.Settings.Self
}

// rankedMember is a candidate for lease holder.
type rankedMember struct {
	name string
	hash uint64
}

// rankMembers sorts members by their rendezvous hash for a scope, greatest first.
func rankMembers(members []string, scope Scope) []rankedMember {
	ranked := make([]rankedMember, 0, len(members))
	for _, name := range members {
		ranked = append(ranked, rankedMember{name, rendezvousHash(name, scope)})
	}
	slices.SortFunc(ranked, func(x, y rankedMember) int {
		return cmp.Or(cmp.Compare(y.hash, x.hash), cmp.Compare(x.name, y.name))
	})
	return ranked
}

// rendezvousHash hashes a member's name, the destination as eight little-endian bytes, and the endpoint. It must be the
// same on all members.
func rendezvousHash(member string, scope Scope) uint64 {
	var destination [8]byte
	binary.LittleEndian.PutUint64(destination[:], uint64(scope.Destination))
	var digest xxhash.Digest
	digest.Reset()
	// Writes to a digest never fail.
	_, _ = digest.WriteString(member)
	_, _ = digest.Write(destination[:])
	_, _ = digest.WriteString(scope.Endpoint)
	return digest.Sum64()
}
