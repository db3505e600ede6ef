// Package rights splits what a destination takes from all relays of a fleet into rights to call it. It is pure: no
// clock, no I/O, no random numbers. Times are the member's own monotonic ones; what travels is as old as its carrier's
// bound from above says (ledger.Transit).
//
// Each member has an even part of a told limit. It keeps a share of it for itself, always, and lends the rest, for a
// lease, to the one of those that it hears which stands first for that destination: its keeper. A keeper mints whole
// calls from what it holds and gives them to members that ask.
//
// What holds by construction: a lender does not use what it has lent until the lease is over by its own clock, with a
// margin for clocks that run apart; a keeper stops before that, since it counts the lease from when the loan was sent
// at the latest. A process that begins anew may have lent all that it lends in a life that it does not remember: it
// waits a lease out. So what all may use at once is never more than the limit, whatever is lost, doubled, late, stopped
// or restarted. Nothing of a member that is silent is given away but what it lent itself.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// Lease is how long a loan lasts, Margin how much longer its lender leaves it alone: clocks run apart by
	// ledger.Drift, and steps are taken a little late.
	LeaseDuration = 2 * time.Second
	LeaseMargin   = 150 * time.Millisecond
	// Kept is the share of its even part that a member never lends.
	ReservedFraction = 0.2
	// Valid is how long a right may be used, from when it was asked for.
	GrantTTL = 2 * time.Second

	checkInterval         = 100 * time.Millisecond // at the latest all is looked at
	renewInterval         = 600 * time.Millisecond
	resendInterval        = 300 * time.Millisecond // what is not acknowledged, and an ask that is not answered
	livenessTimeout       = 3 * time.Second        // who was heard within it may be a keeper
	outcomeReportInterval = time.Second            // one that is acknowledged, with how calls went meanwhile
	startupWindow         = 4 * time.Second
	pingInterval          = 250 * time.Millisecond
	maxPings              = 3                      // of those that would stand before the keeper, if they were heard
	requestIdleTimeout    = 600 * time.Millisecond // an ask that nobody repeats is taken back
	tokenBurstWindow      = 300 * time.Millisecond // of what a keeper mints, it saves up at most, and one call at least
	maxCallsPerRequest    = 16                     // calls
	maxQueuedRequests     = 4096                   // asks at a keeper, by destination
	maxScopes             = 1024
	maxMessageItems       = 24 // loans, asks and gives

	// A keeper believes in the limit as far as calls bear it out: AIMD of one sender, over what all members report.
	estimateInterval       = 500 * time.Millisecond
	minOutcomes            = 8                      // outcomes that a look needs
	sparseEstimateInterval = 2 * time.Second        // after which few are enough to let it grow, if none was refused
	ignoreAfterDecrease    = 800 * time.Millisecond // after a cut: what is reported then was out before
	maxRejectedRatio       = 0.12                   // refused of all
	decreaseGain           = 1.2                    // of the share that was refused
	minDecreaseFactor      = 0.25                   // a cut leaves so much at least
	minCapacityFraction    = 0.08
	// cuts that follow so soon are of one fall: what the first one tells is the nearest to the limit
	episodeWindow = 3 * time.Second
	// Of itself a second, after a look that found little refused: quickly up to near what was refused last, slowly past
	// it, and quickly again: the limit is another one then.
	fastGrowthRate = 0.35
	slowGrowthRate = 0.08
	slowGrowthFrom = 0.85
	slowGrowthTo   = 1.1
	headroomRatio  = 0.05 // of what is lent, that is not minted: calls come in clumps, and a limit that is hit costs more
)

// Scope is what shares a limit: a destination, or a route of it that stands apart.
type Scope struct {
	_           struct{} `cbor:",toarray"`
	Destination int
	Endpoint    string
}

func (s Scope) compare(o Scope) int {
	return cmp.Or(cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Endpoint, o.Endpoint))
}

// Lease is what a member lends another of its part, and what became of its own calls.
type Lease struct {
	Scope     Scope   `cbor:"Scope"`
	Rate      float64 `cbor:"Rate"`    // calls a second
	Delivered uint32  `cbor:"Done"`    // calls in this life that were delivered
	Rejected  uint32  `cbor:"Refused"` // calls in this life that were refused
}

// Request is for calls. Those of one ID are one, and the newest counts: N is how many are wanted in all, 0 takes
// it back.
type Request struct {
	Scope     Scope  `cbor:"Scope"`
	ID        uint32 `cbor:"ID"`
	Calls     int    `cbor:"N"`
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

// Grant answers an Ask: N calls in all so far.
type Grant struct {
	Scope Scope  `cbor:"Scope"`
	ID    uint32 `cbor:"ID"`
	Calls int    `cbor:"N"`
}

// Message is what one member tells another alone.
type Message struct {
	Member string `cbor:"Member"` // from whom or to whom
	loadreport.Incarnation
	Seq              uint64                 `cbor:"Seq"`
	TransitTime      time.Duration          `cbor:"Held"` // how long it was under way, at most
	AckedSeq         uint64                 `cbor:"Seen"` // the greatest Seq heard of the other, of SeenLife
	AckedIncarnation loadreport.Incarnation `cbor:"Of"`
	Ping             bool                   `cbor:"Ping"` // asks for an answer
	AsksForLeases    bool                   `cbor:"New"`  // asks whether a loan of another life of the sender is held
	HoldsNoLease     bool                   `cbor:"None"` // none is, and none will be taken as long as one may be under way
	Leases           []Lease                `cbor:"Loans"`
	Requests         []Request              `cbor:"Asks"`
	Grants           []Grant                `cbor:"Gives"`
}

// Settings are what a Book is made of.
type Settings struct {
	Self          string                 `cbor:"Self"`
	Incarnation   loadreport.Incarnation `cbor:"Life"`
	Members       []string               `cbor:"Members"` // that are listed
	FleetSize     int                    `cbor:"Senders"` // the told size of the fleet: parts are of it, however many are listed
	LeaseDuration time.Duration          `cbor:"Lease"`
	LeaseMargin   time.Duration          `cbor:"Margin"`
	Fresh         bool                   `cbor:"Fresh"` // no earlier life of this member can have lent anything
}

type lentLease struct {
	Holder        string        `cbor:"To"`
	Rate          float64       `cbor:"Rate"`
	ReservedUntil time.Duration `cbor:"Until"` // the lender leaves it alone before
}

type heldLease struct {
	Lender string `cbor:"From"`
	loadreport.Incarnation
	Rate      float64       `cbor:"Rate"`
	ExpiresAt time.Duration `cbor:"Until"`
}

type outcomeCount struct {
	loadreport.Incarnation
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

type queuedRequest struct {
	Requester string `cbor:"From"`
	loadreport.Incarnation
	ID        uint32        `cbor:"ID"`
	Calls     int           `cbor:"N"`
	Granted   int           `cbor:"Given"`
	ExpiresAt time.Duration `cbor:"Until"`
}

// pendingRequest is an ask of this member's.
type pendingRequest struct {
	ID          uint32        `cbor:"ID"`
	Calls       int           `cbor:"N"` // 0: there is none
	Granted     int           `cbor:"Got"`
	LeaseHolder string        `cbor:"To"`
	RequestedAt time.Duration `cbor:"At"`
	RepeatedAt  time.Duration `cbor:"Again"` // wanted last
	SentAt      time.Duration `cbor:"Sent"`
	SentSeq     uint64        `cbor:"Seq"` // of the message it left with last; 0: not yet
	Acked       bool          `cbor:"Acked"`
}

// Account is a Book's of one Scope. Its fields are exported for snapshots alone.
type Account struct {
	Limit                float64                 `cbor:"Limit"` // calls a second that all members may make; 0: not told, or no longer
	LentLeases           []lentLease             `cbor:"Lent"`
	LeaseHolder          string                  `cbor:"Keeper"` // that is lent to, and asked
	HeldLeases           []heldLease             `cbor:"Held"`   // by lender
	Tokens               float64                 `cbor:"Tokens"`
	RefilledAt           time.Duration           `cbor:"At"` // as of which
	Queue                []queuedRequest         `cbor:"Queue"`
	CapacityFraction     float64                 `cbor:"Belief"`
	LastRejectedFraction float64                 `cbor:"Met"`      // what was delivered of what was believed when it was refused last
	EstimatedAt          time.Duration           `cbor:"Looked"`   // at outcomes, last
	IgnoreOutcomesUntil  time.Duration           `cbor:"Deaf"`     // what is reported before then does not count
	Growing              bool                    `cbor:"Grows"`    // little was refused at the last look
	Outcomes             [2]float64              `cbor:"Outcomes"` // reported since: done, refused
	MemberOutcomes       map[string]outcomeCount `cbor:"Counts"`
	Pending              pendingRequest          `cbor:"Want"`
	Delivered            uint32                  `cbor:"Done"`
	Rejected             uint32                  `cbor:"Refused"`
	NotifiedFraction     float64                 `cbor:"Told"` // share that the module was told last
}

// peer is another member.
type peer struct {
	loadreport.Incarnation
	LastSeq             uint64                 `cbor:"Seen"`  // greatest Seq heard of it
	ReceivedAt          time.Duration          `cbor:"Heard"` // last; never: below 0
	PingedAt            time.Duration          `cbor:"Pinged"`
	LeasesSentAt        time.Duration          `cbor:"Sent"`   // loans, last
	LeasesAcked         bool                   `cbor:"Acked"`  // they are
	LeasesSeq           uint64                 `cbor:"SentAs"` // their Seq
	HoldsNoLease        bool                   `cbor:"None"`   // it holds no loan of another life of this member
	QueriedAt           time.Duration          `cbor:"Asked"`  // that, last
	AcceptedIncarnation loadreport.Incarnation `cbor:"Only"`   // it was told so: loans of other lives are not taken
	AcceptOnlyUntil     time.Duration          `cbor:"Until"`  // before then
}

// State is all that a Book holds, exported for snapshots alone.
type State struct {
	Settings  Settings           `cbor:"Set"`
	StartedAt time.Duration      `cbor:"Began"`
	Seq       uint64             `cbor:"Seq"`
	NextID    uint32             `cbor:"NextID"`
	Accounts  map[Scope]*Account `cbor:"Accounts"`
	Peers     map[string]*peer   `cbor:"Peers"`
	RenewAt   time.Duration      `cbor:"RenewAt"`
	CheckAt   time.Duration      `cbor:"LookAt"`
	Now       time.Duration      `cbor:"Now"`
}

// Ledger is a member's.
type Ledger struct {
	State
	sortedScopes []Scope // of the accounts
	outbox       map[string]*Message
	changes      []Change
}

// Change is what the decision module is told.
type Change struct {
	Scope            Scope
	ReservedFraction float64       // of its even part, that this member may use of itself
	Calls            int           // that it may make beyond it, now
	TTL              time.Duration // until these are void
}

// New returns the Book of a member that begins now.
func New(now time.Duration, set Settings) *Ledger {
	set.LeaseDuration, set.LeaseMargin = cmp.Or(set.LeaseDuration, LeaseDuration), cmp.Or(set.LeaseMargin, LeaseMargin)
	return &Ledger{
		State:  State{Settings: set, StartedAt: now, Now: now, Accounts: map[Scope]*Account{}, Peers: map[string]*peer{}},
		outbox: map[string]*Message{},
	}
}

// FinishRestore readies a Book that was read from a snapshot.
func (b *Ledger) FinishRestore() {
	b.outbox = map[string]*Message{}
	if b.Accounts == nil {
		b.Accounts = map[Scope]*Account{}
	}
	if b.Peers == nil {
		b.Peers = map[string]*peer{}
	}
	for _, a := range b.Accounts {
		if a.MemberOutcomes == nil {
			a.MemberOutcomes = map[string]outcomeCount{}
		}
	}
}

// SetIncarnation has the member go on under another life.
func (b *Ledger) SetIncarnation(life loadreport.Incarnation) { b.Settings.Incarnation = life }

// reservationTime is how long a lender leaves alone what it lends.
func (b *Ledger) reservationTime() time.Duration {
	return time.Duration(float64(b.Settings.LeaseDuration)*(1+2*loadreport.MaxClockDrift)) + b.Settings.LeaseMargin
}

func (b *Ledger) evenShare(a *Account) float64 {
	return a.Limit / float64(max(1, b.Settings.FleetSize))
}

// SetLimits takes what the list tells. What was lent of a destination that has gone stays lent.
func (b *Ledger) SetLimits(now time.Duration, limits loadreport.Limits) {
	b.Now = now
	for s, a := range b.Accounts {
		b.refill(s, a)
		a.Limit = limits[s.Destination][s.Endpoint]
	}
	// In their order: beyond the bound the same limits are lent for equal events.
	for _, dest := range slices.Sorted(maps.Keys(limits)) {
		routes := limits[dest]
		for _, route := range slices.Sorted(maps.Keys(routes)) {
			s, limit := Scope{Destination: dest, Endpoint: route}, routes[route]
			if _, apart := routes[""]; apart && len(routes) > 1 && route == "" || limit <= 0 {
				continue // the sum of routes that stand apart: no limit of anything
			}
			if b.Accounts[s] == nil && len(b.Accounts) < maxScopes {
				b.sortedScopes = b.sortedScopes[:0]
				b.Accounts[s] = &Account{
					Limit:            limit,
					RefilledAt:       now,
					CapacityFraction: 1,
					MemberOutcomes:   map[string]outcomeCount{},
					NotifiedFraction: 1,
				}
			}
		}
	}
}

// earlierLeasesPossible tells whether others may hold what an earlier life of this member has lent: until a lease is over, or all have
// said that they do not.
func (b *Ledger) earlierLeasesPossible() bool {
	if b.Settings.Fresh || b.Now >= b.StartedAt+b.reservationTime() {
		return false
	}
	for _, name := range b.Settings.Members {
		if p := b.Peers[name]; name != b.Settings.Self && (p == nil || !p.HoldsNoLease) {
			return true
		}
	}
	return false
}

// queryEarlierLeases asks all that have not said so.
func (b *Ledger) queryEarlierLeases() {
	for _, name := range b.Settings.Members {
		if p := b.peer(name); name != b.Settings.Self && !p.HoldsNoLease && b.Now >= p.QueriedAt+pingInterval {
			p.QueriedAt = b.Now
			b.messageTo(name).AsksForLeases = true
		}
	}
}

// answerLeaseQuery tells a new life of a member whether a loan of another one is held.
func (b *Ledger) answerLeaseQuery(m Message, p *peer) {
	for _, a := range b.Accounts {
		for _, h := range a.HeldLeases {
			if h.Lender == m.Member && h.Incarnation != m.Incarnation && b.Now < h.ExpiresAt {
				return // it asks again, or waits
			}
		}
	}
	p.AcceptedIncarnation, p.AcceptOnlyUntil = m.Incarnation, b.Now+b.reservationTime()
	b.messageTo(m.Member).HoldsNoLease = true
}

// lentRate is how much of its part others may still use.
func (b *Ledger) lentRate(s Scope, a *Account) (sum float64) {
	if b.earlierLeasesPossible() {
		sum = (1 - ReservedFraction) * b.evenShare(a) // to whom, an earlier life knew
	}
	return sum + a.outstandingRate(b.Now)
}

// outstandingRate is what members but those named may still use of what was lent: of each the greatest loan counts until it is
// over.
func (a *Account) outstandingRate(now time.Duration, but ...string) (sum float64) {
	most := map[string]float64{}
	for _, l := range a.LentLeases {
		if now < l.ReservedUntil && !slices.Contains(but, l.Holder) {
			most[l.Holder] = max(most[l.Holder], l.Rate)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(most)) {
		sum += most[to]
	}
	return sum
}

// OwnRate is how many calls a second of a destination this member may make of itself.
func (b *Ledger) OwnRate(now time.Duration, s Scope) float64 {
	a := b.Accounts[s]
	if a == nil {
		return 0
	}
	b.Now = now
	return max(0, b.evenShare(a)-b.lentRate(s, a))
}

// GrantRate is how many calls a second of a destination this member mints as a keeper.
func (b *Ledger) GrantRate(now time.Duration, s Scope) float64 {
	a := b.Accounts[s]
	if a == nil {
		return 0
	}
	sum := 0.0
	for _, h := range a.HeldLeases {
		if now < h.ExpiresAt {
			sum += h.Rate
		}
	}
	return min(sum, (1-ReservedFraction)*a.Limit) * a.CapacityFraction * (1 - headroomRatio)
}

// ScopeStatus tells of one Scope how a member stands.
type ScopeStatus struct {
	Destination      int     `json:"dest"`
	Endpoint         string  `json:"route,omitempty"`
	Limit            float64 `json:"limit"`   // calls a second that all may make, as the list tells
	OwnRate          float64 `json:"own"`     // that this member may make of itself
	Lent             float64 `json:"lent"`    // of its part that others may use
	LeaseHolder      string  `json:"keeper"`  // that it lends to, and asks
	GrantRate        float64 `json:"mints"`   // that it gives to others as a keeper
	CapacityFraction float64 `json:"belief"`  // in the limit, as a keeper: 1 is all of it
	PendingRequests  int     `json:"waiting"` // asks, as a keeper
}

// Status tells of all Scopes with a limit, in order.
func (b *Ledger) Status(now time.Duration) (all []ScopeStatus) {
	for _, s := range b.scopes() {
		if a := b.Accounts[s]; a.Limit > 0 {
			own := b.OwnRate(now, s)
			all = append(
				all,
				ScopeStatus{
					s.Destination,
					s.Endpoint,
					a.Limit,
					own,
					b.lentRate(s, a),
					a.LeaseHolder,
					b.GrantRate(now, s),
					a.CapacityFraction,
					len(a.Queue),
				},
			)
		}
	}
	return all
}

func (b *Ledger) scopes() []Scope {
	if len(b.sortedScopes) != len(b.Accounts) { // they come with the list, and go here
		b.sortedScopes = b.sortedScopes[:0]
		for s := range b.Accounts {
			b.sortedScopes = append(b.sortedScopes, s)
		}
		slices.SortFunc(b.sortedScopes, Scope.compare)
	}
	return b.sortedScopes
}

// refill turns what is held into calls up to now. What was held while this process was stopped counts as long as it was
// held, and no more is saved up than tokenBurstWindow's.
func (b *Ledger) refill(s Scope, a *Account) {
	if b.Now <= a.RefilledAt {
		return
	}
	minted, rate := 0.0, 0.0
	for _, h := range a.HeldLeases {
		if until := min(h.ExpiresAt, b.Now); until > a.RefilledAt {
			minted += h.Rate * (until - a.RefilledAt).Seconds()
		}
		rate += h.Rate
	}
	a.HeldLeases = slices.DeleteFunc(a.HeldLeases, func(h heldLease) bool { return h.ExpiresAt <= b.Now })
	most := (1 - ReservedFraction) * a.Limit
	if rate > most {
		minted *= most / rate
	}
	saved := max(1, min(rate, most)*tokenBurstWindow.Seconds())
	a.Tokens = min(saved, a.Tokens+minted*a.CapacityFraction*(1-headroomRatio))
	grows := fastGrowthRate
	if !a.Growing {
		grows = 0
	} else if a.CapacityFraction > slowGrowthFrom*a.LastRejectedFraction && a.CapacityFraction < slowGrowthTo*a.LastRejectedFraction {
		grows = slowGrowthRate
	}
	a.CapacityFraction = min(1, a.CapacityFraction*(1+grows*min(1, (b.Now-a.RefilledAt).Seconds())))
	a.RefilledAt = b.Now
}

// messageTo is the message to a member that leaves with this step.
func (b *Ledger) messageTo(member string) *Message {
	m := b.outbox[member]
	if m == nil {
		m = &Message{Member: member}
		b.outbox[member] = m
	}
	return m
}

func (b *Ledger) peer(member string) *peer {
	p := b.Peers[member]
	if p == nil {
		p = &peer{ReceivedAt: -time.Hour, PingedAt: -time.Hour, LeasesSentAt: -time.Hour, LeasesAcked: true}
		b.Peers[member] = p
	}
	return p
}

// Receive takes a message that came. One that is older than another of the same life is late, or has come twice: only
// what it gives still counts, since that is counted in all.
func (b *Ledger) Receive(now time.Duration, m Message) {
	b.Now = now
	if !slices.Contains(b.Settings.Members, m.Member) || m.Member == b.Settings.Self || m.TransitTime < 0 {
		return
	}
	p := b.peer(m.Member)
	if m.AsksForLeases && (m.Incarnation == p.Incarnation || now >= p.AcceptOnlyUntil) {
		b.answerLeaseQuery(m, p) // before its life is looked at: one that has lost its folder begins with a lesser one
	}
	if m.Incarnation.Compare(p.Incarnation) < 0 || now < p.AcceptOnlyUntil && m.Incarnation != p.AcceptedIncarnation {
		return
	}
	p.HoldsNoLease = p.HoldsNoLease || m.HoldsNoLease && m.AckedIncarnation == b.Settings.Incarnation
	if m.Incarnation != p.Incarnation {
		p.Incarnation, p.LastSeq = m.Incarnation, 0
	}
	if m.TransitTime <= livenessTimeout {
		p.ReceivedAt = max(p.ReceivedAt, now-m.TransitTime)
	}
	if m.AckedIncarnation == b.Settings.Incarnation && m.AckedSeq >= p.LeasesSeq {
		p.LeasesAcked = true
	}
	for _, a := range b.Accounts {
		if w := &a.Pending; w.LeaseHolder == m.Member && w.SentSeq > 0 && m.AckedIncarnation == b.Settings.Incarnation &&
			m.AckedSeq >= w.SentSeq {
			w.Acked = true
		}
	}
	for _, g := range m.Grants {
		b.receiveGrant(m.Member, g)
	}
	if m.Seq <= p.LastSeq {
		return
	}
	p.LastSeq = m.Seq
	if m.Ping || m.AsksForLeases || len(m.Leases)+len(m.Requests) > 0 {
		b.messageTo(m.Member)
	}
	for _, l := range m.Leases {
		a := b.Accounts[l.Scope]
		if a == nil || !(l.Rate >= 0) {
			continue // of no use here, or no rate
		}
		b.refill(l.Scope, a)
		b.recordMemberOutcomes(a, m.Member, m.Incarnation, l.Delivered, l.Rejected)
		// No member can lend more than its part. Counted from when it was sent at the latest. A lease is never
		// shortened by a later loan: its lender counts both.
		a.addHeldLease(
			heldLease{
				m.Member,
				m.Incarnation,
				min(l.Rate, (1-ReservedFraction)*b.evenShare(a)),
				now - m.TransitTime + b.Settings.LeaseDuration,
			},
			now,
		)
	}
	for _, q := range m.Requests {
		if a := b.Accounts[q.Scope]; a != nil {
			b.recordMemberOutcomes(a, m.Member, m.Incarnation, q.Delivered, q.Rejected)
			b.enqueue(a, m, q)
		}
	}
}

// addHeldLease takes a loan in place of the one before it.
func (a *Account) addHeldLease(h heldLease, now time.Duration) {
	i, had := slices.BinarySearchFunc(
		a.HeldLeases,
		h.Lender,
		func(o heldLease, from string) int { return cmp.Compare(o.Lender, from) },
	)
	switch {
	case h.ExpiresAt <= now: // it came too late
	case had:
		a.HeldLeases[i] = h
	default:
		a.HeldLeases = slices.Insert(a.HeldLeases, i, h)
	}
}

func (b *Ledger) enqueue(a *Account, m Message, q Request) {
	x := queuedRequest{
		Requester:   m.Member,
		Incarnation: m.Incarnation,
		ID:          q.ID,
		Calls:       min(q.Calls, maxCallsPerRequest),
		ExpiresAt:   b.Now - m.TransitTime + GrantTTL,
	}
	i := slices.IndexFunc(a.Queue, func(x queuedRequest) bool { return x.Requester == m.Member })
	switch {
	case i < 0 && len(a.Queue) < maxQueuedRequests && x.Calls > 0:
		a.Queue = append(a.Queue, x)
	case i >= 0 && a.Queue[i].ID == x.ID && a.Queue[i].Incarnation == x.Incarnation:
		a.Queue[i].Calls = x.Calls // the time to use it in stays that of the first
		if a.Queue[i].Granted > 0 {
			// the answer may be lost
			b.messageTo(m.Member).Grants = append(b.messageTo(m.Member).Grants, Grant{q.Scope, x.ID, a.Queue[i].Granted})
		}
	case i >= 0:
		a.Queue[i] = x
	}
}

// recordMemberOutcomes takes how a member's calls went.
func (b *Ledger) recordMemberOutcomes(a *Account, member string, life loadreport.Incarnation, done, refused uint32) {
	was, ok := a.MemberOutcomes[member]
	if c := (outcomeCount{life, done, refused}); !ok || life.Compare(was.Incarnation) > 0 {
		a.MemberOutcomes[member] = c // what came before is not known
	} else if life == was.Incarnation && done >= was.Delivered && refused >= was.Rejected {
		if a.MemberOutcomes[member] = c; b.Now >= a.IgnoreOutcomesUntil {
			a.Outcomes[0] += float64(done - was.Delivered)
			a.Outcomes[1] += float64(refused - was.Rejected)
		}
	}
}

// estimateCapacity lowers what is believed of a limit by what was refused, once for all that was out together, and lets it grow
// where little was.
func (b *Ledger) estimateCapacity(a *Account) {
	all, since := a.Outcomes[0]+a.Outcomes[1], b.Now-a.EstimatedAt
	if since < estimateInterval || all < minOutcomes && (a.Outcomes[1] > 0 || since < sparseEstimateInterval) {
		return
	}
	share := a.Outcomes[1] / max(1, all)
	a.EstimatedAt, a.Outcomes, a.Growing = b.Now, [2]float64{}, share <= maxRejectedRatio
	if !a.Growing {
		if b.Now >= a.IgnoreOutcomesUntil+episodeWindow {
			a.LastRejectedFraction = a.CapacityFraction * (1 - share)
		}
		a.IgnoreOutcomesUntil = b.Now + ignoreAfterDecrease
		a.CapacityFraction = max(minCapacityFraction, a.CapacityFraction*max(minDecreaseFactor, 1-decreaseGain*share))
		a.Tokens = min(a.Tokens, 1)
	}
}

// receiveGrant takes calls that a keeper gives.
func (b *Ledger) receiveGrant(member string, g Grant) {
	a := b.Accounts[g.Scope]
	if a == nil || a.Pending.Calls == 0 || a.Pending.ID != g.ID || a.Pending.LeaseHolder != member ||
		b.Now >= a.Pending.RequestedAt+GrantTTL {
		return // it comes too late, or twice
	}
	if n := min(g.Calls, maxCallsPerRequest) - a.Pending.Granted; n > 0 {
		a.Pending.Granted += n
		b.changes = append(b.changes, Change{g.Scope, a.NotifiedFraction, n, a.Pending.RequestedAt + GrantTTL - b.Now})
	}
}

// Request asks for n calls in all to a destination. It is repeated as long as they are wanted.
func (b *Ledger) Request(now time.Duration, s Scope, n int) {
	b.Now = now
	a := b.Accounts[s]
	if a == nil || a.Limit <= 0 || n <= 0 || a.LeaseHolder == "" {
		return
	}
	w := &a.Pending
	if w.Calls == 0 || now >= w.RequestedAt+GrantTTL || w.Granted >= w.Calls || w.LeaseHolder != a.LeaseHolder {
		b.NextID++
		*w = pendingRequest{ID: b.NextID, LeaseHolder: a.LeaseHolder, RequestedAt: now, SentAt: -time.Hour}
	}
	if n = min(maxCallsPerRequest, w.Granted+n); n > w.Calls {
		w.Calls, w.SentAt, w.Acked = n, -time.Hour, false
	}
	w.RepeatedAt = now
}

// RecordOutcome takes that a call of this member's was delivered or refused.
func (b *Ledger) RecordOutcome(s Scope, refused bool) {
	if a := b.Accounts[s]; a == nil {
		return
	} else if refused {
		a.Rejected++
	} else {
		a.Delivered++
	}
}

// Step does what is due, and returns what is to be told to others and to the module.
func (b *Ledger) Step(now time.Duration) (send []Message, changes []Change) {
	b.Now = now
	all := b.scopes()
	if b.earlierLeasesPossible() {
		b.queryEarlierLeases()
	}
	if now >= b.RenewAt {
		b.RenewAt = now + renewInterval
		for _, s := range all {
			b.Accounts[s].LeaseHolder = b.leaseHolder(s)
			b.renewLease(s, b.Accounts[s])
		}
		if now < b.StartedAt+startupWindow { // nobody is known to be heard yet
			b.RenewAt = now + resendInterval
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Peers)) { // loans that were not acknowledged
		if p := b.Peers[name]; !p.LeasesAcked && now >= p.LeasesSentAt+resendInterval && now < p.LeasesSentAt+renewInterval {
			for _, s := range all {
				if b.Accounts[s].LeaseHolder == name {
					b.renewLease(s, b.Accounts[s])
				}
			}
		}
	}
	var gone []Scope
	look := now >= b.CheckAt
	if look {
		b.CheckAt = now + checkInterval
	}
	for _, s := range all {
		a := b.Accounts[s]
		if b.sendRequest(s, a); !look && !slices.ContainsFunc(a.Queue, func(q queuedRequest) bool { return q.Granted < q.Calls }) {
			continue
		}
		b.refill(s, a)
		b.estimateCapacity(a)
		b.grantTokens(s, a)
		own := max(0, b.evenShare(a)-b.lentRate(s, a))
		if share := own / max(1e-9, b.evenShare(a)); a.Limit > 0 && math.Abs(share-a.NotifiedFraction) > 0.005 {
			a.NotifiedFraction = share
			b.changes = append(b.changes, Change{Scope: s, ReservedFraction: share})
		}
		a.LentLeases = slices.DeleteFunc(a.LentLeases, func(l lentLease) bool { return now >= l.ReservedUntil })
		if a.Limit == 0 && len(a.LentLeases) == 0 && len(a.HeldLeases) == 0 {
			gone = append(gone, s)
		}
	}
	for _, s := range gone {
		b.sortedScopes = b.sortedScopes[:0]
		delete(b.Accounts, s)
	}
	for _, name := range slices.Sorted(maps.Keys(b.outbox)) {
		for m := b.outbox[name]; ; {
			send = append(send, b.takeDatagram(m))
			if len(m.Leases)+len(m.Requests)+len(m.Grants) == 0 {
				break
			}
		}
	}
	clear(b.outbox)
	changes, b.changes = b.changes, nil
	for i := range changes {
		if a := b.Accounts[changes[i].Scope]; a != nil {
			changes[i].ReservedFraction = a.NotifiedFraction // the newest
		}
	}
	return send, changes
}

// takeDatagram stamps a message, or as much of it as a datagram holds, and leaves the rest in m.
func (b *Ledger) takeDatagram(m *Message) Message {
	p := b.peer(m.Member)
	b.Seq++
	now := Message{
		Member:           m.Member,
		Incarnation:      b.Settings.Incarnation,
		Seq:              b.Seq,
		AckedSeq:         p.LastSeq,
		AckedIncarnation: p.Incarnation,
		Ping:             m.Ping,
		AsksForLeases:    m.AsksForLeases,
		HoldsNoLease:     m.HoldsNoLease,
	}
	if m.HoldsNoLease {
		now.AckedIncarnation = p.AcceptedIncarnation
	}
	room := maxMessageItems
	now.Grants, m.Grants = takeUpTo(m.Grants, &room)
	now.Requests, m.Requests = takeUpTo(m.Requests, &room)
	now.Leases, m.Leases = takeUpTo(m.Leases, &room)
	if len(now.Leases) > 0 {
		p.LeasesSentAt, p.LeasesSeq, p.LeasesAcked = b.Now, b.Seq, false
	}
	for _, q := range now.Requests {
		b.Accounts[q.Scope].Pending.SentSeq = b.Seq
	}
	return now
}

func takeUpTo[T any](all []T, room *int) (now, rest []T) {
	n := min(len(all), *room)
	*room -= n
	return all[:n:n], all[n:]
}

// alive tells whether a member may be a keeper.
func (b *Ledger) alive(name string) bool {
	return name == b.Settings.Self || b.Now-b.peer(name).ReceivedAt < livenessTimeout
}

// leaseHolder is the first of those heard, in the order of a Scope's own: rendezvous hashing, so that few keepers change
// when members do. Those before it are called, so that one that is back is found.
func (b *Ledger) leaseHolder(s Scope) string {
	type ranked struct {
		name string
		sum  uint64
	}
	all := make([]ranked, 0, len(b.Settings.Members))
	var key [8]byte
	for i := range key {
		key[i] = byte(uint64(s.Destination) >> (8 * i))
	}
	for _, name := range b.Settings.Members {
		var d xxhash.Digest
		d.Reset()
		d.WriteString(name)
		d.Write(key[:])
		d.WriteString(s.Endpoint)
		all = append(all, ranked{name, d.Sum64()})
	}
	slices.SortFunc(
		all,
		func(x, y ranked) int { return cmp.Or(cmp.Compare(y.sum, x.sum), cmp.Compare(x.name, y.name)) },
	)
	pings := 0
	for _, r := range all {
		if b.alive(r.name) {
			return r.name
		}
		if p := b.peer(r.name); pings < maxPings && b.Now >= p.PingedAt+pingInterval {
			p.PingedAt = b.Now
			b.messageTo(r.name).Ping = true
			pings++
		}
	}
	return b.Settings.Self
}

// renewLease lends a keeper what may be lent and is not lent to others.
func (b *Ledger) renewLease(s Scope, a *Account) {
	if a.Limit <= 0 {
		return
	}
	rate := 0.0
	if !b.earlierLeasesPossible() {
		rate = max(0, (1-ReservedFraction)*b.evenShare(a)-a.outstandingRate(b.Now, a.LeaseHolder, b.Settings.Self))
	}
	if a.LeaseHolder != b.Settings.Self {
		a.LentLeases = slices.DeleteFunc(a.LentLeases, func(l lentLease) bool { return l.Holder == b.Settings.Self })
	}
	if rate > 0 {
		// Of what one keeper was lent, the greatest counts until it is over.
		a.LentLeases = slices.DeleteFunc(a.LentLeases, func(l lentLease) bool { return l.Holder == a.LeaseHolder && l.Rate <= rate })
		a.LentLeases = append(a.LentLeases, lentLease{a.LeaseHolder, rate, b.Now + b.reservationTime()})
	}
	if a.LeaseHolder != b.Settings.Self { // what is lent to oneself is taken back at once
		b.refill(s, a)
		a.HeldLeases = slices.DeleteFunc(a.HeldLeases, func(h heldLease) bool { return h.Lender == b.Settings.Self })
	} else {
		b.refill(s, a)
		b.recordMemberOutcomes(a, b.Settings.Self, b.Settings.Incarnation, a.Delivered, a.Rejected)
		if rate > 0 {
			a.addHeldLease(heldLease{b.Settings.Self, b.Settings.Incarnation, rate, b.Now + b.Settings.LeaseDuration}, b.Now)
		}
		return
	}
	m := b.messageTo(a.LeaseHolder)
	m.Leases = append(m.Leases, Lease{s, rate, a.Delivered, a.Rejected})
}

// sendRequest has this member's ask sent, or queued where it is the keeper itself.
func (b *Ledger) sendRequest(s Scope, a *Account) {
	w := &a.Pending
	switch {
	case w.Calls == 0:
		return
	case b.Now >= w.RequestedAt+GrantTTL || w.Granted >= w.Calls:
		w.Calls = 0
		return
	case b.Now >= w.RepeatedAt+requestIdleTimeout:
		w.Calls = w.Granted // taken back
	case b.Now < w.SentAt+resendInterval || w.Acked && b.Now < w.SentAt+outcomeReportInterval:
		return
	}
	w.SentAt = b.Now
	q := Request{s, w.ID, w.Calls, a.Delivered, a.Rejected}
	if w.LeaseHolder == b.Settings.Self {
		b.recordMemberOutcomes(a, b.Settings.Self, b.Settings.Incarnation, a.Delivered, a.Rejected)
		b.enqueue(a, Message{Member: b.Settings.Self, Incarnation: b.Settings.Incarnation}, q)
	} else {
		m := b.messageTo(w.LeaseHolder)
		m.Requests = append(m.Requests, q)
	}
	if w.Granted >= w.Calls {
		w.Calls = 0
	}
}

// grantTokens gives what was minted to those that ask, one call at a time and in turns.
func (b *Ledger) grantTokens(s Scope, a *Account) {
	a.Queue = slices.DeleteFunc(a.Queue, func(q queuedRequest) bool { return b.Now >= q.ExpiresAt })
	for n := 0; a.Tokens >= 1 && n < len(a.Queue); {
		q := a.Queue[0]
		a.Queue = append(a.Queue[:0], a.Queue[1:]...)
		if q.Granted >= q.Calls {
			a.Queue, n = append(a.Queue, q), n+1 // kept, so that one who asks again is told again
			continue
		}
		n = 0
		a.Tokens--
		q.Granted++
		a.Queue = append(a.Queue, q)
		g := Grant{s, q.ID, q.Granted}
		if q.Requester == b.Settings.Self {
			b.receiveGrant(b.Settings.Self, g)
			continue
		}
		m := b.messageTo(q.Requester)
		if i := slices.IndexFunc(m.Grants, func(o Grant) bool { return o.Scope == s && o.ID == q.ID }); i >= 0 {
			m.Grants[i] = g
		} else {
			m.Grants = append(m.Grants, g)
		}
	}
}
