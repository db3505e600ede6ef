package emulate

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The model of the link between relays, with package gossip's figures: news goes to a few others at a time, and each
// sends on what is news to it; digests are exchanged now and then. What it leaves out: membership (all try all that are
// listed) and the wire's form.
const (
	linkLatency  = 500 * time.Microsecond
	inboxMost    = 256 // datagrams that wait for a process that is stopped
	seamEvery    = 250 * time.Millisecond
	beliefsEvery = 500 * time.Millisecond
	beliefsOf    = 20   // relays at most, whose beliefs are recorded
	clocksApart  = 0.01 // two relays' clocks at most
	ageSlack     = 400 * time.Millisecond
	absurdFactor = 1000
	versionsKeep = 2 * loadreport.MaxAge
	mixHold      = 30 * time.Millisecond // a datagram that others overtake
)

// FleetWrong is what is wrong with the links of all relays. The zero value is nothing.
type LinkFaults struct {
	LastReceivedWins bool // what is heard last goes before what is newest
	FrozenAges       bool // what is told on is told with the age that it had when it was heard
	NoLimits         bool // absurd figures are taken
	NoTransitTime    bool // what was held up on its way, or by a process that was stopped, is taken for fresh
	AcceptsStrangers bool // whoever tells is heard, listed or not
}

func (m *Mutant) fleet() LinkFaults {
	if m == nil {
		return LinkFaults{}
	}
	return m.LinkFaults
}

// fleetNet is all that is between the relays, and what is true of them.
type fleetNet struct {
	w       *World
	draw    *rand.Rand
	links   map[string]scenario.Step // faults, by name; none: sound
	told    map[version]time.Duration
	pageOf  map[version]int
	drift   []float64
	absurd  int // a relay that tells absurd figures, counted from 0; below 0: none
	fleets  int // that were joined by mistake: each relay's table lists those of its own
	twin    int // a relay that was started under the name of the first, counted from 0; below 0: none
	Wrong   []string
	wrongs  map[string]bool
	known   func(by *relay, v version) // told of each version that one takes; nil: nobody is
	Packets int

	RightsPackets int
	Sums          int // that were checked
	Bytes         int // of pages, as a datagram would hold them, more or less
}

type version struct {
	name string
	loadreport.Incarnation
	sequence uint64
}

type fleetPlace struct {
	name   string
	number int
}

// fleetMember is the link and the seam of one process.
type fleetMember struct {
	r       *relay
	name    string // the relay's, but for a twin
	net     *fleetNet
	life    int
	began   time.Duration
	offset  time.Duration // of its clock
	seam    *agent.Agent
	ledger  *loadreport.Table
	intake  loadreport.Inbox[fleetPacket]
	claim   loadreport.NameClaim
	heard   []quota.Message
	heardAt []time.Duration // when they were sent at the latest
	queue   outbox
	mail    map[fleetPlace]bool
	raised  loadreport.Incarnation // a new one that the seam has not been told of
	inbox   []fleetPacket          // while the process is stopped
	seen    map[fleetPlace]version
	heardAs map[fleetPlace]time.Duration // of AgesStand
	arrived uint64                       // of LastWins
	meant   map[fleetPlace]version       // of LastWins: what a page's version was
}

// outbox holds what is to be told, by how often it still is.
type outbox struct {
	left   map[fleetPlace]int
	levels [][]fleetPlace // those that were told least last; a place counts where left says so
}

// put has a place told so many times from now on.
func (o *outbox) put(p fleetPlace, times int) {
	if o.left == nil {
		o.left = map[fleetPlace]int{}
	}
	for len(o.levels) <= times {
		o.levels = append(o.levels, nil)
	}
	if o.left[p] != times {
		o.left[p] = times
		o.levels[times] = append(o.levels[times], p)
	}
}

// take takes what was told least, the newest first, so many at most.
func (o *outbox) take(most int) (places []fleetPlace) {
	for n := len(o.levels) - 1; n > 0; n-- {
		level := &o.levels[n]
		for len(*level) > 0 && len(places) < most {
			p := (*level)[len(*level)-1]
			*level = (*level)[:len(*level)-1]
			if o.left[p] == n {
				o.left[p] = -n // is being told
				places = append(places, p)
			}
		}
	}
	for _, p := range slices.Backward(places) {
		if n := -o.left[p] - 1; n > 0 {
			o.put(p, n)
		} else {
			delete(o.left, p)
		}
	}
	return places
}

type fleetPacket struct {
	from  string
	boot  uint32
	clock time.Duration
	pages []loadreport.Report

	rights *quota.Message
	ping   bool
	pong   *fleetPong
}

type fleetPong struct {
	boot  uint32
	clock time.Duration
}

// newFleet returns what is between relays that tell each other of themselves; nil if they do not.
func newFleet(w *World) *fleetNet {
	if !w.plan.File.Fleet.Enabled {
		return nil
	}
	n := &fleetNet{
		w: w, draw: engine.NewRandom(w.plan.Seed, "fleet", 0), links: map[string]scenario.Step{}, told: map[version]time.Duration{}, pageOf: map[version]int{}, absurd: w.opts.AbsurdReporter - 1,
		fleets: max(1, w.opts.MergedFleets), twin: w.opts.NameDuplicate - 1,
		wrongs: map[string]bool{},
	}
	for range w.plan.File.Relays {
		n.drift = append(n.drift, (n.draw.Float64()-0.5)*clocksApart)
	}
	w.ScheduleAfter(beliefsEvery, n.look)
	return n
}

// join begins a process's part in its fleet.
func (n *fleetNet) join(r *relay) *fleetMember {
	m := &fleetMember{
		r: r, net: n, name: r.name, life: r.life, began: n.w.Now(), offset: time.Duration(n.draw.Int64N(int64(time.Hour))), mail: map[fleetPlace]bool{},
		intake: loadreport.Inbox[fleetPacket]{
			ClockRequestInterval: gossip.ClockRequestInterval,
			MaxDeferred:          gossip.MaxDeferredMessages,
		},
		seen: map[fleetPlace]version{}, heardAs: map[fleetPlace]time.Duration{}, meant: map[fleetPlace]version{},
	}
	if n.twin == r.n {
		m.name = n.w.relays[0].name
	}
	r.incarnation++
	life := loadreport.Incarnation{Generation: r.incarnation, Boot: n.draw.Uint32()}
	var all []string
	for i := range n.w.plan.File.Relays {
		if i%n.fleets == r.n%n.fleets || r.wrong.fleet().AcceptsStrangers {
			all = append(all, scenario.RelayName(i+1))
		}
	}
	m.seam = agent.New(agent.Settings{
		Self: m.name, Incarnation: life, Members: all, DestinationKinds: r.set.DestinationKinds, ShareQuota: n.w.plan.File.Fleet.Quotas, FleetSize: r.set.FleetSize,
	})
	m.ledger = loadreport.New(m.name, life, all)
	m.every(gossip.Interval, m.gossip)
	m.every(gossip.SyncInterval, m.digests)
	m.every(seamEvery, func() { r.plan() })
	return m
}

// every runs something again and again while the process lives and is not stopped.
func (m *fleetMember) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		if m.r.fleet != m || !m.r.up {
			return
		}
		if !m.r.frozen {
			do()
		}
		m.net.w.ScheduleAfter(d, again)
	}
	m.net.w.ScheduleAfter(time.Duration(m.net.draw.Int64N(int64(d))), again)
}

// clock is the process's own monotonic time.
func (m *fleetMember) clock() time.Duration {
	return m.offset + time.Duration(float64(m.net.w.Now()-m.began)*(1+m.net.drift[m.r.n]))
}

// step is the seam's beside the module's.
func (m *fleetMember) step(events []policy.Event, actions []policy.Action) {
	at := m.clock()
	var heard []loadreport.Report
	for _, p := range slices.SortedFunc(maps.Keys(m.mail), func(a, b fleetPlace) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.number, b.number))
	}) {
		if page, ok := m.ledger.Get(at, p.name, p.number); ok {
			heard = append(heard, page)
		}
	}
	clear(m.mail)
	defer func() { m.raised = loadreport.Incarnation{} }()
	for i := range m.heard {
		m.heard[i].TransitTime = max(0, at-m.heardAt[i])
	}
	out := m.seam.Step(
		m.r.now(),
		agent.Input{
			Received:    heard,
			Incarnation: m.raised,
			Quota:       m.heard,
			Events:      events,
			Actions:     actions,
			Views:       m.views,
		},
	)
	m.heard, m.heardAt = nil, m.heardAt[:0]
	for i := range out.Quota {
		if to := m.net.w.relay(out.Quota[i].Member); to != nil {
			m.post(to, fleetPacket{rights: &out.Quota[i]})
		}
	}
	if len(out.Events) > 0 {
		m.r.pending = append(m.r.pending, out.Events...)
		m.r.plan()
	}
	told := out.Published
	if !m.r.wrong.fleet().NoLimits &&
		slices.ContainsFunc(
			events,
			func(e policy.Event) bool { return e.Kind == policy.EndpointSnapshot || e.Kind == policy.EndpointDelta },
		) {
		m.ledger.SetLimits(m.seam.Limits())
	}
	for _, p := range told {
		v := version{p.Name, p.Incarnation, p.Sequence}
		m.net.told[v], m.net.pageOf[v] = m.net.w.Now(), p.Number
		if m.net.absurd == m.r.n {
			p.Scopes = slices.Clone(p.Scopes)
			for i := range p.Scopes {
				p.Scopes[i].Calls = absurdFactor * (1 + p.Scopes[i].Calls)
			}
			m.spread(p) // it holds what it likes
			continue
		}
		if m.ledger.Restore(at, p) == loadreport.Updated && !m.claim.Suspended(at) {
			m.put(fleetPlace{p.Name, p.Number})
		}
	}
}

func (m *fleetMember) views() []policy.EndpointView {
	if s, ok := m.r.module.(interface {
		Views() ([]policy.EndpointView, int)
	}); ok {
		views, _ := s.Views()
		return views
	}
	return nil
}

// put queues a page to be told to others.
func (m *fleetMember) put(p fleetPlace) { m.queue.put(p, gossip.Retransmissions(len(m.net.w.relays))) }

// gossip tells a few others what is news, first what was told least.
func (m *fleetMember) gossip() {
	all := m.net.w.relays
	for range min(gossip.FanOut(len(all)), len(all)-1) {
		var pages []loadreport.Report
		for _, place := range m.queue.take(gossip.ReportsPerDatagram) {
			if p, ok := m.page(place); ok {
				pages = append(pages, p)
			}
		}
		if to := all[m.net.draw.IntN(len(all))]; to != m.r {
			m.send(to, pages)
		}
	}
}

// newer are the pages that another lacks.
func (m *fleetMember) newer(than loadreport.Digest) (pages []loadreport.Report) {
	for _, p := range m.ledger.MissingFrom(m.clock(), than) {
		if p.Name == m.name && m.claim.Suspended(m.clock()) {
			continue
		}
		if p, ok := m.page(fleetPlace{p.Name, p.Number}); ok {
			pages = append(pages, p)
		}
	}
	return pages
}

// page is one as it is told on now.
func (m *fleetMember) page(at fleetPlace) (loadreport.Report, bool) {
	p, ok := m.ledger.Get(m.clock(), at.name, at.number)
	if age, heard := m.heardAs[at]; heard && m.r.wrong.fleet().FrozenAges {
		p.Age = age
	}
	if v, other := m.meant[at]; other {
		p.Sequence = v.sequence
	}
	return p, ok
}

// spread sends a page to all at once, whatever it holds.
func (m *fleetMember) spread(p loadreport.Report) {
	for _, to := range m.net.w.relays {
		if to != m.r {
			m.send(to, []loadreport.Report{p})
		}
	}
}

// digests has another send what this one lacks, and the reverse.
func (m *fleetMember) digests() {
	to := m.net.w.relays[m.net.draw.IntN(len(m.net.w.relays))]
	if to == m.r || !to.up || to.frozen || to.fleet == nil || !m.net.passes(m.r, to) || !m.net.passes(to, m.r) {
		return
	}
	o := to.fleet
	mine, theirs := m.ledger.Digest(m.clock()), o.ledger.Digest(o.clock())
	m.send(to, m.newer(theirs))
	o.send(m.r, o.newer(mine))
}

// passes tells whether anything does from one relay to another.
func (n *fleetNet) passes(from, to *relay) bool {
	return n.links[scenario.LinkName(from.name, to.name)].Op != scenario.OpLinkCut
}

// send is a datagram on its way, or what a stream carries.
func (m *fleetMember) send(to *relay, pages []loadreport.Report) {
	if len(pages) > 0 {
		m.post(to, fleetPacket{pages: pages})
	}
}

// post is a datagram on its way, stamped as it leaves.
func (m *fleetMember) post(to *relay, p fleetPacket) {
	n := m.net
	n.Packets++
	for _, p := range p.pages {
		n.Bytes += 40 + 30*len(p.Scopes)
	}
	if p.rights != nil {
		n.RightsPackets++
		n.Bytes += 60 + 25*(len(p.rights.Leases)+len(p.rights.Requests)+len(p.rights.Grants))
	}
	late, again := linkLatency, time.Duration(-1)
	switch f := n.links[scenario.LinkName(m.r.name, to.name)]; f.Op {
	case scenario.OpLinkCut:
		return
	case scenario.OpLinkLoss:
		if n.draw.Float64() < f.Value {
			return
		}
	case scenario.OpLinkDelay:
		late += f.Duration
	case scenario.OpLinkReorder:
		if n.draw.Float64() < f.Value {
			again = late + time.Duration(n.draw.Int64N(int64(mixHold)))
		}
		if n.draw.Float64() < f.Value {
			late += mixHold
		}
	case scenario.OpLinkThrottle:
		late += time.Duration(gossip.MaxDatagramSize / f.Value * float64(time.Second))
	}
	p.from, p.boot, p.clock = m.name, m.ledger.Incarnation().Boot, m.clock()
	come := func() {
		switch o := to.fleet; {
		case o == nil || !to.up:
		case !to.frozen:
			o.hear(p)
		case len(o.inbox) < inboxMost:
			o.inbox = append(o.inbox, p)
		}
	}
	if n.w.ScheduleAfter(late, come); again >= 0 {
		n.w.ScheduleAfter(again, come)
	}
}

// hear takes a datagram that came.
func (m *fleetMember) hear(p fleetPacket) {
	wrong, at := m.r.wrong.fleet(), m.clock()
	sender := m.net.w.relay(p.from)
	if p.ping {
		m.post(sender, fleetPacket{pong: &fleetPong{p.boot, p.clock}})
		return
	}
	if p.pong != nil {
		if p.pong.boot == m.ledger.Incarnation().Boot {
			for _, p := range m.intake.ClockReceived(p.from, p.boot, p.clock, p.pong.clock, at) {
				m.hear(p)
			}
		}
		return
	}
	if p.rights != nil {
		held, known, stale := m.intake.Estimate(p.from, p.boot, p.clock, at)
		if stale && m.intake.RequestDue(p.from, at) {
			m.post(sender, fleetPacket{ping: true})
		}
		if known {
			r := *p.rights
			r.Member = p.from
			m.heard, m.heardAt = append(m.heard, r), append(m.heardAt, at-held)
			m.r.plan()
		}
		return
	}
	held, known, ask := m.intake.Receive(p, p.from, p.boot, p.clock, at)
	if ask {
		m.post(sender, fleetPacket{ping: true})
	}
	if wrong.NoTransitTime {
		held = 0
	} else if !known {
		return
	}
	for _, page := range p.pages {
		place := fleetPlace{page.Name, page.Number}
		page.Age = (page.Age + held + time.Millisecond - 1).Truncate(time.Millisecond) // as the wire has it
		meant := version{page.Name, page.Incarnation, page.Sequence}
		if wrong.LastReceivedWins {
			m.arrived++
			page.Sequence = m.arrived
		}
		out, _ := m.ledger.Merge(at, page)
		// a life of this relay that its folder does not know of
		if out == loadreport.Rival && m.claim.ObserveRival(at) {
			m.r.incarnation = m.ledger.Rival().Generation + 1
			m.raised = loadreport.Incarnation{Generation: m.r.incarnation, Boot: m.ledger.Incarnation().Boot}
			m.ledger.SetIncarnation(m.raised)
			m.r.plan()
		}
		if out == loadreport.Updated && m.net.known != nil {
			m.net.known(m.r, meant)
		}
		if out == loadreport.Updated {
			m.heardAs[place] = page.Age
			if wrong.LastReceivedWins {
				if m.meant[place] == meant {
					continue // told on once
				}
				m.meant[place] = meant
			}
			m.put(place)
			m.mail[place] = true
			m.r.plan()
		}
	}
}

// thaw takes what came while the process was stopped.
func (m *fleetMember) thaw() {
	inbox := m.inbox
	m.inbox = nil
	for _, p := range inbox {
		m.hear(p)
	}
}

// look checks what relays hold against what is true, and records what they believe.
func (n *fleetNet) look() {
	now := n.w.Now()
	if now < n.w.length {
		n.w.ScheduleAfter(beliefsEvery, n.look)
	}
	for _, r := range n.w.relays[:min(beliefsOf, len(n.w.relays))] {
		if !r.up || r.frozen || r.fleet == nil {
			continue
		}
		m, limits := r.fleet, r.fleet.seam.Limits()
		youngest, lives := map[string]time.Duration{}, map[string]uint64{}
		m.ledger.Each(m.clock(), func(p loadreport.Report) {
			if p.Name == m.name {
				return
			}
			n.check(m, limits, p)
			if age, ok := youngest[p.Name]; !ok || p.Age < age {
				youngest[p.Name] = p.Age
			}
			lives[p.Name] = p.Generation
		})
		for _, o := range n.w.relays {
			if o == r {
				continue
			}
			age, ok := youngest[o.name]
			if !ok {
				age = -1
			}
			n.w.see(
				eventlog.Event{
					Kind:   eventlog.PeerView,
					Relay:  r.name,
					Name:   o.name,
					State:  "listed",
					For:    age,
					Status: int(lives[o.name]),
				},
			)
		}
	}
	n.checkRights()
	maps.DeleteFunc(n.told, func(v version, at time.Duration) bool {
		if now-at > versionsKeep {
			delete(n.pageOf, v)
		}
		return now-at > versionsKeep
	})
}

// check holds one page that a relay has against the truth: no figure is beyond the bounds, no page is younger than it
// is, and none goes back to an earlier version.
func (n *fleetNet) check(m *fleetMember, limits loadreport.Limits, p loadreport.Report) {
	place := fleetPlace{p.Name, p.Number}
	v := version{p.Name, p.Incarnation, p.Sequence}
	if meant, other := m.meant[place]; other {
		v = meant
	}
	if of := n.w.relay(p.Name); of.n%n.fleets != m.r.n%n.fleets {
		n.wrong("stranger", "%s holds page %d of %s, of another fleet", m.r.name, p.Number, p.Name)
	}
	for _, c := range p.Scopes {
		if limit, ok := limits[c.Destination][c.Endpoint]; ok && c.Calls > loadreport.MaxRateMultiple*max(1, limit) {
			n.wrong(
				"bound",
				"%s holds %g calls a second of %s at destination %d, which takes %g",
				m.r.name,
				c.Calls,
				p.Name,
				c.Destination,
				limit,
			)
		}
	}
	if at, ok := n.told[v]; ok {
		if is := n.w.Now() - at; p.Age < is-ageSlack-time.Duration(float64(is)*2*clocksApart) {
			n.wrong("age", "%s holds page %d of %s, told %v ago, to be %v old", m.r.name, p.Number, p.Name, is, p.Age)
		}
	}
	was, ok := m.seen[place]
	if ok &&
		(v.Incarnation.Compare(was.Incarnation) < 0 || v.Incarnation == was.Incarnation && v.sequence < was.sequence) {
		n.wrong(
			"back",
			"%s goes back from version %d to %d of page %d of %s",
			m.r.name,
			was.sequence,
			v.sequence,
			p.Number,
			p.Name,
		)
	}
	m.seen[place] = v
}

// checkRights holds what all relays may use of each limit at this moment against it: of themselves, and by what they
// mint for others.
func (n *fleetNet) checkRights() {
	if !n.w.plan.File.Fleet.Quotas {
		return
	}
	sums, limits := map[quota.Scope]float64{}, map[quota.Scope]float64{}
	for _, r := range n.w.relays {
		if !r.up || r.fleet == nil || r.fleet.seam.Quota() == nil {
			continue
		}
		b := r.fleet.seam.Quota()
		for s, a := range b.Accounts {
			sums[s] += b.OwnRate(r.now(), s) + b.GrantRate(r.now(), s)
			limits[s] = max(limits[s], a.Limit)
		}
	}
	for s, sum := range sums {
		if n.Sums++; sum > limits[s]*(1+1e-6) {
			n.wrong(
				"sum",
				"all may use %.2f calls a second of destination %d%s, which takes %.2f",
				sum,
				s.Destination,
				s.Endpoint,
				limits[s],
			)
		}
	}
}

// wrong notes what is; of each kind the first is recorded.
func (n *fleetNet) wrong(kind, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if n.Wrong = append(n.Wrong, kind); !n.wrongs[kind] {
		n.wrongs[kind] = true
		n.w.see(eventlog.Event{Kind: eventlog.RunInvalid, Cause: text})
	}
}

// setLink carries a step of the plan out that is about a link.
func (n *fleetNet) setLink(s scenario.Step) {
	if n == nil {
		return
	}
	state := eventlog.LinkFaulty
	switch s.Op {
	case scenario.OpLinkCut:
		state = eventlog.LinkCut
	case scenario.OpLinkRestore:
		state = eventlog.LinkHealthy
	}
	from, to := scenario.LinkEnds(s.Target)
	n.w.see(eventlog.Event{Kind: eventlog.LinkChanged, Relay: from, Name: to, State: state, Cause: string(s.Op)})
	n.links[s.Target] = s
}

// freeze stops a relay's process, or lets it go on with all that came meanwhile.
func (r *relay) freeze(on bool) {
	if !r.up || r.frozen == on {
		return
	}
	state := eventlog.StateCont
	if on {
		state = eventlog.StateStop
	}
	r.w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
	if r.frozen = on; on {
		return
	}
	r.planned = false
	if r.fleet != nil {
		r.fleet.thaw()
	}
	r.plan()
}
