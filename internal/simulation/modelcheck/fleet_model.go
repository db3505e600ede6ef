package modelcheck

import (
	"fmt"
	"time"
)

// FleetModel is a small fleet to explore. Each member publishes one load report. Datagrams are delivered in any order,
// or lost, duplicated or delayed, to processes that are paused and restarted.
type FleetModel struct {
	Members       int
	DuplicateName bool // one more process runs under the name of the first member
	MaxPublishes  int  // of each member
	Budget        FleetBudget
	TimeStep      time.Duration // by which one move advances the time
	MaxDepth      int           // moves on a path
}

// FleetBudget bounds what may happen on one path, to all members together.
type FleetBudget struct {
	Forwards   int // a member sends on what it received of the others, as an answer to a digest does
	Losses     int
	Duplicates int
	Restarts   int // with the stored generation or without
	Pauses     int // a paused process receives what waits for it when it resumes
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

// FleetMoveKind is what a move of a fleet does.
type FleetMoveKind string

// The kinds of moves. Member and Datagram are fields of FleetMove.
const (
	// FleetPublish has Member publish its load report.
	FleetPublish FleetMoveKind = "tell"
	// FleetForward has Member send on what it received of the others.
	FleetForward FleetMoveKind = "retell"
	// FleetDeliver delivers Datagram.
	FleetDeliver FleetMoveKind = "deliver"
	// FleetLose loses Datagram.
	FleetLose FleetMoveKind = "lose"
	// FleetDuplicate delivers a copy of Datagram.
	FleetDuplicate FleetMoveKind = "double"
	// FleetRestart restarts Member, which finds its generation in its state directory.
	FleetRestart FleetMoveKind = "restart"
	// FleetRestartEmpty restarts Member with an empty state directory.
	FleetRestartEmpty FleetMoveKind = "forget"
	// FleetPause pauses Member, or resumes it.
	FleetPause FleetMoveKind = "stop"
	// FleetAdvanceTime advances the time.
	FleetAdvanceTime FleetMoveKind = "pass"
)

// FleetMove is one transition of a fleet.
type FleetMove struct {
	Kind     FleetMoveKind
	Member   int // counted from 0
	Datagram int // index of those in flight
}

// String returns the move's kind, and what it concerns.
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
