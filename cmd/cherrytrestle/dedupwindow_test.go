package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	dedupWindow    = time.Second // the time in which the endpoints of one zone drop repeats
	windowMessages = 6           // in flight when the relay is killed
)

// windowCase is a test case: a restart with calls in flight.
type windowCase struct {
	name         string
	downtime     time.Duration // from the kill to the next start
	zone         string        // zone of the only endpoint in the next process's list
	serviceDelay time.Duration // from the kill until that endpoint is ready; 0: ready at the start
	mustRepeat   bool          // at least one message must be repeated
	noRepeat     bool          // no message may be repeated; if neither is set, repeats are optional
}

// TestNoRepeatPastTheDedupWindow kills a relay that has calls with an idempotency key in flight. Endpoints drop
// repeats within one zone and within dedupWindow. The next process repeats messages only within this time and this
// zone. It ends all other messages and notifies the platform.
func TestNoRepeatPastTheDedupWindow(t *testing.T) {
	const past = dedupWindow + 200*time.Millisecond
	for _, c := range []windowCase{
		{name: "at once", zone: "a", mustRepeat: true},
		{name: "towards the end of the window", downtime: 600 * time.Millisecond, zone: "a"},
		{name: "past the window", downtime: past, zone: "a", noRepeat: true},
		{name: "at once, the endpoint is in service past the window", zone: "a", serviceDelay: past, noRepeat: true},
		{name: "at once, in the other zone", zone: "b", noRepeat: true},
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
		setMaxInFlightCalls(set, 40) // so that all messages are sent at once
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
	inTime := time.Since(one.arrivals("m0")[0]) < dedupWindow*2/3 // false: the machine is too slow to require a repeat
	if c.serviceDelay > 0 {
		time.Sleep(time.Until(killedAt.Add(c.serviceDelay)))
		entry["state"] = "ready"
		platform.publish(false, entry)
	}
	repeated := checkRepeats(t, platform, one, other)
	t.Logf("%d repeats", repeated)
	if c.mustRepeat && inTime && repeated == 0 || c.noRepeat && repeated > 0 {
		t.Errorf("%d repeats; required: %t, forbidden: %t", repeated, c.mustRepeat, c.noRepeat)
	}
}

// nextEntry returns the only entry of the next process's endpoint list.
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

// checkRepeats waits until each message has been repeated or has ended. It checks that no repeat came after the
// window or reached the other zone, and returns the number of repeats.
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
