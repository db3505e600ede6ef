package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

const (
	// maxCatalogMemoryMB is what a relay may take at the highest, at any size of the list.
	maxCatalogMemoryMB = 128
	readyTimeout       = 30 * time.Second
)

// A relay starts with a list of many destinations, from discovery or as it stored it, answers health checks meanwhile,
// and applies a change of one entry.
func TestLargeCatalog(t *testing.T) {
	for _, how := range []string{"listed", "known"} {
		for _, n := range scaletest.Sizes(t, []int{20000}, 1000, 10000, 50000, 140000) {
			t.Run(fmt.Sprintf("%s, %d", how, n), func(t *testing.T) { testLargeCatalog(t, how, n) })
		}
	}
}

func testLargeCatalog(t *testing.T, how string, n int) {
	values := map[string]float64{}
	defer func() { scaletest.Record(t, "catalog "+how, n, values) }()
	h := newEndpoint(t, nil)
	discovery, r := launchWithCatalog(t, how, n)
	monitor := r.monitorHealth()
	ready := monitor.untilReady(readyTimeout)
	values["ready"] = 0
	values["memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["memory_mb"] = r.memory(relayprocess.ResidentMemory)
	values["processor_s"] = r.cpuTime().Seconds()
	values["health_longest_ms"] = monitor.longestMS()
	if !ready {
		t.Fatalf("not ready after %v", readyTimeout)
	}
	values["ready"] = 1
	values["ready_s"] = time.Duration(monitor.ready.Load()).Seconds()
	values["change_obeyed_ms"] = milliseconds(addDestination(t, discovery, r, n, h.addr()))
	eventually(t, "delivered", func() bool { return h.totalCalls() > 0 })
	monitor.end()
	values["memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["health_longest_all_ms"] = monitor.longestMS()
	if peak := values["memory_most_mb"]; peak > maxCatalogMemoryMB {
		t.Errorf("%.0f MB at the most, %d wanted", peak, maxCatalogMemoryMB)
	}
}

// launchWithCatalog launches a relay that has n destinations from discovery, or stored.
func launchWithCatalog(t *testing.T, how string, n int) (*discoveryServer, *relayProcess) {
	t.Helper()
	list := destinationEntries(0, n, "")
	version := 2 // a relay's own file has version 1
	var known []listEntry
	if how == "known" {
		version = 1
		known = list
	}
	discovery := newDiscoveryServer(t, version, list)
	r := prepareRelay(t, known, nil)
	r.config = nil // as large as the list
	r.launch(&platform{Server: discovery.Server})
	return discovery, r
}

// addDestination publishes destination n, and returns the time until a message to it is accepted.
func addDestination(t *testing.T, discovery *discoveryServer, r *relayProcess, n int, addr string) time.Duration {
	t.Helper()
	discovery.publish(t, destinationEntries(n, n+1, addr)...)
	published := time.Now()
	for i := 0; ; i++ {
		status, _ := r.submit(fmt.Sprint("m", i), 10*time.Second, toDestination(n))
		if status == http.StatusAccepted {
			return time.Since(published)
		}
		if time.Since(published) > conditionTimeout {
			t.Fatal("the change is not applied")
		}
	}
}

func toDestination(n int) func(*http.Request) {
	return func(request *http.Request) { request.Header.Set("Envelope", fmt.Sprintf("dest=%d", n)) }
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
