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
	// maxCatalogMemoryMB is the highest peak memory that a relay may use, in MB, whatever the size of its list.
	maxCatalogMemoryMB = 128
	readyTimeout       = 30 * time.Second
)

// TestLargeCatalog starts a relay with a list of many destinations, from discovery or from its configuration, and then
// adds a destination. The relay becomes ready, accepts and delivers a message to the new destination, and stays within
// its memory limit.
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
	endpoint := newEndpoint(t, nil)
	discovery, r := launchWithCatalog(t, how, n)
	monitor := r.monitorHealth()
	ready := monitor.waitReady(readyTimeout)
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
	values["change_obeyed_ms"] = milliseconds(addDestination(t, discovery, r, n, endpoint.addr()))
	eventually(t, "delivered", func() bool { return endpoint.totalCalls() > 0 })
	monitor.end()
	values["memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["health_longest_all_ms"] = monitor.longestMS()
	if peak := values["memory_most_mb"]; peak > maxCatalogMemoryMB {
		t.Errorf("peak memory is %.0f MB, want at most %d MB", peak, maxCatalogMemoryMB)
	}
}

// launchWithCatalog launches a relay that gets n destinations from discovery or, if how is "known", from its
// configuration.
func launchWithCatalog(t *testing.T, how string, n int) (*discoveryServer, *relayProcess) {
	t.Helper()
	list := destinationEntries(0, n, "")
	version := 2 // the configuration's list has version 1
	var known []listEntry
	if how == "known" {
		version = 1
		known = list
	}
	discovery := newDiscoveryServer(t, version, list)
	r := prepareRelay(t, known, nil)
	r.config = nil // the configuration is as large as the list: this frees its memory
	r.launch(discovery)
	return discovery, r
}

// addDestination publishes destination n, and returns the time until the relay accepts a message to it.
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
			t.Fatal("no message to the added destination was accepted in time")
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
