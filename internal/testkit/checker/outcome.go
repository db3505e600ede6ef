package checker

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// outcome is what a relay can know about an attempt.
type outcome int

const (
	pending    outcome = iota // neither answered nor aborted
	delivered                 // it ran, once
	mayHaveRun                // an error or an aborted connection, which leave it open
	didNotRun                 // the endpoint answered so
)

// What an endpoint's answer to a batch says of each message. Any other word leaves open whether the message ran.
const (
	batchDelivered = "ok"
	batchOverload  = "later"
	batchEnded     = "gone"      // the message has ended for its client
	batchExhausted = "exhausted" // the message has no attempt left
)

// outcome returns how an attempt had ended by a time, and when it ended.
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

// replyOutcome returns what an endpoint's answer says about the message at a position of the call.
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

// delivery returns when a message was first delivered, and the endpoint's answer that shows it.
func (r *record) delivery(m *message) (at time.Duration, event int, ok bool) {
	at = never
	for _, a := range m.attempts {
		if o, t := r.outcome(a, never); o == delivered && t < at {
			at, event, ok = t, a.reply, true
		}
	}
	return at, event, ok
}

// accepted reports whether the client had the answer that the relay accepts the message.
func (r *record) accepted(m *message) bool {
	if m.answer == noEvent {
		return false
	}
	status := r.events[m.answer].Status
	return status == http.StatusAccepted || status == http.StatusOK
}

// asksForResubmission reports whether an answer or a notice tells the client to submit the message again later.
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

// isOverloaded reports whether a status rejects a request because of load.
func isOverloaded(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
