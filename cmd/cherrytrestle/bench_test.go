package main

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

// startInLargeFleet is a relay of the full fleet, with 31 endpoints listed.
func startInLargeFleet(b *testing.B) (*relayProcess, *fakePlatform) {
	b.Helper()
	platform := newPlatform(b)
	endpoint := newEndpoint(b, answerStatus(http.StatusOK))
	var known []listEntry
	for i := range 31 {
		m := newEntry("s-"+string(rune('a'+i)), endpoint.addr(), "a", "gateway", "ready")
		m["weight"] = 9000.0
		known = append(known, m)
	}
	r := newRelay(b, platform, known, func(set map[string]any) {
		set["fleet_size"] = 300
		set["bounds"].(map[string]any)["open_cap"] = 5000
	})
	return r, platform
}

// killForCPUTime kills the process and returns the processor time that it used.
func (r *relayProcess) killForCPUTime() time.Duration {
	cmd := r.cmd
	r.kill()
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}

// BenchmarkProcessorTime measures what a relay of the full fleet uses: for a start, for an idle second, and for a
// message accepted, delivered and journaled. It uses the kernel's count of the process, whose grain is a clock tick or
// less.
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

func traceID(i int) string {
	const digits = "0123456789abcdef"
	id := []byte("00000000000bench")
	for k := 10; k >= 0; k-- {
		id[k] = digits[i%16]
		i /= 16
	}
	return string(id)
}

// BenchmarkAccept measures how long a client waits for its 202, and a message for its delivery, at the 99th percentile:
// alone, in a fleet of three, and in one of which a member hangs. All three take turns in one run, message by message.
func BenchmarkAccept(b *testing.B) {
	const messages = 3000
	endpoint := newEndpoint(b, nil)
	alone := newTestFleet(b, 1, endpoint)
	rigs := []*testFleet{newTestFleet(b, 3, endpoint), newTestFleet(b, 3, endpoint)}
	must(b, os.Remove(filepath.Join(alone.relays[0].dir, "operator.toml")))
	alone.relays[0].env = nil
	alone.start(0)
	for _, fleet := range rigs {
		fleet.start(fleet.allRelays()...)
	}
	fleet := rigs[1]
	eventually(b, "the fleet is one", func() bool {
		state, _ := fleet.memberState(0, 2)
		return state == "alive"
	})
	must(b, fleet.relays[2].cmd.Process.Signal(syscall.SIGSTOP))
	defer signalQuietly(fleet.relays[2].cmd, syscall.SIGCONT)
	subjects := []*relayProcess{alone.relays[0], rigs[0].relays[0], fleet.relays[0]}
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

// BenchmarkReady measures how long a process takes from its start to its first health answer, with the largest journal
// that its disk allows.
func BenchmarkReady(b *testing.B) {
	for _, c := range []struct {
		name   string
		diskMB float64
		body   int
		room   int
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
				settings["bounds"].(map[string]any)["open_cap"] = c.room
			})
			r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": c.diskMB}
			r.writeConfig()
			n := fillDisk(b, r, c.diskMB, c.body)
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
