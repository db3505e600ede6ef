package main

import (
	"context"
	"errors"
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
)

// measureRelayBacklog measures the start of a relay with messages in its journal: the time until the relay is ready and
// its peak memory.
func measureRelayBacklog(ctx context.Context, b *bench) ([]capacity.Series, error) {
	memory := newSeries(capacity.RelayBacklogMemory, "messages held", capacity.Bytes)
	recovery := newSeries(capacity.RelayRecoveryTime, "messages held", capacity.Seconds)
	memory.Limitations = fmt.Sprintf("%d destinations, all out of service: nothing of what is held is tried; "+
		"bodies of 1,000 bytes in memory; a memory limit of %d MB", unavailableDestinations, backlogMemoryMB)
	recovery.Limitations = memory.Limitations
	for _, messages := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000}) {
		r, err := b.startRelay(ctx, relayOptions{
			endpoints: listedEndpoints(unavailableDestinations, closedAddr, stateDraining),
			known:     true,
			memoryMB:  backlogMemoryMB,
			prepare: func(stateFolder string) error {
				return fillJournal(stateFolder, messages, unavailableDestinations)
			},
		})
		if isTimeout(ctx, err) {
			memory.addFailure(messages)
			recovery.addFailure(messages)
			continue
		}
		if err != nil {
			return nil, err
		}
		recovery.add(messages, r.startupTime.Seconds())
		peak, err := r.settledPeakMemory(ctx)
		if err := errors.Join(err, r.stop()); err != nil {
			return nil, err
		}
		memory.add(messages, peak)
	}
	return collect(memory, recovery), nil
}

// settledPeakMemory waits for settleTime and returns the relay's peak memory in bytes.
func (r *relay) settledPeakMemory(ctx context.Context) (float64, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return 0, err
	}
	return r.peakMemory()
}
