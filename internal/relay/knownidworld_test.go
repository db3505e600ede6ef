package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// knownIDWorld submits messages under a few ids to a relay, with clients that leave, calls that wait for memory and
// every outcome of an attempt, and knows what the relay owes.
type knownIDWorld struct {
	t          *testing.T
	r          *Relay
	rng        *rand.Rand
	class      string          // of the messages
	kind       string          // of the endpoint
	ordered    bool            // the messages of an id have an ordering key
	release    func()          // of the memory for calls; nil: there is memory
	leaving    []cancelEvent   // of clients that left; the relay learns of it in a later step
	owed       map[string]bool // ids with a client that stayed and was answered 202, without a delivery or notice since
	delivered  map[string]bool
	noticed    map[policy.MessageID]bool
	noticedNow map[string]bool // ids with a notice since the last step
	ran        map[string]bool // ids with an attempt that may have run
	seen       map[*call]bool  // calls that were checked when they began
}

// submit submits one or two messages under an id in one step, together with cancellations. Some clients leave.
func (w *knownIDWorld) submit(id string) {
	batch := w.takeLeaving()
	var submissions []*submitEvent
	for range 1 + w.rng.IntN(2) {
		submission := newSubmission(id, 7, 8*time.Second)
		submission.message.Body = []byte(waitingBody)
		submission.message.ClassName = w.class
		if w.ordered {
			submission.message.OrderingKey = id
		}
		submissions = append(submissions, submission)
		batch = append(batch, submission)
	}
	w.step(batch...)
	for _, submission := range submissions {
		answer := <-submission.reply
		switch left := w.rng.IntN(2) == 0; {
		case left && submission.message.ID != 0:
			w.leaving = append(w.leaving, cancelEvent{submission.message.ID})
		case !left && answer.Status == http.StatusAccepted && !w.delivered[id] && !w.noticedNow[id]:
			w.owed[id] = true
		}
	}
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
		w.checkNewCall(c)
		for _, a := range c.attempts {
			if !a.finished {
				out[a.message.TraceID]++
			}
		}
	}
	for id, n := range out {
		if n > 1 && !w.r.cfg.AllowHedging {
			w.t.Errorf("%s has %d attempts out together", id, n)
		}
	}
	w.settle()
}

// checkNewCall checks a call, unless an earlier step began it.
func (w *knownIDWorld) checkNewCall(c *call) {
	if w.seen[c] {
		return
	}
	w.seen[c] = true
	if allowed := w.r.activeConfig.Settings.DestinationKind(c.Kind).BatchSize(); len(c.attempts) > allowed {
		w.t.Errorf("a call has %d messages, want at most %d", len(c.attempts), allowed)
	}
	for _, a := range c.attempts {
		id := a.message.TraceID
		if string(a.Body) != waitingBody {
			w.t.Errorf("%s was sent with the body %q", id, a.Body)
		}
		if w.ran[id] && w.class == "pay" {
			w.t.Errorf("%s was sent again, although it may have run", id)
		}
		w.ran[id] = true
	}
}

// settle removes the ids that have a new notice from those that are owed.
func (w *knownIDWorld) settle() {
	w.noticedNow = map[string]bool{}
	for _, n := range w.r.notifier.Pending() {
		if !w.noticed[n.MessageID] {
			delete(w.owed, n.TraceID)
			w.noticedNow[n.TraceID] = true
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
	{Outcome: policy.Overloaded, RetryAfter: 300 * time.Millisecond},
	{Outcome: policy.ConnectFailed},
	{Outcome: policy.NotSent},
	{Outcome: policy.NotSent, MessageEnded: true},
}

// endCall ends a call in flight, or an attempt of the predecessor. draw returns the result of each attempt.
func (w *knownIDWorld) endCall(draw func() egress.Result) {
	if calls := w.callsInFlight(); len(calls) > 0 {
		c := calls[0]
		results := make([]egress.Result, len(c.attempts))
		for i, a := range c.attempts {
			results[i] = draw()
			w.noteResult(a, results[i])
		}
		w.step(append(w.takeLeaving(), &callFinished{c, results})...)
		return
	}
	keys := slices.SortedFunc(maps.Keys(w.r.predecessorAttempts), compareAttempts)
	if len(keys) > 0 {
		key := keys[0]
		result := draw()
		w.noteResult(w.r.predecessorAttempts[key], result)
		outcome := outcomeOf(result.Outcome, key.messageID, result.RetryAfter)
		outcome.Number = key.number
		outcome.MessageEnded = result.MessageEnded
		w.step(append(w.takeLeaving(), outcome)...)
	}
}

// callsInFlight returns the calls in flight, in the order of their first attempts.
func (w *knownIDWorld) callsInFlight() []*call {
	return slices.SortedFunc(maps.Keys(w.r.activeCalls), func(a, b *call) int {
		return compareAttempts(firstAttempt(a), firstAttempt(b))
	})
}

// firstAttempt identifies the first attempt of a call.
func firstAttempt(c *call) attemptKey {
	return attemptKey{c.attempts[0].message.ID, c.attempts[0].number}
}

// timeOut ends an attempt whose call goes on.
func (w *knownIDWorld) timeOut() {
	for _, c := range w.callsInFlight() {
		a := c.attempts[w.rng.IntN(len(c.attempts))]
		if w.r.cfg.AllowHedging && !a.finished {
			w.step(append(w.takeLeaving(), attemptTimeout{a})...)
			return
		}
	}
}

// changeRules changes the endpoint, or how many messages a call may have.
func (w *knownIDWorld) changeRules() {
	if w.rng.IntN(2) == 0 {
		state := []string{"ready", "ready", "draining"}[w.rng.IntN(3)]
		w.step(append(w.takeLeaving(), listChange(entryText("127.0.0.1:1", w.kind, state)))...)
		return
	}
	cfg := w.r.activeConfig
	cfg.Settings.DestinationKinds = slices.Clone(cfg.Settings.DestinationKinds)
	cfg.Settings.DestinationKinds[0].MaxBatch = 1 + w.rng.IntN(3)
	w.step(append(w.takeLeaving(), configChange{config: cfg})...)
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

// replaceProcess continues with a process that recovers from the journal, or that takes over. Clients of a process that
// was killed are gone.
func (w *knownIDWorld) replaceProcess() {
	w.setMemory(true)
	if w.rng.IntN(2) == 0 {
		w.leaving = nil
		w.r = restartRelay(w.t, w.r)
		return
	}
	w.r.returnWaitingCalls()
	edit := func(*hotrestart.State) {}
	if w.rng.IntN(2) == 0 {
		edit = unreadableSnapshot
	}
	w.r = successorOf(w.t, w.r, edit)
}

// act does one of the things that can happen.
func (w *knownIDWorld) act() {
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.submit(fmt.Sprint("id", w.rng.IntN(3)))
	case 3, 4:
		w.setMemory(w.rng.IntN(2) == 0)
	case 5, 6:
		w.endCall(func() egress.Result { return outcomes[w.rng.IntN(len(outcomes))] })
	case 7:
		w.timeOut()
	case 8:
		w.changeRules()
	case 9, 10:
		w.r.started = w.r.started.Add(-time.Duration(w.rng.IntN(2000)) * time.Millisecond)
		w.step(w.takeLeaving()...)
	case 11:
		if w.rng.IntN(3) == 0 {
			w.replaceProcess()
			w.step()
		}
	}
}

// finish lets all messages end, and checks that the relay owes nothing.
func (w *knownIDWorld) finish() {
	w.setMemory(true)
	w.step(listChange(entryText("127.0.0.1:1", w.kind, "ready")))
	for range 30 {
		w.r.started = w.r.started.Add(-500 * time.Millisecond)
		w.step()
		for len(w.r.activeCalls)+len(w.r.predecessorAttempts) > 0 {
			w.endCall(func() egress.Result { return egress.Result{Outcome: policy.OK} })
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
				kind:      []string{"gateway", "platform"}[rng.IntN(2)],
				ordered:   rng.IntN(2) == 0,
				owed:      map[string]bool{},
				delivered: map[string]bool{},
				noticed:   map[policy.MessageID]bool{},
				ran:       map[string]bool{},
				seen:      map[*call]bool{},
			}
			w.step(listChange(entryText("127.0.0.1:1", w.kind, "ready")))
			for range 80 {
				w.act()
			}
			w.finish()
		})
	}
}
