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
	// fleetEndpoint is the ID of the only endpoint, which all reports are about.
	fleetEndpoint = "r"
	// fleetEndpointRate is the weight of that endpoint and the limit of its destination, in calls a second.
	fleetEndpointRate = 10
	// bootsPerProcess is the distance between the boot numbers of successive processes, so that two processes under
	// one name never have the same one.
	bootsPerProcess = 100
	// clockOffset is the difference between the clocks of successive processes.
	clockOffset = time.Hour
)

// fleetState is a state of a fleet. It has a member for each process: two of the same name with
// FleetModel.DuplicateName.
type fleetState struct {
	model     *FleetModel
	faults    emulate.LinkFaults
	now       time.Duration
	members   []*memberState
	inFlight  []datagram
	published map[string]map[reportVersion]time.Duration // when each version was published, by member name
	remaining FleetBudget                                // what is left of FleetModel.Budget
	violation string                                     // "": none
}

// datagram carries a report from one process to another. The processes are given by their indices.
type datagram struct {
	from, to    int
	senderBoot  uint32
	senderClock time.Duration // the sender's own time when it sent the datagram
	report      loadreport.Report
}

// reportVersion identifies one of the reports that a member published.
type reportVersion struct {
	incarnation loadreport.Incarnation
	sequence    uint64
}

// memberState is the state of a process of the fleet.
type memberState struct {
	name              string
	agent             *agent.Agent
	raisedIncarnation loadreport.Incarnation // new incarnation, not yet passed to the agent; zero: none
	table             *loadreport.Table
	transit           loadreport.TransitEstimator
	generation        uint64 // stored in the state directory
	boot              uint32 // number of starts of the process
	sequence          uint64 // of the last published report
	publishes         int    // number of FleetPublish moves
	paused            bool
	inbox             []datagram               // datagrams that arrived while the process is paused
	lastVersions      map[string]reportVersion // versions in the table at the last check, by member name

	// The following fields are used by faulty members. With LastReceivedWins, received reports get receivedCount as
	// their sequence in the table, and trueVersions holds the versions under which they were published. With
	// FrozenAges, reports are forwarded with their ages in receivedAges.
	receivedCount uint64
	trueVersions  map[string]reportVersion
	receivedAges  map[string]time.Duration
}

func memberName(member int) string { return fmt.Sprintf("m%d", member) }

// processName returns the name of a process for clock calibration. Unlike a member's name, it is unique.
func processName(process int) string { return fmt.Sprintf("p%d", process) }

// newFleetState returns the initial state, in which all processes have started and calibrated each other's clocks.
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

// clock returns a process's own monotonic time, which differs from that of every other process by clockOffset or
// more.
func (f *fleetState) clock(process int) time.Duration {
	return f.now + time.Duration(process)*clockOffset
}

// boot starts a process in place of an earlier one. The new process keeps the name and the publish count, and
// increments the generation and the boot number.
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

// calibrateClocks calibrates the clock of a process with those of all others, in both directions. Paused processes
// are included: a real one would answer the clock request after it resumes.
func (f *fleetState) calibrateClocks(process int) {
	m := f.members[process]
	for i, other := range f.members {
		m.transit.Calibrate(processName(i), other.boot, f.clock(i), f.now, f.now)
		other.transit.Calibrate(processName(process), m.boot, f.clock(process), f.now, f.now)
	}
}

// trueVersion returns the version under which a report in the process's table was published.
func (m *memberState) trueVersion(report loadreport.Report) reportVersion {
	if version, renumbered := m.trueVersions[report.Name]; renumbered {
		return version
	}
	return reportVersion{report.Incarnation, report.Sequence}
}

// asPublished returns a report of the process's table with the version under which it was published.
func (m *memberState) asPublished(report loadreport.Report) loadreport.Report {
	version := m.trueVersion(report)
	report.Incarnation, report.Sequence = version.incarnation, version.sequence
	return report
}

// key identifies the state in the visited set. States with equal keys have the same successors.
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
