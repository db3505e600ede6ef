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

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// successorOf returns a relay that has restored the state of old. edit may change the state before it is restored.
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

// outcomeOf returns the outcome of a message's first attempt, whose call has ended.
func outcomeOf(outcome policy.Outcome, messageID policy.MessageID, retryAfter time.Duration) predecessorOutcome {
	return predecessorOutcome{
		ID:           messageID,
		Outcome:      outcome,
		RetryAfter:   retryAfter,
		Latency:      10 * time.Millisecond,
		CallFinished: true,
	}
}

// Attempts are in flight at the predecessor when it hands over. Their messages are not sent again before the
// outcomes are known, whether or not the successor can read the policy's state. The outcomes then take effect: a
// delivery ends the message, a Retry-After delays the next attempt, and an attempt without an outcome counts as one
// that may have run.
func TestTakeOverWithAttemptsInFlight(t *testing.T) {
	edits := map[string]func(*hotrestart.State){
		"known snapshot format":   func(*hotrestart.State) {},
		"unknown snapshot format": func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	}
	for name, edit := range edits {
		t.Run(name, func(t *testing.T) {
			r, ids := takeOverThreeAttempts(t, edit)
			r.step([]event{tick{}})
			if len(r.activeCalls) != 0 {
				t.Fatal("a message was sent again before the outcome of its attempt was known")
			}
			r.step([]event{outcomeOf(policy.OK, ids[0], 0)})
			if m := r.messages[ids[0]]; m != nil && !m.Delivered || r.pending != 2 {
				t.Errorf("the message that the predecessor delivered is not completed: %d pending, want 2", r.pending)
			}
			r.step([]event{outcomeOf(policy.Overloaded, ids[1], 5*time.Second)})
			views, _ := r.engine.Views()
			if len(r.activeCalls) != 0 || len(views) != 1 || views[0].RetryAfterUntil < r.now()+4*time.Second {
				t.Errorf("Retry-After is not respected: %d calls, endpoints %+v", len(r.activeCalls), views)
			}
			r.step([]event{predecessorGone{}})
			checkAbandoned(t, r, ids[1], ids[2])
			response := submitAll(r, newSubmission("m3", 7, 9*time.Second))[0]
			if response.Status != http.StatusAccepted || r.pending != 2 {
				t.Errorf("message m3 submitted again: response %+v, %d pending, want 2", response, r.pending)
			}
		})
	}
}

// takeOverThreeAttempts returns the successor of a relay with three messages, each with an attempt in flight, and
// the ids of the messages.
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
	if len(r.predecessorAttempts) != 3 || r.pending != 3 || len(r.activeCalls) != 0 {
		t.Fatalf("%d attempts at the predecessor, %d pending, %d calls; want 3, 3, 0",
			len(r.predecessorAttempts), r.pending, len(r.activeCalls))
	}
	return r, ids
}

// checkAbandoned checks that the attempt of the abandoned message counts as one that may have run, and that the
// attempt of the rejected message does not.
func checkAbandoned(t *testing.T, r *Relay, rejected, abandoned policy.MessageID) {
	t.Helper()
	if len(r.predecessorAttempts) != 0 || len(r.messages[rejected].UncertainAttempts) != 0 {
		t.Errorf("%d attempts at the predecessor; rejected: %+v", len(r.predecessorAttempts), r.messages[rejected])
	}
	m := r.messages[abandoned]
	if m == nil || m.completed() || m.inFlight != 0 || len(m.UncertainAttempts) != 1 {
		t.Errorf("message whose attempt has no outcome: %+v", m)
	}
}

// A process that is to take over reports that it is ready only after its predecessor has confirmed that it will
// hand over. If the predecessor were terminated before that, it would end without handing over and close its
// clients' connections.
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
	predecessor := hotrestart.NewConn(accepted)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.takeOver(ctx) }()
	if f, err := predecessor.Receive(); err != nil || f.Hello == nil {
		t.Fatalf("received %+v, %v; want Hello", f, err)
	}
	if r.awaitingHandOver.Load() {
		t.Error("ready before the predecessor has sent Welcome")
	}
	if err := predecessor.Send(hotrestart.Frame{Welcome: true}); err != nil {
		t.Fatal(err)
	}
	for !r.awaitingHandOver.Load() { // otherwise the time limit of go test fails the test
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; !errors.Is(err, errTerminated) {
		t.Errorf("after termination: error %v, want %v", err, errTerminated)
	}
}

// The predecessor could not write the end of a message to the journal. The successor does not restore that message.
func TestTakeOverOfAnEndThatIsNotInTheJournal(t *testing.T) {
	old := newTestRelay(t)
	submission := newSubmission("m1", 7, 9*time.Second)
	submitAll(old, submission)
	r := successorOf(t, old, func(s *hotrestart.State) {
		s.Messages = nil
		s.Attempts = nil
	})
	if len(r.messages) != 0 || r.pending != 0 || r.journal.Tracks(submission.message) {
		t.Errorf("%d pending, messages %v", r.pending, r.messages)
	}
}

// TestSecondTakeOverKnowsMessagesOfTheFirst guards against messages that are lost by two hot restarts in a row: the
// second process cannot read the policy's state and waits for outcomes of the first one before it tells its policy of
// their messages, and hands over meanwhile.
func TestSecondTakeOverKnowsMessagesOfTheFirst(t *testing.T) {
	second, ids := takeOverThreeAttempts(t, unreadableSnapshot)
	third := successorOf(t, second, func(*hotrestart.State) {})
	third.step([]event{outcomeOf(policy.Overloaded, ids[0], 0), outcomeOf(policy.Reset, ids[1], 0)})
	third.step([]event{predecessorGone{}})
	for _, id := range ids {
		if m := third.messages[id]; m == nil || m.completed() || !third.engine.HasMessage(id) {
			t.Errorf("message %d is not known to the policy: %+v", id, m)
		}
	}
	for range 20 { // past the deadlines of all messages
		advance(third, time.Second)
	}
	if third.pending != 0 {
		t.Errorf("%d messages have no result after their deadlines", third.pending)
	}
}

// TestTakeOverKnowsDeliveredIDs guards against a second delivery of a message that is no longer in the journal: an
// attempt that had timed out delivered it, and its retry is in flight when the process hands over.
func TestTakeOverKnowsDeliveredIDs(t *testing.T) {
	cfg := newTestConfig(t)
	cfg.Settings.Classes[0].Effect = policy.Idempotent // the journal does not keep the ids of such messages
	old := newTestRelayWith(t, cfg)
	submitAll(old, newSubmission("m1", 7, 8*time.Second))
	first := onlyCall(t, old)
	old.step([]event{attemptTimeout{first.attempts[0]}})
	for i := 0; i < 20 && len(old.activeCalls) < 2; i++ {
		advance(old, 200*time.Millisecond)
	}
	endCall(old, first, egress.Result{Outcome: policy.OK})
	if m := old.messagesByTrace["m1"]; m == nil || m.inFlight != 1 || old.journal.Tracks(m.Message) {
		t.Fatalf("message %+v, want one that the journal does not have, with an attempt in flight", m)
	}
	r := successorOf(t, old, func(*hotrestart.State) {})
	if a := submitAll(r, newSubmission("m1", 7, 8*time.Second))[0]; a.Status != http.StatusAccepted || r.pending != 0 {
		t.Errorf("answer %+v, %d pending, want status 202 and no new message", a, r.pending)
	}
}
