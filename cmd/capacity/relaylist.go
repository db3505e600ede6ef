package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
)

const (
	idleTime = 2 * time.Second // over which a relay without load is measured
	// maxIdleCores is the processor use of a relay without load, in cores, above which the additional cost of a change
	// cannot be distinguished.
	maxIdleCores = 0.5

	measuredDeltas    = 50                     // changes of one endpoint each
	deltaInterval     = 20 * time.Millisecond  // between two changes
	deltaPollInterval = 250 * time.Millisecond // over which processor use is measured to detect the end of the changes
	// idleTolerance is the processor use above idle use, in cores, below which a relay has applied all changes.
	idleTolerance = 0.1
	deltaTimeout  = 2 * startupTimeout // from the first change until all are applied

	measuredMoves = 5
	probeInterval = 2 * time.Millisecond   // between two messages that detect whether a move is in effect
	moveInterval  = 200 * time.Millisecond // between two moves
	submitTimeout = 2 * time.Second        // for the answer to a submission
)

// listMeasurement has the series over the number of destinations of a relay whose configuration contains the endpoints.
type listMeasurement struct {
	bench                                                     *bench
	original, alternate                                       *fakeEndpoints // of the moving destination
	memory, startupTime, startupCPU, idle, change, changeTime *series
}

func newListMeasurement(b *bench) *listMeasurement {
	newDestinationSeries := func(name string, unit capacity.Unit) *series {
		return newSeries(name, "destinations", unit)
	}
	m := &listMeasurement{
		bench:       b,
		original:    startEndpoints(1),
		alternate:   startEndpoints(1),
		memory:      newDestinationSeries(capacity.RelayMemory, capacity.Bytes),
		startupTime: newDestinationSeries(capacity.RelayStartupTime, capacity.Seconds),
		startupCPU:  newDestinationSeries(capacity.RelayStartupCPU, capacity.Seconds),
		idle:        newDestinationSeries(capacity.RelayIdleCores, capacity.Cores),
		change:      newDestinationSeries(capacity.RelayChangeCPU, capacity.Seconds),
		changeTime:  newDestinationSeries(capacity.RelayChangeTime, capacity.Seconds),
	}
	m.memory.Limitations = fmt.Sprintf(
		"a memory limit of %d MB, the one that a relay takes where none is told; no load", defaultMemoryMB)
	m.change.Limitations = "where the relay takes over half a core at rest, " +
		"what a change costs cannot be told apart and is left out"
	m.changeTime.Limitations = "one relay with its agent beside it; " +
		"the longest of five moves of a destination to another address"
	return m
}

func (m *listMeasurement) close() {
	m.original.close()
	m.alternate.close()
}

// series returns all series of the measurement.
func (m *listMeasurement) series() []*series {
	return []*series{m.memory, m.startupTime, m.startupCPU, m.idle, m.change, m.changeTime}
}

// measureRelayList measures a relay whose configuration contains the endpoints: its start, its memory and processor use
// without load, and changes of endpoints.
func measureRelayList(ctx context.Context, b *bench) ([]capacity.Series, error) {
	m := newListMeasurement(b)
	defer m.close()
	for _, destinations := range b.sizes([]int{100, 1000, 3000}, []int{1000, 5000, 20_000, 50_000, 140_000}) {
		if err := m.measure(ctx, destinations); err != nil {
			return nil, err
		}
	}
	return collect(m.series()...), nil
}

// measure measures a relay with the given number of destinations. The first destination is at the original address, all
// others are at an address that refuses connections.
func (m *listMeasurement) measure(ctx context.Context, destinations int) (err error) {
	endpoints := listedEndpoints(destinations, closedAddr, stateReady)
	endpoints[0].Addr, endpoints[1].Addr = m.original.addr(0), m.original.addr(0)
	r, err := m.bench.startRelay(ctx, relayOptions{endpoints: endpoints, known: true, memoryMB: defaultMemoryMB})
	if isTimeout(ctx, err) {
		for _, s := range m.series() {
			s.addFailure(destinations)
		}
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, r.stop()) }()
	idleCores, err := m.measureIdle(ctx, r, destinations)
	if err != nil {
		return err
	}
	if idleCores <= maxIdleCores {
		cpu, err := r.measureDeltas(ctx, endpoints[endpointsPerDestination:], idleCores)
		if err := addUnlessTimeout(m.change, destinations, cpu, err); err != nil {
			return err
		}
	}
	longest, rejected, err := r.measureMoves(ctx, endpoints[:endpointsPerDestination], m.original, m.alternate)
	if rejected > 0 {
		m.bench.logf("relay.force at %d destinations: %d submissions not accepted within 2 s", destinations, rejected)
	}
	return addUnlessTimeout(m.changeTime, destinations, longest.Seconds(), err)
}

// addUnlessTimeout adds the value to the series if err is nil. It adds a failure if err is an errTimeout, and returns
// any other error.
func addUnlessTimeout(s *series, size int, value float64, err error) error {
	switch {
	case errors.Is(err, errTimeout):
		s.addFailure(size)
		return nil
	case err != nil:
		return err
	}
	s.add(size, value)
	return nil
}

// measureIdle adds the time and processor time of the startup, and the memory and processor use of the relay without
// load. It returns this processor use in cores.
func (m *listMeasurement) measureIdle(ctx context.Context, r *relay, destinations int) (cores float64, err error) {
	startupCPU, err := r.cpu()
	if err != nil {
		return 0, err
	}
	m.startupTime.add(destinations, r.startupTime.Seconds())
	m.startupCPU.add(destinations, startupCPU.Seconds())
	if err := sleep(ctx, settleTime); err != nil {
		return 0, err
	}
	memory, err := r.peakMemory()
	if err != nil {
		return 0, err
	}
	m.memory.add(destinations, memory)
	idle, err := r.cpuDuring(func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return 0, err
	}
	cores = idle.Seconds() / idleTime.Seconds()
	m.idle.add(destinations, cores)
	return cores, nil
}

// measureDeltas makes discovery change endpoints one after the other, and returns the CPU seconds per change beyond the
// relay's idle use. The relay may be slower than the changes, so the measurement waits until the relay is idle again.
// It fails with an errTimeout if the relay is not idle after deltaTimeout.
func (r *relay) measureDeltas(
	ctx context.Context,
	endpoints []fake.ListedEndpoint,
	idleCores float64,
) (float64, error) {
	began := time.Now()
	busy, err := r.cpuDuring(func() error {
		for i := range measuredDeltas {
			changed := endpoints[(i*7919)%len(endpoints)]
			changed.Weight++
			r.agent.Update(changed)
			if err := sleep(ctx, deltaInterval); err != nil {
				return err
			}
		}
		return r.awaitIdle(ctx, idleCores, began)
	})
	if err != nil {
		return 0, err
	}
	idle := idleCores * time.Since(began).Seconds()
	return max(0, busy.Seconds()-idle) / measuredDeltas, nil
}

// awaitIdle waits until the relay's processor use is less than idleTolerance above its idle use. It fails with an
// errTimeout if that takes until deltaTimeout after began.
func (r *relay) awaitIdle(ctx context.Context, idleCores float64, began time.Time) error {
	for {
		used, err := r.cpuDuring(func() error { return sleep(ctx, deltaPollInterval) })
		if err != nil || used.Seconds() < (idleCores+idleTolerance)*deltaPollInterval.Seconds() {
			return err
		}
		if time.Since(began) > deltaTimeout {
			return errTimeout
		}
	}
}

// measureMoves makes discovery move a destination back and forth between two addresses, and returns the longest time
// from a move until a message arrives at the new address. It also returns the number of submissions that failed: a
// relay that is busy with its endpoint list may reject messages. A move that is not in effect after startupTimeout is
// an errTimeout.
func (r *relay) measureMoves(
	ctx context.Context,
	endpoints []fake.ListedEndpoint,
	current, next *fakeEndpoints,
) (longest time.Duration, rejected int, err error) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: submitTimeout}
	defer client.CloseIdleConnections()
	for i := range measuredMoves {
		current, next = next, current // The first move is away from the current address.
		idPrefix := fmt.Sprintf("move%d", i)
		took, rejectedNow, err := r.measureMove(ctx, client, endpoints, current, idPrefix)
		rejected += rejectedNow
		if err != nil {
			return 0, rejected, err
		}
		longest = max(longest, took)
		if err := sleep(ctx, moveInterval); err != nil { // Calls to the old address may still be in flight.
			return 0, rejected, err
		}
	}
	return longest, rejected, nil
}

// measureMove moves a destination to another address, and submits messages to the destination until one arrives there.
// It returns the time that this took and the number of submissions that failed.
func (r *relay) measureMove(
	ctx context.Context,
	client *http.Client,
	endpoints []fake.ListedEndpoint,
	to *fakeEndpoints,
	idPrefix string,
) (took time.Duration, rejected int, err error) {
	callsBefore := to.calls.Load()
	began := time.Now()
	for _, endpoint := range endpoints {
		endpoint.Addr = to.addr(0)
		r.agent.Update(endpoint)
	}
	for k := 0; to.calls.Load() == callsBefore; k++ {
		id := fmt.Sprintf("%s%011d", idPrefix, k)
		if err := r.submit(ctx, client, id, endpoints[0].Destination); err != nil {
			rejected++
		}
		if time.Since(began) > startupTimeout {
			return 0, rejected, errTimeout
		}
		if err := sleep(ctx, probeInterval); err != nil {
			return 0, rejected, err
		}
	}
	return time.Since(began), rejected, nil
}

// measureRelayDiscovery measures the startup of a relay that has its endpoints only from discovery. After two sizes at
// which the relay was not ready in time, the larger sizes are skipped.
func measureRelayDiscovery(ctx context.Context, b *bench) ([]capacity.Series, error) {
	const maxFailures = 2
	s := newSeries(capacity.RelayDiscoveryTime, "destinations", capacity.Seconds)
	failures := 0
	for _, destinations := range b.sizes([]int{100, 1000, 3000}, []int{1000, 2000, 3000, 4000, 20_000, 140_000}) {
		endpoints := listedEndpoints(destinations, closedAddr, stateReady)
		r, err := b.startRelay(ctx, relayOptions{endpoints: endpoints, memoryMB: defaultMemoryMB})
		if isTimeout(ctx, err) {
			s.addFailure(destinations)
			if failures++; failures == maxFailures {
				break
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.add(destinations, r.startupTime.Seconds())
		if err := r.stop(); err != nil {
			return nil, err
		}
	}
	return collect(s), nil
}
