package relay

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
)

// replyToDuplicate returns the answer to a submission whose id belongs to the message known, or to a finished message
// if known is nil. duplicate is false if the submission counts as a new message.
func (r *Relay) replyToDuplicate(
	traceID string,
	known *message,
	now time.Time,
) (reply ingress.Response, duplicate bool) {
	if known == nil {
		return r.finished.reply(traceID, now)
	}
	if known.result == resultCancelled && r.mayGoOn(known) {
		return ingress.Response{}, false
	}
	return duplicateReply(known), true
}

// mayGoOn reports whether a new message may go on from a cancelled one: no attempt of it is out, or it may have two
// attempts out together.
func (r *Relay) mayGoOn(cancelled *message) bool {
	return cancelled.inFlight == 0 || r.cfg.AllowHedging
}

// duplicateReply returns the answer to a submission with the id of m, whose result it shares. It promises a delivery
// only if the message is pending, and can then no longer be cancelled, or was delivered.
func duplicateReply(m *message) ingress.Response {
	switch m.result {
	case resultPending:
		m.hasDuplicates = true
		return ingress.Response{Status: http.StatusAccepted}
	case resultDelivered:
		return ingress.Response{Status: http.StatusAccepted}
	case resultFailed:
		return finalAnswer(*m.Final)
	case resultCancelled: // an attempt is out, and hedging is not allowed
	}
	return ingress.Response{Status: http.StatusInternalServerError}
}

// finalAnswer returns the answer to the client of a message that was not delivered.
func finalAnswer(f journal.FinalAnswer) ingress.Response {
	if f.Retryable {
		return ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: f.RetryAfter}
	}
	return ingress.Response{Status: http.StatusInternalServerError}
}
