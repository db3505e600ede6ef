package checker

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// outcome is the result of an attempt, as far as the relay can determine it.
type outcome int

const (
	pending    outcome = iota // neither answered nor aborted
	delivered                 // the message ran, once
	mayHaveRun                // an error or an aborted connection, after which the message may or may not have run
	didNotRun                 // the endpoint answered that the message did not run
)

// States of a message in an endpoint's answer to a batch. A message with any other state may have run.
const (
	batchDelivered = "ok"
	batchOverload  = "later"
	batchEnded     = "gone"      // the message was withdrawn, or is past its deadline
	batchExhausted = "exhausted" // the message has had all attempts that it may have
)

// outcome returns the outcome of an attempt as of a time, and when the attempt ended, or 0 if it is pending.
func (r *record) outcome(a attempt, by time.Duration) (outcome, time.Duration) {
	if a.reply != noEvent && r.events[a.reply].At <= by {
		reply := r.events[a.reply]
		return replyOutcome(reply, a.position), reply.At
	}
	if a.aborted != noEvent && r.events[a.aborted].At <= by {
		return mayHaveRun, r.events[a.aborted].At
	}
	return pending, 0
}

// replyOutcome returns the outcome that an endpoint's answer gives for the message at a position in the call's IDs.
func replyOutcome(reply eventlog.Event, position int) outcome {
	switch reply.Status {
	case http.StatusOK:
		if reply.States == nil {
			return delivered
		}
		if position < len(reply.States) {
			return batchOutcome(reply.States[position])
		}
	case http.StatusBadRequest, http.StatusGone, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return didNotRun
	}
	return mayHaveRun
}

func batchOutcome(state string) outcome {
	switch state {
	case batchDelivered:
		return delivered
	case batchOverload, batchEnded, batchExhausted:
		return didNotRun
	default:
		return mayHaveRun
	}
}

// delivery returns when a message was first delivered, and the index of the endpoint's answer that shows the
// delivery. If the message was not delivered, at is never and ok is false.
func (r *record) delivery(m *message) (at time.Duration, event int, ok bool) {
	at = never
	for _, a := range m.attempts {
		if o, t := r.outcome(a, never); o == delivered && t < at {
			at, event, ok = t, a.reply, true
		}
	}
	return at, event, ok
}

// accepted reports whether the client received the answer that the relay accepted the message.
func (r *record) accepted(m *message) bool {
	if m.answer == noEvent {
		return false
	}
	status := r.events[m.answer].Status
	return status == http.StatusAccepted || status == http.StatusOK
}

// asksForResubmission reports whether an answer or a notice asks the client to submit the message again later.
func asksForResubmission(e eventlog.Event) bool {
	switch e.Kind {
	case eventlog.SubmissionAnswered:
		return isOverloaded(e.Status)
	case eventlog.MessageNotice:
		return e.State == eventlog.StateDeferred
	default:
		return false
	}
}

// isOverloaded reports whether a status rejects a request because of overload.
func isOverloaded(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
