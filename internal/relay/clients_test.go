package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// decide has the loop take all of these hand-ins in one step.
func decide(r *Relay, ins ...*submitEvent) (answers []ingress.Response) {
	batch := make([]event, len(ins))
	for i, in := range ins {
		batch[i] = in
	}
	r.step(batch)
	for _, in := range ins {
		answers = append(answers, <-in.reply)
	}
	return answers
}

func newHandIn(id string, dest int, left time.Duration) *submitEvent {
	m := &journal.Message{TraceID: id, IdempotencyKey: "k", Destination: dest, Deadline: time.Now().Add(left)}
	return &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
}

// A second copy of what is refused in the same step is not told that it is taken on.
func TestATwinSharesItsAnswer(t *testing.T) {
	r := newTestRelay(t)
	for i, a := range decide(r, newHandIn("m1", 7, -time.Second), newHandIn("m1", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d: %+v", i, a)
		}
	}
	r.journal.Close()
	for i, a := range decide(r, newHandIn("m2", 7, time.Second), newHandIn("m2", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d, no log: %+v", i, a)
		}
	}
}

// The client that handed a message in first may leave: the one that was told the same of the same id is still owed it.
func TestAnIDThatOthersWereToldOfIsNotWithdrawn(t *testing.T) {
	r := newTestRelay(t)
	first := newHandIn("m1", 7, 5*time.Second)
	decide(r, first)
	decide(r, newHandIn("m1", 7, 5*time.Second))
	r.step([]event{cancelEvent{first.message.ID}})
	if m := r.messages[first.message.ID]; m == nil || m.completed {
		t.Errorf("withdrawn: %+v", m)
	}
}

// What was given up on, and only waits for its notice, is owed no more than that.
func TestAnIDThatWasGivenUpOnGetsThatAnswer(t *testing.T) {
	r := newTestRelay(t)
	in := newHandIn("m1", 7, 5*time.Second)
	decide(r, in)
	m := r.messages[in.message.ID]
	r.execute([]policy.Action{{Kind: policy.Reject, MessageID: m.ID, Delay: 700 * time.Millisecond}}, nil)
	if a := decide(r, newHandIn("m1", 7, 5*time.Second))[0]; a.Status != http.StatusServiceUnavailable ||
		a.RetryAfter != 700*time.Millisecond {
		t.Errorf("answer %+v", a)
	}
}

// A withdrawn message that may have run keeps its attempts, its window and its zone when it comes once more under its
// id, also when the process ends in between, before or after.
func TestAWithdrawnMessageThatMayHaveRunIsNoNewOne(t *testing.T) {
	for restart := range 3 {
		const dest = 8 // listed once, and without a host now: nothing is sent but what the test says
		r := newTestRelay(t)
		r.catalog.RememberDestination(dest)
		in := newHandIn("m1", dest, 5*time.Second)
		decide(r, in)
		m := r.messages[in.message.ID]
		sent := journal.Attempt{Number: 0, Endpoint: "s-8", Zone: 1, SentAt: time.Now().Add(-time.Second).Round(0)}
		if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: sent}); err != nil {
			t.Fatal(err)
		}
		r.step([]event{cancelEvent{m.ID}})
		if restart == 1 {
			r = restarted(t, r)
			r.catalog.RememberDestination(dest)
		}
		if a := decide(r, newHandIn("m1", dest, 5*time.Second))[0]; a.Status != http.StatusAccepted {
			t.Fatalf("answer %+v", a)
		}
		if restart == 2 {
			r = restarted(t, r)
		}
		again := r.messagesByTrace["m1"]
		if again == nil || again.completed || again.ID == m.ID {
			t.Fatalf("restart %d: %+v", restart, again)
		}
		e := r.recoveredEvent(again).Recovered
		if e.Attempts != 1 || !e.MayHaveRun || e.FirstRunZone != 1 || e.SinceFirstRun < time.Second ||
			!again.UncertainAttempts[0].SentAt.Equal(sent.SentAt) {
			t.Errorf("restart %d: resumed as %+v, may have run %+v", restart, e, again.UncertainAttempts)
		}
	}
}

// restarted is a relay on what another left behind.
func restarted(t *testing.T, old *Relay) *Relay {
	t.Helper()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(old.cfg, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = old.callCtx
	r.recoverState()
	return r
}

// A Send of a message that is not held must not end the loop.
func TestASendOfNothingEndsNothing(t *testing.T) {
	r := newTestRelay(t)
	r.execute([]policy.Action{{Kind: policy.Send, MessageID: 4711, Endpoint: "s-1", TimeoutAt: time.Minute}}, nil)
	if r.callsInFlight != 0 {
		t.Errorf("%d calls", r.callsInFlight)
	}
}
