package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	dedupWindow    = time.Second
	windowMessages = 6
)

// windowCase is a restart with calls in flight.
type windowCase struct {
	name         string
	downtime     time.Duration // from the kill to the next start
	zone         string        // of the endpoint that the next process lists
	serviceDelay time.Duration // from the kill until that endpoint is in service; 0: it is from the start
	repeats      bool          // messages must be repeated
	never        bool          // no message may be repeated; with neither field set, both are allowed
}

// TestNoRepeatPastTheDedupWindow kills a relay that has calls with a key in flight. Endpoints drop repeats within one
// zone, for a second. The next process repeats the messages only within that time and in that zone, and notifies the
// platform of the end of the others.
func TestNoRepeatPastTheDedupWindow(t *testing.T) {
	const past = dedupWindow + 200*time.Millisecond
	for _, c := range []windowCase{
		{name: "at once", zone: "a", repeats: true},
		{name: "towards the end of the window", downtime: 600 * time.Millisecond, zone: "a"},
		{name: "past the window", downtime: past, zone: "a", never: true},
		{name: "at once, the endpoint is in service past the window", zone: "a", serviceDelay: past, never: true},
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
		orderClass(set)["repeat_window_ms"] = dedupWindow.Milliseconds()
		setMaxInFlightCalls(set, 40) // so that all are sent
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
	r.setKnown(2, entry)
	time.Sleep(c.downtime)
	r.start(platform)
	inTime := time.Since(one.arrivals("m0")[0]) < dedupWindow*2/3 // otherwise the machine is too slow for this case
	if c.serviceDelay > 0 {
		time.Sleep(time.Until(killedAt.Add(c.serviceDelay)))
		entry["state"] = "ready"
		platform.publish(false, entry)
	}
	repeated := checkRepeats(t, platform, one, other)
	t.Logf("%d repeated", repeated)
	if c.repeats && inTime && repeated == 0 || c.never && repeated > 0 {
		t.Errorf("%d repeated", repeated)
	}
}

// nextEntry returns the entry of the endpoint that the next process lists.
func (c windowCase) nextEntry(one, other *fakeEndpoint) listEntry {
	next := one
	if c.zone != "a" {
		next = other
	}
	state := "ready"
	if c.serviceDelay > 0 {
		state = "draining"
	}
	return newEntry("s-2", next.addr(), c.zone, singleKind, state)
}

// checkRepeats waits until each message is repeated or has ended, checks that no repeat is past the window or in the
// other zone, and returns the number of repeats.
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
