// Package emulate plays a scenario in virtual time: decision modules as they are, each as a relay of its own that
// shares nothing with the others, beside models of what relays serve. No clock, no socket, no disk; the same plan and
// options give the same history, byte for byte. What it sees is a record in the form of package record, so that package
// judge judges it as it judges a rehearsal of real processes. What the models follow and what they leave out:
// docs/emulator.md.
package emulate

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Module is what decides: a *policy.Engine, or one with something wrong about it.
type DecisionEngine interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	StillAllowed(route string, ids []policy.MessageID, now time.Duration) bool
}

// Sync says what of a relay's journal outlasts a death of its machine. A death of its process alone loses nothing.
type SyncPolicy int

// The policies.
const (
	SyncNever    SyncPolicy = iota // nothing that was written since the machine began
	SyncInterval                   // all but the last second
	SyncAlways                     // all
)

// Beyond says what a connection meets that is one more than a host takes.
type ExcessConnections int

// The ways.
const (
	ExcessRefused    ExcessConnections = iota // at once
	ExcessClosed                              // taken by the machine, and broken off under the first request, which never ran
	ExcessUnanswered                          // it never comes up
)

// Beyonds are their names in files, in that order.
var ExcessConnectionNames = []string{"refused", "closed", "unanswered"}

// Options say how a plan is played. The zero value is a sound relay on a fast network, with no record.
type Options struct {
	Record bool // what is seen is kept, to be judged: World.Result
	// Latency is one way between a relay and a host, and between a client and a relay; 0: 100 µs, as on loopback.
	Latency time.Duration
	// ZoneLatency is added between a relay and a host of another zone. Relays stand in the zones in turn.
	ZoneLatency time.Duration
	// Connections is how many a host takes, idle ones counted; what further ones meet says Beyond. 0: any number.
	MaxConnections    int
	ExcessConnections ExcessConnections
	IdleResetRatio    float64 // share of the calls on a kept connection that find it reset, and never run
	JournalSync       SyncPolicy
	// ListDelay is how late a relay learns of a change of the list, in place of what the scenario draws; nil: that.
	ListDelay func(relay int) time.Duration
	// Wrong is what is wrong with all relays; nil: nothing.
	Mutant *Mutant
	// Settings changes what the modules are told, not what the rules are; nil: nothing.
	ChangeSettings func(*policy.Settings)
	// Module makes what decides for a relay; nil: a policy.Engine.
	NewEngine func(set policy.Settings, seed uint64) DecisionEngine
	// Stepped is told of each step of a module; nil: nobody is.
	OnStep func(relay int, now time.Duration, events []policy.Event, actions []policy.Action)
	// StartAfter is from the end of a relay's process to its next; 0: 600 ms.
	RestartDelay time.Duration
	// Asked is told of each message that a client hands in with its first try; nil: nobody is.
	OnSubmission func(relay, dest int)
	// Heard is told of each change of the list that comes to a relay's agent; nil: nobody is.
	OnListChange func(relay int, route, state string)
	// WholeMost is up to how many entries of a list a module is told whole; 0: catalog.WholeMost. Of a longer one it is
	// told of the destinations that there is work for.
	MaxEagerEndpoints int
	// Delivered is told of each message that is delivered for the first time; nil: nobody is.
	OnDelivery func(dest int, asked, at time.Duration)
	// Machines says that machines may die: what their journals have not synced is kept to be undone.
	MachineCrashes bool
	// Absurd is a relay of a fleet, counted from 1, that tells the others figures that cannot be; 0: none does.
	AbsurdReporter int
	// Fleet goes before the scenario's own; tests alone set it.
	Fleet scenario.Fleet
	// Twin is one that was started under the name of the first; 0: none is.
	NameDuplicate int
	// Fleets is how many fleets were joined by mistake, relays in turns: each relay lists those of its own, and reaches
	// all; 0: one.
	MergedFleets int
	// EventsMost bounds the engine's events; 0: 2,000 for each message and second of length and relay, and a million
	// more.
	MaxEvents uint64
}

// Place is a destination, or a route that stands apart, with what a network can do to it beside.
type Service struct {
	*upstream.Service
	Name        string
	Destination int
	// share of a relay's calls whose connections break under them, and which run; nil: none
	ResetRatio  func(relay int) float64
	outageCause string // its cause; "": in service
	slowdown    float64
	endpoints   []*endpoint
}

// host is one endpoint.
type endpoint struct {
	scenario.Endpoint
	index                      int
	zone, kind                 int
	addedLater                 bool          // not listed from the start
	changes                    []entryChange // changes of its entry
	service                    *Service
	down, unreachable, stopped bool
	connectionEpoch            int // raised when all its connections are reset
	calls                      map[*call]struct{}
	pools                      map[*connectionPool]struct{} // of all relays, where connections are bounded
}

// ask is what a client asks for with its first try, and what came of it.
type clientMessage struct {
	submittedAt                  time.Duration
	class, customer, destination int
	overShare, delivered         bool
}

// World is a plan at work.
type World struct {
	engine.Engine
	Metrics
	plan                  scenario.Plan
	options               Options
	settings              policy.Settings // as the rules have them
	services              map[string]*Service
	serviceOrder          []*Service
	servicesByDestination map[int][]*Service // by destination
	endpoints             map[string]*endpoint
	relays                []*relay
	relaysByName          map[string]*relay
	laterEndpoints        map[string]scenario.Endpoint // that are not there from the start
	relaysEndedByPlan     map[string]bool              // relays that the plan ends
	networkRandom         *rand.Rand                   // what the network does
	discoveryRandom       *rand.Rand                   // how late discovery is
	events                []eventlog.Event
	header                eventlog.Header
	lastCallNumber        uint64
	lastMessageNumber     uint64
	length                time.Duration
	shares                checker.CustomerShares
	fleet                 *fleetNetwork // nil: relays tell each other nothing

	listVersion       int               // of discovery's list
	initialListLength int               // that it had at the start
	snapshot          []policy.Endpoint // after wholeAt changes
	snapshotVersion   int
}

// ErrRecord tells that a run saw more than a record may hold.
var ErrRecord = errors.New("emulate: the record is full")

// New returns a world in which nothing has happened yet. Its relays are up, and know the list.
func New(plan scenario.Plan, opts Options) (*World, error) {
	opts.Latency = cmp.Or(opts.Latency, 100*time.Microsecond)
	opts.RestartDelay = cmp.Or(opts.RestartDelay, defaultRestartDelay)
	opts.MaxEagerEndpoints = cmp.Or(opts.MaxEagerEndpoints, catalog.MaxEagerEndpoints)
	w := &World{
		plan: plan, options: opts, settings: Settings(plan.File), services: map[string]*Service{}, endpoints: map[string]*endpoint{},
		servicesByDestination: map[int][]*Service{}, relaysByName: map[string]*relay{}, laterEndpoints: map[string]scenario.Endpoint{}, relaysEndedByPlan: map[string]bool{},
		networkRandom: engine.NewRandom(
			plan.Seed,
			"network",
			0,
		), discoveryRandom: rand.New(rand.NewPCG(plan.DiscoverySeed, 1)), length: plan.File.Length.AsDuration(),
	}
	if opts.MaxEvents == 0 {
		rate := 0.0
		for _, t := range plan.File.Traffic {
			rate += t.Rate * (t.To - t.From).AsDuration().Seconds()
		}
		if plan.File.Fleet.Enabled { // each relay's links, whatever is handed in
			rate += 100 * float64(plan.File.Relays) * w.length.Seconds() / 10
		}
		opts.MaxEvents = 1e6 + uint64(
			2000*(rate+float64(len(plan.Arrivals))+w.length.Seconds()*float64(plan.File.Relays)),
		)
	}
	w.SetMaxEvents(opts.MaxEvents)
	w.header = plan.File.RecordHeader(plan.Seed)
	w.header.Format, w.header.PlanDigest = eventlog.FormatVersion, plan.Digest()
	w.header.StartedAt = time.Unix(0, 0).UTC()
	w.Metrics.init(w.header.Classes, w.length)
	w.shares = checker.NewCustomerShares(w.header)
	for _, p := range plan.Services {
		w.addService(p)
	}
	for _, e := range plan.Endpoints {
		if e.AddedLater {
			w.laterEndpoints[e.ID] = e
			continue
		}
		if _, err := w.addEndpoint(e); err != nil {
			return nil, err
		}
		w.initialListLength++
		w.recordEndpointChange(e, eventlog.StateReady)
	}
	for _, s := range plan.Steps {
		if s.Op == scenario.OpTerminate || s.Op == scenario.OpKill {
			w.relaysEndedByPlan[s.Target] = true
		}
	}
	w.fleet = newFleet(w)
	for i := range plan.File.Relays {
		r, err := newRelay(w, i)
		if err != nil {
			return nil, err
		}
		w.relays = append(w.relays, r)
		w.relaysByName[r.name] = r
	}
	for _, r := range w.relays {
		r.start()
	}
	return w, nil
}

// Settings are what a scenario's relays are told.
func Settings(f scenario.File) policy.Settings {
	s := f.Settings
	set := policy.Settings{
		FleetSize: f.Relays, MaxInFlightCalls: s.MaxConcurrentCalls, MaxPendingMessages: s.MaxMessages, MaxAttempts: s.MaxAttempts, MaxRetryAfter: s.MaxRetryAfter.AsDuration(),
		WarmUpInitialCapacity: 1, OverloadFactor: s.OverloadFactor, OverloadWindow: s.OverloadWindow.AsDuration(), OrderingPause: s.OrderingPause.AsDuration(),
	}
	for _, c := range f.Classes {
		effect := map[eventlog.Effect]policy.Effect{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}[c.Effect]
		set.Classes = append(set.Classes, policy.Class{
			Effect: effect, DedupAllZones: c.DedupScope == "all", DedupWindow: c.DedupWindow.AsDuration(), Ordered: c.Ordered, LatencyObjective: c.LatencyObjective.AsDuration(), Deadline: c.Deadline.AsDuration(), Weight: c.Weight,
		})
	}
	for _, k := range f.DestinationKinds {
		set.DestinationKinds = append(
			set.DestinationKinds,
			policy.DestinationKind{LimitPerEndpoint: k.SeparateEndpoints, MaxBatch: k.MaxMessagesPerCall},
		)
		set.WarmUpInitialCapacity, set.WarmUpDuration = min(
			set.WarmUpInitialCapacity,
			k.WarmUpInitialCapacity,
		), max(
			set.WarmUpDuration,
			k.WarmUpDuration.AsDuration(),
		)
	}
	for _, c := range f.Customers {
		set.Tenants = append(set.Tenants, policy.Tenant{Quota: c.Quota})
	}
	return set
}

func (w *World) addService(p scenario.Service) {
	x := &Service{Service: upstream.New(p.Spec, p.Seed), Name: p.Name, Destination: p.Destination, slowdown: 1}
	w.services[p.Name] = x
	w.serviceOrder = append(w.serviceOrder, x)
	w.servicesByDestination[p.Destination] = append(w.servicesByDestination[p.Destination], x)
}

// see adds an event to the record, at this moment.
func (w *World) record(e eventlog.Event) {
	if w.options.Record && len(w.events) < eventlog.MaxEvents {
		e.At = w.Now()
		w.events = append(w.events, e)
	}
}

// Place returns a place by its name; nil if there is none.
func (w *World) Service(name string) *Service { return w.services[name] }

// Places are all of them, in the plan's order; a destination's own where dest is above 0.
func (w *World) Services(dest int) []*Service {
	if dest == 0 {
		return slices.Clone(w.serviceOrder)
	}
	return w.servicesByDestination[dest]
}

// Play plays the plan to its end, and until all that was handed in must have its end.
func (w *World) Play() error {
	for _, s := range w.plan.Steps {
		w.Schedule(s.At, func() { w.applyStep(s) })
	}
	if len(w.plan.Arrivals) > 0 {
		w.scheduleArrival(0)
	} else {
		for i := range w.plan.File.Traffic {
			w.scheduleFlow(w.plan.File.NewTrafficGenerator(w.plan.Seed, i))
		}
	}
	longest := time.Duration(0)
	for _, c := range w.plan.File.Classes {
		longest = max(longest, c.Deadline.AsDuration())
	}
	if err := w.Run(w.length + longest + checker.FinalAnswerTimeout + checker.Tolerance + time.Second); err != nil {
		return err
	}
	if w.options.Record && len(w.events) >= eventlog.MaxEvents {
		return ErrRecord
	}
	w.record(eventlog.Event{Kind: eventlog.RunEnded})
	return nil
}

// arrive hands the plan's arrivals in, one after the other, so that the engine holds one of them.
func (w *World) scheduleArrival(n int) {
	w.Schedule(w.plan.Arrivals[n].At, func() {
		w.Submit(w.plan.Arrivals[n])
		if n+1 < len(w.plan.Arrivals) {
			w.scheduleArrival(n + 1)
		}
	})
}

// stream hands in what a flow draws as time passes, where a plan was drawn without arrivals.
func (w *World) scheduleFlow(f *scenario.TrafficGenerator) {
	group, ok := f.Next()
	if !ok {
		return
	}
	w.Schedule(group[0].At, func() {
		for _, a := range group[1:] {
			w.Schedule(a.At, func() { w.Submit(a) })
		}
		w.Submit(group[0])
		w.scheduleFlow(f)
	})
}

// Every runs do at random times, rate times a second in the mean, in a span.
func (w *World) ScheduleRandomly(from, to time.Duration, rate float64, do func()) {
	if rate <= 0 {
		return
	}
	next := max(w.Now(), from) + time.Duration(w.networkRandom.ExpFloat64()/rate*float64(time.Second))
	if next >= to {
		return
	}
	w.Schedule(next, func() { do(); w.ScheduleRandomly(next, to, rate, do) })
}

// Result is what was seen, for package judge.
func (w *World) Result() (eventlog.Header, []eventlog.Event) { return w.header, w.events }

// do carries a step of the plan out.
func (w *World) applyStep(s scenario.Step) {
	switch s.Op {
	case scenario.OpFaultBegins:
		w.record(eventlog.Event{Kind: eventlog.FaultChanged, Name: s.Target, State: eventlog.StateBegin, Cause: s.Note})
	case scenario.OpFaultEnds:
		w.record(eventlog.Event{Kind: eventlog.FaultChanged, Name: s.Target, State: eventlog.StateEnd, Cause: s.Note})
	case scenario.OpAddEndpoint:
		w.AddEndpoint(w.laterEndpoints[s.Target])
	case scenario.OpDrainEndpoint:
		w.ChangeEndpoint(s.Target, eventlog.StateDraining)
	case scenario.OpRemoveEndpoint:
		w.ChangeEndpoint(s.Target, eventlog.StateGone)
	case scenario.OpStopEndpoint:
		w.stopEndpoint(w.endpoints[s.Target])
	case scenario.OpSlow:
		w.SetSlowdown(s.Target, s.Value)
	case scenario.OpLowerLimit:
		w.services[s.Target].SetLimitDivisor(s.Value)
	case scenario.OpLoseAnswers:
		w.services[s.Target].SetResponseLossRatio(s.Value)
	case scenario.OpFailCalls, scenario.OpSuspend, scenario.OpSilence, scenario.OpCrash, scenario.OpCutOff:
		w.BeginOutage(s.Target, s.Op, s.Value, s.Duration)
	case scenario.OpRestore:
		w.EndOutage(s.Target)
	case scenario.OpSilenceDiscovery, scenario.OpRestoreDiscovery:
		w.relay(s.Target).silenceDiscovery(s.Op == scenario.OpSilenceDiscovery)
	case scenario.OpDelayDiscovery:
		w.relay(s.Target).discoveryDelay = s.Duration
	case scenario.OpStepClock:
		w.relay(s.Target).clocks.stepped += s.Duration
	case scenario.OpTerminate:
		w.relay(s.Target).terminate()
	case scenario.OpKill:
		r := w.relay(s.Target)
		if r.kill(false); s.StateFolder != "" {
			// of a folder that is gone or older the model takes the fleet's part alone
			r.incarnation = min(r.incarnation, 1)
			if s.StateFolder == scenario.StateFolderRemoved {
				r.incarnation = 0
			}
		}
	case scenario.OpStall, scenario.OpResume:
		w.relay(s.Target).setPaused(s.Op == scenario.OpStall)
	case scenario.OpLinkCut,
		scenario.OpLinkLoss,
		scenario.OpLinkDelay,
		scenario.OpLinkThrottle,
		scenario.OpLinkReorder,
		scenario.OpLinkRestore:
		w.fleet.applyLinkStep(s)
	case scenario.OpReload:
		w.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: s.Target, State: eventlog.StateHUP})
	}
}

// relay is one by its name.
func (w *World) relay(name string) *relay { return w.relaysByName[name] }

// Kill ends a relay's process, counted from 0, or its machine with it; it starts again as the kit starts one.
func (w *World) Kill(relay int, machine bool) { w.relays[relay].kill(machine) }

// Hosts and places.

func (w *World) addEndpoint(e scenario.Endpoint) (*endpoint, error) {
	p := w.services[e.Service]
	if p == nil {
		return nil, fmt.Errorf("emulate: host %s of no place %q", e.ID, e.Service)
	}
	h := &endpoint{Endpoint: e, index: len(w.endpoints), zone: slices.Index(w.plan.File.Zones, e.Zone), kind: w.kindIndex(e), service: p}
	w.endpoints[e.ID] = h
	p.endpoints = append(p.endpoints, h)
	p.AddEndpoint(e.ID)
	w.recordCapacity(p, 1, 0)
	return h, nil
}

// List has a new endpoint come up and be listed.
func (w *World) AddEndpoint(e scenario.Endpoint) {
	if w.services[e.Service] == nil {
		spec := w.endpointsOf(e.Destination)[0].service.Spec
		w.addService(scenario.Service{Name: e.Service, Destination: e.Destination, Spec: spec, Seed: w.networkRandom.Uint64()})
	}
	h, err := w.addEndpoint(e)
	if err != nil {
		return // its place was made above
	}
	h.addedLater = true
	w.ChangeEndpoint(e.ID, eventlog.StateReady)
}

// hostsOf are the hosts that a destination has ever had.
func (w *World) endpointsOf(dest int) (all []*endpoint) {
	for _, p := range w.Services(dest) {
		all = append(all, p.endpoints...)
	}
	return all
}

func (w *World) recordEndpointChange(e scenario.Endpoint, state string) {
	place := ""
	if e.Service == e.ID {
		place = e.ID // a route that stands apart
	}
	w.record(eventlog.Event{Kind: eventlog.EndpointChanged, Endpoint: e.ID, Destination: e.Destination, Zone: e.Zone, Service: place, State: state})
}

// standing are a place's hosts that run.
func (p *Service) runningEndpoints() (all []*endpoint) {
	for _, h := range p.endpoints {
		if !h.stopped {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func endpointIDs(hosts []*endpoint) (all []string) {
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return all
}

// able notes what each host of a place can do from now on.
func (w *World) recordCapacity(p *Service, share float64, warm time.Duration) {
	if !w.options.Record {
		return
	}
	rate := p.EndpointCapacity() / p.slowdown
	if p.outageCause != "" || p.Overloaded() {
		rate = 0
	}
	for _, h := range p.runningEndpoints() {
		w.record(eventlog.Event{Kind: eventlog.CapacityChanged, Endpoint: h.ID, Destination: p.Destination, Rate: rate, Share: share, Duration: warm})
	}
}

// stop ends a host's process for good.
func (w *World) stopEndpoint(h *endpoint) {
	if h.stopped {
		return
	}
	h.stopped = true
	h.service.RemoveEndpoint(h.ID)
	w.resetConnections(h)
	w.record(eventlog.Event{Kind: eventlog.CapacityChanged, Endpoint: h.ID, Destination: h.Destination})
}

// reset breaks all connections of a host.
func (w *World) resetConnections(h *endpoint) {
	h.connectionEpoch++
	var all []*call
	for c := range h.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, c := range all {
		c.breakConnection()
	}
}

// Slow has a place take factor times as long; 1 ends it.
func (w *World) SetSlowdown(name string, factor float64) {
	p := w.services[name]
	p.slowdown = factor
	p.SetSlowdown(factor)
	w.recordCapacity(p, 1, 0)
}

// Outage begins one of a place, as a scenario's step does.
func (w *World) BeginOutage(name string, op scenario.Op, share float64, lasts time.Duration) {
	p := w.services[name]
	if p.outageCause != "" {
		return // it is out already: the first outage's end ends both
	}
	p.outageCause = op.OutageCause()
	w.record(eventlog.Event{Kind: eventlog.OutageStarted, Service: name, Destination: p.Destination, Endpoints: endpointIDs(p.runningEndpoints()), Cause: p.outageCause})
	w.recordCapacity(p, 1, 0)
	switch op {
	case scenario.OpFailCalls:
		p.SetFailureRatio(share)
	case scenario.OpSuspend:
		p.Suspend(w.Now() + lasts)
	case scenario.OpSilence:
		p.SetSilent(true)
	case scenario.OpCrash:
		for _, h := range p.runningEndpoints() {
			h.down = true
			w.resetConnections(h)
		}
	case scenario.OpCutOff:
		for _, h := range p.runningEndpoints() {
			h.unreachable = true
		}
	}
}

// Back ends a place's outage: it returns cold, unless it was pushed over.
func (w *World) EndOutage(name string) {
	p := w.services[name]
	cause := p.outageCause
	if p.outageCause = ""; p.Overloaded() {
		return
	}
	p.SetFailureRatio(0)
	p.Resume()
	p.SetSilent(false)
	hosts := p.runningEndpoints()
	if len(hosts) == 0 {
		return // all were replaced meanwhile
	}
	cold := p.Recover(w.Now())
	w.record(
		eventlog.Event{
			Kind:        eventlog.OutageEnded,
			Service:     name,
			Destination: p.Destination,
			Endpoints:   endpointIDs(hosts),
			Rate:        cold.FullCapacity,
			Share:       cold.InitialCapacity,
			Duration:    cold.Duration,
		},
	)
	w.recordCapacity(p, cold.InitialCapacity, cold.Duration)
	if cause == eventlog.OutageSilent || cause == eventlog.OutageDown {
		for _, h := range hosts { // its processes have started anew
			h.down, h.unreachable = false, false
			w.resetConnections(h)
		}
	}
}
