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
	linkLatency        = 500 * time.Microsecond
	maxPausedDatagrams = 256 // datagrams that wait for a process that is stopped
	agentInterval      = 250 * time.Millisecond
	checkInterval      = 500 * time.Millisecond
	maxCheckedRelays   = 20   // relays at most, whose beliefs are recorded
	maxClockDrift      = 0.01 // two relays' clocks at most
	ageTolerance       = 400 * time.Millisecond
	absurdFactor       = 1000
	versionRetention   = 2 * loadreport.MaxAge
	maxReorderDelay    = 30 * time.Millisecond // a datagram that others overtake
)

// FleetWrong is what is wrong with the links of all relays. The zero value is nothing.
type LinkFaults struct {
	LastReceivedWins bool // what is heard last goes before what is newest
	FrozenAges       bool // what is told on is told with the age that it had when it was heard
	NoLimits         bool // absurd figures are taken
	NoTransitTime    bool // what was held up on its way, or by a process that was stopped, is taken for fresh
	AcceptsStrangers bool // whoever tells is heard, listed or not
}

func (m *Mutant) linkFaults() LinkFaults {
	if m == nil {
		return LinkFaults{}
	}
	return m.LinkFaults
}

// fleetNet is all that is between the relays, and what is true of them.
type fleetNetwork struct {
	world          *World
	random         *rand.Rand
	linkSteps      map[string]scenario.Step // faults, by name; none: sound
	publishedAt    map[reportVersion]time.Duration
	reportNumber   map[reportVersion]int
	clockDrift     []float64
	absurdRelay    int // a relay that tells absurd figures, counted from 0; below 0: none
	mergedFleets   int // that were joined by mistake: each relay's table lists those of its own
	duplicateRelay int // a relay that was started under the name of the first, counted from 0; below 0: none
	violations     []string
	recordedKinds  map[string]bool
	onUpdate       func(by *relay, v reportVersion) // told of each version that one takes; nil: nobody is
	datagramCount  int

	quotaDatagramCount int
	quotaCheckCount    int // that were checked
	byteCount          int // of pages, as a datagram would hold them, more or less
}

type reportVersion struct {
	name string
	loadreport.Incarnation
	sequence uint64
}

type reportKey struct {
	name   string
	number int
}

// fleetMember is the link and the seam of one process.
type fleetMember struct {
	relay               *relay
	name                string // the relay's, but for a twin
	network             *fleetNetwork
	life                int
	startedAt           time.Duration
	clockOffset         time.Duration // of its clock
	agent               *agent.Agent
	reports             *loadreport.Table
	inbox               loadreport.Inbox[datagram]
	nameClaim           loadreport.NameClaim
	quotaMessages       []quota.Message
	quotaSentAt         []time.Duration // when they were sent at the latest
	outbox              gossipQueue
	updated             map[reportKey]bool
	newIncarnation      loadreport.Incarnation // a new one that the seam has not been told of
	receivedWhilePaused []datagram             // while the process is stopped
	lastSeen            map[reportKey]reportVersion
	receivedAge         map[reportKey]time.Duration // of AgesStand
	receivedCount       uint64                      // of LastWins
	trueVersion         map[reportKey]reportVersion // of LastWins: what a page's version was
}

// outbox holds what is to be told, by how often it still is.
type gossipQueue struct {
	remaining map[reportKey]int
	levels    [][]reportKey // those that were told least last; a place counts where left says so
}

// put has a place told so many times from now on.
func (o *gossipQueue) put(p reportKey, times int) {
	if o.remaining == nil {
		o.remaining = map[reportKey]int{}
	}
	for len(o.levels) <= times {
		o.levels = append(o.levels, nil)
	}
	if o.remaining[p] != times {
		o.remaining[p] = times
		o.levels[times] = append(o.levels[times], p)
	}
}

// take takes what was told least, the newest first, so many at most.
func (o *gossipQueue) take(most int) (places []reportKey) {
	for n := len(o.levels) - 1; n > 0; n-- {
		level := &o.levels[n]
		for len(*level) > 0 && len(places) < most {
			p := (*level)[len(*level)-1]
			*level = (*level)[:len(*level)-1]
			if o.remaining[p] == n {
				o.remaining[p] = -n // is being told
				places = append(places, p)
			}
		}
	}
	for _, p := range slices.Backward(places) {
		if n := -o.remaining[p] - 1; n > 0 {
			o.put(p, n)
		} else {
			delete(o.remaining, p)
		}
	}
	return places
}

type datagram struct {
	sender  string
	boot    uint32
	clock   time.Duration
	reports []loadreport.Report

	quota         *quota.Message
	clockRequest  bool
	clockResponse *clockResponse
}

type clockResponse struct {
	boot  uint32
	clock time.Duration
}

// newFleet returns what is between relays that tell each other of themselves; nil if they do not.
func newFleet(w *World) *fleetNetwork {
	if !w.plan.File.Fleet.Enabled {
		return nil
	}
	n := &fleetNetwork{
		world: w, random: engine.NewRandom(w.plan.Seed, "fleet", 0), linkSteps: map[string]scenario.Step{}, publishedAt: map[reportVersion]time.Duration{}, reportNumber: map[reportVersion]int{}, absurdRelay: w.options.AbsurdReporter - 1,
		mergedFleets: max(1, w.options.MergedFleets), duplicateRelay: w.options.NameDuplicate - 1,
		recordedKinds: map[string]bool{},
	}
	for range w.plan.File.Relays {
		n.clockDrift = append(n.clockDrift, (n.random.Float64()-0.5)*maxClockDrift)
	}
	w.ScheduleAfter(checkInterval, n.checkAll)
	return n
}

// join begins a process's part in its fleet.
func (n *fleetNetwork) join(r *relay) *fleetMember {
	m := &fleetMember{
		relay: r, network: n, name: r.name, life: r.process, startedAt: n.world.Now(), clockOffset: time.Duration(n.random.Int64N(int64(time.Hour))), updated: map[reportKey]bool{},
		inbox: loadreport.Inbox[datagram]{
			ClockRequestInterval: gossip.ClockRequestInterval,
			MaxDeferred:          gossip.MaxDeferredMessages,
		},
		lastSeen: map[reportKey]reportVersion{}, receivedAge: map[reportKey]time.Duration{}, trueVersion: map[reportKey]reportVersion{},
	}
	if n.duplicateRelay == r.index {
		m.name = n.world.relays[0].name
	}
	r.incarnation++
	life := loadreport.Incarnation{Generation: r.incarnation, Boot: n.random.Uint32()}
	var all []string
	for i := range n.world.plan.File.Relays {
		if i%n.mergedFleets == r.index%n.mergedFleets || r.mutant.linkFaults().AcceptsStrangers {
			all = append(all, scenario.RelayName(i+1))
		}
	}
	m.agent = agent.New(agent.Settings{
		Self: m.name, Incarnation: life, Members: all, DestinationKinds: r.settings.DestinationKinds, ShareQuota: n.world.plan.File.Fleet.Quotas, FleetSize: r.settings.FleetSize,
	})
	m.reports = loadreport.New(m.name, life, all)
	m.repeat(gossip.Interval, m.gossip)
	m.repeat(gossip.SyncInterval, m.exchangeDigests)
	m.repeat(agentInterval, func() { r.scheduleStep() })
	return m
}

// every runs something again and again while the process lives and is not stopped.
func (m *fleetMember) repeat(d time.Duration, do func()) {
	var again func()
	again = func() {
		if m.relay.member != m || !m.relay.running {
			return
		}
		if !m.relay.paused {
			do()
		}
		m.network.world.ScheduleAfter(d, again)
	}
	m.network.world.ScheduleAfter(time.Duration(m.network.random.Int64N(int64(d))), again)
}

// clock is the process's own monotonic time.
func (m *fleetMember) clock() time.Duration {
	return m.clockOffset + time.Duration(float64(m.network.world.Now()-m.startedAt)*(1+m.network.clockDrift[m.relay.index]))
}

// step is the seam's beside the module's.
func (m *fleetMember) step(events []policy.Event, actions []policy.Action) {
	at := m.clock()
	var heard []loadreport.Report
	for _, p := range slices.SortedFunc(maps.Keys(m.updated), func(a, b reportKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.number, b.number))
	}) {
		if page, ok := m.reports.Get(at, p.name, p.number); ok {
			heard = append(heard, page)
		}
	}
	clear(m.updated)
	defer func() { m.newIncarnation = loadreport.Incarnation{} }()
	for i := range m.quotaMessages {
		m.quotaMessages[i].TransitTime = max(0, at-m.quotaSentAt[i])
	}
	out := m.agent.Step(
		m.relay.now(),
		agent.Input{
			Received:    heard,
			Incarnation: m.newIncarnation,
			Quota:       m.quotaMessages,
			Events:      events,
			Actions:     actions,
			Views:       m.views,
		},
	)
	m.quotaMessages, m.quotaSentAt = nil, m.quotaSentAt[:0]
	for i := range out.Quota {
		if to := m.network.world.relay(out.Quota[i].Member); to != nil {
			m.sendDatagram(to, datagram{quota: &out.Quota[i]})
		}
	}
	if len(out.Events) > 0 {
		m.relay.pendingEvents = append(m.relay.pendingEvents, out.Events...)
		m.relay.scheduleStep()
	}
	told := out.Published
	if !m.relay.mutant.linkFaults().NoLimits &&
		slices.ContainsFunc(
			events,
			func(e policy.Event) bool { return e.Kind == policy.EndpointSnapshot || e.Kind == policy.EndpointDelta },
		) {
		m.reports.SetLimits(m.agent.Limits())
	}
	for _, p := range told {
		v := reportVersion{p.Name, p.Incarnation, p.Sequence}
		m.network.publishedAt[v], m.network.reportNumber[v] = m.network.world.Now(), p.Number
		if m.network.absurdRelay == m.relay.index {
			p.Scopes = slices.Clone(p.Scopes)
			for i := range p.Scopes {
				p.Scopes[i].Calls = absurdFactor * (1 + p.Scopes[i].Calls)
			}
			m.broadcast(p) // it holds what it likes
			continue
		}
		if m.reports.Restore(at, p) == loadreport.Updated && !m.nameClaim.Suspended(at) {
			m.enqueue(reportKey{p.Name, p.Number})
		}
	}
}

func (m *fleetMember) views() []policy.EndpointView {
	if s, ok := m.relay.engine.(interface {
		Views() ([]policy.EndpointView, int)
	}); ok {
		views, _ := s.Views()
		return views
	}
	return nil
}

// put queues a page to be told to others.
func (m *fleetMember) enqueue(p reportKey) {
	m.outbox.put(p, gossip.Retransmissions(len(m.network.world.relays)))
}

// gossip tells a few others what is news, first what was told least.
func (m *fleetMember) gossip() {
	all := m.network.world.relays
	for range min(gossip.FanOut(len(all)), len(all)-1) {
		var pages []loadreport.Report
		for _, place := range m.outbox.take(gossip.ReportsPerDatagram) {
			if p, ok := m.reportToSend(place); ok {
				pages = append(pages, p)
			}
		}
		if to := all[m.network.random.IntN(len(all))]; to != m.relay {
			m.sendReports(to, pages)
		}
	}
}

// newer are the pages that another lacks.
func (m *fleetMember) missingFrom(than loadreport.Digest) (pages []loadreport.Report) {
	for _, p := range m.reports.MissingFrom(m.clock(), than) {
		if p.Name == m.name && m.nameClaim.Suspended(m.clock()) {
			continue
		}
		if p, ok := m.reportToSend(reportKey{p.Name, p.Number}); ok {
			pages = append(pages, p)
		}
	}
	return pages
}

// page is one as it is told on now.
func (m *fleetMember) reportToSend(at reportKey) (loadreport.Report, bool) {
	p, ok := m.reports.Get(m.clock(), at.name, at.number)
	if age, heard := m.receivedAge[at]; heard && m.relay.mutant.linkFaults().FrozenAges {
		p.Age = age
	}
	if v, other := m.trueVersion[at]; other {
		p.Sequence = v.sequence
	}
	return p, ok
}

// spread sends a page to all at once, whatever it holds.
func (m *fleetMember) broadcast(p loadreport.Report) {
	for _, to := range m.network.world.relays {
		if to != m.relay {
			m.sendReports(to, []loadreport.Report{p})
		}
	}
}

// digests has another send what this one lacks, and the reverse.
func (m *fleetMember) exchangeDigests() {
	to := m.network.world.relays[m.network.random.IntN(len(m.network.world.relays))]
	if to == m.relay || !to.running || to.paused || to.member == nil || !m.network.connected(m.relay, to) || !m.network.connected(to, m.relay) {
		return
	}
	o := to.member
	mine, theirs := m.reports.Digest(m.clock()), o.reports.Digest(o.clock())
	m.sendReports(to, m.missingFrom(theirs))
	o.sendReports(m.relay, o.missingFrom(mine))
}

// passes tells whether anything does from one relay to another.
func (n *fleetNetwork) connected(from, to *relay) bool {
	return n.linkSteps[scenario.LinkName(from.name, to.name)].Op != scenario.OpLinkCut
}

// send is a datagram on its way, or what a stream carries.
func (m *fleetMember) sendReports(to *relay, pages []loadreport.Report) {
	if len(pages) > 0 {
		m.sendDatagram(to, datagram{reports: pages})
	}
}

// post is a datagram on its way, stamped as it leaves.
func (m *fleetMember) sendDatagram(to *relay, p datagram) {
	n := m.network
	n.datagramCount++
	for _, p := range p.reports {
		n.byteCount += 40 + 30*len(p.Scopes)
	}
	if p.quota != nil {
		n.quotaDatagramCount++
		n.byteCount += 60 + 25*(len(p.quota.Leases)+len(p.quota.Requests)+len(p.quota.Grants))
	}
	late, again := linkLatency, time.Duration(-1)
	switch f := n.linkSteps[scenario.LinkName(m.relay.name, to.name)]; f.Op {
	case scenario.OpLinkCut:
		return
	case scenario.OpLinkLoss:
		if n.random.Float64() < f.Value {
			return
		}
	case scenario.OpLinkDelay:
		late += f.Duration
	case scenario.OpLinkReorder:
		if n.random.Float64() < f.Value {
			again = late + time.Duration(n.random.Int64N(int64(maxReorderDelay)))
		}
		if n.random.Float64() < f.Value {
			late += maxReorderDelay
		}
	case scenario.OpLinkThrottle:
		late += time.Duration(gossip.MaxDatagramSize / f.Value * float64(time.Second))
	}
	p.sender, p.boot, p.clock = m.name, m.reports.Incarnation().Boot, m.clock()
	come := func() {
		switch o := to.member; {
		case o == nil || !to.running:
		case !to.paused:
			o.receive(p)
		case len(o.receivedWhilePaused) < maxPausedDatagrams:
			o.receivedWhilePaused = append(o.receivedWhilePaused, p)
		}
	}
	if n.world.ScheduleAfter(late, come); again >= 0 {
		n.world.ScheduleAfter(again, come)
	}
}

// hear takes a datagram that came.
func (m *fleetMember) receive(p datagram) {
	wrong, at := m.relay.mutant.linkFaults(), m.clock()
	sender := m.network.world.relay(p.sender)
	if p.clockRequest {
		m.sendDatagram(sender, datagram{clockResponse: &clockResponse{p.boot, p.clock}})
		return
	}
	if p.clockResponse != nil {
		if p.clockResponse.boot == m.reports.Incarnation().Boot {
			for _, p := range m.inbox.ClockReceived(p.sender, p.boot, p.clock, p.clockResponse.clock, at) {
				m.receive(p)
			}
		}
		return
	}
	if p.quota != nil {
		held, known, stale := m.inbox.Estimate(p.sender, p.boot, p.clock, at)
		if stale && m.inbox.RequestDue(p.sender, at) {
			m.sendDatagram(sender, datagram{clockRequest: true})
		}
		if known {
			r := *p.quota
			r.Member = p.sender
			m.quotaMessages, m.quotaSentAt = append(m.quotaMessages, r), append(m.quotaSentAt, at-held)
			m.relay.scheduleStep()
		}
		return
	}
	held, known, ask := m.inbox.Receive(p, p.sender, p.boot, p.clock, at)
	if ask {
		m.sendDatagram(sender, datagram{clockRequest: true})
	}
	if wrong.NoTransitTime {
		held = 0
	} else if !known {
		return
	}
	for _, page := range p.reports {
		place := reportKey{page.Name, page.Number}
		page.Age = (page.Age + held + time.Millisecond - 1).Truncate(time.Millisecond) // as the wire has it
		meant := reportVersion{page.Name, page.Incarnation, page.Sequence}
		if wrong.LastReceivedWins {
			m.receivedCount++
			page.Sequence = m.receivedCount
		}
		out, _ := m.reports.Merge(at, page)
		// a life of this relay that its folder does not know of
		if out == loadreport.Rival && m.nameClaim.ObserveRival(at) {
			m.relay.incarnation = m.reports.Rival().Generation + 1
			m.newIncarnation = loadreport.Incarnation{Generation: m.relay.incarnation, Boot: m.reports.Incarnation().Boot}
			m.reports.SetIncarnation(m.newIncarnation)
			m.relay.scheduleStep()
		}
		if out == loadreport.Updated && m.network.onUpdate != nil {
			m.network.onUpdate(m.relay, meant)
		}
		if out == loadreport.Updated {
			m.receivedAge[place] = page.Age
			if wrong.LastReceivedWins {
				if m.trueVersion[place] == meant {
					continue // told on once
				}
				m.trueVersion[place] = meant
			}
			m.enqueue(place)
			m.updated[place] = true
			m.relay.scheduleStep()
		}
	}
}

// thaw takes what came while the process was stopped.
func (m *fleetMember) resume() {
	inbox := m.receivedWhilePaused
	m.receivedWhilePaused = nil
	for _, p := range inbox {
		m.receive(p)
	}
}

// look checks what relays hold against what is true, and records what they believe.
func (n *fleetNetwork) checkAll() {
	now := n.world.Now()
	if now < n.world.length {
		n.world.ScheduleAfter(checkInterval, n.checkAll)
	}
	for _, r := range n.world.relays[:min(maxCheckedRelays, len(n.world.relays))] {
		if !r.running || r.paused || r.member == nil {
			continue
		}
		m, limits := r.member, r.member.agent.Limits()
		youngest, lives := map[string]time.Duration{}, map[string]uint64{}
		m.reports.Each(m.clock(), func(p loadreport.Report) {
			if p.Name == m.name {
				return
			}
			n.checkReport(m, limits, p)
			if age, ok := youngest[p.Name]; !ok || p.Age < age {
				youngest[p.Name] = p.Age
			}
			lives[p.Name] = p.Generation
		})
		for _, o := range n.world.relays {
			if o == r {
				continue
			}
			age, ok := youngest[o.name]
			if !ok {
				age = -1
			}
			n.world.record(
				eventlog.Event{
					Kind:     eventlog.PeerView,
					Relay:    r.name,
					Name:     o.name,
					State:    "listed",
					Duration: age,
					Status:   int(lives[o.name]),
				},
			)
		}
	}
	n.checkQuota()
	maps.DeleteFunc(n.publishedAt, func(v reportVersion, at time.Duration) bool {
		if now-at > versionRetention {
			delete(n.reportNumber, v)
		}
		return now-at > versionRetention
	})
}

// check holds one page that a relay has against the truth: no figure is beyond the bounds, no page is younger than it
// is, and none goes back to an earlier version.
func (n *fleetNetwork) checkReport(m *fleetMember, limits loadreport.Limits, p loadreport.Report) {
	place := reportKey{p.Name, p.Number}
	v := reportVersion{p.Name, p.Incarnation, p.Sequence}
	if meant, other := m.trueVersion[place]; other {
		v = meant
	}
	if of := n.world.relay(p.Name); of.index%n.mergedFleets != m.relay.index%n.mergedFleets {
		n.addViolation("stranger", "%s holds page %d of %s, of another fleet", m.relay.name, p.Number, p.Name)
	}
	for _, c := range p.Scopes {
		if limit, ok := limits[c.Destination][c.Endpoint]; ok && c.Calls > loadreport.MaxRateMultiple*max(1, limit) {
			n.addViolation(
				"bound",
				"%s holds %g calls a second of %s at destination %d, which takes %g",
				m.relay.name,
				c.Calls,
				p.Name,
				c.Destination,
				limit,
			)
		}
	}
	if at, ok := n.publishedAt[v]; ok {
		if is := n.world.Now() - at; p.Age < is-ageTolerance-time.Duration(float64(is)*2*maxClockDrift) {
			n.addViolation("age", "%s holds page %d of %s, told %v ago, to be %v old", m.relay.name, p.Number, p.Name, is, p.Age)
		}
	}
	was, ok := m.lastSeen[place]
	if ok &&
		(v.Incarnation.Compare(was.Incarnation) < 0 || v.Incarnation == was.Incarnation && v.sequence < was.sequence) {
		n.addViolation(
			"back",
			"%s goes back from version %d to %d of page %d of %s",
			m.relay.name,
			was.sequence,
			v.sequence,
			p.Number,
			p.Name,
		)
	}
	m.lastSeen[place] = v
}

// checkRights holds what all relays may use of each limit at this moment against it: of themselves, and by what they
// mint for others.
func (n *fleetNetwork) checkQuota() {
	if !n.world.plan.File.Fleet.Quotas {
		return
	}
	sums, limits := map[quota.Scope]float64{}, map[quota.Scope]float64{}
	for _, r := range n.world.relays {
		if !r.running || r.member == nil || r.member.agent.Quota() == nil {
			continue
		}
		b := r.member.agent.Quota()
		for s, a := range b.Accounts {
			sums[s] += b.OwnRate(r.now(), s) + b.GrantRate(r.now(), s)
			limits[s] = max(limits[s], a.Limit)
		}
	}
	for s, sum := range sums {
		if n.quotaCheckCount++; sum > limits[s]*(1+1e-6) {
			n.addViolation(
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
func (n *fleetNetwork) addViolation(kind, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if n.violations = append(n.violations, kind); !n.recordedKinds[kind] {
		n.recordedKinds[kind] = true
		n.world.record(eventlog.Event{Kind: eventlog.RunInvalid, Cause: text})
	}
}

// setLink carries a step of the plan out that is about a link.
func (n *fleetNetwork) applyLinkStep(s scenario.Step) {
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
	n.world.record(eventlog.Event{Kind: eventlog.LinkChanged, Relay: from, Name: to, State: state, Cause: string(s.Op)})
	n.linkSteps[s.Target] = s
}

// freeze stops a relay's process, or lets it go on with all that came meanwhile.
func (r *relay) setPaused(on bool) {
	if !r.running || r.paused == on {
		return
	}
	state := eventlog.StateCont
	if on {
		state = eventlog.StateStop
	}
	r.world.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
	if r.paused = on; on {
		return
	}
	r.stepScheduled = false
	if r.member != nil {
		r.member.resume()
	}
	r.scheduleStep()
}
