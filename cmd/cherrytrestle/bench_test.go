package main

import (
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// startInLargeFleet starts a relay of a fleet of 300, with 31 endpoints in its endpoint list.
func startInLargeFleet(b *testing.B) (*relayProcess, *fakePlatform) {
	b.Helper()
	platform := newPlatform(b)
	endpoint := newEndpoint(b, answerStatus(http.StatusOK))
	var known []listEntry
	for i := range 31 {
		entry := newEntry("s-"+string(rune('a'+i)), endpoint.addr(), "a", singleKind, "ready")
		entry["weight"] = 9000.0
		known = append(known, entry)
	}
	r := newRelay(b, platform, known, func(set map[string]any) {
		set["fleet_size"] = 300
		setMaxPending(set, 5000)
	})
	return r, platform
}

// killForCPUTime kills the process and returns the processor time that it used.
func (r *relayProcess) killForCPUTime() time.Duration {
	cmd := r.cmd
	r.kill()
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}

// BenchmarkProcessorTime measures the processor time of a relay in a large fleet: for a start, for an idle second,
// and for a message that is accepted, journaled and delivered. The kernel reports processor time with a resolution of
// one clock tick or better.
func BenchmarkProcessorTime(b *testing.B) {
	const starts, idle, messages = 10, 5, 3000
	r, platform := startInLargeFleet(b)
	r.killForCPUTime()
	var start time.Duration
	for range starts {
		r.start(platform)
		start += r.killForCPUTime() / starts
	}
	b.ReportMetric(float64(start.Microseconds())/1000, "ms/start")
	r.start(platform)
	time.Sleep(idle * time.Second)
	b.ReportMetric(float64((r.killForCPUTime()-start).Microseconds())/1000/idle, "ms/idle-s")
	r.start(platform)
	for i := range messages {
		r.mustAccept(traceID(i), 9*time.Second)
	}
	b.ReportMetric(float64((r.killForCPUTime()-start).Microseconds())/messages, "us/message")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAccept measures the 99th percentile of the time from the submission of a message to the answer 202, and to
// the delivery of the message. It compares a relay without a fleet, a relay in a fleet of three, and a relay in a
// fleet of three in which another relay hangs. The messages go to these three relays in turn.
func BenchmarkAccept(b *testing.B) {
	const messages = 3000
	endpoint := newEndpoint(b, nil)
	alone := newTestFleet(b, 1, endpoint)
	healthy := newTestFleet(b, 3, endpoint)
	hung := newTestFleet(b, 3, endpoint)
	must(b, os.Remove(alone.operatorFile(0)))
	alone.relays[0].env = nil
	alone.start(0)
	healthy.start(healthy.allRelays()...)
	hung.start(hung.allRelays()...)
	eventually(b, "relay 0 sees the relay that will hang as alive", func() bool {
		state, _ := hung.memberState(0, 2)
		return state == "alive"
	})
	hung.relays[2].signal(syscall.SIGSTOP)
	defer signalQuietly(hung.relays[2].cmd, syscall.SIGCONT)
	subjects := []*relayProcess{alone.relays[0], healthy.relays[0], hung.relays[0]}
	accepts := make([][]time.Duration, 3)
	finals := make([][]time.Duration, 3)
	for i := range messages {
		for k, r := range subjects {
			id := traceID(3*i + k)
			began := time.Now()
			r.mustAccept(id, 9*time.Second)
			accepts[k] = append(accepts[k], time.Since(began))
			for endpoint.count(id) == 0 {
				time.Sleep(50 * time.Microsecond)
			}
			finals[k] = append(finals[k], time.Since(began))
		}
	}
	p99 := func(d []time.Duration) float64 {
		slices.Sort(d)
		return float64(d[len(d)*99/100].Microseconds())
	}
	for k, name := range []string{"alone", "fleet", "hung"} {
		b.ReportMetric(p99(accepts[k]), "us-accept-"+name)
		b.ReportMetric(p99(finals[k]), "us-final-"+name)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkReady measures how long a process takes from its start until its health check succeeds, with the largest
// journal that the disk limit allows.
func BenchmarkReady(b *testing.B) {
	for _, c := range []struct {
		name       string
		diskMB     float64
		bodyBytes  int
		maxPending int
	}{
		{"small", 3, 0, 1 << 20},
		{"small, room for few", 3, 0, 50},
		{"large", 3, 60 << 10, 50},
		{"small on 12 MB", 12, 0, 1 << 20},
		{"small on 12 MB, room for half", 12, 0, 40_000},
	} {
		b.Run(c.name, func(b *testing.B) {
			platform := newPlatform(b)
			endpoint := newEndpoint(b, nil)
			list := endpoint.list(singleKind, "draining")
			r := prepareRelay(b, list, func(settings map[string]any) {
				setMaxPending(settings, c.maxPending)
			})
			r.setLimits(192, 256, c.diskMB)
			n := fillJournal(b, r, c.diskMB, c.bodyBytes)
			var ready time.Duration
			for range b.N {
				began := time.Now()
				r.start(platform)
				ready += time.Since(began)
				r.kill()
			}
			b.ReportMetric(float64(ready.Microseconds())/1000/float64(b.N), "ms/ready")
			b.ReportMetric(float64(n), "messages")
		})
	}
}
