package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

const (
	loadClients      = 64              // clients that submit messages concurrently
	loadEndpoints    = 16              // addresses over which the listed endpoints are spread
	loadWarmUpTime   = 5 * time.Second // time under load before the measurement
	loadTime         = 8 * time.Second // duration of the measurement
	quickLoadTime    = 3 * time.Second // duration of a quick measurement
	messageTimeLeft  = 9 * time.Second // from the submission to the deadline of a message
	minDeliveredRate = 0.95            // fraction of the submitted rate; with less delivered, the size counts as failed
)

// measureRelayLoad measures the processor use of a relay that accepts, journals and delivers messages. One series has
// few destinations, whose connections are reused. The other has so many destinations that nearly every call needs a new
// connection, as for a relay that calls each destination only once in several minutes.
func measureRelayLoad(ctx context.Context, b *bench) ([]capacity.Series, error) {
	const fewDestinations, manyDestinations = 100, 20_000
	reused := newSeries(capacity.RelayCores, "messages a second", capacity.Cores)
	reused.Limitations = "100 destinations whose hosts answer at once, bodies of 1,000 bytes, the journal without sync"
	fresh := newSeries(capacity.RelayNewConnectionCores, "messages a second", capacity.Cores)
	fresh.Limitations = "20,000 destinations, otherwise as `relay.load`"
	for _, rate := range b.sizes([]int{50, 100, 200}, []int{50, 150, 461, 900}) {
		for _, c := range []struct {
			series       *series
			destinations int
		}{{reused, fewDestinations}, {fresh, manyDestinations}} {
			delivered, cores, err := b.measureLoad(ctx, rate, c.destinations)
			if err != nil {
				return nil, err
			}
			if delivered < minDeliveredRate*float64(rate) {
				b.logf("%s: %.0f of %d messages a second were delivered", c.series.Name, delivered, rate)
				c.series.addFailure(rate)
				continue
			}
			c.series.add(rate, cores)
		}
	}
	return collect(reused, fresh), nil
}

// measureLoad submits messages at a rate per second. It returns the number of messages delivered per second and the
// relay's processor use in cores.
func (b *bench) measureLoad(ctx context.Context, rate, destinations int) (delivered, cores float64, err error) {
	endpoints := startEndpoints(loadEndpoints)
	defer endpoints.close()
	listed := listedEndpoints(destinations, "", stateReady)
	for i := range listed {
		listed[i].Addr = endpoints.addr(i)
	}
	r, err := b.startRelay(ctx, relayOptions{endpoints: listed, known: true, memoryMB: defaultMemoryMB})
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, r.stop()) }()
	load := r.startLoad(ctx, rate, destinations)
	defer load.end()
	if err := sleep(ctx, loadWarmUpTime); err != nil {
		return 0, 0, err
	}
	measureTime := loadTime
	if b.quick {
		measureTime = quickLoadTime
	}
	callsBefore, began := endpoints.calls.Load(), time.Now()
	cpu, err := r.cpuDuring(func() error { return sleep(ctx, measureTime) })
	if err != nil {
		return 0, 0, err
	}
	seconds := time.Since(began).Seconds()
	if n := load.rejected.Load(); n > 0 {
		b.logf("at %d messages a second, %d submissions were not accepted", rate, n)
	}
	return float64(endpoints.calls.Load()-callsBefore) / seconds, cpu.Seconds() / seconds, nil
}

// load is a set of clients that together submit messages to a relay at a constant rate.
type load struct {
	relay        *relay
	destinations int
	interval     time.Duration // between two messages of one client
	rejected     atomic.Int64  // submissions that were not accepted
	cancel       context.CancelFunc
	clients      sync.WaitGroup
}

func (r *relay) startLoad(ctx context.Context, rate, destinations int) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{
		relay:        r,
		destinations: destinations,
		interval:     loadClients * time.Second / time.Duration(rate),
		cancel:       cancel,
	}
	for i := range loadClients {
		l.clients.Go(func() { l.runClient(ctx, i) })
	}
	return l
}

// end stops all clients and waits until they have stopped.
func (l *load) end() {
	l.cancel()
	l.clients.Wait()
}

// runClient submits messages until ctx is done. The starts of the clients are spread evenly over one interval, and so
// are their messages.
func (l *load) runClient(ctx context.Context, index int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: submitTimeout}
	defer client.CloseIdleConnections()
	if sleep(ctx, l.interval*time.Duration(index)/loadClients) != nil {
		return
	}
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%04x%012x", index, i)
		destination := (i*loadClients + index) * 7919 % l.destinations
		if err := l.relay.submit(ctx, client, id, destination); err != nil && ctx.Err() == nil {
			l.rejected.Add(1)
		}
	}
}

// submit submits a message to the relay. An answer with a status other than 202 is an error.
func (r *relay) submit(ctx context.Context, client *http.Client, id string, destination int) error {
	req, err := relayprocess.Submission{
		ID:          id,
		Destination: destination,
		TimeLeft:    messageTimeLeft,
		Body:        bytes.NewReader(make([]byte, bodyBytes)),
	}.NewRequest(ctx, r.addr)
	if err != nil {
		return err
	}
	response, err := client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body) // Read the body so that the connection is reused.
	_ = response.Body.Close()
	if response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the relay answered the submission of message %q with status %s", id, response.Status)
	}
	return nil
}
