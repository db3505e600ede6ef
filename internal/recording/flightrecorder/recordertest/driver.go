// Package recordertest drives a decision engine through random but valid event histories, for tests of recording and
// replay. The histories have outages, rejections with and without Retry-After, endpoints that drain or are replaced,
// messages recovered after a restart, and messages that clients cancel.
package recordertest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	destinations       = 5
	failedDestinations = 3 // destinations 0 to 2 have an outage each
	classes            = 3
	orderedClass       = 1 // messages of this class have keys
	tenants            = 2
)

// Settings returns settings for a fleet of two relays. The classes cover all message effects and ordering, and the
// destination kinds cover rate limits per destination and per endpoint.
func Settings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{
				Effect:           policy.IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         16 * time.Second,
				Weight:           1,
			},
			{
				Effect:           policy.NonIdempotent,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         10 * time.Second,
				Weight:           4,
			},
			{Effect: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second},
		},
		DestinationKinds: []policy.DestinationKind{
			{MaxBatch: 4},
			{LimitPerEndpoint: true, MaxBatch: 1},
		},
		Tenants:               []policy.Tenant{{Quota: 20}, {}},
		FleetSize:             2,
		MaxInFlightCalls:      12,
		MaxPendingMessages:    120,
		MaxAttempts:           8,
		MaxRetryAfter:         3 * time.Second,
		ZoneCosts:             []float64{0, 0.03},
		WarmUpInitialCapacity: 0.18,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
		OrderingPause:         100 * time.Millisecond,
	}
}

// Drive runs a new engine for a duration of simulated time, and records it. afterStep is called after every step,
// unless it is nil. Equal arguments give equal histories.
func Drive(
	seed uint64,
	duration time.Duration,
	ringSize int,
	afterStep func(engine *policy.Engine, recorder *flightrecorder.Recorder),
) (*policy.Engine, *flightrecorder.Recorder) {
	d := newDriver(seed, duration, ringSize)
	for now := time.Second; now < duration; now += d.pause() {
		d.acceptMessages()
		d.changeEndpoints()
		d.takeDueEvents(now)
		if len(d.events) == 0 {
			continue
		}
		d.step(now)
		if afterStep != nil {
			afterStep(d.engine, d.recorder)
		}
	}
	return d.engine, d.recorder
}

// driver simulates the environment of an engine: clients, endpoints and discovery. All of them draw from one random
// generator, so a change in the order of draws changes the history.
type driver struct {
	rng       *rand.Rand
	engine    *policy.Engine
	recorder  *flightrecorder.Recorder
	endpoints []policy.Endpoint
	outages   map[policy.DestinationID]outage

	events  []policy.Event // of the next step
	pending []pendingEvent

	lastID       policy.MessageID
	attempts     map[policy.MessageID]int // attempts started
	destinations map[policy.MessageID]policy.DestinationID
}

// outage is the period in which most calls to a destination fail.
type outage struct{ from, to time.Duration }

func (o outage) contains(now time.Duration) bool { return now >= o.from && now < o.to }

// pendingEvent is an event that the engine receives in a later step.
type pendingEvent struct {
	at    time.Duration
	event policy.Event
}

func newDriver(seed uint64, duration time.Duration, ringSize int) *driver {
	d := &driver{
		rng:          rand.New(rand.NewPCG(seed, 11)),
		outages:      map[policy.DestinationID]outage{},
		attempts:     map[policy.MessageID]int{},
		destinations: map[policy.MessageID]policy.DestinationID{},
	}
	settings := Settings()
	engine, err := policy.New(settings, seed)
	if err != nil {
		panic(err) // the settings above are valid
	}
	meta := flightrecorder.Meta{
		Name:     "n1",
		Revision: policy.Revision(),
		Seed:     seed,
		Settings: settings,
		Started:  time.Unix(1e9, 0).UTC(),
	}
	d.engine = engine
	d.recorder = flightrecorder.NewRecorder(meta, ringSize, engine.Snapshot)
	for destination := range policy.DestinationID(destinations) {
		for i := range 1 + d.rng.IntN(3) {
			d.endpoints = append(d.endpoints, policy.Endpoint{
				ID:          fmt.Sprintf("s-%d-%d", destination, i),
				Destination: destination,
				Kind:        int(destination % 2),
				Zone:        i % 2,
				Weight:      5,
				InService:   true,
			})
		}
	}
	for destination := range policy.DestinationID(failedDestinations) {
		from := duration/4 + time.Duration(d.rng.Int64N(int64(duration/4)))
		d.outages[destination] = outage{from: from, to: from + duration/8}
	}
	d.events = []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: slices.Clone(d.endpoints)}}
	return d
}

// pause returns the time to the next step.
func (d *driver) pause() time.Duration { return time.Duration(1+d.rng.IntN(9)) * time.Millisecond }

// acceptMessages adds a random number of accepted messages to the events of the next step.
func (d *driver) acceptMessages() {
	for d.rng.IntN(3) == 0 {
		d.lastID++
		id := d.lastID
		d.destinations[id] = policy.DestinationID(d.rng.IntN(destinations))
		e := policy.Event{
			Kind:        policy.MessageAccepted,
			MessageID:   id,
			Class:       d.rng.IntN(classes),
			Tenant:      d.rng.IntN(tenants),
			Destination: d.destinations[id],
			TimeLeft:    4*time.Second + time.Duration(d.rng.IntN(1e9)),
		}
		if e.Class == orderedClass {
			e.Key = fmt.Sprint("key-", d.rng.IntN(6))
		}
		if d.rng.IntN(50) == 0 {
			e.Recovered = &policy.RecoveredMessage{
				Attempts:      1,
				MayHaveRun:    d.rng.IntN(2) == 0,
				SinceFirstRun: time.Second,
				FirstRunZone:  d.rng.IntN(2),
			}
			d.attempts[id] = 1
		}
		d.recorder.Label(id, fmt.Sprintf("trace-%d", id))
		d.events = append(d.events, e)
	}
}

// changeEndpoints occasionally adds an event in which an endpoint drains, returns to service or is replaced, or in
// which a client cancels a message.
func (d *driver) changeEndpoints() {
	switch d.rng.IntN(300) {
	case 0:
		ep := d.randomEndpoint()
		ep.InService = !ep.InService
		d.addEndpointDelta(*ep)
	case 1:
		ep := d.randomEndpoint()
		removed := *ep
		removed.Removed = true
		removed.InService = false
		ep.ID += "n"
		ep.InService = true
		d.addEndpointDelta(removed, *ep)
	case 2:
		if d.lastID > 0 {
			id := 1 + policy.MessageID(d.rng.IntN(int(d.lastID)))
			d.events = append(d.events, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
		}
	}
}

func (d *driver) randomEndpoint() *policy.Endpoint { return &d.endpoints[d.rng.IntN(len(d.endpoints))] }

func (d *driver) addEndpointDelta(endpoints ...policy.Endpoint) {
	d.events = append(d.events, policy.Event{Kind: policy.EndpointDelta, Endpoints: endpoints})
}

// takeDueEvents moves the pending events that are due at now to the events of the next step.
func (d *driver) takeDueEvents(now time.Duration) {
	slices.SortStableFunc(d.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
	for len(d.pending) > 0 && d.pending[0].at <= now {
		d.events = append(d.events, d.pending[0].event)
		d.pending = d.pending[1:]
	}
}

// step steps the engine with the collected events, records the step, and carries out the actions.
func (d *driver) step(now time.Duration) {
	actions := d.engine.Step(now, d.events)
	d.recorder.Step(now, d.events, actions)
	d.events = nil
	for _, action := range actions {
		switch action.Kind {
		case policy.SetTimer:
			timer := policy.Event{Kind: policy.TimerFired}
			d.pending = append(d.pending, pendingEvent{at: now + action.Delay, event: timer})
		case policy.Send:
			d.pending = append(d.pending, d.call(now, action))
		}
	}
	if d.rng.IntN(40) == 0 {
		endpoint := d.randomEndpoint().ID
		ids := []policy.MessageID{d.lastID}
		d.recorder.SendChecked(now, endpoint, ids, d.engine.StillAllowed(endpoint, ids, now))
	}
}

// call carries out a Send action. It returns the event with the outcome and the time at which the event is due.
func (d *driver) call(now time.Duration, action policy.Action) pendingEvent {
	e := policy.Event{
		Kind:      policy.AttemptFinished,
		MessageID: action.MessageID,
		Attempt:   d.attempts[action.MessageID],
		Endpoint:  action.Endpoint,
	}
	d.attempts[action.MessageID]++
	at := now + time.Duration(30+d.rng.IntN(400))*time.Millisecond
	d.drawOutcome(&e, d.outages[d.destinations[action.MessageID]].contains(now))
	if e.Outcome == policy.Timeout || at > action.TimeoutAt {
		e.Outcome = policy.Timeout
		at = max(action.TimeoutAt, now+time.Millisecond)
	}
	e.Latency = at - now
	e.MessageEnded = e.Outcome == policy.OK
	return pendingEvent{at: at, event: e}
}

// drawOutcome draws a call's outcome, Retry-After and limit report. In an outage most calls fail.
func (d *driver) drawOutcome(e *policy.Event, inOutage bool) {
	switch k := d.rng.IntN(30); {
	case inOutage && d.rng.IntN(3) > 0:
		e.Outcome = d.oneOf(policy.Timeout, policy.Error, policy.ConnectFailed, policy.Overloaded)
	case k < 2:
		e.Outcome = policy.Overloaded
		hasRetryAfter := d.rng.IntN(2)
		milliseconds := 200 + d.rng.IntN(700)
		e.RetryAfter = time.Duration(hasRetryAfter*milliseconds) * time.Millisecond
	case k == 2:
		e.Outcome = d.oneOf(policy.Reset, policy.Cancelled, policy.NotSent, policy.Timeout)
	case k == 3:
		e.LimitReport = policy.LimitReport{Present: true, Remaining: 0.5, Limit: 5}
	}
}

func (d *driver) oneOf(outcomes ...policy.Outcome) policy.Outcome {
	return outcomes[d.rng.IntN(len(outcomes))]
}
