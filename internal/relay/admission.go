package relay

import (
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// accept puts new messages in the log and returns the hand-ins that are answered when this step is decided. The
// others have their answers.
func (r *Relay) accept(ins []*submitEvent) (waiting []*submitEvent) {
	var ms []*journal.Message
	now := time.Now()
	for _, in := range ins {
		if in.message.ClassName != "" {
			// The terms may have changed since the door read them.
			if in.message.Class = slices.Index(r.activeConfig.ClassNames, in.message.ClassName); in.message.Class < 0 {
				in.reply <- bad("unknown class %q", in.message.ClassName)
				continue
			}
		}
		old := r.messagesByTrace[in.message.TraceID]
		if old != nil && old.accepting {
			in.acceptedAs, old.hasDuplicates = old, true
			waiting = append(waiting, in)
			continue
		}
		if old != nil && !(old.Cancelled && (old.inFlight == 0 || r.cfg.AllowHedging)) {
			in.reply <- r.duplicateReply(old)
			continue
		}
		if a, ended := r.finished.reply(in.message.TraceID, now); old == nil && ended {
			in.reply <- a
			continue
		}
		switch {
		case r.listReceived && !r.catalog.HasDestination(in.message.Destination):
			r.countResult(in.message, metrics.Failed)
			in.reply <- bad("no such destination: %d", in.message.Destination)
			continue
		case r.activeConfig.Settings.MaxPendingMessages > 0 && r.pending >= r.activeConfig.Settings.MaxPendingMessages:
			r.countResult(in.message, metrics.Rejected)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
			continue
		}
		r.lastMessageID++
		in.message.ID = r.lastMessageID
		m := &message{Message: in.message, accepting: true}
		if old != nil {
			// It may have run, and goes on from there.
			m.Attempts, m.UncertainAttempts, m.attemptsStarted = old.Attempts, slices.Clone(old.UncertainAttempts), old.attemptsStarted
			old.resubmittedAs = m
		}
		r.messages[m.ID], r.messagesByTrace[m.TraceID] = m, m
		r.recorder.Label(m.ID, m.TraceID)
		r.pending++
		in.acceptedAs = m
		waiting, ms = append(waiting, in), append(ms, in.message)
	}
	if len(ms) == 0 {
		return waiting
	}
	err := r.journal.Accept(ms...)
	for _, in := range waiting {
		in.acceptedAs.accepting = false
	}
	if err == nil {
		return waiting
	}
	// A full disk is no reason to die: what is held goes on, new work is refused.
	r.journalFull.Log(r.log, "err", err)
	for _, in := range waiting {
		if m := in.acceptedAs; m.Message == in.message {
			r.pending--
			delete(r.messages, m.ID)
			delete(r.messagesByTrace, m.TraceID)
			r.countResult(in.message, metrics.Rejected)
		}
		in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
	}
	for _, m := range r.cancelled {
		if m.resubmittedAs != nil && r.messages[m.resubmittedAs.ID] == nil {
			m.resubmittedAs, r.messagesByTrace[m.TraceID] = nil, m
		}
	}
	return nil
}

// duplicateReply is the answer to a hand-in under the id of a message that is known: the end that this one has, if any.
func (r *Relay) duplicateReply(m *message) answer {
	switch {
	case m.Cancelled: // its call is still out, and may not have company
		return answer{status: http.StatusInternalServerError}
	case m.Final == nil: // under way, or delivered
		m.hasDuplicates = true
		return answer{status: http.StatusAccepted}
	}
	return finalAnswer(*m.Final)
}

// finalAnswer is what a client is told of a message that is not delivered.
func finalAnswer(f journal.FinalAnswer) answer {
	if f.Retryable {
		return answer{status: http.StatusServiceUnavailable, again: f.RetryAfter}
	}
	return answer{status: http.StatusInternalServerError}
}
