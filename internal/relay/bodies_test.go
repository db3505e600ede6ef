package relay

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Bodies beyond the memory limit are read from the journal when they are sent. A message whose body cannot be read
// fails with a notification, and the relay goes on accepting messages.
func TestBodiesAreReadFromDisk(t *testing.T) {
	cfg := newTestConfig(t)
	cfg.Operator.Journal.MaxBodiesMB = 1.0 / (1 << 20) // one byte
	r := newTestRelayWith(t, cfg)
	in := newSubmission("m1", 7, 5*time.Second)
	in.message.Body = []byte("a body on disk")
	submitAll(r, in)
	m := r.messages[in.message.ID]
	if m.Body != nil || m.Size() != 14 || len(r.activeCalls) != 1 {
		t.Fatalf("body in memory %q, size %d, %d calls, want none, 14 and 1", m.Body, m.Size(), len(r.activeCalls))
	}
	for c := range r.activeCalls {
		if string(c.attempts[0].Body) != "a body on disk" {
			t.Errorf("sent body %q", c.attempts[0].Body)
		}
	}
	corruptBody(t, cfg.StateDir, "body on disk", 1)
	send := policy.Action{Kind: policy.Send, MessageID: m.ID, Endpoint: "s-1", TimeoutAt: time.Minute}
	if calls := r.addToCalls(nil, m, &send); len(calls) != 0 {
		t.Error("a message with an unreadable body was added to a call")
	}
	notifications := r.notifier.Pending()
	if len(notifications) != 1 || notifications[0].Status != "undeliverable" || r.pending != 0 || !m.completed() {
		t.Errorf("notifications %+v, %d pending, want one undeliverable and none pending", notifications, r.pending)
	}
	if a := submitAll(r, newSubmission("m2", 7, 5*time.Second))[0]; a.Status != 202 {
		t.Errorf("next submission: answer %+v, want status 202", a)
	}
}

// corruptBody changes a byte of the nth body with a text in the journal of a folder, from 1 on.
func corruptBody(t *testing.T, folder, text string, n int) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(journal.Folder(folder), "*.seg"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no segments: %v", err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	at := 0
	for range n {
		at += bytes.Index(data[at:], []byte(text)) + 1
	}
	data[at] ^= 1
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
}
