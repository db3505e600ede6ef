package relay

import (
	"io"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A client that gave up waiting submits the message anew, under another id: the first must not be sent again.
func TestMessageIsCancelledWhenItsClientLeaves(t *testing.T) {
	r := newTestRelay(t)
	listener := nettest.Listen(t)
	serveClientsAt(t, r, listener)
	c := nettest.Dial(t, listener.Addr().String(), requestText("m1"))
	served := listener.Accepted(t)
	e := <-r.events
	c.Close()
	nettest.Eventually(t, "the client is seen to leave", func() bool { return served.FailedReads() > 0 })
	r.step([]event{e})
	for {
		if _, ok := nextEvent(t, r).(cancelEvent); ok {
			break
		}
	}
	// Its call may still be in flight.
	stepUntil(t, r, "the message is removed", func() bool { return len(r.messages) == 0 && r.pending == 0 })
}

// A message that comes once more because its connection was closed meanwhile is the same message.
func TestMessageSubmittedTwiceIsAcceptedOnce(t *testing.T) {
	r := newTestRelay(t)
	addr := serveClients(t, r)
	for range 2 {
		if res := submit(t, r, addr, "m1"); res.StatusCode != http.StatusAccepted {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	if len(r.messages) != 1 {
		t.Errorf("%d messages", len(r.messages))
	}
}

// With the journal's folder gone, as with a full disk, new messages are rejected and nothing is sent unrecorded.
func TestFullDiskRejectsNewMessages(t *testing.T) {
	r := newTestRelay(t)
	if err := r.journal.Close(); err != nil { // every write fails from here on
		t.Fatal(err)
	}
	res := submit(t, r, serveClients(t, r), "m1")
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", res.StatusCode, res.Header.Get("Retry-After"))
	}
	if len(r.messages) != 0 || r.pending != 0 || r.callsInFlight != 0 {
		t.Errorf("%d pending, %d in flight", r.pending, r.callsInFlight)
	}
}

// submitAll submits messages in one step, and returns their answers.
func submitAll(r *Relay, submissions ...*submitEvent) (answers []ingress.Response) {
	batch := make([]event, len(submissions))
	for i, submission := range submissions {
		batch[i] = submission
	}
	r.step(batch)
	for _, submission := range submissions {
		answers = append(answers, <-submission.reply)
	}
	return answers
}

func newSubmission(id string, destination policy.DestinationID, left time.Duration) *submitEvent {
	m := &journal.Message{TraceID: id, IdempotencyKey: "k", Destination: destination, Deadline: time.Now().Add(left)}
	return &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
}

// A duplicate of a message that is rejected in the same step is rejected, too.
func TestDuplicatesInOneStepShareTheResponse(t *testing.T) {
	r := newTestRelay(t)
	for i, a := range submitAll(r, newSubmission("m1", 7, -time.Second), newSubmission("m1", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d: %+v", i, a)
		}
	}
	r.journal.Close()
	for i, a := range submitAll(r, newSubmission("m2", 7, time.Second), newSubmission("m2", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d, no log: %+v", i, a)
		}
	}
}

// The client that submitted a message first may leave: the message stays accepted for the one with its duplicate.
func TestMessageWithDuplicatesIsNotCancelled(t *testing.T) {
	r := newTestRelay(t)
	first := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, first)
	submitAll(r, newSubmission("m1", 7, 5*time.Second))
	r.step([]event{cancelEvent{first.message.ID}})
	if m := r.messages[first.message.ID]; m == nil || m.completed {
		t.Errorf("cancelled: %+v", m)
	}
}

// A message that has failed, and only waits for its notification, gives its duplicates the same response.
func TestDuplicateOfFailedMessageHasItsResponse(t *testing.T) {
	r := newTestRelay(t)
	in := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, in)
	m := r.messages[in.message.ID]
	r.execute([]policy.Action{{Kind: policy.Reject, MessageID: m.ID, Delay: 700 * time.Millisecond}}, nil)
	if a := submitAll(r, newSubmission("m1", 7, 5*time.Second))[0]; a.Status != http.StatusServiceUnavailable ||
		a.RetryAfter != 700*time.Millisecond {
		t.Errorf("answer %+v", a)
	}
}

// A cancelled message that may have run keeps its attempts, its window and its zone when it is submitted once more
// under its id, also when the process restarts in between, before or after.
func TestResubmittedMessageKeepsItsAttempts(t *testing.T) {
	for restart := range 3 {
		const destination = 8 // listed once, and without an endpoint now: nothing is sent but what the test says
		r := newTestRelay(t)
		r.catalog.RememberDestination(destination)
		in := newSubmission("m1", destination, 5*time.Second)
		submitAll(r, in)
		m := r.messages[in.message.ID]
		sent := journal.Attempt{Number: 0, Endpoint: "s-8", Zone: 1, SentAt: time.Now().Add(-time.Second).Round(0)}
		if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: sent}); err != nil {
			t.Fatal(err)
		}
		r.step([]event{cancelEvent{m.ID}})
		if restart == 1 {
			r = restartRelay(t, r)
			r.catalog.RememberDestination(destination)
		}
		if a := submitAll(r, newSubmission("m1", destination, 5*time.Second))[0]; a.Status != http.StatusAccepted {
			t.Fatalf("answer %+v", a)
		}
		if restart == 2 {
			r = restartRelay(t, r)
		}
		again := r.messagesByTrace["m1"]
		if again == nil || again.completed || again.ID == m.ID {
			t.Fatalf("restart %d: %+v", restart, again)
		}
		e := r.recoveredEvent(again).Recovered
		if e.Attempts != 1 || !e.MayHaveRun || e.FirstRunZone != 1 || e.SinceFirstRun < time.Second ||
			!again.UncertainAttempts[0].SentAt.Equal(sent.SentAt) {
			t.Errorf("restart %d: recovered as %+v, may have run %+v", restart, e, again.UncertainAttempts)
		}
	}
}

// restartRelay returns a relay on the journal that another left behind.
func restartRelay(t *testing.T, old *Relay) *Relay {
	t.Helper()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(old.cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = old.callCtx
	r.recoverState()
	return r
}
