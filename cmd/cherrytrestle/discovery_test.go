package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestDrainingAndWatchResume checks that messages go to another endpoint while one is draining, even if the change of
// the list also has malformed entries. A new watch resumes at the version that the relay has. A full list removes the
// endpoints that it does not contain.
func TestDrainingAndWatchResume(t *testing.T) {
	platform := newPlatform(t)
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	better := newEntry("s-1", one.addr(), "a", singleKind, "ready")
	better["weight"] = 900.0
	r := newRelay(t, platform, []listEntry{better, newEntry("s-2", two.addr(), "a", singleKind, "ready")}, nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "m1 reaches the endpoint with the higher weight", func() bool { return one.count("m1") == 1 })
	better["state"] = "draining"
	// All entries but the first are malformed.
	platform.publish(false, better, listEntry{"id": 17}, listEntry{"id": "s-9", "state": "asleep"})
	eventually(t, "a message to the other endpoint", func() bool {
		return r.newMessageReaches(two, one)
	})
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "m2 is delivered", func() bool { return two.count("m2") == 1 })

	platform.CloseClientConnections()
	eventually(t, "a second watch", func() bool { return len(platform.watchIndexes()) > 1 })
	if indexes := platform.watchIndexes(); indexes[0] != "1" || indexes[1] != "2" {
		t.Errorf("watches resumed at versions %v, want 1 and 2", indexes)
	}
	better["state"] = "ready"
	platform.publish(true, better) // the full list lacks the other endpoint, so the relay removes it
	eventually(t, "back at the first endpoint", func() bool {
		return r.newMessageReaches(one, two)
	})
}

// TestSIGHUPMovesDiscovery changes the address of discovery twice, with a SIGHUP each time. The relay uses the old list
// until the new discovery answers, and then the new list, even if its version is lower. Notifications go to the new
// address. An unreadable configuration file changes nothing.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	unavailable := newEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	first := newPlatform(t)
	second := newPlatform(t)
	first.version = 40
	r := newRelay(t, first, one.list(singleKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "the first endpoint", func() bool { return one.count("m1") == 1 })
	const all = 1 << 30
	first.failNotifications = all
	first.publish(true, newEntry("s-3", unavailable.addr(), "a", singleKind, "ready"))
	eventually(t, "a message at the unavailable endpoint", func() bool {
		id := fmt.Sprint("unavailable-", time.Now().UnixNano())
		r.mustAccept(id, 500*time.Millisecond)
		eventually(t, id, func() bool { return one.count(id)+unavailable.count(id) > 0 })
		return unavailable.count(id) > 0
	})
	eventually(t, "a notification has failed", func() bool { return first.notificationsToFail() < all })

	second.fullList = []listEntry{newEntry("s-2", two.addr(), "a", singleKind, "ready")}
	r.reloadDiscovery(second)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "the endpoint of the new list", func() bool { return two.count("m2") == 1 })
	eventually(t, "the notification is retried", func() bool { return second.notificationCount() > 0 })

	r.reload([]byte("{"))
	drained := newEntry("s-2", two.addr(), "a", singleKind, "draining")
	second.publish(false, drained, newEntry("s-1", one.addr(), "a", singleKind, "ready"))
	r.mustAccept("m3", 10*time.Second)
	eventually(t, "messages are sent after an unreadable file", func() bool {
		return one.count("m3")+two.count("m3") == 1
	})

	first.fullList = []listEntry{newEntry("s-2", two.addr(), "a", singleKind, "ready")}
	r.reloadDiscovery(first)
	eventually(t, "the first discovery's new list is used", func() bool {
		return r.newMessageReaches(two, one)
	})
	if err := r.terminate(); err != nil {
		t.Errorf("the relay ended with an error: %v", err)
	}
}
