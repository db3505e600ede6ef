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
	// agentInterval is the longest time between two steps of the agent.
	agentInterval = 250 * time.Millisecond
	// absurdFactor is the factor by which the figures of Options.AbsurdReporter are too high.
	absurdFactor = 1000
)

// fleetMember is a relay's process as a member of the fleet: its agent, its table of load reports, what it has
// received, and the reports that it forwards.
type fleetMember struct {
	relay       *relay
	network     *fleetNetwork
	name        string // of the relay, or of the first relay: see Options.NameDuplicate
	startedAt   time.Duration
	clockOffset time.Duration // reading of the process's monotonic clock at startedAt

	agent          *agent.Agent
	reports        *loadreport.Table
	nameClaim      loadreport.NameClaim
	newIncarnation loadreport.Incarnation // for the agent's next step; zero: unchanged

	// What was received since the agent's last step.
	updatedReports map[reportKey]bool
	quotaMessages  []quota.Message
	quotaSentAt    []time.Duration // earliest possible time of each, by this process's clock

	inbox                loadreport.Inbox[datagram]
	receivedWhileStalled []datagram
	queue                gossipQueue // reports to forward

	receivedAge   map[reportKey]time.Duration // the age on receipt, for LinkFaults.FrozenAges
	receivedCount uint64                      // reports received so far, for LinkFaults.LastReceivedWins
	trueVersion   map[reportKey]reportVersion // the version as received, for LinkFaults.LastReceivedWins
	lastChecked   map[reportKey]reportVersion // the version at the last fleetNetwork.checkAll
}

// reportKey identifies one of a member's load reports, over all its versions.
type reportKey struct {
	name   string
	number int
}

func keyOf(r *loadreport.Report) reportKey { return reportKey{name: r.Name, number: r.Number} }

func compareReportKeys(a, b reportKey) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.number, b.number))
}

// reportVersion identifies a version of a load report among those of all processes of a member.
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

// repeat calls run at an interval while the process runs. The first call comes after a random part of the interval.
// Calls that are due while the process is stalled are skipped.
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

// clock returns the reading of the process's monotonic clock, which has an offset and drifts.
func (m *fleetMember) clock() time.Duration {
	elapsed := float64(m.network.world.Now() - m.startedAt)
	return m.clockOffset + time.Duration(elapsed*(1+m.network.clockDrift[m.relay.index]))
}

// step runs a step of the agent with the events and actions of the engine's step, and executes its output: it sends
// quota messages, passes events to the engine and publishes load reports.
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

// agentInput returns the input of the agent's step: the events and actions of the engine's step, and what was
// received since the agent's last step.
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

// views returns the engine's views of the endpoints; nil if the engine does not provide them.
func (m *fleetMember) views() []policy.EndpointView {
	v, ok := m.relay.engine.(viewer)
	if !ok {
		return nil
	}
	views, _ := v.Views()
	return views
}

// publish publishes a report of the agent. The relay of Options.AbsurdReporter sends its reports, with figures that
// are too high, to all other relays at once.
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
