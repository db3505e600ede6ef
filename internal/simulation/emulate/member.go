package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// agentInterval is how often the agent steps at least.
	agentInterval = 250 * time.Millisecond
	// absurdFactor is by how much the figures of an absurd relay are too high.
	absurdFactor = 1000
)

// fleetMember is a process as a member of the fleet: its agent, its table of load reports and its side of the links.
type fleetMember struct {
	relay       *relay
	network     *fleetNetwork
	name        string // the relay's, unless it runs under another one's
	startedAt   time.Duration
	clockOffset time.Duration // of its monotonic clock

	agent          *agent.Agent
	reports        *loadreport.Table
	nameClaim      loadreport.NameClaim
	newIncarnation loadreport.Incarnation // that the agent does not know yet; zero: none

	// What was received and not given to the agent yet.
	updatedReports map[reportKey]bool
	quotaMessages  []quota.Message
	quotaSentAt    []time.Duration // by this process's clock, at the latest

	inbox                loadreport.Inbox[datagram]
	receivedWhileStalled []datagram
	queue                gossipQueue // reports to forward

	receivedAge   map[reportKey]time.Duration // for LinkFaults.FrozenAges
	receivedCount uint64                      // for LinkFaults.LastReceivedWins
	trueVersion   map[reportKey]reportVersion // likewise: the version of the report that was received
	lastChecked   map[reportKey]reportVersion // by fleetNetwork.checkAll
}

// reportKey identifies a load report of a member.
type reportKey struct {
	name   string
	number int
}

func keyOf(r *loadreport.Report) reportKey { return reportKey{name: r.Name, number: r.Number} }

func compareReportKeys(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.number, b.number))
}

// reportVersion identifies a version of a load report over all processes of a member.
type reportVersion struct {
	name string
	loadreport.Incarnation
	sequence uint64
}

func versionOf(r *loadreport.Report) reportVersion {
	return reportVersion{name: r.Name, Incarnation: r.Incarnation, sequence: r.Sequence}
}

// join adds a relay's process to the fleet.
func (n *fleetNetwork) join(r *relay) *fleetMember {
	m := &fleetMember{
		relay:          r,
		network:        n,
		name:           r.name,
		startedAt:      n.world.Now(),
		clockOffset:    time.Duration(n.random.Int64N(int64(time.Hour))),
		updatedReports: map[reportKey]bool{},
		inbox: loadreport.Inbox[datagram]{
			ClockRequestInterval: gossip.ClockRequestInterval,
			MaxDeferred:          gossip.MaxDeferredMessages,
		},
		receivedAge: map[reportKey]time.Duration{},
		trueVersion: map[reportKey]reportVersion{},
		lastChecked: map[reportKey]reportVersion{},
	}
	if n.duplicateRelay == r.index {
		m.name = n.world.relays[0].name
	}
	r.incarnation++
	incarnation := loadreport.Incarnation{Generation: r.incarnation, Boot: n.random.Uint32()}
	var members []string
	for i := range n.world.plan.File.Relays {
		if n.sameFleet(i, r.index) || r.mutant.linkFaults().AcceptsStrangers {
			members = append(members, scenario.RelayName(i+1))
		}
	}
	m.agent = agent.New(agent.Settings{
		Self:             m.name,
		Incarnation:      incarnation,
		Members:          members,
		DestinationKinds: r.settings.DestinationKinds,
		ShareQuota:       n.world.plan.File.Fleet.Quotas,
		FleetSize:        r.settings.FleetSize,
	})
	m.reports = loadreport.New(m.name, incarnation, members)
	m.repeat(gossip.Interval, m.gossip)
	m.repeat(gossip.SyncInterval, m.exchangeDigests)
	m.repeat(agentInterval, r.scheduleStep)
	return m
}

// repeat runs something at an interval, from a random time on, while the process runs and is not stalled.
func (m *fleetMember) repeat(interval time.Duration, run func()) {
	var next func()
	next = func() {
		if m.relay.member != m || !m.relay.running {
			return
		}
		if !m.relay.stalled {
			run()
		}
		m.network.world.ScheduleAfter(interval, next)
	}
	m.network.world.ScheduleAfter(time.Duration(m.network.random.Int64N(int64(interval))), next)
}

// clock returns the process's own monotonic time.
func (m *fleetMember) clock() time.Duration {
	elapsed := float64(m.network.world.Now() - m.startedAt)
	return m.clockOffset + time.Duration(elapsed*(1+m.network.clockDrift[m.relay.index]))
}

// step lets the agent step with the engine, and carries out what it decides.
func (m *fleetMember) step(events []policy.Event, actions []policy.Action) {
	now := m.clock()
	output := m.agent.Step(m.relay.now(), m.agentInput(now, events, actions))
	m.newIncarnation = loadreport.Incarnation{}
	m.quotaMessages, m.quotaSentAt = nil, m.quotaSentAt[:0]
	for i := range output.Quota {
		if to := m.network.world.relay(output.Quota[i].Member); to != nil {
			m.sendDatagram(to, datagram{quota: &output.Quota[i]})
		}
	}
	if len(output.Events) > 0 {
		m.relay.pendingEvents = append(m.relay.pendingEvents, output.Events...)
		m.relay.scheduleStep()
	}
	listChanged := slices.ContainsFunc(events, func(e policy.Event) bool { return isListEvent(e.Kind) })
	if listChanged && !m.relay.mutant.linkFaults().NoLimits {
		m.reports.SetLimits(m.agent.Limits())
	}
	for _, report := range output.Published {
		m.publish(now, report)
	}
}

// agentInput returns the input of the agent's step: what happened, and what was received since the last step.
func (m *fleetMember) agentInput(now time.Duration, events []policy.Event, actions []policy.Action) agent.Input {
	var received []loadreport.Report
	for _, key := range slices.SortedFunc(maps.Keys(m.updatedReports), compareReportKeys) {
		if report, ok := m.reports.Get(now, key.name, key.number); ok {
			received = append(received, report)
		}
	}
	clear(m.updatedReports)
	for i := range m.quotaMessages {
		m.quotaMessages[i].TransitTime = max(0, now-m.quotaSentAt[i])
	}
	return agent.Input{
		Received:    received,
		Incarnation: m.newIncarnation,
		Quota:       m.quotaMessages,
		Events:      events,
		Actions:     actions,
		Views:       m.views,
	}
}

// views returns how the engine sees the endpoints, if it tells it.
func (m *fleetMember) views() []policy.EndpointView {
	v, ok := m.relay.engine.(viewer)
	if !ok {
		return nil
	}
	views, _ := v.Views()
	return views
}

// publish publishes a report of the agent. An absurd relay sends its own to all others at once.
func (m *fleetMember) publish(now time.Duration, report loadreport.Report) {
	m.network.published(&report)
	if m.network.absurdRelay == m.relay.index {
		report.Scopes = slices.Clone(report.Scopes)
		for i := range report.Scopes {
			report.Scopes[i].Calls = absurdFactor * (1 + report.Scopes[i].Calls)
		}
		m.broadcast(report)
		return
	}
	if m.reports.Restore(now, report) == loadreport.Updated && !m.nameClaim.Suspended(now) {
		m.enqueue(keyOf(&report))
	}
}
