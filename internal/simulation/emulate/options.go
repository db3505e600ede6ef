package emulate

import (
	"cmp"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// defaultLatency is Options.Latency if it is not set: that of loopback.
	defaultLatency = 100 * time.Microsecond
	// defaultRestartDelay is Options.RestartDelay if it is not set: that of the rehearsals.
	defaultRestartDelay = 600 * time.Millisecond

	// The default bound on the events of a run: a base, and so many for each message and each second of a relay.
	baseEvents       = 1e6
	eventsPerMessage = 2000
	// fleetEventRate is what a relay's links to the others count as in that bound, in messages a second.
	fleetEventRate = 10
)

// DecisionEngine decides for a relay: a *policy.Engine, or a broken variant of it.
type DecisionEngine interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	StillAllowed(endpoint string, ids []policy.MessageID, now time.Duration) bool
}

// SyncPolicy is what of a relay's journal survives a crash of its machine. A crash of the process alone loses nothing.
type SyncPolicy int

// The sync policies.
const (
	SyncNever    SyncPolicy = iota // nothing that was written since the machine booted
	SyncInterval                   // all but the last second
	SyncAlways                     // everything
)

// String returns a name for messages.
func (p SyncPolicy) String() string { return [...]string{"never", "interval", "always"}[p] }

// ExcessConnections is what happens to a connection that exceeds the number an endpoint accepts.
type ExcessConnections int

// What happens to excess connections.
const (
	ExcessRefused    ExcessConnections = iota // it is refused at once
	ExcessClosed                              // it is accepted, and closed under its first request, which never runs
	ExcessUnanswered                          // it is never established
)

// ExcessConnectionNames are the names of the ExcessConnections in files, in the order of the constants.
var ExcessConnectionNames = []string{"refused", "closed", "unanswered"}

// String returns the name in files.
func (e ExcessConnections) String() string { return ExcessConnectionNames[e] }

// Options say how a plan is played. The zero value is a correct relay on a fast network, without a record.
type Options struct {
	// Record keeps the record of events for the checker: see World.Result.
	Record bool

	// Latency is the one-way latency between relays and endpoints, and between clients and relays. 0: 100 µs.
	Latency time.Duration
	// ZoneLatency is added between a relay and an endpoint of another zone. Relays are spread over the zones in turn.
	ZoneLatency time.Duration
	// MaxConnections is how many connections an endpoint accepts, idle ones included. 0: any number.
	MaxConnections int
	// ExcessConnections is what happens to connections beyond MaxConnections.
	ExcessConnections ExcessConnections
	// IdleResetRatio is the ratio of calls on reused connections that find the connection reset, and never run.
	IdleResetRatio float64
	// ListDelay is the delay until a relay learns of a change of the endpoint list. nil: as the scenario draws it.
	ListDelay func(relay int) time.Duration

	// JournalSync is what journals lose when machines crash.
	JournalSync SyncPolicy
	// MachineCrashes allows World.Kill to crash machines: journals then keep how to undo what was not synced.
	MachineCrashes bool
	// RestartDelay is the time from the end of a relay's process to the start of its next one. 0: 600 ms.
	RestartDelay time.Duration

	// Mutant is the fault of all relays. nil: none.
	Mutant *Mutant
	// ChangeSettings changes the settings of the decision engines, while the rules stay those of the scenario.
	ChangeSettings func(*policy.Settings)
	// NewEngine makes the decision engine of a relay's process. nil: a policy.Engine.
	NewEngine func(settings policy.Settings, seed uint64) DecisionEngine
	// MaxEagerEndpoints is the longest endpoint list that engines get whole. Of a longer one they get the destinations
	// in use. 0: catalog.MaxEagerEndpoints.
	MaxEagerEndpoints int

	// AbsurdReporter is a relay of the fleet, counted from 1, whose load reports contain impossible figures. 0: none.
	AbsurdReporter int
	// NameDuplicate is a relay, counted from 1, that runs under the name of the first one. 0: none.
	NameDuplicate int
	// MergedFleets is how many fleets were joined by mistake: relays belong to them in turn, list the members of their
	// own, and reach those of all. 0: one.
	MergedFleets int

	// MaxEvents bounds the events of the simulation. 0: in proportion to the messages, the relays and the length.
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

// withDefaults returns the options for a plan with the defaults for what is not set.
func (o Options) withDefaults(plan *scenario.Plan) Options {
	o.Latency = cmp.Or(o.Latency, defaultLatency)
	o.RestartDelay = cmp.Or(o.RestartDelay, defaultRestartDelay)
	o.MaxEagerEndpoints = cmp.Or(o.MaxEagerEndpoints, catalog.MaxEagerEndpoints)
	if o.MaxEvents == 0 {
		o.MaxEvents = defaultMaxEvents(plan)
	}
	return o
}

// defaultMaxEvents is far more events than a run of the plan can need.
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
