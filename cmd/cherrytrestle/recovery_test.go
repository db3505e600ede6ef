package main

import (
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
)

// A Retry-After that the killed process received binds the next one.
func TestRetryAfterOutlastsTheProcess(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if refuse.Load() {
			w.Header().Set("Retry-After", "2.4")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		writeStates(w, ids, "ok")
	})
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(batchKind, "ready"), nil)
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "a Retry-After", func() bool { return endpoint.count("m1") == 1 })
	rejectedAt := time.Now()
	time.Sleep(400 * time.Millisecond) // it is stored within 250 ms
	refuse.Store(false)
	r.kill()
	r.start(platform)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "both are delivered", func() bool { return endpoint.count("m1") == 2 && endpoint.count("m2") == 1 })
	if d := time.Since(rejectedAt); d < 2200*time.Millisecond {
		t.Errorf("sent %v after a Retry-After of 2.4 s", d)
	}
}

// Messages in the legacy log of an earlier program are delivered by this one, and the log is removed.
func TestLegacyLogIsMigrated(t *testing.T) {
	endpoint := newEndpoint(t, nil)
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.kill()
	state := filepath.Join(r.dir, "state")
	must(t, os.RemoveAll(state))
	must(t, os.Mkdir(state, 0o700))
	log, _, err := legacylog.Open(state, 3e6)
	must(t, err)
	must(t, log.Accept(&legacylog.Message{
		ID:             7,
		TraceID:        "old",
		IdempotencyKey: "k",
		Destination:    7,
		Deadline:       time.Now().Add(10 * time.Second),
		Body:           []byte("body"),
	}))
	must(t, closeForChild(log))
	r.start(platform)
	eventually(t, "delivered", func() bool { return endpoint.count("old") == 1 })
	if _, err := os.Stat(filepath.Join(state, "wal.log")); !os.IsNotExist(err) {
		t.Errorf("the log is still there: %v", err)
	}
}
