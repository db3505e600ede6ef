package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// publishInterval is the time that passes before each report. It exceeds the minimum time between two reports of an
// agent.
const publishInterval = 600 * time.Millisecond

// enabledMoves returns all moves that are possible in the state, in a fixed order.
func (f *fleetState) enabledMoves() (moves []FleetMove) {
	for i, m := range f.members {
		if m.publishes < f.model.MaxPublishes && !m.paused {
			moves = append(moves, FleetMove{Kind: FleetPublish, Member: i})
		}
		if f.remaining.Forwards > 0 && !m.paused {
			moves = append(moves, FleetMove{Kind: FleetForward, Member: i})
		}
		if f.remaining.Restarts > 0 {
			moves = append(
				moves,
				FleetMove{Kind: FleetRestart, Member: i},
				FleetMove{Kind: FleetRestartEmpty, Member: i},
			)
		}
		if f.remaining.Pauses > 0 || m.paused {
			moves = append(moves, FleetMove{Kind: FleetPause, Member: i})
		}
	}
	for i := range f.inFlight {
		moves = append(moves, FleetMove{Kind: FleetDeliver, Datagram: i})
		if f.remaining.Losses > 0 {
			moves = append(moves, FleetMove{Kind: FleetLose, Datagram: i})
		}
		if f.remaining.Duplicates > 0 {
			moves = append(moves, FleetMove{Kind: FleetDuplicate, Datagram: i})
		}
	}
	if f.remaining.TimeSteps > 0 {
		moves = append(moves, FleetMove{Kind: FleetAdvanceTime})
	}
	return moves
}

// apply plays a move and checks the resulting state.
func (f *fleetState) apply(move FleetMove) {
	m := f.members[move.Member]
	switch move.Kind {
	case FleetPublish:
		m.publishes++
		f.publish(move.Member)
	case FleetForward:
		f.remaining.Forwards--
		f.forward(move.Member)
	case FleetRestart:
		f.restart(move.Member)
	case FleetRestartEmpty:
		m.generation = 0
		f.restart(move.Member)
	case FleetPause:
		f.pauseOrResume(m)
	case FleetAdvanceTime:
		f.remaining.TimeSteps--
		f.now += f.model.TimeStep
	case FleetDeliver:
		f.arrive(f.takeDatagram(move.Datagram))
	case FleetLose:
		f.remaining.Losses--
		f.takeDatagram(move.Datagram)
	case FleetDuplicate:
		f.remaining.Duplicates--
		f.arrive(f.inFlight[move.Datagram])
	}
	f.checkTables()
}

func (f *fleetState) restart(process int) {
	f.remaining.Restarts--
	f.boot(process)
	f.calibrateClocks(process)
}

func (f *fleetState) pauseOrResume(m *memberState) {
	m.paused = !m.paused
	if m.paused {
		f.remaining.Pauses--
		return
	}
	for _, d := range m.inbox {
		f.receive(d)
	}
	m.inbox = nil
}

// publish has a process accept and deliver a message, so that its agent publishes a report. The report is sent to
// one other process; receivers forward it.
func (f *fleetState) publish(process int) {
	m := f.members[process]
	f.now += publishInterval
	id := policy.MessageID(f.now / time.Millisecond)
	output := m.agent.Step(f.now, agent.Input{
		Incarnation: m.raisedIncarnation,
		Events: []policy.Event{
			{Kind: policy.MessageAccepted, MessageID: id},
			{Kind: policy.AttemptFinished, MessageID: id, Endpoint: fleetEndpoint, MessageEnded: true},
		},
		Views: func() []policy.EndpointView { return nil },
	})
	m.raisedIncarnation = loadreport.Incarnation{}
	if len(output.Published) != 1 || m.table.Restore(f.now, output.Published[0]) != loadreport.Updated {
		f.violation = fmt.Sprintf("%s did not publish exactly one valid report: %v", m.name, output)
		return
	}
	report := output.Published[0]
	m.sequence = report.Sequence
	f.published[report.Name][reportVersion{report.Incarnation, report.Sequence}] = f.now
	f.send(process, f.nextProcess(process), report.Name)
}

// nextProcess returns the process to which a process sends its reports.
func (f *fleetState) nextProcess(process int) int { return (process + 1) % len(f.members) }

// forward sends the report of each other member to a process that does not run under that member's name.
func (f *fleetState) forward(process int) {
	for i := range f.model.Members {
		about := memberName(i)
		if about == f.members[process].name {
			continue
		}
		to := f.nextProcess(process)
		if f.members[to].name == about {
			to = f.nextProcess(to)
		}
		f.send(process, to, about)
	}
}

// send puts a datagram with the report of a member in flight, if the sender holds that report.
func (f *fleetState) send(from, to int, name string) {
	m := f.members[from]
	report, known := m.table.Get(f.now, name, 0)
	if !known {
		return
	}
	report = m.asPublished(report)
	if age, received := m.receivedAges[name]; received && f.faults.FrozenAges {
		report.Age = age
	}
	f.inFlight = append(f.inFlight, datagram{
		from:        from,
		to:          to,
		senderBoot:  m.boot,
		senderClock: f.clock(from),
		report:      report,
	})
}

// takeDatagram removes a datagram from those in flight and returns it.
func (f *fleetState) takeDatagram(index int) datagram {
	d := f.inFlight[index]
	f.inFlight = slices.Delete(f.inFlight, index, index+1)
	return d
}

// arrive delivers a datagram, or puts it into the inbox of a paused process.
func (f *fleetState) arrive(d datagram) {
	m := f.members[d.to]
	if m.paused {
		m.inbox = append(m.inbox, d)
		return
	}
	f.receive(d)
}

// receive merges the report of a datagram into the receiver's table, and forwards a report that is new there.
func (f *fleetState) receive(d datagram) {
	m := f.members[d.to]
	transitTime, known, _ := m.transit.Estimate(processName(d.from), d.senderBoot, d.senderClock, f.now)
	if !known {
		// The datagram is from an earlier process of a member that has restarted. This receiver has not calibrated the
		// clock of that process and never will.
		return
	}
	if f.faults.NoTransitTime {
		transitTime = 0
	}
	report := d.report
	report.Age += transitTime
	trueVersion := reportVersion{report.Incarnation, report.Sequence}
	if f.faults.LastReceivedWins {
		m.receivedCount++
		report.Sequence = m.receivedCount
	}
	// The error only gives the reason for the result Rejected, which needs no action.
	result, _ := m.table.Merge(f.now, report)
	switch result {
	case loadreport.Rival:
		m.beginIncarnationPastRival()
	case loadreport.Updated:
		m.receivedAges[report.Name] = report.Age
		if f.faults.LastReceivedWins {
			m.trueVersions[report.Name] = trueVersion
		}
		if next := f.nextProcess(d.to); f.members[next].name != report.Name {
			f.send(d.to, next, report.Name)
		}
	}
}

// beginIncarnationPastRival begins a new incarnation, greater than the greatest one received under the member's
// name.
func (m *memberState) beginIncarnationPastRival() {
	m.generation = m.table.Rival().Generation + 1
	m.raisedIncarnation = loadreport.Incarnation{Generation: m.generation, Boot: m.table.Incarnation().Boot}
	m.table.SetIncarnation(m.raisedIncarnation)
}
