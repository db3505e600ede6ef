package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	engineSeed        = 1
	engineStart       = time.Minute           // virtual time before the first step
	engineCallLatency = 10 * time.Millisecond // latency of each call
	// firstCallSpread is the wait after an endpoint snapshot. It is longer than the time over which an engine spreads
	// its first calls to new endpoints.
	firstCallSpread = 5 * time.Second
	// unlimitedWeight is an endpoint weight so high that pacing delays no measured call.
	unlimitedWeight = 5e5
	messageKey      = "k" // ordering key of all messages

	// activeDestinations is the number of destinations in service while a backlog is measured.
	activeDestinations = 500
	// unavailableDestinations is the number of destinations that are out of service and have the queued messages of a
	// backlog. As many are unavailable at any time in a fleet of the design target.
	unavailableDestinations = 2240
)

// heapInUse returns the bytes of live heap objects.
func heapInUse() float64 { return float64(usage.Memory().HeapAlloc) }

// simulatedRelay is a real decision engine whose calls are simulated and all succeed.
type simulatedRelay struct {
	*policy.Engine
	now      time.Duration
	outcomes []policy.Event // of the last step's calls, delivered in the next step
	sent     int            // calls so far
	lastID   policy.MessageID
}

// newSimulatedRelay returns a relay that has received a snapshot of the given number of destinations. The destinations
// for which inService returns true are in service.
func newSimulatedRelay(destinations int, inService func(destination int) bool) (*simulatedRelay, error) {
	engine, err := policy.New(engineSettings(), engineSeed)
	if err != nil {
		return nil, err
	}
	s := &simulatedRelay{Engine: engine, now: engineStart}
	s.step(policy.Event{Kind: policy.EndpointSnapshot, Endpoints: endpointsOf(destinations, inService)})
	s.now += firstCallSpread
	return s, nil
}

func engineSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{{
			Effect:           policy.IdempotentByKey,
			DedupWindow:      10 * time.Second,
			LatencyObjective: 3 * time.Second,
			Deadline:         time.Hour,
			Weight:           1,
		}},
		DestinationKinds:      []policy.DestinationKind{{MaxBatch: 1}},
		Tenants:               []policy.Tenant{{}},
		FleetSize:             1,
		MaxAttempts:           8,
		WarmUpDuration:        30 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
		WarmUpInitialCapacity: 0.1,
	}
}

// endpointsOf returns two endpoints for each destination.
func endpointsOf(destinations int, inService func(destination int) bool) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, 0, endpointsPerDestination*destinations)
	for i := range endpointsPerDestination * destinations {
		destination := i / endpointsPerDestination
		endpoints = append(endpoints, policy.Endpoint{
			ID:          fmt.Sprintf("s-%08x", i),
			Destination: policy.DestinationID(destination),
			Zone:        i % endpointsPerDestination,
			Weight:      unlimitedWeight,
			InService:   inService(destination),
		})
	}
	return endpoints
}

func allInService(int) bool { return true }

// step steps the engine with the outcomes of the last step's calls, followed by the given events.
func (s *simulatedRelay) step(events ...policy.Event) {
	s.now += time.Millisecond
	events = append(s.outcomes, events...)
	s.outcomes = nil
	for _, action := range s.Step(s.now, events) {
		if action.Kind != policy.Send {
			continue
		}
		s.sent++
		s.outcomes = append(s.outcomes, policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    action.MessageID,
			Endpoint:     action.Endpoint,
			Outcome:      policy.OK,
			Latency:      engineCallLatency,
			MessageEnded: true,
		})
	}
}

// submit submits messages to random destinations, one per step. Each step also delivers the outcome of the previous
// message's call, which ends that message.
func (s *simulatedRelay) submit(messages, destinations int, rng *rand.Rand) {
	for range messages {
		s.lastID++
		s.step(policy.Event{
			Kind:        policy.MessageAccepted,
			MessageID:   s.lastID,
			Destination: policy.DestinationID(rng.IntN(destinations)),
			Key:         messageKey,
			TimeLeft:    time.Hour,
		})
	}
}

// measureSubmit submits messages and returns the CPU seconds per message. It fails if fewer than nine in ten of the
// messages are sent, since the result is then not the cost of a delivered message.
func (s *simulatedRelay) measureSubmit(messages, destinations int, rng *rand.Rand) (float64, error) {
	began, sent := usage.ProcessCPU(), s.sent
	s.submit(messages, destinations, rng)
	used := usage.ProcessCPU() - began
	if got := s.sent - sent; got < messages*9/10 {
		return 0, fmt.Errorf("%d of %d messages were sent, too few to measure the cost of a message", got, messages)
	}
	return used.Seconds() / float64(messages), nil
}

// engineSeries are the series over the number of destinations that the engine knows.
type engineSeries struct {
	message, memory, snapshot, delta *series
}

// measureEngine measures the decision engine, with simulated calls and without a journal.
func measureEngine(ctx context.Context, b *bench) ([]capacity.Series, error) {
	const axis = "destinations told"
	all := engineSeries{
		message:  newSeries(capacity.EngineMessageCPU, axis, capacity.Seconds),
		memory:   newSeries(capacity.EngineEndpointMemory, axis, capacity.Bytes),
		snapshot: newSeries(capacity.EngineSnapshotCPU, axis, capacity.Seconds),
		delta:    newSeries(capacity.EngineDeltaCPU, axis, capacity.Seconds),
	}
	for _, destinations := range b.sizes([]int{100, 1000, 3000}, []int{100, 1000, 10_000, 50_000, 140_000}) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := all.measure(destinations); err != nil {
			return nil, fmt.Errorf("%d destinations: %w", destinations, err)
		}
	}
	memory, message, err := measureEngineBacklog(ctx, b)
	if err != nil {
		return nil, err
	}
	return collect(all.message, all.memory, all.snapshot, all.delta, memory, message), nil
}

// measure adds a value for the given number of destinations to each series.
func (e *engineSeries) measure(destinations int) error {
	const warmUpMessages, messages = 1000, 20_000
	before := heapInUse()
	s, err := newSimulatedRelay(destinations, allInService)
	if err != nil {
		return err
	}
	e.memory.add(destinations, heapInUse()-before)
	rng := rand.New(rand.NewPCG(1, uint64(destinations)))
	s.submit(warmUpMessages, destinations, rng)
	cpu, err := s.measureSubmit(messages, destinations, rng)
	if err != nil {
		return err
	}
	e.message.add(destinations, cpu)
	endpoints := endpointsOf(destinations, allInService)
	e.snapshot.add(destinations, s.measureSnapshots(endpoints, max(3, 500_000/destinations)))
	e.delta.add(destinations, s.measureDeltas(endpoints, rng))
	runtime.KeepAlive(s)
	return nil
}

// measureSnapshots returns the CPU seconds per endpoint snapshot, for snapshots that change nothing.
func (s *simulatedRelay) measureSnapshots(endpoints []policy.Endpoint, snapshots int) float64 {
	began := usage.ProcessCPU()
	for range snapshots {
		s.step(policy.Event{Kind: policy.EndpointSnapshot, Endpoints: endpoints})
	}
	return (usage.ProcessCPU() - began).Seconds() / float64(snapshots)
}

// measureDeltas returns the CPU seconds per delta that changes one endpoint.
func (s *simulatedRelay) measureDeltas(endpoints []policy.Endpoint, rng *rand.Rand) float64 {
	const deltas = 20_000
	began := usage.ProcessCPU()
	for i := range deltas {
		changed := endpoints[rng.IntN(len(endpoints))]
		changed.Weight += float64(i%2 + 1)
		s.step(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{changed}})
	}
	return (usage.ProcessCPU() - began).Seconds() / deltas
}

// measureEngineBacklog queues messages for destinations that are out of service, and measures their memory and the cost
// of other messages, which are delivered meanwhile.
func measureEngineBacklog(ctx context.Context, b *bench) (memory, message *series, err error) {
	const axis = "messages held"
	memory = newSeries(capacity.EngineBacklogMemory, axis, capacity.Bytes)
	message = newSeries(capacity.EngineBacklogCPU, axis, capacity.Seconds)
	memory.Limitations = fmt.Sprintf("held for %d destinations that are out of service, "+
		"so nothing of them is tried; %d others are served", unavailableDestinations, activeDestinations)
	message.Limitations = memory.Limitations
	for _, queued := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000, 1_000_000}) {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		if err := measureBesideBacklog(queued, memory, message); err != nil {
			return nil, nil, fmt.Errorf("backlog of %d messages: %w", queued, err)
		}
	}
	return memory, message, nil
}

// measureBesideBacklog adds a value for the given number of queued messages to each series.
func measureBesideBacklog(queued int, memory, message *series) error {
	const (
		warmUpMessages, messages = 500, 10_000
		// firstID is greater than the IDs of all queued messages.
		firstID = 1e9
	)
	s, err := newSimulatedRelay(activeDestinations+unavailableDestinations, func(destination int) bool {
		return destination < activeDestinations
	})
	if err != nil {
		return err
	}
	before := heapInUse()
	s.queue(queued)
	memory.add(queued, heapInUse()-before)
	s.lastID = firstID
	rng := rand.New(rand.NewPCG(2, uint64(queued)))
	s.submit(warmUpMessages, activeDestinations, rng)
	cpu, err := s.measureSubmit(messages, activeDestinations, rng)
	if err != nil {
		return err
	}
	message.add(queued, cpu)
	runtime.KeepAlive(s)
	return nil
}

// queue submits messages to the unavailable destinations, and advances the clock until all of them have passed their
// latency objective. The engine then moves each message within its queue, once; this must not happen during the
// measurement.
func (s *simulatedRelay) queue(messages int) {
	const batch, lateSeconds = 500, 10
	events := make([]policy.Event, 0, batch)
	for i := 0; i < messages; i += batch {
		events = events[:0]
		for k := i; k < min(i+batch, messages); k++ {
			events = append(events, policy.Event{
				Kind:        policy.MessageAccepted,
				MessageID:   policy.MessageID(k + 1),
				Destination: policy.DestinationID(activeDestinations + k%unavailableDestinations),
				Key:         messageKey,
				TimeLeft:    100 * time.Hour,
			})
		}
		s.step(events...)
	}
	for range lateSeconds {
		s.now += time.Second
		s.step(policy.Event{Kind: policy.TimerFired})
	}
}
