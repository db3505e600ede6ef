package relay

import (
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// unavailableResponse asks a client whose message was not accepted to submit it again soon.
var unavailableResponse = ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: policy.MinRetryAfter}

// accept records new messages in the journal. It answers rejected submissions and duplicates of earlier messages
// right away, and returns the submissions whose answers depend on this step's decisions.
func (r *Relay) accept(submissions []*submitEvent) (waiting []*submitEvent) {
	var records []*journal.Message
	now := time.Now()
	for _, s := range submissions {
		if !r.resolveClass(s.message) {
			s.reply <- ingress.BadRequest("unknown class %q", s.message.ClassName)
			continue
		}
		known := r.messagesByTrace[s.message.TraceID]
		if known != nil && known.accepting {
			known.hasDuplicates = true
			s.acceptedAs = known
			waiting = append(waiting, s)
			continue
		}
		if reply, duplicate := r.replyToDuplicate(s.message.TraceID, known, now); duplicate {
			r.logDuplicate(s.message.TraceID, known, reply.Status)
			s.reply <- reply
			continue
		}
		if reply, admitted := r.admit(s.message); !admitted {
			s.reply <- reply
			continue
		}
		s.acceptedAs = r.register(s.message, known)
		waiting = append(waiting, s)
		records = append(records, s.message)
	}
	if len(records) == 0 {
		return waiting
	}
	err := r.journal.Accept(records...)
	for _, s := range waiting {
		s.acceptedAs.accepting = false
		r.logAccepted(s.message)
	}
	if err != nil {
		// A full disk must not stop the relay: pending messages go on, and only new ones are rejected.
		r.journalFull.Log(r.log, "err", err)
		r.rollBack(waiting)
		return nil
	}
	return waiting
}

// resolveClass sets the indexes and the terms of a new message to those of the configuration in force, because the
// configuration may have changed since the client's request was parsed. It returns false if the class no longer exists.
func (r *Relay) resolveClass(m *journal.Message) bool {
	r.resolveClassIndex(m)
	if m.Class < 0 || m.Class >= len(r.activeTerms) {
		return false
	}
	m.Terms = &r.activeTerms[m.Class]
	if m.TenantName != "" {
		m.Tenant = indexOf(r.activeConfig.TenantNames, m.TenantName)
	}
	return true
}

// resolveClassIndex sets the class index of a message to that of the configuration in force, or to -1 if the class no
// longer exists. Recordings and metrics use the index; the terms of the message bind it in any case.
func (r *Relay) resolveClassIndex(m *journal.Message) {
	if m.ClassName != "" {
		m.Class = slices.Index(r.activeConfig.ClassNames, m.ClassName)
	}
}

// admit reports whether a new message can be accepted, and reserves its memory. Its destination must be in the
// endpoint list, once there is one, and the number of pending messages and their memory must be below their limits.
// If not, reply rejects the message.
func (r *Relay) admit(m *journal.Message) (reply ingress.Response, admitted bool) {
	if r.listReceived && !r.catalog.HasDestination(m.Destination) {
		r.countResult(m, metrics.Failed)
		return ingress.BadRequest("no such destination: %d", m.Destination), false
	}
	limit := r.activeConfig.Settings.MaxPendingMessages
	if limit > 0 && r.pending >= limit || !r.budget.Reserve(memory.Messages, messageMemory(m)) {
		r.countResult(m, metrics.Rejected)
		return unavailableResponse, false
	}
	return ingress.Response{}, true
}

// register adds a new message to the relay's state. previous is the cancelled message with the same id, or nil. A
// cancelled message may have run, so the new message goes on with its attempts, under terms that allow no more than
// those of either message.
func (r *Relay) register(record *journal.Message, previous *message) *message {
	r.lastMessageID++
	record.ID = r.lastMessageID
	m := &message{Message: record, accepting: true}
	if previous != nil {
		m.Attempts = previous.Attempts
		m.UncertainAttempts = slices.Clone(previous.UncertainAttempts)
		m.attemptsStarted = previous.Attempts // the policy counts only attempts that were made
		if m.Attempts > 0 {
			terms := policy.StricterTerms(r.termsOf(previous.Message), *m.Terms)
			m.Terms = &terms
		}
		previous.resubmittedAs = m
	}
	r.track(m)
	r.messagesByTrace[m.TraceID] = m
	r.recorder.Label(m.ID, m.TraceID)
	r.pending++
	return m
}

// rollBack rejects messages that could not be journaled, and undoes what register changed for them.
func (r *Relay) rollBack(waiting []*submitEvent) {
	for _, s := range waiting {
		if m := s.acceptedAs; m.Message == s.message {
			r.pending--
			r.untrack(m)
			delete(r.messagesByTrace, m.TraceID)
			r.countResult(s.message, metrics.Rejected)
		}
		s.reply <- unavailableResponse
	}
	for _, m := range r.kept {
		if m.resubmittedAs != nil && r.messages[m.resubmittedAs.ID] == nil {
			m.resubmittedAs = nil
			r.messagesByTrace[m.TraceID] = m
		}
	}
}
