package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// arrivals are the times at which a message arrived.
func (endpoint *fakeEndpoint) arrivals(id string) (at []time.Time) {
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for i, x := range endpoint.seen {
		if x == id {
			at = append(at, endpoint.at[i])
		}
	}
	return at
}

const (
	dedupWindow    = time.Second
	windowMessages = 6
)

// windowCase is a restart with calls in flight.
type windowCase struct {
	name    string
	down    time.Duration // between the kill and the next start
	zone    string        // of the endpoint that the next process lists
	late    time.Duration // from the kill until that endpoint is in service
	repeats bool          // messages are repeated
	never   bool          // none is
}

// Calls with a key are in flight when the process is killed, and endpoints drop repeats for a second only, and in one
// zone. The next process repeats the messages if it comes in time, and never past the window or in the other zone; a
// message that it may not repeat gets a notification.
func TestNoRepeatPastTheDedupWindow(t *testing.T) {
	const past = dedupWindow + 200*time.Millisecond
	for _, c := range []windowCase{
		{name: "at once", zone: "a", repeats: true},
		{name: "towards the end of the window", down: 600 * time.Millisecond, zone: "a"},
		{name: "past the window", down: past, zone: "a", never: true},
		{name: "at once, the endpoint is in service past the window", zone: "a", late: past, never: true},
		{name: "at once, in the other zone", zone: "b", never: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testDedupWindow(t, c)
		})
	}
}

func testDedupWindow(t *testing.T, c windowCase) {
	platform := newPlatform(t)
	var killed atomic.Bool
	one := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) {
		if !killed.Load() {
			<-r.Context().Done()
		}
	})
	other := newEndpoint(t, nil)
	r := newRelay(t, platform, one.list(singleKind, "ready"), func(set map[string]any) {
		set["services"].([]map[string]any)[0]["repeat_window_ms"] = dedupWindow.Milliseconds()
		set["extra"].(map[string]any)["call_slots"] = 40 // all are sent
	})
	for i := range windowMessages {
		r.mustAccept(fmt.Sprint("m", i), 8*time.Second)
	}
	for i := range windowMessages {
		eventually(t, "a call", func() bool { return one.count(fmt.Sprint("m", i)) > 0 })
	}
	r.kill()
	killed.Store(true)
	killedAt := time.Now()
	entry := c.nextEntry(one, other)
	r.config["known"] = map[string]any{"version": 2, "full": true, "servers": []listEntry{entry}}
	r.writeConfig()
	time.Sleep(c.down)
	r.start(platform)
	inTime := time.Since(one.arrivals("m0")[0]) < dedupWindow*2/3 // otherwise the machine is too slow for this case
	if c.late > 0 {
		time.Sleep(time.Until(killedAt.Add(c.late)))
		entry["state"] = "ready"
		platform.publish(false, entry)
	}
	repeated := checkRepeats(t, platform, one, other)
	t.Logf("%d repeated", repeated)
	if c.repeats && inTime && repeated == 0 || c.never && repeated > 0 {
		t.Errorf("%d repeated", repeated)
	}
}

// nextEntry is the endpoint that the next process lists.
func (c windowCase) nextEntry(one, other *fakeEndpoint) listEntry {
	next := one
	if c.zone != "a" {
		next = other
	}
	state := "ready"
	if c.late > 0 {
		state = "draining"
	}
	return newEntry("s-2", next.addr(), c.zone, singleKind, state)
}

// checkRepeats waits until each message is repeated or has ended, and returns how many repeats there were, none of them
// past the window or in the other zone.
func checkRepeats(t *testing.T, platform *fakePlatform, one, other *fakeEndpoint) (repeated int) {
	t.Helper()
	for i := range windowMessages {
		id := fmt.Sprint("m", i)
		eventually(t, id+" repeated or ended", func() bool {
			return one.count(id) > 1 || platform.notification(id) != nil || other.count(id) > 0
		})
		arrivals := one.arrivals(id)
		for _, repeat := range arrivals[1:] {
			repeated++
			if repeat.Sub(arrivals[0]) > dedupWindow {
				t.Errorf("%s repeated %v after its first call", id, repeat.Sub(arrivals[0]))
			}
		}
		if other.count(id) > 0 {
			t.Errorf("%s repeated in the other zone", id)
		}
		if status := platform.notification(id); status != nil && status["status"] != "undeliverable" {
			t.Errorf("%s, which may have run, ended with %v", id, status)
		}
	}
	return repeated
}
