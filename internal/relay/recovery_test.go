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

// A damaged journal may lack records of sends. Only the messages to which the lost records may have belonged fail,
// and they are not sent again. Messages that were accepted after the damaged place continue.
func TestDamagedJournalRepeatsNothing(t *testing.T) {
	r := newTestRelay(t)
	addr := serveClients(t, r)
	for i := range 200 { // fill several blocks of the store: damage in the last block would look like a torn write
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
	if m := again.messagesByTrace["m299"]; again.pending < 10 || m == nil || m.completed() {
		t.Errorf("%d pending: messages that were accepted after the damaged place must continue", again.pending)
	}
}

// The wall clock is set back between two processes. A message that may have run is not sent again, because it is
// unknown how long its endpoint still recognizes duplicates. A message that never ran continues, with no more time
// left than its class allows.
func TestWallClockSetBack(t *testing.T) {
	for _, setBack := range []time.Duration{0, time.Minute} {
		r := newTestRelay(t)
		acceptedAt := time.Now().Add(setBack)
		class := r.cfg.Settings.Classes[0]
		ran := &journal.Message{
			ID:                1,
			TraceID:           "ran",
			IdempotencyKey:    "k",
			OrderingKey:       "a",
			Terms:             firstTerms(&r.cfg),
			Destination:       7,
			Deadline:          acceptedAt.Add(10 * time.Second),
			Attempts:          1,
			UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", ZoneName: "a", SentAt: acceptedAt}},
		}
		untried := &journal.Message{
			ID:             2,
			TraceID:        "untried",
			IdempotencyKey: "k",
			OrderingKey:    "b",
			Terms:          firstTerms(&r.cfg),
			Destination:    7,
			Deadline:       acceptedAt.Add(class.Deadline),
		}
		if err := r.journal.Accept(ran, untried); err != nil {
			t.Fatal(err)
		}
		r.recovery = &journal.Recovery{Messages: []*journal.Message{ran, untried}, Store: &store.Recovery{}}
		if left := r.acceptedEvent(&message{Message: untried}).TimeLeft; left > class.Deadline {
			t.Errorf("clock set back by %v: %v left, want at most %v", setBack, left, class.Deadline)
		}
		r.recoverState()
		notifications := r.notifier.Pending()
		failed := len(notifications) == 1 && notifications[0].TraceID == "ran"
		if failed != (setBack > 0) || r.messages[2] == nil || r.messages[2].completed() {
			t.Errorf("clock set back by %v: notifications %+v", setBack, notifications)
		}
		r.calls.Wait()
	}
}

// reopen closes a relay's journal, and opens it as a process would that starts at now.
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

// The wall clock is set while no process runs. A message that was sent longer ago than its deduplication window is
// not sent again, and one that was sent within the window is. Both keep the time that they really have left. All
// these times are measured by the boot clock.
func TestDedupWindowFollowsTheBootClock(t *testing.T) {
	for _, clockStep := range []time.Duration{0, -7 * time.Second, -time.Hour, 7 * time.Second, time.Hour} {
		r := newTestRelay(t)
		now := bootclock.Now()
		if now.BootID == "" {
			now.BootID = "a boot"
		}
		class := r.cfg.Settings.Classes[0]
		downtime := class.DedupWindow / 2
		// The clocks at the end of the earlier process. Since then the wall clock was set forward by clockStep.
		ended := bootclock.Reading{
			Wall:   now.Wall.Add(-downtime - clockStep),
			BootID: now.BootID,
			Uptime: now.Uptime - downtime,
		}
		reopen(t, r, ended)
		for id, sent := range map[policy.MessageID]time.Duration{1: downtime + time.Second, 2: downtime - time.Second} {
			m := &journal.Message{
				ID:             id,
				TraceID:        fmt.Sprint("m", id),
				IdempotencyKey: "k",
				OrderingKey:    fmt.Sprint(id),
				Terms:          firstTerms(&r.cfg),
				Destination:    7,
				Deadline:       ended.Wall.Add(downtime + 9*time.Second),
			}
			if err := r.journal.Accept(m); err != nil {
				t.Fatal(err)
			}
			attempt := journal.Attempt{Endpoint: "s-1", ZoneName: "a", SentAt: ended.Wall.Add(-sent)}
			if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: attempt}); err != nil {
				t.Fatal(err)
			}
		}
		r.recovery = reopen(t, r, now)
		if d := (r.recovery.ClockStep - clockStep).Abs(); d > time.Millisecond {
			t.Errorf("clock step %v: measured as %v", clockStep, r.recovery.ClockStep)
		}
		for _, m := range r.recovery.Messages {
			if left := time.Until(m.Deadline); left < 8*time.Second || left > 9*time.Second {
				t.Errorf("clock step %v: %v left, want 8 s to 9 s", clockStep, left)
			}
		}
		r.recoverState()
		notifications := r.notifier.Pending()
		failed := len(notifications) == 1 && notifications[0].TraceID == "m1"
		if !failed || r.messages[2] == nil || r.messages[2].completed() {
			t.Errorf("clock step %v: notifications %+v", clockStep, notifications)
		}
		r.calls.Wait()
	}
}

// The machine was rebooted while a call was in flight, and its wall clock was set. A message that may have run is
// not sent again, whatever the wall clock reads, because it is unknown how long its endpoint still recognizes
// duplicates. This also holds for the second process after the reboot.
func TestNewBootRepeatsNothingThatMayHaveRun(t *testing.T) {
	for _, clockStep := range []time.Duration{0, -7 * time.Second, 7 * time.Second} {
		r := newTestRelay(t)
		now := bootclock.Now()
		ended := bootclock.Reading{Wall: now.Wall.Add(-6*time.Second - clockStep), BootID: "before", Uptime: time.Hour}
		later := bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 6 * time.Second}
		reopen(t, r, ended)
		m := &journal.Message{
			ID:             1,
			TraceID:        "m1",
			IdempotencyKey: "k",
			OrderingKey:    "1",
			Terms:          firstTerms(&r.cfg),
			Destination:    7,
			Deadline:       ended.Wall.Add(15 * time.Second),
		}
		if err := r.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		attempt := journal.Attempt{Endpoint: "s-1", ZoneName: "a", SentAt: ended.Wall.Add(time.Second)}
		if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: attempt}); err != nil {
			t.Fatal(err)
		}
		reopen(t, r, bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 5 * time.Second})
		r.recovery = reopen(t, r, later)
		if len(r.recovery.Messages) != 1 {
			t.Fatalf("%d messages recovered, want 1", len(r.recovery.Messages))
		}
		r.recoverState()
		if len(r.notifier.Pending()) != 1 || r.notifier.Pending()[0].TraceID != "m1" {
			t.Errorf("clock step %v: notifications %+v", clockStep, r.notifier.Pending())
		}
		r.calls.Wait()
	}
}

// A restarted process may be unable to determine how long ago a message ran. It then assumes that the message is
// outside any deduplication window, even one of more than a day.
func TestUndatedAttemptIsOutsideAnyWindow(t *testing.T) {
	r := newTestRelay(t)
	for _, window := range []time.Duration{0, time.Second, 72 * time.Hour} {
		r.cfg.Settings.Classes[0].DedupWindow = window
		m := &message{
			Message: &journal.Message{
				Terms:             firstTerms(&r.cfg),
				Deadline:          time.Now(),
				Attempts:          1,
				UncertainAttempts: []journal.Attempt{{SentAt: time.Now(), Undated: true}},
			},
		}
		if since := r.recoveredEvent(m).Recovered.SinceFirstRun; since < max(unknownRunAge, window) {
			t.Errorf("window %v: assumed to have run %v ago", window, since)
		}
	}
}
