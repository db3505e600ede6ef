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

	lookEvery   = 100 * time.Millisecond // at the latest all is looked at
	renewEvery  = 600 * time.Millisecond
	resendEvery = 300 * time.Millisecond // what is not acknowledged, and an ask that is not answered
	liveFor     = 3 * time.Second        // who was heard within it may be a keeper
	reportEvery = time.Second            // one that is acknowledged, with how calls went meanwhile
	newFor      = 4 * time.Second
	callEvery   = 250 * time.Millisecond
	pingsMost   = 3                      // of those that would stand before the keeper, if they were heard
	idleFor     = 600 * time.Millisecond // an ask that nobody repeats is taken back
	savedSpan   = 300 * time.Millisecond // of what a keeper mints, it saves up at most, and one call at least
	askMost     = 16                     // calls
	queueMost   = 4096                   // asks at a keeper, by destination
	scopesMost  = 1024
	messageMost = 24 // loans, asks and gives

	// A keeper believes in the limit as far as calls bear it out: AIMD of one sender, over what all members report.
	believeEvery = 500 * time.Millisecond
	believeMany  = 8                      // outcomes that a look needs
	believeSlow  = 2 * time.Second        // after which few are enough to let it grow, if none was refused
	deafFor      = 800 * time.Millisecond // after a cut: what is reported then was out before
	cutAt        = 0.12                   // refused of all
	cutStrength  = 1.2                    // of the share that was refused
	cutMost      = 0.25                   // a cut leaves so much at least
	beliefLeast  = 0.08
	// cuts that follow so soon are of one fall: what the first one tells is the nearest to the limit
	episode = 3 * time.Second
	// Of itself a second, after a look that found little refused: quickly up to near what was refused last, slowly past
	// it, and quickly again: the limit is another one then.
	growsQuick = 0.35
	growsSlow  = 0.08
	nearBelow  = 0.85
	nearAbove  = 1.1
	spared     = 0.05 // of what is lent, that is not minted: calls come in clumps, and a limit that is hit costs more
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

// QuotaRequest is for calls. Those of one ID are one, and the newest counts: N is how many are wanted in all, 0 takes
// it back.
type QuotaRequest struct {
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
	Requests         []QuotaRequest         `cbor:"Asks"`
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

type loan struct {
	To    string        `cbor:"To"`
	Rate  float64       `cbor:"Rate"`
	Until time.Duration `cbor:"Until"` // the lender leaves it alone before
}

type held struct {
	From string `cbor:"From"`
	loadreport.Incarnation
	Rate  float64       `cbor:"Rate"`
	Until time.Duration `cbor:"Until"`
}

type count struct {
	loadreport.Incarnation
	Done    uint32 `cbor:"Done"`
	Refused uint32 `cbor:"Refused"`
}

type queued struct {
	From string `cbor:"From"`
	loadreport.Incarnation
	ID    uint32        `cbor:"ID"`
	N     int           `cbor:"N"`
	Given int           `cbor:"Given"`
	Until time.Duration `cbor:"Until"`
}

// want is an ask of this member's.
type want struct {
	ID    uint32        `cbor:"ID"`
	N     int           `cbor:"N"` // 0: there is none
	Got   int           `cbor:"Got"`
	To    string        `cbor:"To"`
	At    time.Duration `cbor:"At"`
	Again time.Duration `cbor:"Again"` // wanted last
	Sent  time.Duration `cbor:"Sent"`
	Seq   uint64        `cbor:"Seq"` // of the message it left with last; 0: not yet
	Acked bool          `cbor:"Acked"`
}

// Account is a Book's of one Scope. Its fields are exported for snapshots alone.
type Account struct {
	Limit            float64          `cbor:"Limit"` // calls a second that all members may make; 0: not told, or no longer
	Lent             []loan           `cbor:"Lent"`
	LeaseHolder      string           `cbor:"Keeper"` // that is lent to, and asked
	Held             []held           `cbor:"Held"`   // by lender
	Tokens           float64          `cbor:"Tokens"`
	At               time.Duration    `cbor:"At"` // as of which
	Queue            []queued         `cbor:"Queue"`
	Belief           float64          `cbor:"Belief"`
	Met              float64          `cbor:"Met"`      // what was delivered of what was believed when it was refused last
	Looked           time.Duration    `cbor:"Looked"`   // at outcomes, last
	Deaf             time.Duration    `cbor:"Deaf"`     // what is reported before then does not count
	Grows            bool             `cbor:"Grows"`    // little was refused at the last look
	Outcomes         [2]float64       `cbor:"Outcomes"` // reported since: done, refused
	Counts           map[string]count `cbor:"Counts"`
	Pending          want             `cbor:"Want"`
	Delivered        uint32           `cbor:"Done"`
	Rejected         uint32           `cbor:"Refused"`
	NotifiedFraction float64          `cbor:"Told"` // share that the module was told last
}

// peer is another member.
type peer struct {
	loadreport.Incarnation
	Seen   uint64                 `cbor:"Seen"`  // greatest Seq heard of it
	Heard  time.Duration          `cbor:"Heard"` // last; never: below 0
	Pinged time.Duration          `cbor:"Pinged"`
	Sent   time.Duration          `cbor:"Sent"`   // loans, last
	Acked  bool                   `cbor:"Acked"`  // they are
	SentAs uint64                 `cbor:"SentAs"` // their Seq
	None   bool                   `cbor:"None"`   // it holds no loan of another life of this member
	Asked  time.Duration          `cbor:"Asked"`  // that, last
	Only   loadreport.Incarnation `cbor:"Only"`   // it was told so: loans of other lives are not taken
	Until  time.Duration          `cbor:"Until"`  // before then
}

// State is all that a Book holds, exported for snapshots alone.
type State struct {
	Set      Settings           `cbor:"Set"`
	Began    time.Duration      `cbor:"Began"`
	Seq      uint64             `cbor:"Seq"`
	NextID   uint32             `cbor:"NextID"`
	Accounts map[Scope]*Account `cbor:"Accounts"`
	Peers    map[string]*peer   `cbor:"Peers"`
	RenewAt  time.Duration      `cbor:"RenewAt"`
	LookAt   time.Duration      `cbor:"LookAt"`
	Now      time.Duration      `cbor:"Now"`
}

// Ledger is a member's.
type Ledger struct {
	State
	order []Scope // of the accounts
	out   map[string]*Message
	got   []Change
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
		State: State{Set: set, Began: now, Now: now, Accounts: map[Scope]*Account{}, Peers: map[string]*peer{}},
		out:   map[string]*Message{},
	}
}

// Restored readies a Book that was read from a snapshot.
func (b *Ledger) Restored() {
	b.out = map[string]*Message{}
	if b.Accounts == nil {
		b.Accounts = map[Scope]*Account{}
	}
	if b.Peers == nil {
		b.Peers = map[string]*peer{}
	}
	for _, a := range b.Accounts {
		if a.Counts == nil {
			a.Counts = map[string]count{}
		}
	}
}

// SetIncarnation has the member go on under another life.
func (b *Ledger) SetIncarnation(life loadreport.Incarnation) { b.Set.Incarnation = life }

// hold is how long a lender leaves alone what it lends.
func (b *Ledger) hold() time.Duration {
	return time.Duration(float64(b.Set.LeaseDuration)*(1+2*loadreport.MaxClockDrift)) + b.Set.LeaseMargin
}

func (b *Ledger) part(a *Account) float64 { return a.Limit / float64(max(1, b.Set.FleetSize)) }

// SetLimits takes what the list tells. What was lent of a destination that has gone stays lent.
func (b *Ledger) SetLimits(now time.Duration, limits loadreport.Limits) {
	b.Now = now
	for s, a := range b.Accounts {
		b.mint(s, a)
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
			if b.Accounts[s] == nil && len(b.Accounts) < scopesMost {
				b.order = b.order[:0]
				b.Accounts[s] = &Account{
					Limit:            limit,
					At:               now,
					Belief:           1,
					Counts:           map[string]count{},
					NotifiedFraction: 1,
				}
			}
		}
	}
}

// unsure tells whether others may hold what an earlier life of this member has lent: until a lease is over, or all have
// said that they do not.
func (b *Ledger) unsure() bool {
	if b.Set.Fresh || b.Now >= b.Began+b.hold() {
		return false
	}
	for _, name := range b.Set.Members {
		if p := b.Peers[name]; name != b.Set.Self && (p == nil || !p.None) {
			return true
		}
	}
	return false
}

// inquire asks all that have not said so.
func (b *Ledger) inquire() {
	for _, name := range b.Set.Members {
		if p := b.peer(name); name != b.Set.Self && !p.None && b.Now >= p.Asked+callEvery {
			p.Asked = b.Now
			b.to(name).AsksForLeases = true
		}
	}
}

// answer tells a new life of a member whether a loan of another one is held.
func (b *Ledger) answer(m Message, p *peer) {
	for _, a := range b.Accounts {
		for _, h := range a.Held {
			if h.From == m.Member && h.Incarnation != m.Incarnation && b.Now < h.Until {
				return // it asks again, or waits
			}
		}
	}
	p.Only, p.Until = m.Incarnation, b.Now+b.hold()
	b.to(m.Member).HoldsNoLease = true
}

// lent is how much of its part others may still use.
func (b *Ledger) lent(s Scope, a *Account) (sum float64) {
	if b.unsure() {
		sum = (1 - ReservedFraction) * b.part(a) // to whom, an earlier life knew
	}
	return sum + a.loans(b.Now)
}

// loans is what members but those named may still use of what was lent: of each the greatest loan counts until it is
// over.
func (a *Account) loans(now time.Duration, but ...string) (sum float64) {
	most := map[string]float64{}
	for _, l := range a.Lent {
		if now < l.Until && !slices.Contains(but, l.To) {
			most[l.To] = max(most[l.To], l.Rate)
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
	return max(0, b.part(a)-b.lent(s, a))
}

// GrantRate is how many calls a second of a destination this member mints as a keeper.
func (b *Ledger) GrantRate(now time.Duration, s Scope) float64 {
	a := b.Accounts[s]
	if a == nil {
		return 0
	}
	sum := 0.0
	for _, h := range a.Held {
		if now < h.Until {
			sum += h.Rate
		}
	}
	return min(sum, (1-ReservedFraction)*a.Limit) * a.Belief * (1 - spared)
}

// ScopeStatus tells of one Scope how a member stands.
type ScopeStatus struct {
	Destination     int     `json:"dest"`
	Endpoint        string  `json:"route,omitempty"`
	Limit           float64 `json:"limit"`   // calls a second that all may make, as the list tells
	OwnRate         float64 `json:"own"`     // that this member may make of itself
	Lent            float64 `json:"lent"`    // of its part that others may use
	LeaseHolder     string  `json:"keeper"`  // that it lends to, and asks
	GrantRate       float64 `json:"mints"`   // that it gives to others as a keeper
	Belief          float64 `json:"belief"`  // in the limit, as a keeper: 1 is all of it
	PendingRequests int     `json:"waiting"` // asks, as a keeper
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
					b.lent(s, a),
					a.LeaseHolder,
					b.GrantRate(now, s),
					a.Belief,
					len(a.Queue),
				},
			)
		}
	}
	return all
}

func (b *Ledger) scopes() []Scope {
	if len(b.order) != len(b.Accounts) { // they come with the list, and go here
		b.order = b.order[:0]
		for s := range b.Accounts {
			b.order = append(b.order, s)
		}
		slices.SortFunc(b.order, Scope.compare)
	}
	return b.order
}

// mint turns what is held into calls up to now. What was held while this process was stopped counts as long as it was
// held, and no more is saved up than savedSpan's.
func (b *Ledger) mint(s Scope, a *Account) {
	if b.Now <= a.At {
		return
	}
	minted, rate := 0.0, 0.0
	for _, h := range a.Held {
		if until := min(h.Until, b.Now); until > a.At {
			minted += h.Rate * (until - a.At).Seconds()
		}
		rate += h.Rate
	}
	a.Held = slices.DeleteFunc(a.Held, func(h held) bool { return h.Until <= b.Now })
	most := (1 - ReservedFraction) * a.Limit
	if rate > most {
		minted *= most / rate
	}
	saved := max(1, min(rate, most)*savedSpan.Seconds())
	a.Tokens = min(saved, a.Tokens+minted*a.Belief*(1-spared))
	grows := growsQuick
	if !a.Grows {
		grows = 0
	} else if a.Belief > nearBelow*a.Met && a.Belief < nearAbove*a.Met {
		grows = growsSlow
	}
	a.Belief = min(1, a.Belief*(1+grows*min(1, (b.Now-a.At).Seconds())))
	a.At = b.Now
}

// to is the message to a member that leaves with this step.
func (b *Ledger) to(member string) *Message {
	m := b.out[member]
	if m == nil {
		m = &Message{Member: member}
		b.out[member] = m
	}
	return m
}

func (b *Ledger) peer(member string) *peer {
	p := b.Peers[member]
	if p == nil {
		p = &peer{Heard: -time.Hour, Pinged: -time.Hour, Sent: -time.Hour, Acked: true}
		b.Peers[member] = p
	}
	return p
}

// Receive takes a message that came. One that is older than another of the same life is late, or has come twice: only
// what it gives still counts, since that is counted in all.
func (b *Ledger) Receive(now time.Duration, m Message) {
	b.Now = now
	if !slices.Contains(b.Set.Members, m.Member) || m.Member == b.Set.Self || m.TransitTime < 0 {
		return
	}
	p := b.peer(m.Member)
	if m.AsksForLeases && (m.Incarnation == p.Incarnation || now >= p.Until) {
		b.answer(m, p) // before its life is looked at: one that has lost its folder begins with a lesser one
	}
	if m.Incarnation.Compare(p.Incarnation) < 0 || now < p.Until && m.Incarnation != p.Only {
		return
	}
	p.None = p.None || m.HoldsNoLease && m.AckedIncarnation == b.Set.Incarnation
	if m.Incarnation != p.Incarnation {
		p.Incarnation, p.Seen = m.Incarnation, 0
	}
	if m.TransitTime <= liveFor {
		p.Heard = max(p.Heard, now-m.TransitTime)
	}
	if m.AckedIncarnation == b.Set.Incarnation && m.AckedSeq >= p.SentAs {
		p.Acked = true
	}
	for _, a := range b.Accounts {
		if w := &a.Pending; w.To == m.Member && w.Seq > 0 && m.AckedIncarnation == b.Set.Incarnation &&
			m.AckedSeq >= w.Seq {
			w.Acked = true
		}
	}
	for _, g := range m.Grants {
		b.given(m.Member, g)
	}
	if m.Seq <= p.Seen {
		return
	}
	p.Seen = m.Seq
	if m.Ping || m.AsksForLeases || len(m.Leases)+len(m.Requests) > 0 {
		b.to(m.Member)
	}
	for _, l := range m.Leases {
		a := b.Accounts[l.Scope]
		if a == nil || !(l.Rate >= 0) {
			continue // of no use here, or no rate
		}
		b.mint(l.Scope, a)
		b.counted(a, m.Member, m.Incarnation, l.Delivered, l.Rejected)
		// No member can lend more than its part. Counted from when it was sent at the latest. A lease is never
		// shortened by a later loan: its lender counts both.
		a.hold(
			held{
				m.Member,
				m.Incarnation,
				min(l.Rate, (1-ReservedFraction)*b.part(a)),
				now - m.TransitTime + b.Set.LeaseDuration,
			},
			now,
		)
	}
	for _, q := range m.Requests {
		if a := b.Accounts[q.Scope]; a != nil {
			b.counted(a, m.Member, m.Incarnation, q.Delivered, q.Rejected)
			b.queue(a, m, q)
		}
	}
}

// hold takes a loan in place of the one before it.
func (a *Account) hold(h held, now time.Duration) {
	i, had := slices.BinarySearchFunc(
		a.Held,
		h.From,
		func(o held, from string) int { return cmp.Compare(o.From, from) },
	)
	switch {
	case h.Until <= now: // it came too late
	case had:
		a.Held[i] = h
	default:
		a.Held = slices.Insert(a.Held, i, h)
	}
}

func (b *Ledger) queue(a *Account, m Message, q QuotaRequest) {
	x := queued{
		From:        m.Member,
		Incarnation: m.Incarnation,
		ID:          q.ID,
		N:           min(q.Calls, askMost),
		Until:       b.Now - m.TransitTime + GrantTTL,
	}
	i := slices.IndexFunc(a.Queue, func(x queued) bool { return x.From == m.Member })
	switch {
	case i < 0 && len(a.Queue) < queueMost && x.N > 0:
		a.Queue = append(a.Queue, x)
	case i >= 0 && a.Queue[i].ID == x.ID && a.Queue[i].Incarnation == x.Incarnation:
		a.Queue[i].N = x.N // the time to use it in stays that of the first
		if a.Queue[i].Given > 0 {
			// the answer may be lost
			b.to(m.Member).Grants = append(b.to(m.Member).Grants, Grant{q.Scope, x.ID, a.Queue[i].Given})
		}
	case i >= 0:
		a.Queue[i] = x
	}
}

// counted takes how a member's calls went.
func (b *Ledger) counted(a *Account, member string, life loadreport.Incarnation, done, refused uint32) {
	was, ok := a.Counts[member]
	if c := (count{life, done, refused}); !ok || life.Compare(was.Incarnation) > 0 {
		a.Counts[member] = c // what came before is not known
	} else if life == was.Incarnation && done >= was.Done && refused >= was.Refused {
		if a.Counts[member] = c; b.Now >= a.Deaf {
			a.Outcomes[0] += float64(done - was.Done)
			a.Outcomes[1] += float64(refused - was.Refused)
		}
	}
}

// believe lowers what is believed of a limit by what was refused, once for all that was out together, and lets it grow
// where little was.
func (b *Ledger) believe(a *Account) {
	all, since := a.Outcomes[0]+a.Outcomes[1], b.Now-a.Looked
	if since < believeEvery || all < believeMany && (a.Outcomes[1] > 0 || since < believeSlow) {
		return
	}
	share := a.Outcomes[1] / max(1, all)
	a.Looked, a.Outcomes, a.Grows = b.Now, [2]float64{}, share <= cutAt
	if !a.Grows {
		if b.Now >= a.Deaf+episode {
			a.Met = a.Belief * (1 - share)
		}
		a.Deaf = b.Now + deafFor
		a.Belief = max(beliefLeast, a.Belief*max(cutMost, 1-cutStrength*share))
		a.Tokens = min(a.Tokens, 1)
	}
}

// given takes calls that a keeper gives.
func (b *Ledger) given(member string, g Grant) {
	a := b.Accounts[g.Scope]
	if a == nil || a.Pending.N == 0 || a.Pending.ID != g.ID || a.Pending.To != member ||
		b.Now >= a.Pending.At+GrantTTL {
		return // it comes too late, or twice
	}
	if n := min(g.Calls, askMost) - a.Pending.Got; n > 0 {
		a.Pending.Got += n
		b.got = append(b.got, Change{g.Scope, a.NotifiedFraction, n, a.Pending.At + GrantTTL - b.Now})
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
	if w.N == 0 || now >= w.At+GrantTTL || w.Got >= w.N || w.To != a.LeaseHolder {
		b.NextID++
		*w = want{ID: b.NextID, To: a.LeaseHolder, At: now, Sent: -time.Hour}
	}
	if n = min(askMost, w.Got+n); n > w.N {
		w.N, w.Sent, w.Acked = n, -time.Hour, false
	}
	w.Again = now
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
	if b.unsure() {
		b.inquire()
	}
	if now >= b.RenewAt {
		b.RenewAt = now + renewEvery
		for _, s := range all {
			b.Accounts[s].LeaseHolder = b.keeper(s)
			b.lend(s, b.Accounts[s])
		}
		if now < b.Began+newFor { // nobody is known to be heard yet
			b.RenewAt = now + resendEvery
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Peers)) { // loans that were not acknowledged
		if p := b.Peers[name]; !p.Acked && now >= p.Sent+resendEvery && now < p.Sent+renewEvery {
			for _, s := range all {
				if b.Accounts[s].LeaseHolder == name {
					b.lend(s, b.Accounts[s])
				}
			}
		}
	}
	var gone []Scope
	look := now >= b.LookAt
	if look {
		b.LookAt = now + lookEvery
	}
	for _, s := range all {
		a := b.Accounts[s]
		if b.ask(s, a); !look && !slices.ContainsFunc(a.Queue, func(q queued) bool { return q.Given < q.N }) {
			continue
		}
		b.mint(s, a)
		b.believe(a)
		b.give(s, a)
		own := max(0, b.part(a)-b.lent(s, a))
		if share := own / max(1e-9, b.part(a)); a.Limit > 0 && math.Abs(share-a.NotifiedFraction) > 0.005 {
			a.NotifiedFraction = share
			b.got = append(b.got, Change{Scope: s, ReservedFraction: share})
		}
		a.Lent = slices.DeleteFunc(a.Lent, func(l loan) bool { return now >= l.Until })
		if a.Limit == 0 && len(a.Lent) == 0 && len(a.Held) == 0 {
			gone = append(gone, s)
		}
	}
	for _, s := range gone {
		b.order = b.order[:0]
		delete(b.Accounts, s)
	}
	for _, name := range slices.Sorted(maps.Keys(b.out)) {
		for m := b.out[name]; ; {
			send = append(send, b.leave(m))
			if len(m.Leases)+len(m.Requests)+len(m.Grants) == 0 {
				break
			}
		}
	}
	clear(b.out)
	changes, b.got = b.got, nil
	for i := range changes {
		if a := b.Accounts[changes[i].Scope]; a != nil {
			changes[i].ReservedFraction = a.NotifiedFraction // the newest
		}
	}
	return send, changes
}

// leave stamps a message, or as much of it as a datagram holds, and leaves the rest in m.
func (b *Ledger) leave(m *Message) Message {
	p := b.peer(m.Member)
	b.Seq++
	now := Message{
		Member:           m.Member,
		Incarnation:      b.Set.Incarnation,
		Seq:              b.Seq,
		AckedSeq:         p.Seen,
		AckedIncarnation: p.Incarnation,
		Ping:             m.Ping,
		AsksForLeases:    m.AsksForLeases,
		HoldsNoLease:     m.HoldsNoLease,
	}
	if m.HoldsNoLease {
		now.AckedIncarnation = p.Only
	}
	room := messageMost
	now.Grants, m.Grants = split(m.Grants, &room)
	now.Requests, m.Requests = split(m.Requests, &room)
	now.Leases, m.Leases = split(m.Leases, &room)
	if len(now.Leases) > 0 {
		p.Sent, p.SentAs, p.Acked = b.Now, b.Seq, false
	}
	for _, q := range now.Requests {
		b.Accounts[q.Scope].Pending.Seq = b.Seq
	}
	return now
}

func split[T any](all []T, room *int) (now, rest []T) {
	n := min(len(all), *room)
	*room -= n
	return all[:n:n], all[n:]
}

// live tells whether a member may be a keeper.
func (b *Ledger) live(name string) bool {
	return name == b.Set.Self || b.Now-b.peer(name).Heard < liveFor
}

// keeper is the first of those heard, in the order of a Scope's own: rendezvous hashing, so that few keepers change
// when members do. Those before it are called, so that one that is back is found.
func (b *Ledger) keeper(s Scope) string {
	type ranked struct {
		name string
		sum  uint64
	}
	all := make([]ranked, 0, len(b.Set.Members))
	var key [8]byte
	for i := range key {
		key[i] = byte(uint64(s.Destination) >> (8 * i))
	}
	for _, name := range b.Set.Members {
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
		if b.live(r.name) {
			return r.name
		}
		if p := b.peer(r.name); pings < pingsMost && b.Now >= p.Pinged+callEvery {
			p.Pinged = b.Now
			b.to(r.name).Ping = true
			pings++
		}
	}
	return b.Set.Self
}

// lend lends a keeper what may be lent and is not lent to others.
func (b *Ledger) lend(s Scope, a *Account) {
	if a.Limit <= 0 {
		return
	}
	rate := 0.0
	if !b.unsure() {
		rate = max(0, (1-ReservedFraction)*b.part(a)-a.loans(b.Now, a.LeaseHolder, b.Set.Self))
	}
	if a.LeaseHolder != b.Set.Self {
		a.Lent = slices.DeleteFunc(a.Lent, func(l loan) bool { return l.To == b.Set.Self })
	}
	if rate > 0 {
		// Of what one keeper was lent, the greatest counts until it is over.
		a.Lent = slices.DeleteFunc(a.Lent, func(l loan) bool { return l.To == a.LeaseHolder && l.Rate <= rate })
		a.Lent = append(a.Lent, loan{a.LeaseHolder, rate, b.Now + b.hold()})
	}
	if a.LeaseHolder != b.Set.Self { // what is lent to oneself is taken back at once
		b.mint(s, a)
		a.Held = slices.DeleteFunc(a.Held, func(h held) bool { return h.From == b.Set.Self })
	} else {
		b.mint(s, a)
		b.counted(a, b.Set.Self, b.Set.Incarnation, a.Delivered, a.Rejected)
		if rate > 0 {
			a.hold(held{b.Set.Self, b.Set.Incarnation, rate, b.Now + b.Set.LeaseDuration}, b.Now)
		}
		return
	}
	m := b.to(a.LeaseHolder)
	m.Leases = append(m.Leases, Lease{s, rate, a.Delivered, a.Rejected})
}

// ask has this member's ask sent, or queued where it is the keeper itself.
func (b *Ledger) ask(s Scope, a *Account) {
	w := &a.Pending
	switch {
	case w.N == 0:
		return
	case b.Now >= w.At+GrantTTL || w.Got >= w.N:
		w.N = 0
		return
	case b.Now >= w.Again+idleFor:
		w.N = w.Got // taken back
	case b.Now < w.Sent+resendEvery || w.Acked && b.Now < w.Sent+reportEvery:
		return
	}
	w.Sent = b.Now
	q := QuotaRequest{s, w.ID, w.N, a.Delivered, a.Rejected}
	if w.To == b.Set.Self {
		b.counted(a, b.Set.Self, b.Set.Incarnation, a.Delivered, a.Rejected)
		b.queue(a, Message{Member: b.Set.Self, Incarnation: b.Set.Incarnation}, q)
	} else {
		m := b.to(w.To)
		m.Requests = append(m.Requests, q)
	}
	if w.Got >= w.N {
		w.N = 0
	}
}

// give gives what was minted to those that ask, one call at a time and in turns.
func (b *Ledger) give(s Scope, a *Account) {
	a.Queue = slices.DeleteFunc(a.Queue, func(q queued) bool { return b.Now >= q.Until })
	for n := 0; a.Tokens >= 1 && n < len(a.Queue); {
		q := a.Queue[0]
		a.Queue = append(a.Queue[:0], a.Queue[1:]...)
		if q.Given >= q.N {
			a.Queue, n = append(a.Queue, q), n+1 // kept, so that one who asks again is told again
			continue
		}
		n = 0
		a.Tokens--
		q.Given++
		a.Queue = append(a.Queue, q)
		g := Grant{s, q.ID, q.Given}
		if q.From == b.Set.Self {
			b.given(b.Set.Self, g)
			continue
		}
		m := b.to(q.From)
		if i := slices.IndexFunc(m.Grants, func(o Grant) bool { return o.Scope == s && o.ID == q.ID }); i >= 0 {
			m.Grants[i] = g
		} else {
			m.Grants = append(m.Grants, g)
		}
	}
}
