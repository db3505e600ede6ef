package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// arrivals are when a host saw an id.
func (h *endpoint) arrivals(id string) (at []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, x := range h.seen {
		if x == id {
			at = append(at, h.at[i])
		}
	}
	return at
}

// Calls with a key are out when the process is killed, and repeats are dropped for a second only, and in one zone. The
// next process repeats them where it comes in time, and never past the window or in the other zone; what it may not
// repeat gets a notice.
func TestNoRepeatPastAWindowOfASecond(t *testing.T) {
	const window, messages = time.Second, 6
	for _, c := range []struct {
		name    string
		down    time.Duration // between the kill and the next start
		zone    string        // of the host that the next process knows
		late    time.Duration // from the kill until that host is in service
		repeats bool
		never   bool
	}{
		{"at once", 0, "a", 0, true, false},
		{"towards the end of the window", 600 * time.Millisecond, "a", 0, false, false},
		{"past the window", window + 200*time.Millisecond, "a", 0, false, true},
		{"at once, the host is in service past the window", 0, "a", window + 200*time.Millisecond, false, true},
		{"at once, in the other zone", 0, "b", 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			var mu sync.Mutex
			killed := false
			hang := func(_ http.ResponseWriter, r *http.Request, _ []string) {
				mu.Lock()
				wait := !killed
				mu.Unlock()
				if wait {
					<-r.Context().Done()
				}
			}
			one, other := newEndpoint(t, hang), newEndpoint(t, nil)
			r := newRelay(t, p, []listEntry{newEntry("s-1", one.addr(), "a", "gateway", "ready")}, func(set map[string]any) {
				set["services"].([]map[string]any)[0]["repeat_window_ms"] = window.Milliseconds()
				set["extra"].(map[string]any)["call_slots"] = 40 // all go out
			})
			for i := range messages {
				r.mustAccept(fmt.Sprint("m", i), 8*time.Second)
			}
			for i := range messages {
				eventually(t, "a call", func() bool { return one.count(fmt.Sprint("m", i)) > 0 })
			}
			r.kill()
			mu.Lock()
			killed = true
			mu.Unlock()
			end := time.Now()
			next, state := one, "ready"
			if c.zone != "a" {
				next = other
			}
			if c.late > 0 {
				state = "draining"
			}
			now := newEntry("s-2", next.addr(), c.zone, "gateway", state)
			r.config["known"] = map[string]any{"version": 2, "full": true, "servers": []listEntry{now}}
			r.writeConfig()
			time.Sleep(c.down)
			r.start(p)
			soon := time.Since(one.arrivals("m0")[0]) < window*2/3 // else the machine is too slow to tell
			if c.late > 0 {
				time.Sleep(time.Until(end.Add(c.late)))
				now["state"] = "ready"
				p.publish(false, now)
			}
			repeated := 0
			for i := range messages {
				id := fmt.Sprint("m", i)
				eventually(
					t,
					id+" repeated or ended",
					func() bool { return one.count(id) > 1 || p.notification(id) != nil || other.count(id) > 0 },
				)
				at := one.arrivals(id)
				for _, again := range at[1:] {
					if repeated++; again.Sub(at[0]) > window {
						t.Errorf("%s repeated %v after its first call", id, again.Sub(at[0]))
					}
				}
				if other.count(id) > 0 {
					t.Errorf("%s repeated in the other zone", id)
				}
				if status := p.notification(id); status != nil && status["status"] != "undeliverable" {
					t.Errorf("%s, which may have run, ended with %v", id, status)
				}
			}
			if t.Logf("%d repeated", repeated); c.repeats && soon && repeated == 0 || c.never && repeated > 0 {
				t.Errorf("%d repeated", repeated)
			}
		})
	}
}
