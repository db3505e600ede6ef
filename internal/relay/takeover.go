package relay

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/policy"
)

// errTerminated reports that this process was terminated before it took over.
var errTerminated = errors.New("relay: process terminated before it took over from its predecessor")

// attemptKey identifies an attempt. An attempt has the same key in the predecessor and in this process.
type attemptKey struct {
	messageID policy.MessageID
	number    int
}

// predecessorOutcome is the outcome of an attempt that the predecessor made.
type predecessorOutcome hotrestart.Outcome

// predecessorGone reports that the predecessor sends nothing more.
type predecessorGone struct{}

func (e predecessorOutcome) apply(r *Relay, s *stepState) {
	s.policyEvents = r.predecessorAttemptFinished(s.policyEvents, e)
}

func (predecessorGone) apply(r *Relay, s *stepState) {
	s.policyEvents = r.abandonPredecessorAttempts(s.policyEvents)
}

// takeOver waits until the predecessor hands over or ends. If it ends without handing over, this process recovers the
// state from the journal.
func (r *Relay) takeOver(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.closePredecessor)
	defer stop()
	state, err := r.predecessor.RequestState(policy.Revision(), r.awaitingHandOver.Store)
	if ctx.Err() != nil {
		return errTerminated
	}
	r.log.Info("predecessor has handed over or ended", "state", state != nil, "err", err)
	if err := r.openJournal(); err != nil {
		return err
	}
	if state == nil {
		r.closePredecessor()
		r.setPredecessorAlive(false)
		r.recoverState()
		return nil
	}
	r.restoreState(state)
	go r.receiveFromPredecessor()
	return nil
}

// closePredecessor closes the connection to the predecessor. Errors do not matter: the connection is no longer used.
func (r *Relay) closePredecessor() { _ = r.predecessor.Close() }

// receiveFromPredecessor posts to the loop what the predecessor sends after its state: outcomes of its attempts, and
// submissions and cancellations of its clients.
func (r *Relay) receiveFromPredecessor() {
	defer r.post(predecessorGone{})
	defer r.setPredecessorAlive(false)
	defer r.closePredecessor()
	for {
		f, err := r.predecessor.Receive()
		if err != nil {
			r.log.Info("connection to the predecessor ended", "err", err)
			return
		}
		switch {
		case f.Outcome != nil:
			r.post(predecessorOutcome(*f.Outcome))
		case f.Cancel != 0:
			r.post(cancelEvent{f.Cancel})
		case f.Submission != nil && f.Submission.Message != nil:
			if !r.acceptForPredecessor(f.Submission) {
				return
			}
		}
	}
}

// acceptForPredecessor posts a submission from a client of the predecessor to the loop. It sends the answer to the
// predecessor as soon as there is one, without waiting for it. It returns false if the loop has ended.
func (r *Relay) acceptForPredecessor(submission *hotrestart.Submission) bool {
	m := submission.Message
	m.TenantName = nameAt(r.predecessorTenants, m.Tenant)
	submitted := &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
	if !r.post(submitted) {
		return false
	}
	go func() {
		select {
		case response := <-submitted.reply:
			answer := &hotrestart.Answer{
				Seq:        submission.Seq,
				ID:         m.ID,
				Status:     response.Status,
				RetryAfter: response.RetryAfter,
				Text:       response.Text,
			}
			// An error means that the predecessor has ended, and with it the connection of the client.
			_ = r.predecessor.Send(hotrestart.Frame{Answer: answer})
		case <-r.loopDone:
		}
	}()
	return true
}

// predecessorAttemptFinished handles the outcome of an attempt that the predecessor made.
func (r *Relay) predecessorAttemptFinished(events []policy.Event, o predecessorOutcome) []policy.Event {
	key := attemptKey{o.ID, o.Number}
	a := r.predecessorAttempts[key]
	if a == nil {
		return events
	}
	events = r.attemptEnded(events, a, egress.Result{
		Outcome:      o.Outcome,
		MessageEnded: o.MessageEnded,
		RetryAfter:   o.RetryAfter,
		LimitReport:  o.LimitReport,
		Latency:      o.Latency,
	})
	if o.CallFinished {
		delete(r.predecessorAttempts, key)
	}
	return events
}

// abandonPredecessorAttempts ends the attempts whose outcomes the predecessor did not send, with the outcome Cancelled:
// their messages may have run.
func (r *Relay) abandonPredecessorAttempts(events []policy.Event) []policy.Event {
	for _, key := range slices.SortedFunc(maps.Keys(r.predecessorAttempts), compareAttempts) {
		a := r.predecessorAttempts[key]
		cancelled := egress.Result{Outcome: policy.Cancelled, Latency: time.Since(a.call.SentAt)}
		events = r.attemptEnded(events, a, cancelled)
	}
	clear(r.predecessorAttempts)
	return events
}

// compareAttempts orders attempts by message and number.
func compareAttempts(a, b attemptKey) int {
	return cmp.Or(cmp.Compare(a.messageID, b.messageID), cmp.Compare(a.number, b.number))
}

// resumeAfterPredecessorAttempt handles the result of an attempt whose message is unknown to the policy. It
// passes the outcome to the policy as a health check of the endpoint. It also passes the message to the policy if the
// message is not completed and no other attempt of it is in flight.
func (r *Relay) resumeAfterPredecessorAttempt(events []policy.Event, a *attempt, res egress.Result) []policy.Event {
	events = append(events, policy.Event{
		Kind:        policy.HealthChecked,
		Endpoint:    a.call.EndpointID,
		Outcome:     res.Outcome,
		Latency:     res.Latency,
		RetryAfter:  res.RetryAfter,
		LimitReport: res.LimitReport,
	})
	m := a.message
	if m.completed() || m.inFlight > 0 {
		return events
	}
	m.awaitingPredecessor = false
	return append(events, r.resumedEvent(m))
}
