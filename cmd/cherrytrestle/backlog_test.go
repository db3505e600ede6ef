package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// TestBacklog has a relay hold many messages for endpoints that are down, kills it and starts it again: it holds them
// all still. What a message costs as more are held is recorded, and held to nothing here: the machine has other work.
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
	list := destinationEntries(0, destinations, closedAddr(t))
	discovery := newDiscoveryServer(t, 1, list)
	r := prepareRelay(t, list, func(set map[string]any) {
		set["bounds"].(map[string]any)["open_cap"] = n + n/2
		set["bounds"].(map[string]any)["send_cap"] = 0 // none ends for its attempts
		set["services"].([]map[string]any)[0]["give_up_ms"] = 24 * 3600 * 1000
	})
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192 + n/50, "sockets": 256, "disk_mb": 3 + n/500}
	r.client.Timeout = 30 * time.Second
	management := withManagement(t, r)
	p := &platform{Server: discovery.Server}
	r.start(p)
	refused := fillBacklog(r, n, destinations, values)
	measureWaiting(r, values)
	r.kill()
	measureRestart(t, r, p, values)
	if refused > 0 {
		t.Errorf("%d of %d were not accepted", refused, n)
	}
	checkBacklog(t, discovery, management, n, n-int(refused))
}

// closedAddr is an address that nobody listens on.
func closedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	addr := listener.Addr().String()
	must(t, listener.Close())
	return addr
}

// fillBacklog submits n messages in parts, measures the first, the middle and the last part, and returns how many were
// not accepted.
func fillBacklog(r *relayProcess, n, destinations int, values map[string]float64) (refused int64) {
	const parts = 10
	usedBefore := r.cpuTime()
	for part := range parts {
		began := time.Now()
		first := part * n / parts
		end := (part + 1) * n / parts
		refused += r.submitMany(first, end, destinations, 32)
		used := r.cpuTime()
		if part == 0 || part == parts/2 || part == parts-1 {
			messages := float64(end - first)
			perMessage := float64((used - usedBefore).Microseconds()) / messages
			values[fmt.Sprintf("processor_us_per_message_part_%02d", part+1)] = perMessage
			values[fmt.Sprintf("accepted_per_s_part_%02d", part+1)] = messages / time.Since(began).Seconds()
		}
		usedBefore = used
	}
	values["refused"] = float64(refused)
	return refused
}

// measureWaiting measures what the relay takes while messages wait.
func measureWaiting(r *relayProcess, values map[string]float64) {
	const seconds = 2
	values["memory_mb"] = r.memory(relayprocess.ResidentMemory)
	values["memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["disk_mb"] = r.disk()
	usedBefore := r.cpuTime()
	time.Sleep(seconds * time.Second)
	values["processor_ms_per_s_waiting"] = float64((r.cpuTime() - usedBefore).Milliseconds()) / seconds
}

func measureRestart(t *testing.T, r *relayProcess, p *platform, values map[string]float64) {
	t.Helper()
	r.launch(p)
	monitor := r.monitorHealth()
	if !monitor.untilReady(2 * time.Minute) {
		t.Fatal("not ready again after 2 minutes")
	}
	values["restart_ready_s"] = time.Duration(monitor.ready.Load()).Seconds()
	values["restart_memory_most_mb"] = r.memory(relayprocess.PeakMemory)
	values["restart_processor_s"] = r.cpuTime().Seconds()
	monitor.end()
}

// checkBacklog waits until each accepted message is pending or has ended with a notification.
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
		t.Errorf("only %d of %d are pending: the test shows little", pending, n)
	}
}

// submitMany submits messages from first to last over so many connections, to destinations in turn, and returns how
// many were not accepted.
func (r *relayProcess) submitMany(first, last, destinations, connections int) (refused int64) {
	var next, notAccepted atomic.Int64
	next.Store(int64(first))
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 30 * time.Second}
	for range connections {
		clients.Go(func() {
			for i := int(next.Add(1) - 1); i < last; i = int(next.Add(1) - 1) {
				response, err := client.Do(r.request(traceID(i), 8*time.Hour, toDestination(i%destinations)))
				if err != nil {
					notAccepted.Add(1)
					continue
				}
				closeQuietly(response.Body)
				if response.StatusCode != http.StatusAccepted {
					notAccepted.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return notAccepted.Load()
}
