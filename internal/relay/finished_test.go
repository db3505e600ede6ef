package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A client that lost its connection before the answer came submits its message again under the same id, shortly after
// the message was finished. A message that has run, or may have run, must not run again. A message that never ran,
// or was rejected, is accepted as a new message.
func TestDuplicateOfFinishedMessage(t *testing.T) {
	const destination = 8 // known but without endpoints: the policy sends nothing
	delivered := &egress.Result{Outcome: policy.OK}
	rejected := &egress.Result{Outcome: policy.Overloaded}
	uncertain := &egress.Result{Outcome: policy.Reset}
	fail := &policy.Action{Kind: policy.Fail}
	reject := &policy.Action{Kind: policy.Reject, Delay: time.Second}
	for _, c := range []struct {
		name       string
		result     *egress.Result // of the message's only attempt; nil: no attempt was made
		final      *policy.Action // the action that then ends the message; nil: none
		status     int
		isNew      bool
		clientLeft bool // whether the client left while the call was in flight
	}{
		{"delivered", delivered, nil, http.StatusAccepted, false, false},
		{"delivered after its client left", delivered, nil, http.StatusAccepted, false, true},
		{"rejected after its client left", rejected, nil, http.StatusAccepted, true, true},
		{"failed, may have run", uncertain, fail, http.StatusInternalServerError, false, false},
		{"rejected", rejected, reject, http.StatusAccepted, true, false},
		{"failed, never sent", nil, fail, http.StatusAccepted, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRelay(t)
			r.catalog.RememberDestination(destination)
			in := newSubmission("m1", destination, 5*time.Second)
			submitAll(r, in)
			m := r.messages[in.message.ID]
			if c.result != nil {
				finishOnlyAttempt(t, r, m, *c.result, c.clientLeft)
			}
			if c.final != nil {
				action := *c.final
				action.MessageID = m.ID
				r.execute([]policy.Action{action}, nil)
				r.step([]event{notificationsAcked{[]policy.MessageID{m.ID}}})
			}
			if c.result == delivered {
				checkKeptDelivered(t, r, m)
			} else if r.messages[m.ID] != nil || r.messagesByTrace["m1"] != nil {
				t.Fatal("the finished message is not removed")
			}
			again := newSubmission("m1", destination, 5*time.Second)
			if a := submitAll(r, again)[0]; a.Status != c.status {
				t.Errorf("answer %+v, want %d", a, c.status)
			}
			if _, known := r.finished.reply("m1", m.Deadline); known {
				t.Error("the answer is kept past the deadline of the message")
			}
			latest := r.messagesByTrace["m1"]
			if isNew := latest != nil && latest != m; isNew != c.isNew {
				t.Errorf("accepted as a new message: %v, want %v", isNew, c.isNew)
			}
			m.Deadline = time.Now()
			if r.step(nil); r.messages[m.ID] != nil || r.journal.Tracks(m.Message) {
				t.Error("the message is kept past its deadline")
			}
		})
	}
}

// finishOnlyAttempt makes an attempt of a message and ends it with a result. clientLeft reports whether the message's
// client left while the call was in flight.
func finishOnlyAttempt(t *testing.T, r *Relay, m *message, result egress.Result, clientLeft bool) {
	t.Helper()
	at := journal.Attempt{Number: 0, Endpoint: "s-8", SentAt: time.Now()}
	if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: at}); err != nil {
		t.Fatal(err)
	}
	m.attemptsStarted = 1
	m.inFlight = 1
	a := &attempt{call: newCall(egress.Call{EndpointID: "s-8", SentAt: at.SentAt}, 0), message: m}
	r.callsInFlight++
	a.call.attempts = []*attempt{a}
	if clientLeft {
		r.step([]event{cancelEvent{m.ID}})
	}
	r.step([]event{&callFinished{a.call, []egress.Result{result}}})
}

// checkKeptDelivered checks that a delivered message is kept without its body, for this process and a later one.
func checkKeptDelivered(t *testing.T, r *Relay, m *message) {
	t.Helper()
	if r.messages[m.ID] != m || !m.Delivered || !m.completed() || m.Size() != 0 || !r.journal.Tracks(m.Message) {
		t.Fatalf("the delivered message is not kept: %+v", m)
	}
}

// Finished messages are kept up to a maximum number, and until their deadlines.
func TestFinishedMessagesAreBounded(t *testing.T) {
	var r finishedMessages
	now := time.Now()
	for i := range 3 * maxFinishedMessages {
		r.add(&message{Message: &journal.Message{
			TraceID:           fmt.Sprint(i),
			Deadline:          now.Add(time.Hour),
			UncertainAttempts: []journal.Attempt{{}},
		}, result: resultDelivered})
		r.expire(now)
	}
	_, last := r.replies[fmt.Sprint(3*maxFinishedMessages-1)]
	if len(r.replies) != maxFinishedMessages || len(r.order) != maxFinishedMessages || !last {
		t.Errorf("%d replies, %d ids, the last one kept: %v", len(r.replies), len(r.order), last)
	}
	if r.expire(now.Add(2 * time.Hour)); len(r.replies) != 0 || r.order != nil {
		t.Errorf("%d replies are kept past their deadlines", len(r.replies))
	}
}
