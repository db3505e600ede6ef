// Package modelcheck is a bounded explicit-state model checker for the decision engine (package policy) and for the
// members of a fleet.
//
// A Model is a small configuration: a few relays, endpoints and messages, and what may happen to them. Check explores
// its reachable states breadth-first, over every order of events that a network, a destination, an operator and crashes
// can produce, and checks the rules of package checker as invariants on each transition. The search visits each state
// once and is bounded by a number of moves, so that the first violation has a counterexample of minimal length. What
// needs more moves than that is looked for by random walks, whose counterexamples are shrunk.
//
// The engine under test is the real one, driven through its own interface; Snapshot and Restore take its state and put
// it back. The package does no I/O and reads no clock. CheckFleet does the same for the load reports of a fleet.
package modelcheck

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Message is a message that clients submit.
type Message struct {
	Class int
	Key   string // ordering key; "": none
}

// CallOutcome is a way in which a call may end.
type CallOutcome struct {
	Outcome    policy.Outcome
	RetryAfter time.Duration // that comes with it; 0: none
}

// Model is a configuration to explore. Everything that its fields allow may happen at any time and in any order.
type Model struct {
	Name        string
	Description string
	Rules       []checker.Rule // the invariants that it exercises most; all are checked

	Relays    int
	Settings  policy.Settings
	Endpoints []policy.Endpoint // of one destination
	Messages  []Message         // submitted in this order, each to any relay
	Outcomes  []CallOutcome     // of any call

	// MaxFaults bounds the outcomes other than a delivery on one path. Time-outs and failures by the outage are not
	// counted.
	MaxFaults int
	// MaxRestarts bounds the crashes of relays on one path. Each relay starts again at once.
	MaxRestarts int
	// DrainingEndpoints are those that each relay may observe to drain, and later to be removed.
	DrainingEndpoints []string

	HasOutage        bool          // the destination may fail, once, and recovers cold
	StartsInOutage   bool          // it has failed before the first move
	MinOutage        time.Duration // before it recovers
	FailuresToDetect int           // consecutive failures after which a relay counts as knowing of the outage; 0: one

	MaxTimeStep time.Duration // by which one move advances the time
	MaxDepth    int           // moves on a path
	// RandomWalks are played after the search, of RandomWalkLength moves each: for violations that need many calls.
	RandomWalks      int
	RandomWalkLength int
}
