package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/notify"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// message is a message that the relay has not done with.
type message struct {
	*journal.Message
	attemptsStarted int  // as the module counts them
	inFlight        int  // attempts without an outcome
	completed       bool // the module has done with it

	accepting      bool     // taken on in this step, which may yet refuse it
	hasDuplicates  bool     // others were told that it is taken on, too: it cannot be withdrawn
	resubmittedAs  *message // withdrawn and handed in once more: what it goes on as
	awaitingRemote bool     // the module does not know of it: its outcome at another process comes first
}

// cancel ends a message whose client has left before its answer.
func (r *Relay) cancel(evs []policy.Event, id uint32) []policy.Event {
	m := r.messages[id]
	if m == nil || m.hasDuplicates || m.completed {
		return evs
	}
	r.markCompleted(m)
	r.release(m)
	return append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
}

// release ends a message that is no more owed. One that may have run is remembered as long as its client may hand it in
// once more under its id: that must not make it a new one.
func (r *Relay) release(m *message) {
	if len(m.UncertainAttempts) == 0 {
		r.journal.Remove(m.Message)
		r.remove(m)
		return
	}
	r.journal.RecordCancelled(m.Message)
	r.cancelled = append(r.cancelled, m)
}

// markDelivered ends a message that was delivered after all, and what it goes on as.
func (r *Relay) markDelivered(evs []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.resubmittedAs {
		if !m.completed {
			evs = append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		r.remove(m)
	}
	return evs
}

// expire drops messages that were withdrawn once their time is up, once it is certain that they never ran, or once
// they go on as others, which know all that these did.
func (r *Relay) expire() {
	now := time.Now()
	r.finished.expire(now)
	r.cancelled = slices.DeleteFunc(r.cancelled, func(m *message) bool {
		if m.resubmittedAs == nil && len(m.UncertainAttempts) > 0 && now.Before(m.Deadline) {
			return false
		}
		r.journal.Remove(m.Message)
		r.remove(m)
		return true
	})
}

// markCompleted books that the module has done with a message.
func (r *Relay) markCompleted(m *message) {
	if !m.completed {
		m.completed = true
		r.pending--
	}
}

// remove forgets a message for which nothing is owed and nothing is out.
func (r *Relay) remove(m *message) {
	if m.inFlight == 0 && m.completed && !r.journal.Tracks(m.Message) {
		delete(r.messages, m.ID)
		if r.messagesByTrace[m.TraceID] == m {
			delete(r.messagesByTrace, m.TraceID)
			r.finished.add(m)
		}
	}
}

// allFinished tells whether all is ended, and all outcomes are in.
func (r *Relay) allFinished() bool {
	for _, m := range r.messages {
		if m.inFlight > 0 || !m.Cancelled {
			return false
		}
	}
	return true
}

// queueNotification queues the notice that ends a message.
func (r *Relay) queueNotification(m *message) {
	n := notify.Notice{MessageID: m.ID, TraceID: m.TraceID, Status: "undeliverable"}
	if m.Final.Retryable {
		n.Status, n.RetryAfterMS = "deferred", m.Final.RetryAfter.Milliseconds()
	}
	r.finals.Add(n)
}

// classOf is a message's class, if the settings still name it.
func (r *Relay) classOf(m *journal.Message) (class policy.Class, known bool) {
	if known = m.Class >= 0 && m.Class < len(r.activeConfig.Settings.Classes); known {
		class = r.activeConfig.Settings.Classes[m.Class]
	}
	return class, known
}

// isIdempotent tells whether a message may run any number of times.
func (r *Relay) isIdempotent(m *journal.Message) bool {
	class, known := r.classOf(m)
	return known && class.Effect == policy.Idempotent
}

// failUnreadable ends a message whose body the disk no longer gives.
func (r *Relay) failUnreadable(m *message, err error) {
	r.log.Error("a message's body cannot be read: it is given up", "trace", m.TraceID, "err", err)
	if m.completed {
		return
	}
	r.markCompleted(m)
	final := journal.FinalAnswer{}
	r.countResult(m.Message, finalResult(final))
	r.journal.RecordFinal(m.Message, final)
	r.queueNotification(m)
	// The module has booked an attempt that never leaves.
	r.deferredEvents = append(
		r.deferredEvents,
		policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID},
		policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    m.ID,
			Attempt:      m.attemptsStarted,
			Outcome:      policy.NotSent,
			MessageEnded: true,
		},
	)
	time.AfterFunc(r.cfg.Tick, func() { r.post(tick{}) })
}
