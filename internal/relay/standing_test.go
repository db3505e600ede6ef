package relay

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// With no room for bodies in memory they are read from the journal as they are sent; a message whose body the disk no
// longer gives ends with a notice, and the loop goes on.
func TestBodiesLeftOnDisk(t *testing.T) {
	cfg := newTestRelay(t).cfg
	cfg.StateDir, cfg.Operator.Journal.MaxBodiesMB = t.TempDir(), 1.0/(1<<20) // a byte
	r, err := New(cfg, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = t.Context()
	r.recoverState()
	t.Cleanup(func() { r.egress.Close(); r.calls.Wait() })
	in := newHandIn("m1", 7, 5*time.Second)
	in.message.Body = []byte("a body on disk")
	decide(r, in)
	m := r.messages[in.message.ID]
	if m.Body != nil || m.Size() != 14 || len(r.activeCalls) != 1 {
		t.Fatalf("body %q of %d, %d calls", m.Body, m.Size(), len(r.activeCalls))
	}
	for c := range r.activeCalls {
		if string(c.attempts[0].Body) != "a body on disk" {
			t.Errorf("sent %q", c.attempts[0].Body)
		}
	}
	paths, _ := filepath.Glob(filepath.Join(journal.Folder(cfg.StateDir), "*.seg"))
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	data[bytes.Index(data, []byte("body on disk"))] ^= 1
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	if calls := r.addToCalls(nil, m, &policy.Action{Kind: policy.Send, MessageID: m.ID, Endpoint: "s-1", TimeoutAt: time.Minute}); len(
		calls,
	) != 0 {
		t.Error("sent without its body")
	}
	if len(r.finals.Pending()) != 1 || r.finals.Pending()[0].Status != "undeliverable" || r.pending != 0 || !m.completed {
		t.Errorf("notices %+v, held %d", r.finals.Pending(), r.pending)
	}
	if a := decide(r, newHandIn("m2", 7, 5*time.Second))[0]; a.Status != 202 {
		t.Errorf("afterwards: %+v", a)
	}
}
