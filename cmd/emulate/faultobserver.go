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

// drainSendTimeout is how long a relay may still send to an endpoint after it has received the list change that
// drains or removes the endpoint.
const drainSendTimeout = time.Second

// faultObserver measures the effects of a fault during a run.
type faultObserver struct {
	world  *emulate.World // nil until emulate.New has returned
	plan   scenario.Plan
	relays int

	// How changes of the endpoint list reach the relays.
	changes map[listChange]*changeSpread
	// drainReceived maps an endpoint to the times at which each relay received that the endpoint drains or is removed.
	// 0 means not yet.
	drainReceived map[string][]time.Duration
	lateSends     int // sends to an endpoint later than drainSendTimeout after drainReceived

	// The cost of outages.
	destinations map[string]int // destination numbers by endpoint
	outages      map[int]outage // by destination number
	wasted       wastedSends
	recovered    deliveries // of messages submitted after the recovery of their destination
	unaffected   deliveries // of messages for destinations without an outage

	endedRelays int // relays that the plan terminates or kills
}

// listChange is a change of the endpoint list: an endpoint gets a state.
type listChange struct{ endpoint, state string }

// changeSpread counts the relays that have received a change of the list.
type changeSpread struct {
	published    time.Duration
	lastReceived time.Duration // when the latest of these relays received the change
	receivedBy   int           // number of relays
}

// outage is the period in which a destination is down.
type outage struct{ start, end time.Duration }

// noEnd is the end of an outage that outlasts the run.
const noEnd time.Duration = math.MaxInt64

func (o outage) includes(at time.Duration) bool { return at >= o.start && at < o.end }

// deliveries counts submitted messages, and those of them that were delivered.
type deliveries struct{ submitted, delivered int }

func (d deliveries) String() string {
	ratio := float64(d.delivered) / float64(max(1, d.submitted))
	return fmt.Sprintf("%d of %d (%.4f)", d.delivered, d.submitted, ratio)
}

// wastedSends are sends to destinations that are down.
type wastedSends struct {
	total   int
	byRelay map[int]int
	pairs   map[relayDestination]struct{} // pairs with at least one such send
}

type relayDestination struct{ relay, destination int }

func (w *wastedSends) add(relay, destination int) {
	w.total++
	w.byRelay[relay]++
	w.pairs[relayDestination{relay, destination}] = struct{}{}
}

// listStates maps the operations that change the endpoint list to the state that the endpoint gets.
var listStates = map[scenario.Op]string{
	scenario.OpAddEndpoint:    eventlog.StateReady,
	scenario.OpDrainEndpoint:  eventlog.StateDraining,
	scenario.OpRemoveEndpoint: eventlog.StateGone,
}

func newFaultObserver(plan scenario.Plan) *faultObserver {
	o := &faultObserver{
		plan:          plan,
		relays:        plan.File.Relays,
		changes:       map[listChange]*changeSpread{},
		drainReceived: map[string][]time.Duration{},
		destinations:  map[string]int{},
		outages:       map[int]outage{},
		wasted:        wastedSends{byRelay: map[int]int{}, pairs: map[relayDestination]struct{}{}},
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

// options returns emulator options with callbacks that update the observer.
func (o *faultObserver) options() emulate.Options {
	return emulate.Options{
		ZoneLatency:  zoneLatency,
		OnListChange: o.listChanged,
		OnStep: func(relay int, _ time.Duration, _ []policy.Event, actions []policy.Action) {
			if o.world == nil {
				return // a relay's first step, inside emulate.New: no message is submitted yet
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

// listChanged records that a relay has received a change of the list.
func (o *faultObserver) listChanged(relay int, endpoint, state string) {
	now := o.world.Now()
	spread := o.changes[listChange{endpoint, state}]
	spread.receivedBy++
	spread.lastReceived = now
	if state == eventlog.StateReady {
		return
	}
	if o.drainReceived[endpoint] == nil {
		o.drainReceived[endpoint] = make([]time.Duration, o.relays)
	}
	if o.drainReceived[endpoint][relay] == 0 {
		o.drainReceived[endpoint][relay] = now
	}
}

// sent records that a relay sends a call to an endpoint.
func (o *faultObserver) sent(relay int, endpoint string) {
	now := o.world.Now()
	received := o.drainReceived[endpoint]
	if received != nil && received[relay] > 0 && now > received[relay]+drainSendTimeout+checker.Tolerance {
		o.lateSends++
	}
	destination := o.destinations[endpoint]
	if down, ok := o.outages[destination]; ok && down.includes(now) {
		o.wasted.add(relay, destination)
	}
}

// deliveriesFor returns the counter for messages to a destination that are submitted at a time. It returns nil if these
// messages are not counted because the destination is down then or goes down later.
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
