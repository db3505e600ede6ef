package modelcheck

import (
	"fmt"
	"time"
)

// FleetModel is a small fleet to explore. Each member publishes one load report. Datagrams may be reordered, lost,
// duplicated or delayed, and processes may be paused and restarted.
type FleetModel struct {
	Members       int
	DuplicateName bool // one more process runs under the name of the first member
	MaxPublishes  int  // maximum number of times that each member publishes its report
	Budget        FleetBudget
	TimeStep      time.Duration // time by which one FleetAdvanceTime advances the clock
	MaxDepth      int           // maximum number of moves on a path
}

// FleetBudget bounds how often each kind of event may happen on one path, over all members.
type FleetBudget struct {
	Forwards   int // a member forwards the reports of the others, as in a reply to a digest
	Losses     int
	Duplicates int
	Restarts   int // with or without the stored generation
	Pauses     int // a paused process receives the waiting datagrams when it resumes
	TimeSteps  int
}

// SmallFleet is the model that the tests explore.
var SmallFleet = FleetModel{
	Members:      3,
	MaxPublishes: 2,
	Budget: FleetBudget{
		Forwards:   1,
		Losses:     1,
		Duplicates: 1,
		Restarts:   1,
		Pauses:     1,
		TimeSteps:  1,
	},
	TimeStep: 2 * time.Second,
	MaxDepth: 6,
}

// FleetMoveKind is the kind of a move of a fleet.
type FleetMoveKind string

// The kinds of moves. Member and Datagram are the fields of FleetMove.
const (
	// FleetPublish has Member publish its load report.
	FleetPublish FleetMoveKind = "tell"
	// FleetForward has Member forward the reports that it holds of the others.
	FleetForward FleetMoveKind = "retell"
	// FleetDeliver delivers Datagram to its receiver.
	FleetDeliver FleetMoveKind = "deliver"
	// FleetLose drops Datagram.
	FleetLose FleetMoveKind = "lose"
	// FleetDuplicate delivers a copy of Datagram, which stays in flight.
	FleetDuplicate FleetMoveKind = "double"
	// FleetRestart restarts Member with the generation from its state directory.
	FleetRestart FleetMoveKind = "restart"
	// FleetRestartEmpty restarts Member with an empty state directory.
	FleetRestartEmpty FleetMoveKind = "forget"
	// FleetPause pauses Member, or resumes it if it is paused.
	FleetPause FleetMoveKind = "stop"
	// FleetAdvanceTime advances the time by FleetModel.TimeStep.
	FleetAdvanceTime FleetMoveKind = "pass"
)

// FleetMove is one transition of a fleet.
type FleetMove struct {
	Kind     FleetMoveKind
	Member   int // index of the process, from 0
	Datagram int // index of the datagram in flight
}

// String returns the move's kind and the index of its member or datagram.
func (m FleetMove) String() string {
	switch m.Kind {
	case FleetAdvanceTime:
		return string(m.Kind)
	case FleetDeliver, FleetLose, FleetDuplicate:
		return fmt.Sprintf("%s %d", m.Kind, m.Datagram)
	default:
		return fmt.Sprintf("%s %d", m.Kind, m.Member)
	}
}
