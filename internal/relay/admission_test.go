package relay

import (
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A client that stops waiting submits its message again under another id, so the first message must not be sent any
// more.
func TestMessageIsCancelledWhenItsClientLeaves(t *testing.T) {
	r := newTestRelay(t)
	listener := nettest.Listen(t)
	serveClientsAt(t, r, listener)
	c := nettest.Dial(t, listener.Addr().String(), requestText("m1"))
	served := listener.Accepted(t)
	e := <-r.events
	c.Close()
	nettest.Eventually(t, "the relay reads the end of the connection", func() bool { return served.FailedReads() > 0 })
	r.step([]event{e})
	for {
		if _, ok := nextEvent(t, r).(cancelEvent); ok {
			break
		}
	}
	// Its call may still be in flight.
	stepUntil(t, r, "the message is removed", func() bool { return len(r.messages) == 0 && r.pending == 0 })
}

// A client whose connection closed before the answer came submits its message again under the same id. The message
// must be accepted only once.
func TestMessageSubmittedTwiceIsAcceptedOnce(t *testing.T) {
	r := newTestRelay(t)
	addr := serveClients(t, r)
	for range 2 {
		if res := submit(t, r, addr, "m1"); res.StatusCode != http.StatusAccepted {
			t.Errorf("status %d, want 202", res.StatusCode)
		}
	}
	if len(r.messages) != 1 {
		t.Errorf("%d messages, want 1", len(r.messages))
	}
}

// A closed journal fails every write, as a full disk does: new messages are rejected, and nothing is sent unrecorded.
func TestFullDiskRejectsNewMessages(t *testing.T) {
	r := newTestRelay(t)
	if err := r.journal.Close(); err != nil { // every later write fails
		t.Fatal(err)
	}
	res := submit(t, r, serveClients(t, r), "m1")
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with Retry-After", res.StatusCode, res.Header.Get("Retry-After"))
	}
	if len(r.messages) != 0 || r.pending != 0 || r.callsInFlight != 0 {
		t.Errorf("%d messages, %d pending, %d calls in flight, want none", len(r.messages), r.pending, r.callsInFlight)
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
			t.Errorf("submission %d: answer %+v, want status 503", i, a)
		}
	}
	r.journal.Close()
	for i, a := range submitAll(r, newSubmission("m2", 7, time.Second), newSubmission("m2", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("submission %d, journal closed: answer %+v, want status 503", i, a)
		}
	}
}

// A message was submitted by two clients, and the first of them leaves. The message stays accepted, because the
// second client has received that answer.
func TestMessageWithDuplicatesIsNotCancelled(t *testing.T) {
	r := newTestRelay(t)
	first := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, first)
	submitAll(r, newSubmission("m1", 7, 5*time.Second))
	r.step([]event{cancelEvent{first.message.ID}})
	if m := r.messages[first.message.ID]; m == nil || m.completed() {
		t.Errorf("the message was cancelled: %+v", m)
	}
}

// A message has its final answer and only waits for its notification to be acknowledged. A duplicate of the message
// receives the same final answer.
func TestDuplicateOfFailedMessageHasItsResponse(t *testing.T) {
	r := newTestRelay(t)
	in := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, in)
	m := r.messages[in.message.ID]
	r.execute([]policy.Action{{Kind: policy.Reject, MessageID: m.ID, Delay: 700 * time.Millisecond}}, nil)
	if a := submitAll(r, newSubmission("m1", 7, 5*time.Second))[0]; a.Status != http.StatusServiceUnavailable ||
		a.RetryAfter != 700*time.Millisecond {
		t.Errorf("answer %+v, want status 503 with a Retry-After of 700 ms", a)
	}
}

// A cancelled message that may have run is submitted again under its id. It keeps its attempts, and with them the
// start of its deduplication window and its zone, also if the process restarts before or after the second submission.
func TestResubmittedMessageKeepsItsAttempts(t *testing.T) {
	for restart := range 3 { // 0: none, 1: before the second submission, 2: after it
		const destination = 8 // known but without endpoints: the policy sends nothing
		r := newTestRelay(t)
		r.catalog.RememberDestination(destination)
		in := newSubmission("m1", destination, 5*time.Second)
		submitAll(r, in)
		m := r.messages[in.message.ID]
		sent := journal.Attempt{
			Endpoint: "s-8",
			Zone:     1,
			ZoneName: "b",
			SentAt:   time.Now().Add(-time.Second).Round(0),
		}
		if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: sent}); err != nil {
			t.Fatal(err)
		}
		r.step([]event{cancelEvent{m.ID}})
		if restart == 1 {
			r = restartRelay(t, r)
			r.catalog.RememberDestination(destination)
		}
		if a := submitAll(r, newSubmission("m1", destination, 5*time.Second))[0]; a.Status != http.StatusAccepted {
			t.Fatalf("restart %d: answer %+v, want status 202", restart, a)
		}
		if restart == 2 {
			r = restartRelay(t, r)
		}
		again := r.messagesByTrace["m1"]
		if again == nil || again.completed() || again.ID == m.ID {
			t.Fatalf("restart %d: message %+v, want a pending one with a new id", restart, again)
		}
		e := r.recoveredEvent(again).Recovered
		if e.Attempts != 1 || !e.MayHaveRun || e.FirstRunZone != 1 || e.SinceFirstRun < time.Second ||
			!again.UncertainAttempts[0].SentAt.Equal(sent.SentAt) {
			t.Errorf("restart %d: recovered as %+v, may have run %+v", restart, e, again.UncertainAttempts)
		}
	}
}

// restartRelay closes the journal of a relay and returns a new relay that has recovered from it.
func restartRelay(t *testing.T, old *Relay) *Relay {
	t.Helper()
	return restartWith(t, old, old.cfg)
}

// A reload moves the tenant of a message to another place of the list after the client's request was parsed.
func TestTenantIsResolvedAtAcceptance(t *testing.T) {
	r := newTestRelay(t)
	s := newSubmission("m1", 7, 9*time.Second)
	s.message.Tenant = 1
	s.message.TenantName = "bolt"
	cfg := r.cfg
	cfg.TenantNames = []string{"bolt", "acme"}
	r.changeConfig(configChange{config: cfg.Config})
	submitAll(r, s)
	if s.message.Tenant != 0 {
		t.Errorf("tenant %d, want 0", s.message.Tenant)
	}
}
