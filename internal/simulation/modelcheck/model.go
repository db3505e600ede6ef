// Package modelcheck is a bounded explicit-state model checker for the decision engine (package policy) and for the
// members of a fleet.
//
// A Model is a small configuration: a few relays, endpoints and messages, and what may happen to them. Check
// explores its reachable states breadth-first, over every order of events that a network, a destination, an operator
// and crashes can produce, and checks the rules of package checker as invariants on each transition. The search
// visits each state once and is bounded by a number of moves, so that the first violation has a counterexample of
// minimal length. Random walks look for violations that need more moves than that; their counterexamples are shrunk.
//
// The engine under test is the one that the relay runs. It is driven through its public interface, and Snapshot and
// Restore save and restore its state. CheckFleet does the same for the members' load reports. The package does no
// I/O and reads no clock.
package modelcheck

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Message is a message that a client submits.
type Message struct {
	Class int    // index in Settings.Classes of the model
	Key   string // ordering key; "": none
}

// CallOutcome is a possible outcome of a call.
type CallOutcome struct {
	Outcome    policy.Outcome
	RetryAfter time.Duration // of the response; 0: none
}

// Model is a configuration to explore. Everything that its fields allow may happen at any time and in any order.
type Model struct {
	Name        string
	Description string
	Rules       []checker.Rule // the rules that the model exercises most; every rule is checked

	Relays    int
	Settings  policy.Settings
	Endpoints []policy.Endpoint // all of one destination
	Messages  []Message         // submitted in this order, each to any relay
	Outcomes  []CallOutcome     // possible outcomes of each call, besides a timeout

	// MaxFaults is the maximum number of calls on one path that are not delivered. Timeouts and failures caused by
	// the outage are not counted.
	MaxFaults int
	// MaxRestarts is the maximum number of crashes of relays on one path. Each relay restarts at once.
	MaxRestarts int
	// DrainingEndpoints are the IDs of the endpoints that each relay may observe to drain, and later to be removed.
	DrainingEndpoints []string

	HasOutage        bool          // the destination may fail once and recovers cold, with reduced capacity
	StartsInOutage   bool          // the outage begins before the first move
	MinOutage        time.Duration // minimum duration of the outage
	FailuresToDetect int           // consecutive failures after which a relay counts as informed of the outage; 0: one

	MaxTimeStep time.Duration // maximum time by which one move advances the clock
	MaxDepth    int           // maximum number of moves on a path
	// RandomWalks is the number of random walks after the search, of RandomWalkLength moves each. They find
	// violations that need many calls.
	RandomWalks      int
	RandomWalkLength int
}
