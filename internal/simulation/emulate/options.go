package emulate

import (
	"cmp"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// defaultLatency is the default of Options.Latency: the latency of a loopback interface.
	defaultLatency = 100 * time.Microsecond
	// defaultRestartDelay is the default of Options.RestartDelay: the restart delay of rehearsals.
	defaultRestartDelay = 600 * time.Millisecond

	// The default of Options.MaxEvents is baseEvents, plus eventsPerMessage for each message and for each second of
	// each relay.
	baseEvents       = 1e6
	eventsPerMessage = 2000
	// fleetEventRate is the allowance for a relay's links to other relays in the default of Options.MaxEvents,
	// expressed in messages a second.
	fleetEventRate = 10
)

// DecisionEngine makes the decisions of a relay. It is a *policy.Engine or a broken variant of one.
type DecisionEngine interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	StillAllowed(endpoint string, ids []policy.MessageID, now time.Duration) bool
}

// SyncPolicy determines what a relay's journal loses when the relay's machine crashes. A crash of the process alone
// loses nothing.
type SyncPolicy int

// The sync policies.
const (
	SyncNever    SyncPolicy = iota // all that was written since the machine booted is lost
	SyncInterval                   // up to a second of writes is lost
	SyncAlways                     // nothing is lost
)

// String returns the name of the policy for printed texts.
func (p SyncPolicy) String() string { return [...]string{"never", "interval", "always"}[p] }

// ExcessConnections is what happens to a connection that exceeds the number an endpoint accepts.
type ExcessConnections int

// What happens to excess connections.
const (
	ExcessRefused    ExcessConnections = iota // it is refused at once
	ExcessClosed                              // it is accepted, and closed on its first request, which never runs
	ExcessUnanswered                          // it is never established
)

// ExcessConnectionNames are the names of the ExcessConnections in files, in the order of the constants.
var ExcessConnectionNames = []string{"refused", "closed", "unanswered"}

// String returns the name in files.
func (e ExcessConnections) String() string { return ExcessConnectionNames[e] }

// Options configure how a plan is played. The zero value has correct relays on a fast network, and keeps no record.
type Options struct {
	// Record keeps the record of events for the checker: see World.Result.
	Record bool

	// Latency is the one-way latency between relays and endpoints, and between clients and relays. 0: 100 µs.
	Latency time.Duration
	// ZoneLatency is the additional one-way latency between a relay and an endpoint of another zone. Relays are
	// assigned to the zones in turn.
	ZoneLatency time.Duration
	// MaxConnections is how many connections an endpoint accepts, idle ones included. 0: any number.
	MaxConnections int
	// ExcessConnections is what happens to connections beyond MaxConnections.
	ExcessConnections ExcessConnections
	// IdleResetRatio is the ratio of calls on reused connections that find the connection reset, and never run.
	IdleResetRatio float64
	// ListDelay returns the delay until a change of the endpoint list reaches a relay. Relays are counted from 0.
	// nil: delays are drawn as the scenario states.
	ListDelay func(relay int) time.Duration

	// JournalSync determines what journals lose when machines crash.
	JournalSync SyncPolicy
	// MachineCrashes allows World.Kill to crash machines: journals then keep the information to undo writes that were
	// not synced.
	MachineCrashes bool
	// RestartDelay is the time from the end of a relay's process to the start of its next one. 0: 600 ms.
	RestartDelay time.Duration

	// Mutant is the broken variant that all relays are. nil: the relays are correct.
	Mutant *Mutant
	// ChangeSettings changes the settings of the decision engines. The checked rules stay those of the scenario.
	ChangeSettings func(*policy.Settings)
	// NewEngine creates the decision engine of a relay's process. nil: a policy.Engine.
	NewEngine func(settings policy.Settings, seed uint64) DecisionEngine
	// MaxEagerEndpoints is the length of the longest endpoint list that engines receive whole. Of a longer list they
	// receive only the destinations in use. 0: catalog.MaxEagerEndpoints.
	MaxEagerEndpoints int

	// AbsurdReporter is a relay of the fleet, counted from 1, whose load reports contain impossible figures. 0: none.
	AbsurdReporter int
	// NameDuplicate is a relay, counted from 1, that runs under the name of the first relay. 0: none.
	NameDuplicate int
	// MergedFleets is the number of fleets that were joined by mistake. Relays are assigned to the fleets in turn.
	// Each relay lists only the members of its own fleet, but can reach the relays of all fleets. 0: one fleet.
	MergedFleets int

	// MaxEvents limits the events of the simulation. 0: a limit in proportion to the messages, the relays and the
	// length of the plan.
	MaxEvents uint64

	// OnStep is called after each step of a decision engine.
	OnStep func(relay int, now time.Duration, events []policy.Event, actions []policy.Action)
	// OnSubmission is called for each message when a client submits it for the first time.
	OnSubmission func(relay, destination int)
	// OnDelivery is called for each message when it is delivered for the first time.
	OnDelivery func(destination int, submittedAt, deliveredAt time.Duration)
	// OnListChange is called for each change of the endpoint list that reaches a relay.
	OnListChange func(relay int, endpoint, state string)
}

// withDefaults returns the options, with defaults for the fields that are not set.
func (o Options) withDefaults(plan *scenario.Plan) Options {
	o.Latency = cmp.Or(o.Latency, defaultLatency)
	o.RestartDelay = cmp.Or(o.RestartDelay, defaultRestartDelay)
	o.MaxEagerEndpoints = cmp.Or(o.MaxEagerEndpoints, catalog.MaxEagerEndpoints)
	if o.MaxEvents == 0 {
		o.MaxEvents = defaultMaxEvents(plan)
	}
	return o
}

// defaultMaxEvents returns a limit that is far above the number of events that the plan needs.
func defaultMaxEvents(plan *scenario.Plan) uint64 {
	file := &plan.File
	seconds := file.Length.AsDuration().Seconds()
	messages := float64(len(plan.Arrivals))
	for _, t := range file.Traffic {
		messages += t.Rate * (t.To - t.From).AsDuration().Seconds()
	}
	relaySeconds := seconds * float64(file.Relays)
	if file.Fleet.Enabled {
		messages += fleetEventRate * relaySeconds
	}
	return baseEvents + uint64(eventsPerMessage*(messages+relaySeconds))
}
