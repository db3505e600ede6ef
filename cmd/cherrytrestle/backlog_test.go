package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// TestBacklog submits many messages for endpoints that are down, then kills and restarts the relay. After the restart
// each accepted message must be pending or have ended with a notification. The test records the cost of a message as
// the backlog grows. It checks no bound on this cost, because the machine runs other tests at the same time.
func TestBacklog(t *testing.T) {
	for _, destinations := range []int{1, 100, 2240} {
		for _, n := range scaletest.Sizes(t, []int{2000}, 10000, 50000, 100000) {
			t.Run(fmt.Sprintf("%d destinations, %d", destinations, n), func(t *testing.T) {
				testBacklog(t, n, destinations)
			})
		}
	}
}

func testBacklog(t *testing.T, n, destinations int) {
	values := map[string]float64{}
	defer func() { scaletest.Record(t, fmt.Sprintf("backlog for %d destinations", destinations), n, values) }()
	list := destinationEntries(0, destinations, unusedAddr(t, randomLoopbackIP()))
	discovery := newDiscoveryServer(t, 1, list)
	r := prepareRelay(t, list, func(set map[string]any) {
		setMaxPending(set, n+n/2)
		setMaxAttempts(set, 0) // no bound: messages end only at their deadline
		orderClass(set)["give_up_ms"] = 24 * 3600 * 1000
	})
	r.setLimits(192+n/50, 256, float64(3+n/500))
	r.client.Timeout = 30 * time.Second
	management := r.setManagement()
	r.start(discovery)
	notAccepted := fillBacklog(r, n, destinations, values)
	measureWaiting(r, values)
	r.kill()
	measureRestart(t, r, discovery, values)
	if notAccepted > 0 {
		t.Errorf("%d of %d messages were not accepted", notAccepted, n)
	}
	checkBacklog(t, discovery, management, n, n-int(notAccepted))
}

// fillBacklog submits n messages in equal parts and returns how many were not accepted. For the first, the middle and
// the last part it records the processor time per message and the rate of submissions.
func fillBacklog(r *relayProcess, n, destinations int, values map[string]float64) (notAccepted int64) {
	const parts = 10
	usedBefore := r.cpuTime()
	for part := range parts {
		began := time.Now()
		first := part * n / parts
		end := (part + 1) * n / parts
		notAccepted += r.submitMany(first, end, destinations, 32)
		used := r.cpuTime()
		if part == 0 || part == parts/2 || part == parts-1 {
			messages := float64(end - first)
			perMessage := float64((used - usedBefore).Microseconds()) / messages
			values[fmt.Sprintf("processor_us_per_message_part_%02d", part+1)] = perMessage
			values[fmt.Sprintf("accepted_per_s_part_%02d", part+1)] = messages / time.Since(began).Seconds()
		}
		usedBefore = used
	}
	values["refused"] = float64(notAccepted)
	return notAccepted
}

// measureWaiting measures the memory, the disk space and the processor time that the relay uses while messages wait.
func measureWaiting(r *relayProcess, values map[string]float64) {
	const seconds = 2
	values["memory_mb"] = r.memory(relayprocess.ResidentMemory)
	values["memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["disk_mb"] = r.disk()
	usedBefore := r.cpuTime()
	time.Sleep(seconds * time.Second)
	values["processor_ms_per_s_waiting"] = float64((r.cpuTime() - usedBefore).Milliseconds()) / seconds
}

// measureRestart launches the relay and records the time, the peak memory and the processor time until it is ready.
func measureRestart(t *testing.T, r *relayProcess, discovery *discoveryServer, values map[string]float64) {
	t.Helper()
	r.launch(discovery)
	monitor := r.monitorHealth()
	if !monitor.waitReady(2 * time.Minute) {
		t.Fatal("relay not ready 2 minutes after its restart")
	}
	values["restart_ready_s"] = time.Duration(monitor.ready.Load()).Seconds()
	values["restart_memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["restart_processor_s"] = r.cpuTime().Seconds()
	monitor.end()
}

// checkBacklog waits until each accepted message is pending or has ended with a notification. It fails the test if
// fewer than 90 % of the n submitted messages are pending, because the backlog is then too small to test.
func checkBacklog(t *testing.T, discovery *discoveryServer, management string, n, accepted int) {
	t.Helper()
	var pending, ended int
	byStatus := map[string]int{}
	defer func() { t.Logf("%d pending, %d ended: %v", pending, ended, byStatus) }()
	eventually(t, "each message is pending or has ended with a notification", func() bool {
		var err error
		pending, err = strconv.Atoi(metric(t, management, "pending"))
		must(t, err)
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		clear(byStatus)
		for _, status := range discovery.finals {
			byStatus[status]++
		}
		ended = len(discovery.finals)
		return pending+ended == accepted
	})
	if pending < n*9/10 {
		t.Errorf("only %d of %d messages are pending, want at least 90 %%", pending, n)
	}
}

// submitMany submits the messages with the numbers from first to end-1, to the destinations in turn, over the given
// number of parallel connections. It returns how many were not accepted.
func (r *relayProcess) submitMany(first, end, destinations, connections int) (notAccepted int64) {
	var next, failures atomic.Int64
	next.Store(int64(first))
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 30 * time.Second}
	for range connections {
		clients.Go(func() {
			for i := int(next.Add(1) - 1); i < end; i = int(next.Add(1) - 1) {
				response, err := client.Do(r.request(traceID(i), 8*time.Hour, toDestination(i%destinations)))
				if err != nil {
					failures.Add(1)
					continue
				}
				closeQuietly(response.Body)
				if response.StatusCode != http.StatusAccepted {
					failures.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return failures.Load()
}
