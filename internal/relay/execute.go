package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// execution is the work of a step that remains once the journal holds the step's changes.
type execution struct {
	calls  []*call
	failed []*message // messages of earlier steps that received their final answer in this step
}

// responses holds the responses to the submissions of a step, by message. The map is not a field of execution, so
// that it needs no heap allocation.
type responses map[policy.MessageID]ingress.Response

// execute carries out the policy's actions. It records them in the journal in one write, and only then sends
// anything: answers, notifications and calls.
func (r *Relay) execute(actions []policy.Action, waiting []*submitEvent) {
	replies := make(responses, len(waiting))
	for _, s := range waiting {
		replies[s.acceptedAs.ID] = ingress.Response{Status: http.StatusAccepted}
	}
	var todo execution
	for i := range actions {
		r.prepare(&todo, replies, &actions[i])
	}
	todo.calls = r.callsWithMemory(todo.calls)
	if err := r.recordSends(todo.calls); err != nil {
		r.sendsUnrecorded.Log(r.log, "calls", len(todo.calls), "err", err)
		// A send that is not in the journal must not leave the relay: after a restart, the message would be sent
		// again as if it had never been sent.
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

// prepare applies an action to the relay's state, queues its records for the journal, and adds the work that follows
// the journal write to todo.
func (r *Relay) prepare(todo *execution, replies responses, a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		r.prepareSend(todo, a)
	case policy.Reject, policy.Fail:
		r.prepareFinalAnswer(todo, replies, a)
	case policy.SetTimer:
		r.timerAt = time.Now().Add(a.Delay) // the policy has one timer: the last SetTimer action counts
	case policy.CloseIdle:
		r.egress.CloseIdle(a.Endpoint)
	}
}

// prepareSend adds the attempt of a Send action to the calls.
func (r *Relay) prepareSend(todo *execution, a *policy.Action) {
	m := r.messages[a.MessageID]
	if m == nil {
		// Such an action is a bug, but a call that is not made is better than a crash of the relay.
		r.log.Error("send action ignored, unknown message", "message_id", a.MessageID)
		return
	}
	todo.calls = r.addToCalls(todo.calls, m, a)
}

// prepareFinalAnswer ends a message that is rejected or has failed. The client of a message that was submitted in
// this step receives the final answer as its response; a message of an earlier step gets a final notification.
func (r *Relay) prepareFinalAnswer(todo *execution, replies responses, a *policy.Action) {
	m := r.messages[a.MessageID]
	if m == nil || m.completed() {
		return
	}
	final := journal.FinalAnswer{Retryable: a.Kind == policy.Reject, RetryAfter: a.Delay}
	r.countResult(m.Message, finalResult(final))
	r.logFinal(m.Message, final)
	if _, waiting := replies[a.MessageID]; waiting {
		replies[a.MessageID] = finalAnswer(final)
		r.markCompleted(m, resultCancelled)
		r.release(m)
		return
	}
	r.markCompleted(m, resultFailed)
	r.journal.RecordFinal(m.Message, final)
	todo.failed = append(todo.failed, m)
}

// recordSends writes the sends of calls and all other pending records of the step to the journal.
func (r *Relay) recordSends(calls []*call) error {
	var sends []journal.Send
	for _, c := range calls {
		for _, a := range c.attempts {
			sent := journal.Attempt{
				Number:   a.number,
				Endpoint: c.EndpointID,
				Zone:     c.zone,
				ZoneName: nameAt(r.cfg.Zones, c.zone),
				SentAt:   c.SentAt,
			}
			sends = append(sends, journal.Send{Message: a.message.Message, Attempt: sent})
		}
	}
	if len(sends) == 0 {
		return r.journal.Flush()
	}
	return r.journal.RecordSends(sends...)
}

// returnCalls ends calls whose sends could not be recorded, with the outcome of a connection that failed.
func (r *Relay) returnCalls(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, egress.Result{Outcome: policy.ConnectFailed})
		}
		r.releaseCall(c)
	}
	// The policy receives these events in an additional step. Requesting that step does not change timerAt, so the
	// policy's timer is not lost.
	r.requestStepAfter(r.cfg.Tick)
}
