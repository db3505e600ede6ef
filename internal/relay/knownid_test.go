package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/policy"
)

// onlyCall returns the only call in flight.
func onlyCall(t *testing.T, r *Relay) *call {
	t.Helper()
	for c := range r.activeCalls {
		if len(r.activeCalls) == 1 {
			return c
		}
	}
	t.Fatalf("%d calls in flight, want one", len(r.activeCalls))
	return nil
}

// endCall ends a call with the same result for all its messages.
func endCall(r *Relay, c *call, result egress.Result) {
	results := make([]egress.Result, len(c.attempts))
	for i := range results {
		results[i] = result
	}
	r.step([]event{&callFinished{c, results}})
}

// advance lets time pass on the policy's clock alone, and runs a step.
func advance(r *Relay, d time.Duration) {
	r.started = r.started.Add(-d)
	r.step(nil)
}

// TestIDOfCancelledWaitingMessageIsNew guards against an answer of 202 for a message that is never sent: the id was
// handed in before by a client that left while the call of its message waited for memory.
func TestIDOfCancelledWaitingMessageIsNew(t *testing.T) {
	for i := range 4 {
		sameStep, hedging := i%2 == 0, i < 2
		t.Run(fmt.Sprintf("in one step: %v, hedging: %v", sameStep, hedging), func(t *testing.T) {
			cfg := newTestConfig(t)
			cfg.AllowHedging = hedging
			r := newTestRelayWith(t, cfg)
			release := occupyCallMemory(r)
			first := submitWaiting(t, r, "gateway", "m1")[0]
			again := newSubmission("m1", 7, 8*time.Second)
			again.message.Body = []byte(waitingBody)
			batch := []event{cancelEvent{first.ID}, again}
			if !sameStep {
				r.step(batch[:1])
				batch = batch[1:]
			}
			r.step(batch)
			if a := <-again.reply; a.Status != http.StatusAccepted {
				t.Fatalf("answer %+v, want status 202", a)
			}
			release()
			r.step(nil)
			if bodies := sentBodies(r); len(bodies) != 1 || bodies["m1"] != waitingBody {
				t.Fatalf("sent %q, want the body of m1", bodies)
			}
			endCall(r, onlyCall(t, r), egress.Result{Outcome: policy.Overloaded})
			for range 8 {
				advance(r, time.Second)
			}
			if len(r.activeCalls) != 1 {
				t.Error("the message is not sent again after its first attempt was rejected")
			}
		})
	}
}

// TestAttemptsAreNumberedAlike guards against an outcome that the policy does not recognize: a message goes on after an
// attempt that was never made, under a new submission or in a process that cannot read the policy's state.
func TestAttemptsAreNumberedAlike(t *testing.T) {
	for name, goOn := range map[string]func(*testing.T, *Relay, *message) *Relay{
		"submitted again": func(_ *testing.T, r *Relay, m *message) *Relay {
			r.step([]event{cancelEvent{m.ID}})
			submitAll(r, newSubmission("m1", 7, 8*time.Second))
			return r
		},
		"taken over without the policy's state": func(t *testing.T, r *Relay, _ *message) *Relay {
			r.returnWaitingCalls()
			return successorOf(t, r, unreadableSnapshot)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			submitAll(r, newSubmission("m1", 7, 8*time.Second))
			m := r.messagesByTrace["m1"]
			release := occupyCallMemory(r)
			endCall(r, onlyCall(t, r), egress.Result{Outcome: policy.Reset})
			for range 4 {
				advance(r, 500*time.Millisecond)
			}
			if len(r.waitingCalls) != 1 {
				t.Fatalf("%d calls wait, want the second attempt", len(r.waitingCalls))
			}
			r = goOn(t, r, m)
			release()
			for range 2 {
				for range 4 {
					advance(r, 500*time.Millisecond)
				}
				endCall(r, onlyCall(t, r), egress.Result{Outcome: policy.Overloaded})
			}
		})
	}
}

// TestMessageThatIsOverMayBeSubmittedAgain guards against an answer of 202 for a message that is never sent: an
// endpoint reported that the message is over, and an earlier attempt may have run. The new submission goes on from that
// attempt, also after a restart.
func TestMessageThatIsOverMayBeSubmittedAgain(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart: ", restart), func(t *testing.T) {
			r := newTestRelay(t)
			submitAll(r, newSubmission("m1", 7, 8*time.Second))
			endCall(r, onlyCall(t, r), egress.Result{Outcome: policy.Reset})
			for range 4 {
				advance(r, 500*time.Millisecond)
			}
			endCall(r, onlyCall(t, r), egress.Result{Outcome: policy.NotSent, MessageEnded: true})
			if restart {
				r = restartRelay(t, r)
			}
			if a := submitAll(r, newSubmission("m1", 7, 8*time.Second))[0]; a.Status != http.StatusAccepted {
				t.Fatalf("answer %+v, want status 202", a)
			}
			m := r.messagesByTrace["m1"]
			if m == nil || r.pending != 1 || len(m.UncertainAttempts) == 0 {
				t.Errorf("%d pending, message %+v, want one that goes on from its first attempt", r.pending, m)
			}
		})
	}
}
