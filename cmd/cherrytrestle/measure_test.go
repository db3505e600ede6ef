package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// cpuTime is the processor time that the process has used.
func (r *relayProcess) cpuTime() time.Duration {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	must(r.t, err)
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest)) // from the third on
	sum := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		must(r.t, err)
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond // the system's clock tick
}

// memory is a memory field of the process, in MB.
func (r *relayProcess) memory(field string) float64 {
	r.t.Helper()
	bytes, err := relayprocess.Memory(r.cmd.Process.Pid, field)
	must(r.t, err)
	return bytes / 1e6
}

// disk is what the files of the relay's folder hold, in MB.
func (r *relayProcess) disk() float64 {
	r.t.Helper()
	bytes, err := relayprocess.FolderSize(relayprocess.StateFolder(r.dir))
	must(r.t, err)
	return bytes / 1e6
}

// healthMonitor checks the relay's health all the time, until it ends: when the relay was first ready, and the longest
// time between two answers.
type healthMonitor struct {
	began   time.Time
	stop    chan struct{}
	done    sync.WaitGroup
	ready   atomic.Int64 // nanoseconds since began; 0: not yet
	longest atomic.Int64
}

func (r *relayProcess) monitorHealth() *healthMonitor {
	h := &healthMonitor{began: time.Now(), stop: make(chan struct{})}
	client := &http.Client{Timeout: 30 * time.Second}
	h.done.Go(func() {
		defer client.CloseIdleConnections()
		var last time.Time
		for {
			select {
			case <-h.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			res, err := client.Get("http://" + r.addr + "/_health")
			if err != nil {
				continue // it does not listen yet
			}
			closeQuietly(res.Body)
			now := time.Now()
			if !last.IsZero() {
				h.longest.Store(max(h.longest.Load(), int64(now.Sub(last))))
			}
			last = now
			if res.StatusCode == http.StatusOK {
				h.ready.CompareAndSwap(0, int64(now.Sub(h.began)))
			}
		}
	})
	r.t.Cleanup(h.end)
	return h
}

func (h *healthMonitor) longestMS() float64 { return float64(h.longest.Load()) / 1e6 }

func (h *healthMonitor) end() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
	h.done.Wait()
}

// untilReady waits until the relay is ready, and reports whether it was in time.
func (h *healthMonitor) untilReady(timeout time.Duration) bool {
	for h.ready.Load() == 0 && time.Since(h.began) < timeout {
		time.Sleep(2 * time.Millisecond)
	}
	return h.ready.Load() != 0
}
