package relay

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A damaged journal may lack sends. The messages that they may belong to fail and are not repeated, and no others: what
// was accepted behind the damage goes on.
func TestDamagedJournalRepeatsNothing(t *testing.T) {
	r := newTestRelay(t)
	addr := serveClients(t, r)
	for i := range 200 { // over several blocks of the store: damage in the last one looks like a torn write
		submit(t, r, addr, fmt.Sprint("m", 100+i))
	}
	if err := r.journal.Close(); err != nil {
		t.Fatal(err)
	}
	folder := journal.Folder(r.cfg.StateDir)
	paths, err := filepath.Glob(filepath.Join(folder, "*.seg"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("%v, %v", paths, err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	data[strings.Index(string(data), "m110")] ^= 0x55
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := New(r.cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	again.callCtx = t.Context()
	again.recoverState()
	t.Cleanup(func() { again.calls.Wait() })
	failed := map[string]bool{}
	for _, n := range again.notifier.Pending() {
		failed[n.TraceID] = n.Status == "undeliverable"
	}
	if !failed["m100"] || !failed["m109"] || failed["m299"] {
		t.Errorf("notifications %+v", again.notifier.Pending())
	}
	if m := again.messagesByTrace["m299"]; again.pending < 10 || m == nil || m.completed {
		t.Errorf("%d pending: what stands behind the damage is to go on", again.pending)
	}
}

// With the clock set back between two processes a message that may have run is not repeated: how long its endpoint
// recognizes duplicates is unknown. One that never ran goes on, with no more time than its class gives.
func TestWallClockSetBack(t *testing.T) {
	for _, back := range []time.Duration{0, time.Minute} {
		r := newTestRelay(t)
		at := time.Now().Add(back)
		class := r.cfg.Settings.Classes[0]
		ran := &journal.Message{
			ID:                1,
			TraceID:           "ran",
			IdempotencyKey:    "k",
			OrderingKey:       "a",
			Destination:       7,
			Deadline:          at.Add(10 * time.Second),
			Attempts:          1,
			UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", SentAt: at}},
		}
		untried := &journal.Message{
			ID:             2,
			TraceID:        "untried",
			IdempotencyKey: "k",
			OrderingKey:    "b",
			Destination:    7,
			Deadline:       at.Add(class.Deadline),
		}
		if err := r.journal.Accept(ran, untried); err != nil {
			t.Fatal(err)
		}
		r.recovery = &journal.Recovery{Messages: []*journal.Message{ran, untried}, Store: &store.Recovery{}}
		if left := r.acceptedEvent(&message{Message: untried}).TimeLeft; left > class.Deadline {
			t.Errorf("back by %v: %v left", back, left)
		}
		r.recoverState()
		notifications := r.notifier.Pending()
		failed := len(notifications) == 1 && notifications[0].TraceID == "ran"
		if failed != (back > 0) || r.messages[2] == nil || r.messages[2].completed {
			t.Errorf("back by %v: notifications %+v", back, notifications)
		}
		r.calls.Wait()
	}
}

// reopen opens a relay's journal as a process would that begins at now.
func reopen(t *testing.T, r *Relay, now bootclock.Reading) *journal.Recovery {
	t.Helper()
	if err := r.journal.Close(); err != nil {
		t.Fatal(err)
	}
	options := r.cfg.Operator.Journal.Options(3e6)
	options.Clock = func() bootclock.Reading { return now }
	j, found, err := journal.OpenFolder(r.cfg.StateDir, options)
	if err != nil {
		t.Fatal(err)
	}
	r.journal = j
	return found
}

// The wall clock is set while no process runs. A message that was sent before its deduplication window is not repeated,
// one sent within it is, and each keeps the time that it really has left, as the boot clock measures it.
func TestDedupWindowFollowsTheBootClock(t *testing.T) {
	for _, step := range []time.Duration{0, -7 * time.Second, -time.Hour, 7 * time.Second, time.Hour} {
		r := newTestRelay(t)
		now := bootclock.Now()
		if now.BootID == "" {
			now.BootID = "a boot"
		}
		class := r.cfg.Settings.Classes[0]
		away := class.DedupWindow / 2
		// The process before: it ran until away ago, when the wall clock was step ahead of what it is now.
		was := bootclock.Reading{Wall: now.Wall.Add(-away - step), BootID: now.BootID, Uptime: now.Uptime - away}
		reopen(t, r, was)
		for id, sent := range map[policy.MessageID]time.Duration{1: away + time.Second, 2: away - time.Second} {
			m := &journal.Message{
				ID:             id,
				TraceID:        fmt.Sprint("m", id),
				IdempotencyKey: "k",
				OrderingKey:    fmt.Sprint(id),
				Destination:    7,
				Deadline:       was.Wall.Add(away + 9*time.Second),
			}
			if err := r.journal.Accept(m); err != nil {
				t.Fatal(err)
			}
			attempt := journal.Attempt{Endpoint: "s-1", SentAt: was.Wall.Add(-sent)}
			if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: attempt}); err != nil {
				t.Fatal(err)
			}
		}
		r.recovery = reopen(t, r, now)
		if d := (r.recovery.ClockStep - step).Abs(); d > time.Millisecond {
			t.Errorf("step %v: taken for %v", step, r.recovery.ClockStep)
		}
		for _, m := range r.recovery.Messages {
			if left := time.Until(m.Deadline); left < 8*time.Second || left > 9*time.Second {
				t.Errorf("step %v: %v left of 9 s", step, left)
			}
		}
		r.recoverState()
		notifications := r.notifier.Pending()
		failed := len(notifications) == 1 && notifications[0].TraceID == "m1"
		if !failed || r.messages[2] == nil || r.messages[2].completed {
			t.Errorf("step %v: notifications %+v", step, notifications)
		}
		r.calls.Wait()
	}
}

// The machine was rebooted while a call was in flight, and its clock set: whatever the wall clock says, what may have
// run is not repeated, since nobody can tell how long its endpoint recognizes duplicates. The same holds for the second
// process of the new boot.
func TestNewBootRepeatsNothingThatMayHaveRun(t *testing.T) {
	for _, step := range []time.Duration{0, -7 * time.Second, 7 * time.Second} {
		r := newTestRelay(t)
		now := bootclock.Now()
		was := bootclock.Reading{Wall: now.Wall.Add(-6*time.Second - step), BootID: "before", Uptime: time.Hour}
		later := bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 6 * time.Second}
		reopen(t, r, was)
		m := &journal.Message{
			ID:             1,
			TraceID:        "m1",
			IdempotencyKey: "k",
			OrderingKey:    "1",
			Destination:    7,
			Deadline:       was.Wall.Add(15 * time.Second),
		}
		if err := r.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		attempt := journal.Attempt{Endpoint: "s-1", SentAt: was.Wall.Add(time.Second)}
		if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: attempt}); err != nil {
			t.Fatal(err)
		}
		reopen(t, r, bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 5 * time.Second})
		r.recovery = reopen(t, r, later)
		if len(r.recovery.Messages) != 1 {
			t.Fatalf("%d messages", len(r.recovery.Messages))
		}
		r.recoverState()
		if len(r.notifier.Pending()) != 1 || r.notifier.Pending()[0].TraceID != "m1" {
			t.Errorf("step %v: notifications %+v", step, r.notifier.Pending())
		}
		r.calls.Wait()
	}
}

// A restart that cannot tell how long ago a message ran takes it for longer than any window, also one of more than a
// day.
func TestUndatedAttemptIsOutsideAnyWindow(t *testing.T) {
	r := newTestRelay(t)
	for _, window := range []time.Duration{0, time.Second, 72 * time.Hour} {
		r.activeConfig.Settings.Classes[0].DedupWindow = window
		m := &message{
			Message: &journal.Message{
				Deadline:          time.Now(),
				Attempts:          1,
				UncertainAttempts: []journal.Attempt{{SentAt: time.Now(), Undated: true}},
			},
		}
		if ago := r.recoveredEvent(m).Recovered.SinceFirstRun; ago < max(unknownRunAge, window) {
			t.Errorf("window %v: ran %v ago", window, ago)
		}
	}
}
