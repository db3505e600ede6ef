package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// successorOf returns a relay that has restored the state of another one; edit may change that.
func successorOf(t *testing.T, old *Relay, edit func(*hotrestart.State)) *Relay {
	t.Helper()
	s := old.exportState()
	edit(s)
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(old.cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = old.callCtx
	t.Cleanup(func() { r.egress.Close() })
	r.restoreState(s)
	return r
}

// outcomeOf is the outcome of a message's first attempt, whose call has ended.
func outcomeOf(outcome policy.Outcome, messageID policy.MessageID, retryAfter time.Duration) remoteOutcome {
	return remoteOutcome{
		ID:           messageID,
		Outcome:      outcome,
		RetryAfter:   retryAfter,
		Latency:      10 * time.Millisecond,
		CallFinished: true,
	}
}

// Whether the policy's state can be read or not: what is in flight at the predecessor is not sent again before its
// outcome, and that binds: a delivery ends the message, a Retry-After delays the next attempt, and an attempt without
// an outcome may have run.
func TestTakeOverWithAttemptsInFlight(t *testing.T) {
	forms := map[string]func(*hotrestart.State){
		"the same form": func(*hotrestart.State) {},
		"another form":  func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	}
	for name, edit := range forms {
		t.Run(name, func(t *testing.T) {
			r, ids := takeOverThreeAttempts(t, edit)
			r.step([]event{tick{}})
			if len(r.activeCalls) != 0 {
				t.Fatal("sent again with the outcome still to come")
			}
			r.step([]event{outcomeOf(policy.OK, ids[0], 0)})
			if r.messages[ids[0]] != nil || r.pending != 2 {
				t.Errorf("delivered there, not completed here: pending %d", r.pending)
			}
			r.step([]event{outcomeOf(policy.Overloaded, ids[1], 5*time.Second)})
			views, _ := r.engine.Views()
			if len(r.activeCalls) != 0 || len(views) != 1 || views[0].RetryAfterUntil < r.now()+4*time.Second {
				t.Errorf("Retry-After does not bind: %d calls, %+v", len(r.activeCalls), views)
			}
			r.step([]event{predecessorGone{}})
			checkAbandoned(t, r, ids[1], ids[2])
			response := submitAll(r, newSubmission("m3", 7, 9*time.Second))[0]
			if response.Status != http.StatusAccepted || r.pending != 2 {
				t.Errorf("submitted again: %+v, pending %d", response, r.pending)
			}
		})
	}
}

// takeOverThreeAttempts returns the successor of a relay with three messages, an attempt of each in flight, and the
// ids of these.
func takeOverThreeAttempts(t *testing.T, edit func(*hotrestart.State)) (*Relay, []policy.MessageID) {
	t.Helper()
	old := newTestRelay(t)
	var submissions []*submitEvent
	for _, key := range []string{"a", "b", "c"} {
		submission := newSubmission(fmt.Sprint("m", len(submissions)+1), 7, 9*time.Second)
		submission.message.ClassName = "order"
		submission.message.OrderingKey = key
		submissions = append(submissions, submission)
	}
	submitAll(old, submissions...)
	if len(old.activeCalls) != 3 {
		t.Fatalf("%d calls in flight", len(old.activeCalls))
	}
	var ids []policy.MessageID
	for _, submission := range submissions {
		ids = append(ids, submission.message.ID)
	}
	r := successorOf(t, old, edit)
	if len(r.remoteAttempts) != 3 || r.pending != 3 || len(r.activeCalls) != 0 {
		t.Fatalf("remote %d, pending %d, calls %d", len(r.remoteAttempts), r.pending, len(r.activeCalls))
	}
	return r, ids
}

// checkAbandoned checks that the attempt of one message counts as one that may have run, and that of another, which was
// rejected, does not.
func checkAbandoned(t *testing.T, r *Relay, rejected, abandoned policy.MessageID) {
	t.Helper()
	if len(r.remoteAttempts) != 0 || len(r.messages[rejected].UncertainAttempts) != 0 {
		t.Errorf("%d remote attempts; rejected: %+v", len(r.remoteAttempts), r.messages[rejected])
	}
	m := r.messages[abandoned]
	if m == nil || m.completed || m.inFlight != 0 || len(m.UncertainAttempts) != 1 {
		t.Errorf("without an outcome: %+v", m)
	}
}

// A process that takes over is ready only once its predecessor knows of it: told to end before that, the predecessor
// would end without handing over, and its clients' connections with it.
func TestReadyOnlyAfterWelcome(t *testing.T) {
	dir := t.TempDir()
	l, err := hotrestart.Listen(filepath.Join(dir, "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := &Relay{log: discardLog()}
	if r.predecessor, err = hotrestart.Dial(filepath.Join(dir, "s")); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	first := hotrestart.NewConn(accepted)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.takeOver(ctx) }()
	if f, err := first.Receive(); err != nil || f.Hello == nil {
		t.Fatalf("%+v, %v", f, err)
	}
	if r.awaitingHandover.Load() {
		t.Error("ready before it is welcome")
	}
	if err := first.Send(hotrestart.Frame{Welcome: true}); err != nil {
		t.Fatal(err)
	}
	for !r.awaitingHandover.Load() { // the test's own time limit ends what never comes
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; !errors.Is(err, errTerminated) {
		t.Errorf("terminated: %v", err)
	}
}

// A message whose end could not be written to the journal does not come back with it.
func TestTakeOverOfAnEndThatIsNotInTheJournal(t *testing.T) {
	old := newTestRelay(t)
	submission := newSubmission("m1", 7, 9*time.Second)
	submitAll(old, submission)
	r := successorOf(t, old, func(s *hotrestart.State) {
		s.Messages = nil
		s.Attempts = nil
	})
	if len(r.messages) != 0 || r.pending != 0 || r.journal.Tracks(submission.message) {
		t.Errorf("pending %d, %v", r.pending, r.messages)
	}
}
