package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/policy"
)

// TestRetryAfterOutlastsTheProcess kills a relay after an endpoint has answered with a Retry-After. The next process
// does not call the endpoint before the Retry-After has passed.
func TestRetryAfterOutlastsTheProcess(t *testing.T) {
	var reject atomic.Bool
	reject.Store(true)
	endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if reject.Load() {
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
	time.Sleep(400 * time.Millisecond) // the relay stores the Retry-After within 250 ms
	reject.Store(false)
	r.kill()
	r.start(platform)
	r.mustAccept("m2", 10*time.Second)
	eventually(t, "both are delivered", func() bool { return endpoint.count("m1") == 2 && endpoint.count("m2") == 1 })
	if d := time.Since(rejectedAt); d < 2200*time.Millisecond {
		t.Errorf("the messages were sent %v after a Retry-After of 2.4 s", d)
	}
}

// TestLegacyLogIsMigrated starts a relay with a message in the log file of an earlier version. The message is
// delivered, and the log file is removed.
func TestLegacyLogIsMigrated(t *testing.T) {
	endpoint := newEndpoint(t, nil)
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.kill()
	state := relayprocess.StateFolder(r.dir)
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
	must(t, log.Close())
	r.start(platform)
	eventually(t, "delivered", func() bool { return endpoint.count("old") == 1 })
	if _, err := os.Stat(filepath.Join(state, "wal.log")); !os.IsNotExist(err) {
		t.Errorf("wal.log was not removed: %v", err)
	}
}

// fillJournal writes messages into a relay's journal until its disk limit is reached. It returns the number of
// messages.
func fillJournal(t testing.TB, r *relayProcess, diskMB float64, bodyBytes int) (written int) {
	t.Helper()
	j, _, err := journal.OpenFolder(relayprocess.StateFolder(r.dir), journal.Options{Limit: int64(diskMB * 1e6)})
	must(t, err)
	for {
		m := &journal.Message{
			ID:             policy.MessageID(written + 1),
			TraceID:        fmt.Sprint("m", written),
			IdempotencyKey: "k",
			ClassName:      "order",
			Destination:    7,
			Body:           make([]byte, bodyBytes),
			Deadline:       time.Now().Add(14 * time.Second),
		}
		err := j.Accept(m)
		if errors.Is(err, journal.ErrFull) {
			break
		}
		must(t, err)
		written++
	}
	releaseLock(t, j, filepath.Join(relayprocess.StateFolder(r.dir), "journal", "lock"))
	return written
}

// TestTerminatedInRecovery sends SIGTERM at different times after the start of a relay with a full journal. The relay
// ends within maxShutdownTime, and no message is lost.
func TestTerminatedInRecovery(t *testing.T) {
	for _, delayMS := range []int{0, 2, 5, 10, 20, 60} {
		after := time.Duration(delayMS) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, nil)
			r := prepareRelay(t, endpoint.list(batchKind, "draining"), nil)
			n := fillJournal(t, r, 3, 2000)
			for range 2 {
				r.launch(platform)
				time.Sleep(after) // before, during or after the recovery
				began := time.Now()
				err := r.terminate()
				if took := time.Since(began); took > maxShutdownTime {
					t.Errorf("the relay took %v to end, want at most %v", took, maxShutdownTime)
				}
				if !endedBySignal(err) { // the signal may arrive before the process catches it
					must(t, err)
				}
			}
			j, found, err := journal.OpenFolder(relayprocess.StateFolder(r.dir), journal.Options{Limit: 3e6})
			must(t, err)
			defer closeQuietly(j)
			if len(found.Messages) != n || !found.Intact() {
				t.Errorf("the journal has %d messages of %d, intact %v", len(found.Messages), n, found.Intact())
			}
		})
	}
}
