package modelcheck

import (
	"fmt"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// fleetEndpoint is the endpoint that all reports are about.
	fleetEndpoint = "r"
	// fleetEndpointRate is its weight, and the limit of its destination.
	fleetEndpointRate = 10
	// bootsPerProcess keeps the boot numbers of processes apart that run under one name.
	bootsPerProcess = 100
	// clockOffset is by how much the clocks of two successive processes differ.
	clockOffset = time.Hour
)

// fleetState is a state of a fleet.
type fleetState struct {
	model     *FleetModel
	faults    emulate.LinkFaults
	now       time.Duration
	members   []*memberState
	inFlight  []datagram
	published map[string]map[reportVersion]time.Duration // when each version was, by member name
	remaining FleetBudget
	violation string // "": none
}

// datagram carries a report from one process to another.
type datagram struct {
	from, to    int
	senderBoot  uint32
	senderClock time.Duration
	report      loadreport.Report
}

// reportVersion identifies a published report among those of its member.
type reportVersion struct {
	incarnation loadreport.Incarnation
	sequence    uint64
}

// memberState is a process of the fleet.
type memberState struct {
	name              string
	agent             *agent.Agent
	raisedIncarnation loadreport.Incarnation // that the agent has not been told of
	table             *loadreport.Table
	transit           loadreport.TransitEstimator
	generation        uint64 // in its state directory
	boot              uint32
	sequence          uint64 // of its last report
	publishes         int
	paused            bool
	inbox             []datagram               // that arrived while it is paused
	lastVersions      map[string]reportVersion // that were in its table, by member name

	// Of faulty members. With LastReceivedWins the table numbers reports by receivedCount, and trueVersions has the
	// versions that they were published as. With FrozenAges reports are forwarded with the ages of receivedAges.
	receivedCount uint64
	trueVersions  map[string]reportVersion
	receivedAges  map[string]time.Duration
}

func memberName(member int) string { return fmt.Sprintf("m%d", member) }

// processName names a process. Two processes may run under one member's name.
func processName(process int) string { return fmt.Sprintf("p%d", process) }

// newFleetState returns the initial state: all processes have started and know of each other's clocks.
func newFleetState(model *FleetModel, faults emulate.LinkFaults) *fleetState {
	f := &fleetState{
		model:     model,
		faults:    faults,
		now:       time.Second,
		published: map[string]map[reportVersion]time.Duration{},
		remaining: model.Budget,
	}
	for i := range model.Members {
		f.members = append(f.members, &memberState{name: memberName(i)})
		f.published[memberName(i)] = map[reportVersion]time.Duration{}
	}
	if model.DuplicateName {
		f.members = append(f.members, &memberState{name: memberName(0)})
	}
	for i := range f.members {
		f.boot(i)
	}
	for i := range f.members {
		f.calibrateClocks(i)
	}
	return f
}

// clock is a process's own monotonic time, far from the others'.
func (f *fleetState) clock(process int) time.Duration {
	return f.now + time.Duration(process)*clockOffset
}

// boot starts a process. Of an earlier one its name and generation remain, and how often it booted and published.
func (f *fleetState) boot(process int) {
	earlier := f.members[process]
	m := &memberState{
		name:         earlier.name,
		generation:   earlier.generation + 1,
		boot:         earlier.boot + 1,
		publishes:    earlier.publishes,
		lastVersions: map[string]reportVersion{},
		trueVersions: map[string]reportVersion{},
		receivedAges: map[string]time.Duration{},
	}
	f.members[process] = m
	var listed []string
	for i := range f.model.Members {
		listed = append(listed, memberName(i))
	}
	incarnation := loadreport.Incarnation{
		Generation: m.generation,
		Boot:       m.boot + uint32(bootsPerProcess*process),
	}
	m.table = loadreport.New(m.name, incarnation, listed)
	m.table.SetLimits(loadreport.Limits{0: {"": fleetEndpointRate}})
	m.agent = agent.New(agent.Settings{
		Self:             m.name,
		Incarnation:      incarnation,
		Members:          listed,
		DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
	})
	endpoint := policy.Endpoint{ID: fleetEndpoint, Weight: fleetEndpointRate, InService: true}
	m.agent.Step(f.now, agent.Input{
		Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{endpoint}}},
	})
}

// calibrateClocks has a process and all others learn each other's clocks. What a paused process is asked it answers
// when it resumes.
func (f *fleetState) calibrateClocks(process int) {
	m := f.members[process]
	for i, other := range f.members {
		m.transit.Calibrate(processName(i), other.boot, f.clock(i), f.now, f.now)
		other.transit.Calibrate(processName(process), m.boot, f.clock(process), f.now, f.now)
	}
}

// trueVersion returns the version under which a report of the member's table was published.
func (m *memberState) trueVersion(report loadreport.Report) reportVersion {
	if version, renumbered := m.trueVersions[report.Name]; renumbered {
		return version
	}
	return reportVersion{report.Incarnation, report.Sequence}
}

// asPublished returns a report of the member's table with the version under which it was published.
func (m *memberState) asPublished(report loadreport.Report) loadreport.Report {
	version := m.trueVersion(report)
	report.Incarnation, report.Sequence = version.incarnation, version.sequence
	return report
}

// key identifies the state in the visited set: two paths to states of one key have the same successors.
func (f *fleetState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, f.now, f.remaining)
	for _, m := range f.members {
		fmt.Fprint(
			&b,
			"|",
			m.table.Incarnation(),
			m.generation,
			m.boot,
			m.sequence,
			m.publishes,
			m.paused,
			m.inbox,
			m.receivedCount,
			m.raisedIncarnation,
		)
		b.Write(m.agent.Snapshot(nil))
		m.table.Each(f.now, func(report loadreport.Report) {
			name := report.Name
			fmt.Fprint(&b, report, m.lastVersions[name], m.trueVersions[name], m.receivedAges[name])
		})
	}
	fmt.Fprint(&b, f.inFlight)
	return b.String()
}
