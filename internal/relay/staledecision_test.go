package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// waitingBody is the body of the messages whose calls wait for memory.
const waitingBody = "a body"

// stateChange is an event that changes the relay's state while a call waits.
type stateChange func(r *Relay, s *stepState)

func (change stateChange) apply(r *Relay, s *stepState) { change(r, s) }

// policyEvents returns a state change that passes events to the policy.
func policyEvents(events ...policy.Event) stateChange {
	return func(_ *Relay, s *stepState) { s.policyEvents = append(s.policyEvents, events...) }
}

// listChange returns a state change that applies a changed entry of the endpoint list.
func listChange(entry string) stateChange {
	return func(r *Relay, s *stepState) {
		listEvent{discovery.List{Version: 9, Entries: entriesOf(r, entry)}}.apply(r, s)
	}
}

// entryText returns the entry of a list for the endpoint of the test configuration.
func entryText(addr, kind, state string) string {
	const format = `{"id":"s-1","addr":%q,"zone":"a","kind":%q,"cell":7,"state":%q,"weight":50}`
	return fmt.Sprintf(format, addr, kind, state)
}

// occupyCallMemory reserves all memory for calls. The returned function releases it.
func occupyCallMemory(r *Relay) (release func()) {
	limit := r.budget.Limit(memory.Calls)
	r.budget.Add(memory.Calls, limit)
	return func() { r.budget.Release(memory.Calls, limit) }
}

// submitWaiting submits messages to the only endpoint of the test configuration, or to one of kind "platform", which
// takes ten messages in a call, while there is no memory for their call. It returns the messages in their order.
func submitWaiting(t *testing.T, r *Relay, kind string, ids ...string) (messages []*message) {
	t.Helper()
	r.step([]event{listChange(entryText("127.0.0.1:1", kind, "ready"))})
	var submissions []*submitEvent
	for _, id := range ids {
		submission := newSubmission(id, 7, 8*time.Second)
		submission.message.Body = []byte(waitingBody)
		submissions = append(submissions, submission)
	}
	submitAll(r, submissions...)
	if len(r.waitingCalls) != 1 || len(r.waitingCalls[0].attempts) != len(ids) {
		t.Fatalf("%d calls wait, want one with %d messages", len(r.waitingCalls), len(ids))
	}
	for _, submission := range submissions {
		messages = append(messages, r.messages[submission.message.ID])
	}
	return messages
}

// sentBodies returns the bodies of the calls in flight, by trace id.
func sentBodies(r *Relay) map[string]string {
	bodies := map[string]string{}
	for c := range r.activeCalls {
		for _, a := range c.Attempts {
			bodies[a.TraceID] = string(a.Body)
		}
	}
	return bodies
}

// changesThatForbidACall are the ways in which the state can change so that the waiting call of a message may no longer
// be made as it was decided.
func changesThatForbidACall(m *message) map[string]event {
	overloaded := policy.Event{
		Kind: policy.HealthChecked, Endpoint: "s-1", Outcome: policy.Overloaded, RetryAfter: 2 * time.Second,
	}
	failed := policy.Event{
		Kind: policy.HealthChecked, Endpoint: "s-1", Outcome: policy.ConnectFailed, Latency: time.Second,
	}
	delivered := func(r *Relay, s *stepState) { s.policyEvents = r.markDelivered(nil, m) }
	timedOut := func(r *Relay, _ *stepState) { r.waitingCalls[0].attempts[0].Deadline = time.Now() }
	return map[string]event{
		"its client left":            cancelEvent{m.ID},
		"an earlier attempt arrived": stateChange(delivered),
		"its attempt timed out":      stateChange(timedOut),
		"the endpoint drains":        listChange(entryText("127.0.0.1:1", "gateway", "draining")),
		"the endpoint is gone":       listChange(entryText("127.0.0.1:1", "gateway", "gone")),
		"the endpoint moved":         listChange(entryText("127.0.0.1:2", "gateway", "ready")),
		"the endpoint's kind":        listChange(entryText("127.0.0.1:1", "store", "ready")),
		"Retry-After":                policyEvents(overloaded),
		"the endpoint fails":         policyEvents(failed, failed, failed, failed),
		"the relay stops sending":    stopSending{},
	}
}

// TestWaitingCallIsDecidedAgain guards against a call that waited for memory and is then made as it was decided,
// without the bodies of messages that have ended or to an endpoint that may not get it any more.
func TestWaitingCallIsDecidedAgain(t *testing.T) {
	for name := range changesThatForbidACall(&message{Message: &journal.Message{}}) {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			release := occupyCallMemory(r)
			m := submitWaiting(t, r, "gateway", "m1")[0]
			release()
			r.step([]event{changesThatForbidACall(m)[name]})
			if len(r.waitingCalls) != 0 || len(sentBodies(r)) != 0 || r.budget.Used(memory.Calls) != 0 {
				t.Errorf("%d calls wait, sent %q, %d bytes reserved",
					len(r.waitingCalls), sentBodies(r), r.budget.Used(memory.Calls))
			}
			if m.inFlight != 0 || len(m.UncertainAttempts) != 0 {
				t.Errorf("%d attempts in flight, in the journal %+v", m.inFlight, m.UncertainAttempts)
			}
		})
	}
}

// TestWaitingCallIsMadeWithItsBody guards against a waiting call that is returned although nothing has changed, and
// against a time in the journal at which the call was not made: deduplication windows count from it.
func TestWaitingCallIsMadeWithItsBody(t *testing.T) {
	r := newTestRelay(t)
	release := occupyCallMemory(r)
	m := submitWaiting(t, r, "gateway", "m1")[0]
	release()
	resumedAt := time.Now()
	r.step(nil)
	if bodies := sentBodies(r); len(bodies) != 1 || bodies["m1"] != waitingBody {
		t.Errorf("sent %q, want the body of m1", bodies)
	}
	if len(m.UncertainAttempts) != 1 || m.UncertainAttempts[0].SentAt.Before(resumedAt) {
		t.Errorf("the journal has the attempts %+v, want one from %v on", m.UncertainAttempts, resumedAt)
	}
}

// TestWaitingCallKeepsItsPlaceInTheRecoveryBudget guards against an endpoint that is never tried again while calls wait
// for memory: a call that was decided within the recovery budget is made after a short wait, and returned after a
// longer one.
func TestWaitingCallKeepsItsPlaceInTheRecoveryBudget(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		sent   int
	}{{0, 1}, {time.Hour, 0}} {
		t.Run(c.waited.String(), func(t *testing.T) {
			r := newTestRelay(t)
			failed := policy.Event{
				Kind: policy.HealthChecked, Endpoint: "s-1", Outcome: policy.ConnectFailed, Latency: time.Second,
			}
			r.step([]event{policyEvents(failed, failed, failed, failed)})
			release := occupyCallMemory(r)
			submitAll(r, newSubmission("m1", 7, 15*time.Second))
			for i := 0; i < 20 && len(r.waitingCalls) == 0; i++ {
				advance(r, 500*time.Millisecond)
			}
			if len(r.waitingCalls) != 1 || !r.engine.Suspect("s-1") {
				t.Fatalf("%d calls wait, want one to the suspect endpoint", len(r.waitingCalls))
			}
			r.waitingCalls[0].SentAt = time.Now().Add(-c.waited)
			release()
			if r.step(nil); len(r.activeCalls) != c.sent {
				t.Errorf("%d calls in flight, want %d", len(r.activeCalls), c.sent)
			}
		})
	}
}

// TestWaitingBatchLeavesOutEndedMessages guards against items without their bodies in a call with several messages: one
// message is cancelled while the call waits, and the body of another can no longer be read.
func TestWaitingBatchLeavesOutEndedMessages(t *testing.T) {
	cfg := newTestConfig(t)
	cfg.Operator.Journal.MaxBodiesMB = 1.0 / (1 << 20) // one byte: bodies are read from disk
	r := newTestRelayWith(t, cfg)
	release := occupyCallMemory(r)
	messages := submitWaiting(t, r, "platform", "sound", "cancelled", "unreadable")
	corruptBody(t, cfg.StateDir, waitingBody, 3)
	release()
	r.step([]event{cancelEvent{messages[1].ID}})
	if bodies := sentBodies(r); len(bodies) != 1 || bodies["sound"] != waitingBody {
		t.Errorf("sent %q, want the body of the sound message alone", bodies)
	}
	if n := r.notifier.Pending(); len(n) != 1 || n[0].TraceID != "unreadable" {
		t.Errorf("notifications %+v, want one for the unreadable message", n)
	}
	for _, m := range messages[1:] {
		if m.inFlight != 0 || len(m.UncertainAttempts) != 0 {
			t.Errorf("%s: %d attempts in flight, in the journal %+v", m.TraceID, m.inFlight, m.UncertainAttempts)
		}
	}
}

// TestWaitingAttemptsEndAlone guards against a message that takes others with it while their call waits: at its timeout
// only its own attempt ends, whether or not a message may have two attempts in flight, and the others are sent later.
func TestWaitingAttemptsEndAlone(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		t.Run(fmt.Sprint("hedging: ", hedging), func(t *testing.T) {
			cfg := newTestConfig(t)
			cfg.AllowHedging = hedging
			r := newTestRelayWith(t, cfg)
			release := occupyCallMemory(r)
			messages := submitWaiting(t, r, "platform", "m1", "m2", "m3")
			for _, a := range r.waitingCalls[0].attempts {
				if a.message == messages[1] {
					a.Deadline = time.Now()
				}
			}
			r.waitingCalls[0].Deadline = r.callDeadline(r.waitingCalls[0].attempts)
			r.step(nil)
			if messages[1].inFlight != 0 || messages[0].inFlight != 1 || messages[2].inFlight != 1 {
				t.Errorf("%d, %d and %d attempts in flight, want none of the second message alone",
					messages[0].inFlight, messages[1].inFlight, messages[2].inFlight)
			}
			release()
			stepUntil(t, r, "the others are sent", func() bool { return len(sentBodies(r)) >= 2 })
			if bodies := sentBodies(r); bodies["m1"] != waitingBody || bodies["m3"] != waitingBody {
				t.Errorf("sent %q, want the bodies of m1 and m3", bodies)
			}
		})
	}
}

// TestCancelledWaitingCallFailsNoOther guards against a write of the journal that names a message whose removal is
// written already: it failed, and with it all calls of its step.
func TestCancelledWaitingCallFailsNoOther(t *testing.T) {
	r := newTestRelay(t)
	release := occupyCallMemory(r)
	cancelled := submitWaiting(t, r, "gateway", "cancelled")[0]
	r.step([]event{cancelEvent{cancelled.ID}})
	release()
	submission := newSubmission("other", 7, 8*time.Second)
	submission.message.Body = []byte(waitingBody)
	submitAll(r, submission)
	if bodies := sentBodies(r); len(bodies) != 1 || bodies["other"] != waitingBody {
		t.Errorf("sent %q, want the body of the other message alone", bodies)
	}
}

// TestWaitingBatchIsReturnedAfterReload guards against a call with more messages than the settings allow by the time it
// gets its memory.
func TestWaitingBatchIsReturnedAfterReload(t *testing.T) {
	for name, batch := range map[string]int{"fewer messages": 2, "one message": 1} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			release := occupyCallMemory(r)
			submitWaiting(t, r, "platform", "m1", "m2", "m3")
			cfg := r.cfg.Config
			cfg.Settings.DestinationKinds = slices.Clone(cfg.Settings.DestinationKinds)
			cfg.Settings.DestinationKinds[0].MaxBatch = batch
			release()
			r.step([]event{configChange{config: cfg}})
			if bodies := sentBodies(r); len(bodies) != 0 {
				t.Errorf("sent %q in one call of the old form", bodies)
			}
			stepUntil(t, r, "the messages are sent in calls of the new form", func() bool {
				for c := range r.activeCalls {
					if len(c.Attempts) > batch {
						t.Errorf("a call has %d messages, want at most %d", len(c.Attempts), batch)
					}
				}
				return len(sentBodies(r)) > 0
			})
		})
	}
}
