package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/notify"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// message is a message that is not finished: it is pending, an attempt is in flight, or the journal still holds it.
type message struct {
	*journal.Message
	attemptsStarted int  // as the policy counts them
	inFlight        int  // attempts without an outcome
	completed       bool // it has its result: the policy takes no more decision on it

	accepting      bool     // registered in this step, which may still reject it
	hasDuplicates  bool     // another client has the answer that it is accepted: it cannot be cancelled
	resubmittedAs  *message // the message that a cancelled one goes on as, after its client submitted it again
	awaitingRemote bool     // unknown to the policy until its attempts at another process have their outcomes
}

// messageState is the state of all messages.
type messageState struct {
	messages        map[policy.MessageID]*message
	messagesByTrace map[string]*message // the latest message of each client's id
	cancelled       []*message          // cancelled ones that may have run, roughly in the order of their deadlines
	finished        finishedMessages
	pending         int // messages without a final answer
	lastMessageID   policy.MessageID
	journalFull     ratelog.Warning // the journal accepts no new message
}

func newMessageState() messageState {
	return messageState{
		messages:        map[policy.MessageID]*message{},
		messagesByTrace: map[string]*message{},
		journalFull:     ratelog.Warning{Message: "journal not written, rejecting new messages"},
	}
}

// cancel ends a message whose client has left before the answer: it will submit the message as a new one.
func (r *Relay) cancel(events []policy.Event, id policy.MessageID) []policy.Event {
	m := r.messages[id]
	if m == nil || m.hasDuplicates || m.completed {
		return events
	}
	r.markCompleted(m)
	r.release(m)
	return append(events, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
}

// release drops a message whose client has no promise of delivery. One that may have run is kept as cancelled as long
// as its client may submit it once more under its id: that must not make it a new message.
func (r *Relay) release(m *message) {
	if len(m.UncertainAttempts) == 0 {
		r.journal.Remove(m.Message)
		r.remove(m)
		return
	}
	r.journal.RecordCancelled(m.Message)
	r.cancelled = append(r.cancelled, m)
}

// markDelivered ends a message that was delivered after all, and the messages that it goes on as. m may be nil.
func (r *Relay) markDelivered(events []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.resubmittedAs {
		if !m.completed {
			events = append(events, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		r.remove(m)
	}
	return events
}

// expire drops cancelled messages: past their deadline, once it is certain that they never ran, or once they go on as
// other messages, which have all their attempts.
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

// markCompleted notes that a message has its result.
func (r *Relay) markCompleted(m *message) {
	if !m.completed {
		m.completed = true
		r.pending--
	}
}

// remove forgets a message, unless an attempt is in flight or the journal still holds it.
func (r *Relay) remove(m *message) {
	if m.inFlight > 0 || !m.completed || r.journal.Tracks(m.Message) {
		return
	}
	delete(r.messages, m.ID)
	if r.messagesByTrace[m.TraceID] == m {
		delete(r.messagesByTrace, m.TraceID)
		r.finished.add(m)
	}
}

// allFinished reports whether no message is left but cancelled ones without an attempt in flight.
func (r *Relay) allFinished() bool {
	for _, m := range r.messages {
		if m.inFlight > 0 || !m.Cancelled {
			return false
		}
	}
	return true
}

// queueNotification queues the final notification of a message that was accepted and is not delivered.
func (r *Relay) queueNotification(m *message) {
	n := notify.Notification{MessageID: m.ID, TraceID: m.TraceID, Status: notify.Undeliverable}
	if m.Final.Retryable {
		n.Status = notify.Deferred
		n.RetryAfterMS = m.Final.RetryAfter.Milliseconds()
	}
	r.notifier.Add(n)
}

// classOf returns a message's class, if the settings still have it.
func (r *Relay) classOf(m *journal.Message) (class policy.Class, known bool) {
	classes := r.activeConfig.Settings.Classes
	if m.Class < 0 || m.Class >= len(classes) {
		return policy.Class{}, false
	}
	return classes[m.Class], true
}

// isIdempotent reports whether a message may run any number of times without harm.
func (r *Relay) isIdempotent(m *journal.Message) bool {
	class, known := r.classOf(m)
	return known && class.Effect == policy.Idempotent
}

// failUnreadable fails a message whose body can no longer be read from the disk.
func (r *Relay) failUnreadable(m *message, err error) {
	r.log.Error("message body unreadable, message failed", "message_id", m.TraceID, "err", err)
	if m.completed {
		return
	}
	r.markCompleted(m)
	final := journal.FinalAnswer{}
	r.countResult(m.Message, finalResult(final))
	r.journal.RecordFinal(m.Message, final)
	r.queueNotification(m)
	// The policy has counted an attempt that is never sent.
	cancelled := policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID}
	notSent := policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    m.ID,
		Attempt:      m.attemptsStarted,
		Outcome:      policy.NotSent,
		MessageEnded: true,
	}
	r.deferredEvents = append(r.deferredEvents, cancelled, notSent)
	r.requestStepAfter(r.cfg.Tick)
}
