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
	attemptsStarted int // attempts that the policy has started; also the number of the next one
	inFlight        int // attempts without an outcome
	result          messageResult

	accepting           bool     // the message was registered in this step, which may still reject it
	hasDuplicates       bool     // another submission shares the answer, so the message can no longer be cancelled
	resubmittedAs       *message // of a cancelled message that its client submitted again: the new message
	awaitingPredecessor bool     // the policy gets the message once its attempts at the predecessor have outcomes
}

// messageState is the state of all messages.
type messageState struct {
	messages        map[policy.MessageID]*message
	messagesByTrace map[string]*message // by trace id: the latest message with that id
	kept            []*message          // cancelled or delivered messages that may have run, roughly by deadline
	finished        finishedMessages
	finishedBytes   int64 // reserved for finished
	pending         int   // number of messages that are not completed
	keptDelivered   int   // number of delivered messages in kept
	lastMessageID   policy.MessageID
	journalFull     ratelog.Warning // logged when the journal cannot store new messages
}

func newMessageState() messageState {
	return messageState{
		messages:        map[policy.MessageID]*message{},
		messagesByTrace: map[string]*message{},
		journalFull:     ratelog.Warning{Message: "journal not written, rejecting new messages"},
	}
}

// cancel ends a message whose client disconnected before it received the answer. The client will submit the message
// again, as a new one.
func (r *Relay) cancel(events []policy.Event, id policy.MessageID) []policy.Event {
	m := r.messages[id]
	if m == nil || m.hasDuplicates || m.completed() {
		return events
	}
	r.logCancelled(m)
	r.markCompleted(m, resultCancelled)
	r.release(m)
	return append(events, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
}

// release drops a message whose client was not promised its delivery. A message that may have run is kept as cancelled
// while its client may still submit it again under the same id, because that submission must continue from the attempts
// already made.
func (r *Relay) release(m *message) {
	if len(m.UncertainAttempts) == 0 {
		r.journal.Remove(m.Message)
		r.remove(m)
		return
	}
	r.journal.RecordCancelled(m.Message)
	r.kept = append(r.kept, m)
}

// markDelivered ends a message that turned out to be delivered, and the messages as which it was submitted again. m may
// be nil.
func (r *Relay) markDelivered(events []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.resubmittedAs {
		if !m.completed() {
			events = append(events, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m, resultDelivered)
		r.recordDelivered(m)
		r.remove(m)
	}
	return events
}

// expire drops finished messages past their deadlines, and cancelled messages that are no longer needed: those past
// their deadlines, those that are known never to have run, and those that were submitted again, since the new message
// includes their attempts.
func (r *Relay) expire() {
	now := time.Now()
	r.finished.expire(now)
	r.accountFinished()
	r.kept = slices.DeleteFunc(r.kept, func(m *message) bool {
		if m.resubmittedAs == nil && len(m.UncertainAttempts) > 0 && now.Before(m.Deadline) {
			return false
		}
		r.dropKept(m)
		return true
	})
}

// remove deletes a message, unless it has no result yet, an attempt is in flight, or the journal still holds it. The
// answer to the message is kept in finishedMessages, if its client may need it again.
func (r *Relay) remove(m *message) {
	if m.inFlight > 0 || !m.completed() || r.journal.Tracks(m.Message) {
		return
	}
	r.untrack(m)
	if r.messagesByTrace[m.TraceID] == m {
		delete(r.messagesByTrace, m.TraceID)
		r.finished.add(m)
	}
}

// allFinished reports whether all remaining messages are cancelled or delivered ones without an attempt in flight.
func (r *Relay) allFinished() bool {
	for _, m := range r.messages {
		ended := m.result == resultCancelled || m.result == resultDelivered
		if m.inFlight > 0 || !ended {
			return false
		}
	}
	return true
}

// queueNotification queues the final notification for a message that was accepted but not delivered.
func (r *Relay) queueNotification(m *message) {
	n := notify.Notification{MessageID: m.ID, TraceID: m.TraceID, Status: notify.Undeliverable}
	if m.Final.Retryable {
		n.Status = notify.Deferred
		n.RetryAfterMS = m.Final.RetryAfter.Milliseconds()
	}
	r.notifier.Add(n)
}

// termsOf returns the terms that bind a message: those under which it was accepted. If they are unknown, they are the
// strictest ones, with the deadline of the message's class if the configuration has that class.
func (r *Relay) termsOf(m *journal.Message) policy.MessageTerms {
	if m.Terms != nil {
		return *m.Terms
	}
	terms := policy.StrictestTerms(time.Until(m.Deadline))
	if class := slices.Index(r.activeConfig.ClassNames, m.ClassName); class >= 0 {
		terms.Class.Deadline = r.activeConfig.Settings.Classes[class].Deadline
	}
	return terms
}

// effectOf returns the effect of a repeated delivery of a message.
func (r *Relay) effectOf(m *journal.Message) policy.Effect { return r.termsOf(m).Class.Effect }

// failUnreadable fails a message whose body can no longer be read from the disk. The policy has already counted its
// next attempt, which is never sent.
func (r *Relay) failUnreadable(m *message, err error) {
	if !r.failMessage(m, err) {
		return
	}
	r.deferredEvents = append(r.deferredEvents, policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    m.ID,
		Attempt:      m.attemptsStarted,
		Outcome:      policy.NotSent,
		MessageEnded: true,
	})
}

// failMessage gives a message its final answer because its body cannot be read. It returns false if the message has
// its result already.
func (r *Relay) failMessage(m *message, err error) bool {
	r.log.Error("message body unreadable, message failed", "message_id", m.TraceID, "err", err)
	if m.completed() {
		return false
	}
	r.markCompleted(m, resultFailed)
	final := journal.FinalAnswer{}
	r.countResult(m.Message, finalResult(final))
	r.journal.RecordFinal(m.Message, final)
	r.queueNotification(m)
	r.deferredEvents = append(r.deferredEvents, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
	r.requestStepAfter(r.cfg.Tick)
	return true
}
