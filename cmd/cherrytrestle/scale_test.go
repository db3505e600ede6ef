package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

var (
	full     = flag.Bool("full", false, "scale tests at all their sizes, for some minutes and gigabytes")
	sizes    = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	readings = flag.String("readings", "", "file that readings of the scale tests are added to, one JSON object a line")
)

// testSizes returns the sizes to measure: the short ones, or with -full the long ones.
func testSizes(t *testing.T, short []int, long ...int) []int {
	if !*full {
		return short
	}
	if *sizes != "" {
		var own []int
		must(t, json.Unmarshal([]byte(*sizes), &own))
		return own
	}
	return long
}

// recordReading logs a reading, and adds it to the -readings file.
func recordReading(t *testing.T, what string, n int, values map[string]float64) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", what, n)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf(" %s %.4g", name, values[name])
	}
	t.Log(text)
	if *readings == "" {
		return
	}
	line, err := json.Marshal(map[string]any{"what": what, "n": n, "values": values})
	must(t, err)
	f, err := os.OpenFile(*readings, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(t, err)
	defer closeQuietly(f)
	_, err = f.Write(append(line, '\n'))
	must(t, err)
}

const (
	// maxCatalogMemoryMB is what a relay may take at the highest, at any size of the list.
	maxCatalogMemoryMB = 128
	readyTimeout       = 30 * time.Second
)

// A relay starts with a list of many destinations, from discovery or as it stored it, answers health checks meanwhile,
// and applies a change of one entry.
func TestLargeCatalog(t *testing.T) {
	for _, how := range []string{"listed", "known"} {
		for _, n := range testSizes(t, []int{20000}, 1000, 10000, 50000, 140000) {
			t.Run(fmt.Sprintf("%s, %d", how, n), func(t *testing.T) { testLargeCatalog(t, how, n) })
		}
	}
}

func testLargeCatalog(t *testing.T, how string, n int) {
	values := map[string]float64{}
	defer func() { recordReading(t, "catalog "+how, n, values) }()
	endpoint := newEndpoint(t, nil)
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
	values["change_obeyed_ms"] = milliseconds(addDestination(t, discovery, r, n, endpoint.addr()))
	eventually(t, "delivered", func() bool { return endpoint.totalCalls() > 0 })
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
	r.launch(&fakePlatform{Server: discovery.Server})
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
