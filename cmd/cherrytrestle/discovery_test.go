package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestDrainingAndWatchResume(t *testing.T) {
	platform := newPlatform(t)
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	better := newEntry("s-1", one.addr(), "a", singleKind, "ready")
	better["weight"] = 900.0
	r := newRelay(t, platform, []listEntry{better, newEntry("s-2", two.addr(), "a", singleKind, "ready")}, nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "the better endpoint", func() bool { return one.count("m1") == 1 })
	better["state"] = "draining"
	// All entries but the first are malformed.
	platform.publish(false, better, listEntry{"id": 17}, listEntry{"id": "s-9", "state": "asleep"})
	eventually(t, "a message to the other endpoint", func() bool {
		id := fmt.Sprint("m", time.Now().UnixNano())
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return one.count(id)+two.count(id) == 1 })
		return two.count(id) == 1
	})
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "m2", func() bool { return two.count("m2") == 1 })

	platform.CloseClientConnections()
	eventually(t, "a second watch", func() bool { return len(platform.watchIndexes()) > 1 })
	if platform.indexes[0] != "1" || platform.indexes[1] != "2" {
		t.Errorf("watches from %v", platform.indexes)
	}
	better["state"] = "ready"
	platform.publish(true, better) // the other is missing: it is removed
	eventually(t, "back at the first endpoint", func() bool {
		id := fmt.Sprint("n", time.Now().UnixNano())
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return one.count(id)+two.count(id) == 1 })
		return one.count(id) == 1
	})
}

// SIGHUP moves the relay to the discovery that the file names, again and again. Versions may go back, notifications
// follow, the old list is used until the new discovery answers, and an unreadable file changes nothing.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	shut := newEndpoint(t, answerStatus(http.StatusServiceUnavailable))
	first := newPlatform(t)
	second := newPlatform(t)
	first.version = 40
	r := newRelay(t, first, one.list(singleKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "the first endpoint", func() bool { return one.count("m1") == 1 })
	const many = 1 << 30
	first.failNotifications = many // its notifications are not acknowledged
	first.publish(true, newEntry("s-3", shut.addr(), "a", singleKind, "ready"))
	eventually(t, "a message at the unavailable endpoint", func() bool {
		id := fmt.Sprint("full", time.Now().UnixNano())
		r.mustAccept(id, 500*time.Millisecond)
		eventually(t, id, func() bool { return one.count(id)+shut.count(id) > 0 })
		return shut.count(id) > 0
	})
	eventually(t, "a notification under way", func() bool { return first.notificationsToFail() < many })

	hup := func(platform *fakePlatform) {
		t.Helper()
		r.config["discovery"] = platform.Listener.Addr().String()
		r.writeConfig()
		must(t, r.cmd.Process.Signal(syscall.SIGHUP))
	}
	second.fullList = []listEntry{newEntry("s-2", two.addr(), "a", singleKind, "ready")}
	hup(second)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "the endpoint of the new list", func() bool { return two.count("m2") == 1 })
	eventually(t, "the notification that was under way", func() bool { return second.notificationCount() > 0 })

	must(t, os.WriteFile(filepath.Join(r.dir, "config.json"), []byte("{"), 0o600))
	must(t, r.cmd.Process.Signal(syscall.SIGHUP))
	drained := newEntry("s-2", two.addr(), "a", singleKind, "draining")
	second.publish(false, drained, newEntry("s-1", one.addr(), "a", singleKind, "ready"))
	r.mustAccept("m3", 10*time.Second)
	eventually(t, "the watch goes on after an unreadable file", func() bool {
		return one.count("m3")+two.count("m3") == 1
	})

	first.fullList = []listEntry{newEntry("s-2", two.addr(), "a", singleKind, "ready")}
	hup(first)
	eventually(t, "back at the first", func() bool {
		id := fmt.Sprint("back", time.Now().UnixNano())
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return one.count(id)+two.count(id) == 1 })
		return two.count(id) == 1
	})
	if err := r.terminate(); err != nil {
		t.Errorf("ended: %v", err)
	}
}
