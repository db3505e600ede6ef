// Package emulate plays a scenario in virtual time. It runs real decision engines in simulated relays that share no
// state, with simulated clients, and with endpoints that package upstream models. It uses no wall clock, socket or
// disk: the same plan and options give the same record, byte for byte. The record has the format of package eventlog,
// so that package checker can check it like the record of a rehearsal with real processes. docs/emulator.md describes
// what the models include and what they leave out.
package emulate

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// ErrRecord means that a run had more events than a record may hold.
var ErrRecord = errors.New("emulate: the record is full")

// World is the simulation of one plan.
type World struct {
	engine.Engine
	Metrics
	plan            scenario.Plan
	options         Options
	settings        policy.Settings // as the scenario states them, without Options.ChangeSettings
	length          time.Duration   // of the plan
	networkRandom   *rand.Rand
	discoveryRandom *rand.Rand

	services              map[string]*Service
	serviceOrder          []*Service // in the order of the plan
	servicesByDestination map[int][]*Service
	endpoints             map[string]*endpoint
	laterEndpoints        map[string]scenario.Endpoint // by ID: endpoints that the plan adds later

	relays            []*relay
	relaysByName      map[string]*relay
	relaysEndedByPlan map[string]bool // the relays whose processes the plan ends
	fleet             *fleetNetwork   // nil: the relays are not linked

	listVersion       int // number of changes of the endpoint list
	initialListLength int
	snapshot          []policy.Endpoint // the list at snapshotVersion; nil: none is cached
	snapshotVersion   int

	header            eventlog.Header
	events            []eventlog.Event
	shares            checker.CustomerShares
	lastCallNumber    uint64
	lastMessageNumber uint64
}

// New returns a world at time 0, in which the relays run and hold the initial endpoint list.
func New(plan scenario.Plan, options Options) (*World, error) {
	w := &World{
		plan:                  plan,
		options:               options.withDefaults(&plan),
		settings:              policySettings(&plan.File),
		length:                plan.File.Length.AsDuration(),
		networkRandom:         engine.NewRandom(plan.Seed, "network", 0),
		discoveryRandom:       rand.New(rand.NewPCG(plan.DiscoverySeed, 1)),
		services:              map[string]*Service{},
		servicesByDestination: map[int][]*Service{},
		endpoints:             map[string]*endpoint{},
		laterEndpoints:        map[string]scenario.Endpoint{},
		relaysByName:          map[string]*relay{},
		relaysEndedByPlan:     map[string]bool{},
		header:                recordHeader(&plan),
	}
	w.SetMaxEvents(w.options.MaxEvents)
	w.initMetrics(w.header.Classes, w.length)
	w.shares = checker.NewCustomerShares(w.header)
	if err := w.addServices(); err != nil {
		return nil, err
	}
	for _, s := range plan.Steps {
		if s.Op == scenario.OpTerminate || s.Op == scenario.OpKill {
			w.relaysEndedByPlan[s.Target] = true
		}
	}
	w.fleet = newFleetNetwork(w)
	if err := w.startRelays(); err != nil {
		return nil, err
	}
	return w, nil
}

// recordHeader returns the header of a plan's record. All records have the same start time, so that equal runs have
// equal records.
func recordHeader(plan *scenario.Plan) eventlog.Header {
	header := plan.File.RecordHeader(plan.Seed)
	header.Format = eventlog.FormatVersion
	header.PlanDigest = plan.Digest()
	header.StartedAt = time.Unix(0, 0).UTC()
	return header
}

// addServices adds the services of the plan, and the endpoints that exist from the start.
func (w *World) addServices() error {
	for _, s := range w.plan.Services {
		w.addService(s)
	}
	for _, e := range w.plan.Endpoints {
		if e.AddedLater {
			w.laterEndpoints[e.ID] = e
			continue
		}
		if _, err := w.addEndpoint(e); err != nil {
			return err
		}
		w.initialListLength++
		w.recordEndpointChange(e, eventlog.StateReady)
	}
	return nil
}

func (w *World) addService(spec scenario.Service) {
	service := &Service{
		Service:     upstream.New(spec.Spec, spec.Seed),
		Name:        spec.Name,
		Destination: spec.Destination,
		slowdown:    1,
	}
	w.services[spec.Name] = service
	w.serviceOrder = append(w.serviceOrder, service)
	w.servicesByDestination[spec.Destination] = append(w.servicesByDestination[spec.Destination], service)
}

// startRelays creates the relays, and then starts their processes.
func (w *World) startRelays() error {
	for i := range w.plan.File.Relays {
		r, err := newRelay(w, i)
		if err != nil {
			return err
		}
		w.relays = append(w.relays, r)
		w.relaysByName[r.name] = r
	}
	for _, r := range w.relays {
		r.start()
	}
	return nil
}

// Play plays the plan to its end, and continues until each message must have received its final answer.
func (w *World) Play() error {
	for _, s := range w.plan.Steps {
		w.Schedule(s.At, func() { w.applyStep(s) })
	}
	if len(w.plan.Arrivals) > 0 {
		w.scheduleArrival(0)
	} else {
		for i := range w.plan.File.Traffic {
			w.scheduleTraffic(w.plan.File.NewTrafficGenerator(w.plan.Seed, i))
		}
	}
	longestDeadline := time.Duration(0)
	for _, c := range w.plan.File.Classes {
		longestDeadline = max(longestDeadline, c.Deadline.AsDuration())
	}
	end := w.length + longestDeadline + checker.FinalAnswerTimeout + checker.Tolerance + time.Second
	if err := w.Run(end); err != nil {
		return err
	}
	if w.options.Record && len(w.events) >= eventlog.MaxEvents {
		return ErrRecord
	}
	w.record(eventlog.Event{Kind: eventlog.RunEnded})
	return nil
}

// scheduleArrival schedules an arrival of the plan, which schedules the next one, so that only one arrival is
// scheduled at a time.
func (w *World) scheduleArrival(n int) {
	w.Schedule(w.plan.Arrivals[n].At, func() {
		w.Submit(w.plan.Arrivals[n])
		if n+1 < len(w.plan.Arrivals) {
			w.scheduleArrival(n + 1)
		}
	})
}

// scheduleTraffic schedules the next arrivals of a generator, for plans that were drawn without arrivals.
func (w *World) scheduleTraffic(generator *scenario.TrafficGenerator) {
	group, ok := generator.Next()
	if !ok {
		return
	}
	w.Schedule(group[0].At, func() {
		for _, a := range group[1:] {
			w.Schedule(a.At, func() { w.Submit(a) })
		}
		w.Submit(group[0])
		w.scheduleTraffic(generator)
	})
}

// ScheduleRandomly calls do at random times between from and to, at a mean rate in calls a second.
func (w *World) ScheduleRandomly(from, to time.Duration, rate float64, do func()) {
	if rate <= 0 {
		return
	}
	next := max(w.Now(), from) + time.Duration(w.networkRandom.ExpFloat64()/rate*float64(time.Second))
	if next >= to {
		return
	}
	w.Schedule(next, func() {
		do()
		w.ScheduleRandomly(next, to, rate, do)
	})
}

// record adds an event to the record, with the present virtual time, if the world keeps a record that is not full.
func (w *World) record(e eventlog.Event) {
	if w.options.Record && len(w.events) < eventlog.MaxEvents {
		e.At = w.Now()
		w.events = append(w.events, e)
	}
}

// Result returns the record, for package checker.
func (w *World) Result() (eventlog.Header, []eventlog.Event) { return w.header, w.events }

// Services returns the services of a destination, or all of them for 0, in the order of the plan.
func (w *World) Services(destination int) []*Service {
	if destination == 0 {
		return slices.Clone(w.serviceOrder)
	}
	return w.servicesByDestination[destination]
}

// relay returns a relay by its name.
func (w *World) relay(name string) *relay { return w.relaysByName[name] }

// Kill kills the process of a relay, counted from 0, or crashes its machine. The relay starts again after
// Options.RestartDelay.
func (w *World) Kill(relay int, machine bool) { w.relays[relay].kill(machine) }
