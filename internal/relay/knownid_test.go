package relay

import (
	"fmt"
	"math/rand/v2"
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
	for _, sameStep := range []bool{false, true} {
		t.Run(fmt.Sprint("in one step: ", sameStep), func(t *testing.T) {
			r := newTestRelay(t)
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

// knownIDWorld submits messages under a few ids to a relay, with clients that leave, calls that wait for memory and
// every outcome of an attempt, and knows what the relay owes.
type knownIDWorld struct {
	t         *testing.T
	r         *Relay
	rng       *rand.Rand
	class     string
	release   func()          // of the memory for calls; nil: there is memory
	leaving   []cancelEvent   // of clients that left; the relay learns of it in a later step
	owed      map[string]bool // ids with a client that stayed and was answered 202, without a delivery or notice since
	delivered map[string]bool
	noticed   map[policy.MessageID]bool
	ran       map[string]bool   // ids with an attempt that may have run
	seen      map[*attempt]bool // attempts that were checked when they began
}

// submit submits one or two messages under an id in one step, together with cancellations. Some clients leave.
func (w *knownIDWorld) submit(id string) {
	batch := w.takeLeaving()
	var submissions []*submitEvent
	for range 1 + w.rng.IntN(2) {
		submission := newSubmission(id, 7, 8*time.Second)
		submission.message.Body = []byte(waitingBody)
		submission.message.ClassName = w.class
		submission.message.OrderingKey = id
		submissions = append(submissions, submission)
		batch = append(batch, submission)
	}
	w.step(batch...)
	for _, submission := range submissions {
		answer := <-submission.reply
		switch left := w.rng.IntN(2) == 0; {
		case left && submission.message.ID != 0:
			w.leaving = append(w.leaving, cancelEvent{submission.message.ID})
		case !left && answer.Status == http.StatusAccepted && !w.delivered[id]:
			w.owed[id] = true
		}
	}
	w.settle()
}

// takeLeaving returns the cancellations that the relay learns of now.
func (w *knownIDWorld) takeLeaving() (batch []event) {
	n := w.rng.IntN(len(w.leaving) + 1)
	for _, e := range w.leaving[:n] {
		batch = append(batch, e)
	}
	w.leaving = w.leaving[n:]
	return batch
}

// step runs a step and checks the attempts that it began.
func (w *knownIDWorld) step(batch ...event) {
	w.r.step(batch)
	out := map[string]int{}
	for c := range w.r.activeCalls {
		for _, a := range c.attempts {
			id := a.message.TraceID
			if !a.finished {
				out[id]++
			}
			if w.seen[a] {
				continue
			}
			w.seen[a] = true
			if string(a.Body) != waitingBody {
				w.t.Errorf("%s was sent with the body %q", id, a.Body)
			}
			if w.ran[id] && w.class == "pay" {
				w.t.Errorf("%s was sent again, although it may have run", id)
			}
			w.ran[id] = true
		}
	}
	for id, n := range out {
		if n > 1 && !w.r.cfg.AllowHedging {
			w.t.Errorf("%s has %d attempts out together", id, n)
		}
	}
	w.settle()
}

// settle removes the ids that have a notice from those that are owed.
func (w *knownIDWorld) settle() {
	for _, n := range w.r.notifier.Pending() {
		if !w.noticed[n.MessageID] {
			delete(w.owed, n.TraceID)
		}
		w.noticed[n.MessageID] = true
	}
}

// outcomes are the results of an attempt.
var outcomes = []egress.Result{
	{Outcome: policy.OK},
	{Outcome: policy.Reset},
	{Outcome: policy.Error},
	{Outcome: policy.Overloaded},
	{Outcome: policy.ConnectFailed},
	{Outcome: policy.NotSent},
	{Outcome: policy.NotSent, MessageEnded: true},
}

// endAttempt ends a call in flight, or an attempt of the predecessor.
func (w *knownIDWorld) endAttempt(result egress.Result) {
	for c := range w.r.activeCalls {
		w.noteResult(c.attempts[0], result)
		w.step(append(w.takeLeaving(), &callFinished{c, []egress.Result{result}})...)
		return
	}
	for key, a := range w.r.predecessorAttempts {
		w.noteResult(a, result)
		outcome := outcomeOf(result.Outcome, key.messageID, 0)
		outcome.Number = key.number
		outcome.MessageEnded = result.MessageEnded
		w.step(append(w.takeLeaving(), outcome)...)
		return
	}
}

// noteResult records what the result of an attempt means for its id.
func (w *knownIDWorld) noteResult(a *attempt, result egress.Result) {
	id := a.message.TraceID
	switch result.Outcome {
	case policy.OK:
		delete(w.owed, id)
		w.delivered[id] = true
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		if w.class == "pay" && !a.finished {
			w.ran[id] = false // it was the only attempt
		}
	}
	if result.MessageEnded && w.r.messagesByTrace[id] == a.message {
		delete(w.owed, id) // nothing more is owed
	}
}

// setMemory occupies or releases the memory for calls.
func (w *knownIDWorld) setMemory(available bool) {
	switch {
	case available && w.release != nil:
		w.release()
		w.release = nil
	case !available && w.release == nil:
		w.release = occupyCallMemory(w.r)
	}
}

// replaceProcess continues with a process that recovers from the journal. Clients of the earlier one are gone.
func (w *knownIDWorld) replaceProcess() {
	w.setMemory(true)
	w.leaving = nil
	w.r = restartRelay(w.t, w.r)
}

// act does one of the things that can happen.
func (w *knownIDWorld) act() {
	switch w.rng.IntN(8) {
	case 0, 1, 2:
		w.submit(fmt.Sprint("id", w.rng.IntN(2)))
	case 3:
		w.setMemory(w.rng.IntN(2) == 0)
	case 4, 5:
		w.endAttempt(outcomes[w.rng.IntN(len(outcomes))])
	case 6:
		w.r.started = w.r.started.Add(-time.Duration(w.rng.IntN(1000)) * time.Millisecond)
		w.step(w.takeLeaving()...)
	case 7:
		if w.rng.IntN(3) == 0 {
			w.replaceProcess()
			w.step()
		}
	}
}

// finish lets all messages end, and checks that the relay owes nothing.
func (w *knownIDWorld) finish() {
	w.setMemory(true)
	for range 30 {
		w.r.started = w.r.started.Add(-500 * time.Millisecond)
		w.step()
		for len(w.r.activeCalls)+len(w.r.predecessorAttempts) > 0 {
			w.endAttempt(egress.Result{Outcome: policy.OK})
		}
	}
	for id := range w.owed {
		w.t.Errorf("%s was answered 202, and had neither a delivery nor a notice", id)
	}
	if w.r.pending != 0 {
		w.t.Errorf("%d messages are pending at the end", w.r.pending)
	}
}

// TestAnswerToKnownIDIsOwed guards against answers to submissions under a known id that do not fit the state of the
// earlier message: 202 for a message that is never sent, a second attempt of a message that may have run and must not
// run twice, two attempts out together where that is not allowed, and bodies that are lost.
func TestAnswerToKnownIDIsOwed(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			cfg := withPaymentClass(newTestConfig(t))
			cfg.AllowHedging = rng.IntN(2) == 0
			w := &knownIDWorld{
				t:         t,
				r:         newTestRelayWith(t, cfg),
				rng:       rng,
				class:     cfg.ClassNames[rng.IntN(2)],
				owed:      map[string]bool{},
				delivered: map[string]bool{},
				noticed:   map[policy.MessageID]bool{},
				ran:       map[string]bool{},
				seen:      map[*attempt]bool{},
			}
			for range 40 {
				w.act()
			}
			w.finish()
		})
	}
}
