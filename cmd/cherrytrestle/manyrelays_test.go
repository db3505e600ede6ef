package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// TestManyRelaysOfOneCatalog runs many relays with the same large endpoint list under load. It changes half of the
// list's entries, and then drains an endpoint. From 1 s after that, no relay calls the endpoint, and all accepted
// messages are delivered.
func TestManyRelaysOfOneCatalog(t *testing.T) {
	destinations := 2000
	if scaletest.Full() {
		destinations = 50000
	}
	for _, n := range scaletest.Sizes(t, []int{3}, 30) {
		t.Run(fmt.Sprintf("%d relays, %d destinations", n, destinations), func(t *testing.T) {
			testManyRelays(t, n, destinations)
		})
	}
}

func testManyRelays(t *testing.T, n, destinations int) {
	values := map[string]float64{}
	defer func() { scaletest.Record(t, fmt.Sprintf("relays of %d destinations", destinations), n, values) }()
	drained := newEndpoint(t, nil)
	stays := newEndpoint(t, nil)
	list := destinationEntries(0, destinations, "")
	list[0]["addr"] = drained.addr()
	list[0]["weight"] = 9000.0
	list[1]["addr"] = stays.addr()
	list[1]["weight"] = 5000.0
	discovery := newDiscoveryServer(t, 2, list)
	relays, monitors := launchMany(t, n, discovery, values)
	load := startLoad(relays)
	eventually(t, "the endpoint that will be drained is called", func() bool { return drained.totalCalls() >= 5*n })
	changed := list[2 : 2+destinations]
	for _, entry := range changed {
		entry["weight"] = 9.1
	}
	list[0]["state"] = "draining"
	discovery.publish(t, changed...)
	discovery.publish(t, list[0])
	published := time.Now()
	time.Sleep(3 * time.Second)
	load.end()
	eventually(t, "all accepted messages are delivered", func() bool {
		return len(callsByMessage(drained, stays)) >= int(load.accepted.Load())
	})
	if stays.totalCalls() == 0 {
		t.Error("the endpoint that stays in service received no calls")
	}
	last := drained.lastCall().Sub(published)
	if last > time.Second {
		t.Errorf("the drained endpoint was called %v after its drain was published, want at most 1 s", last)
	}
	values["last_call_to_the_drained_ms"] = float64(last.Milliseconds())
	values["taken"] = float64(load.accepted.Load())
	values["turned_away"] = float64(load.rejected.Load())
	measureMany(t, relays, monitors, values)
}

// launchMany launches n relays and waits until each is ready. It adds the longest time until a relay was ready to
// values.
func launchMany(
	t *testing.T, n int, platform discovery, values map[string]float64,
) (relays []*relayProcess, monitors []*healthMonitor) {
	t.Helper()
	for range n {
		r := prepareRelay(t, nil, func(set map[string]any) { set["fleet_size"] = n })
		r.launch(platform)
		relays = append(relays, r)
		monitors = append(monitors, r.monitorHealth())
	}
	for i, monitor := range monitors {
		if !monitor.waitReady(readyTimeout) {
			t.Fatalf("relay %d is not ready after %v", i, readyTimeout)
		}
		values["ready_s"] = max(values["ready_s"], time.Duration(monitor.ready.Load()).Seconds())
	}
	return relays, monitors
}

// measureMany ends the monitors. It adds to values the highest peak memory and the longest health check interval of
// any relay, and the relays' mean processor time. It also checks the peak memory.
func measureMany(t *testing.T, relays []*relayProcess, monitors []*healthMonitor, values map[string]float64) {
	t.Helper()
	for i, r := range relays {
		monitors[i].end()
		values["memory_most_mb"] = max(values["memory_most_mb"], r.memory(relayprocess.PeakMemory))
		values["health_longest_ms"] = max(values["health_longest_ms"], monitors[i].longestMS())
		values["processor_s"] += r.cpuTime().Seconds() / float64(len(relays))
	}
	if peak := values["memory_most_mb"]; peak > maxCatalogMemoryMB {
		t.Errorf("peak memory is %.0f MB, want at most %d MB", peak, maxCatalogMemoryMB)
	}
}

// relayLoad is a group of clients, one for each relay, that submit messages until end is called.
type relayLoad struct {
	accepted atomic.Int64
	rejected atomic.Int64 // submissions that were rejected or not answered
	stop     chan struct{}
	clients  sync.WaitGroup
}

// startLoad starts the clients.
func startLoad(relays []*relayProcess) *relayLoad {
	load := &relayLoad{stop: make(chan struct{})}
	for i, r := range relays {
		load.clients.Go(func() { load.submit(i, r) })
	}
	return load
}

func (l *relayLoad) submit(client int, r *relayProcess) {
	for k := 0; ; k++ {
		select {
		case <-l.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("m-%d-%d", client, k)
		response, err := r.client.Do(r.request(id, 15*time.Second, toDestination(0)))
		if err != nil {
			l.rejected.Add(1)
			continue
		}
		closeQuietly(response.Body)
		if response.StatusCode == http.StatusAccepted {
			l.accepted.Add(1)
		} else {
			l.rejected.Add(1)
		}
	}
}

func (l *relayLoad) end() {
	close(l.stop)
	l.clients.Wait()
}
