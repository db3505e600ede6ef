package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// execution is what is left to do once the journal has what a step changes.
type execution struct {
	calls  []*call
	failed []*message // messages of earlier steps that have a final answer now
}

// responses are those to the submissions of a step, by message. They are no part of execution, so that they need no
// allocation.
type responses map[policy.MessageID]ingress.Response

// execute carries out the policy's actions: first in the journal, in one write, then on the sockets.
func (r *Relay) execute(actions []policy.Action, waiting []*submitEvent) {
	replies := make(responses, len(waiting))
	for _, s := range waiting {
		replies[s.acceptedAs.ID] = ingress.Response{Status: http.StatusAccepted}
	}
	var todo execution
	for i := range actions {
		r.prepare(&todo, replies, &actions[i])
	}
	if err := r.recordSends(todo.calls); err != nil {
		r.sendsUnrecorded.Log(r.log, "calls", len(todo.calls), "err", err)
		// A send that is not in the journal must not leave: after a restart it would be made again.
		r.returnCalls(todo.calls)
		todo.calls = nil
	}
	for _, s := range waiting {
		s.reply <- replies[s.acceptedAs.ID]
	}
	for _, m := range todo.failed {
		r.queueNotification(m)
	}
	for _, c := range todo.calls {
		r.startCall(c)
	}
}

// prepare notes an action in the state and the journal, and adds what is left to do once the journal is written.
func (r *Relay) prepare(todo *execution, replies responses, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		r.prepareSend(todo, a)
	case policy.Reject, policy.Fail:
		r.prepareFinalAnswer(todo, replies, a)
	case policy.SetTimer:
		r.timerAt = time.Now().Add(a.Delay) // the policy counts on one timer, the last that it set
	case policy.CloseIdle:
		r.egress.CloseIdle(a.Endpoint)
	}
}

// prepareSend adds an attempt to the calls.
func (r *Relay) prepareSend(todo *execution, a *policy.Action) {
	m := r.messages[a.MessageID]
	if m == nil {
		// A bug, but one call less in flight is better than no relay.
		r.log.Error("send of an unknown message", "message_id", a.MessageID)
		return
	}
	todo.calls = r.addToCalls(todo.calls, m, a)
}

// prepareFinalAnswer ends a message that is rejected or has failed. The client of a message of this step has that as
// its answer; one of an earlier step gets a notification.
func (r *Relay) prepareFinalAnswer(todo *execution, replies responses, a *policy.Action) {
	m := r.messages[a.MessageID]
	if m == nil || m.completed {
		return
	}
	r.markCompleted(m)
	final := journal.FinalAnswer{Retryable: a.Kind == policy.Reject, RetryAfter: a.Delay}
	r.countResult(m.Message, finalResult(final))
	if _, waiting := replies[a.MessageID]; waiting {
		replies[a.MessageID] = finalAnswer(final)
		r.release(m)
		return
	}
	r.journal.RecordFinal(m.Message, final)
	todo.failed = append(todo.failed, m)
}

// recordSends writes the sends of calls, and all else that was recorded in this step, to the journal.
func (r *Relay) recordSends(calls []*call) error {
	var sends []journal.Send
	for _, c := range calls {
		for _, a := range c.attempts {
			sent := journal.Attempt{Number: a.number, Endpoint: c.EndpointID, Zone: c.zone, SentAt: c.SentAt}
			sends = append(sends, journal.Send{Message: a.message.Message, Attempt: sent})
		}
	}
	if len(sends) == 0 {
		return r.journal.Flush()
	}
	return r.journal.RecordSends(sends...)
}

// returnCalls ends calls whose sends could not be recorded, as if they had never connected.
func (r *Relay) returnCalls(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, egress.Result{Outcome: policy.ConnectFailed})
		}
	}
	// The policy learns of it in a step of its own, soon. That is not the step of its timer, which must not be lost.
	r.requestStepAfter(r.cfg.Tick)
}
