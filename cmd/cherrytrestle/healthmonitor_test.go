package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// healthMonitor polls the relay's health until end is called. It measures the time until the relay is ready, and the
// longest time between two answers.
type healthMonitor struct {
	began   time.Time
	stop    chan struct{}
	done    sync.WaitGroup
	ready   atomic.Int64 // nanoseconds from began until the relay was ready; 0: not ready yet
	longest atomic.Int64 // longest time between two answers, in nanoseconds
}

// monitorHealth starts a health monitor, which is stopped at the end of the test at the latest.
func (r *relayProcess) monitorHealth() *healthMonitor {
	m := &healthMonitor{began: time.Now(), stop: make(chan struct{})}
	client := &http.Client{Timeout: 30 * time.Second}
	m.done.Go(func() {
		defer client.CloseIdleConnections()
		var last time.Time
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			res, err := client.Get("http://" + r.addr + "/_health")
			if err != nil {
				continue // the relay does not listen yet
			}
			closeQuietly(res.Body)
			now := time.Now()
			if !last.IsZero() {
				m.longest.Store(max(m.longest.Load(), int64(now.Sub(last))))
			}
			last = now
			if res.StatusCode == http.StatusOK {
				m.ready.CompareAndSwap(0, int64(now.Sub(m.began)))
			}
		}
	})
	r.t.Cleanup(m.end)
	return m
}

func (m *healthMonitor) longestMS() float64 { return float64(m.longest.Load()) / 1e6 }

// end stops the monitor and waits for its goroutine. It may be called more than once.
func (m *healthMonitor) end() {
	select {
	case <-m.stop:
	default:
		close(m.stop)
	}
	m.done.Wait()
}

// waitReady waits until the relay is ready or the timeout, counted from the monitor's start, has passed. It reports
// whether the relay is ready.
func (m *healthMonitor) waitReady(timeout time.Duration) bool {
	for m.ready.Load() == 0 && time.Since(m.began) < timeout {
		time.Sleep(2 * time.Millisecond)
	}
	return m.ready.Load() != 0
}
