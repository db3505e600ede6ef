package main

import (
	"fmt"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// drainSendTimeout is how long after it has heard that an endpoint drains a relay may still send to it.
const drainSendTimeout = time.Second

// faultObserver measures a fault while it is played.
type faultObserver struct {
	world  *emulate.World // nil while it is built
	plan   scenario.Plan
	relays int

	// How changes of the list spread.
	changes    map[listChange]*changeSpread
	drainHeard map[string][]time.Duration // by endpoint: when each relay heard that it drains; 0: not yet
	lateSends  int                        // later than drainSendTimeout after that

	// What outages cost.
	destinations map[string]int // by endpoint
	outages      map[int]outage // by destination
	wasted       wastedSends
	recovered    deliveries // of messages for destinations that have recovered
	unaffected   deliveries // of messages for destinations without an outage

	endedRelays int // terminated and killed
}

// listChange is a change of the endpoint list: an endpoint gets a state.
type listChange struct{ endpoint, state string }

// changeSpread is how a change of the list has reached the relays.
type changeSpread struct {
	published time.Duration
	heardLast time.Duration
	heardBy   int // relays
}

// outage is the time in which a destination is down.
type outage struct{ start, end time.Duration }

// noEnd is the end of an outage that outlasts the run.
const noEnd time.Duration = math.MaxInt64

func (o outage) includes(at time.Duration) bool { return at >= o.start && at < o.end }

// deliveries counts messages.
type deliveries struct{ submitted, delivered int }

func (d deliveries) String() string {
	ratio := float64(d.delivered) / float64(max(1, d.submitted))
	return fmt.Sprintf("%d of %d (%.4f)", d.delivered, d.submitted, ratio)
}

// wastedSends are sends to destinations that are down.
type wastedSends struct {
	total   int
	byRelay map[int]int
	pairs   map[relayDestination]struct{} // that made one
}

type relayDestination struct{ relay, destination int }

func (w *wastedSends) add(relay, destination int) {
	w.total++
	w.byRelay[relay]++
	w.pairs[relayDestination{relay, destination}] = struct{}{}
}

// listStates are the states of endpoints after the steps of a plan that change the list.
var listStates = map[scenario.Op]string{
	scenario.OpAddEndpoint:    eventlog.StateReady,
	scenario.OpDrainEndpoint:  eventlog.StateDraining,
	scenario.OpRemoveEndpoint: eventlog.StateGone,
}

func newFaultObserver(plan scenario.Plan) *faultObserver {
	o := &faultObserver{
		plan:         plan,
		relays:       plan.File.Relays,
		changes:      map[listChange]*changeSpread{},
		drainHeard:   map[string][]time.Duration{},
		destinations: map[string]int{},
		outages:      map[int]outage{},
		wasted:       wastedSends{byRelay: map[int]int{}, pairs: map[relayDestination]struct{}{}},
	}
	for _, endpoint := range plan.Endpoints {
		o.destinations[endpoint.ID] = endpoint.Destination
	}
	destinationOfService := map[string]int{}
	for _, service := range plan.Services {
		destinationOfService[service.Name] = service.Destination
	}
	for _, step := range plan.Steps {
		if state, ok := listStates[step.Op]; ok {
			o.changes[listChange{step.Target, state}] = &changeSpread{published: step.At}
			continue
		}
		switch step.Op {
		case scenario.OpCrash:
			o.outages[destinationOfService[step.Target]] = outage{start: step.At, end: noEnd}
		case scenario.OpRestore:
			destination := destinationOfService[step.Target]
			o.outages[destination] = outage{start: o.outages[destination].start, end: step.At}
		case scenario.OpKill, scenario.OpTerminate:
			o.endedRelays++
		}
	}
	return o
}

// options returns options that have the world report to the observer.
func (o *faultObserver) options() emulate.Options {
	return emulate.Options{
		ZoneLatency:  zoneLatency,
		OnListChange: o.listChanged,
		OnStep: func(relay int, _ time.Duration, _ []policy.Event, actions []policy.Action) {
			if o.world == nil {
				return // the relays' first steps: no message is submitted yet
			}
			for _, action := range actions {
				if action.Kind == policy.Send {
					o.sent(relay, action.Endpoint)
				}
			}
		},
		OnSubmission: func(_, destination int) {
			if counted := o.deliveriesFor(destination, o.world.Now()); counted != nil {
				counted.submitted++
			}
		},
		OnDelivery: func(destination int, submitted, _ time.Duration) {
			if counted := o.deliveriesFor(destination, submitted); counted != nil {
				counted.delivered++
			}
		},
	}
}

// listChanged records that a relay has heard of a change.
func (o *faultObserver) listChanged(relay int, endpoint, state string) {
	now := o.world.Now()
	spread := o.changes[listChange{endpoint, state}]
	spread.heardBy++
	spread.heardLast = now
	if state == eventlog.StateReady {
		return
	}
	if o.drainHeard[endpoint] == nil {
		o.drainHeard[endpoint] = make([]time.Duration, o.relays)
	}
	if o.drainHeard[endpoint][relay] == 0 {
		o.drainHeard[endpoint][relay] = now
	}
}

// sent records a call of a relay.
func (o *faultObserver) sent(relay int, endpoint string) {
	now := o.world.Now()
	heard := o.drainHeard[endpoint]
	if heard != nil && heard[relay] > 0 && now > heard[relay]+drainSendTimeout+checker.Tolerance {
		o.lateSends++
	}
	destination := o.destinations[endpoint]
	if down, ok := o.outages[destination]; ok && down.includes(now) {
		o.wasted.add(relay, destination)
	}
}

// deliveriesFor returns where to count a message that was submitted at a time, or nil if its destination was down then,
// or will be.
func (o *faultObserver) deliveriesFor(destination int, at time.Duration) *deliveries {
	down, ok := o.outages[destination]
	switch {
	case !ok:
		return &o.unaffected
	case down.end < o.plan.File.Length.AsDuration() && at >= down.end:
		return &o.recovered
	}
	return nil
}
