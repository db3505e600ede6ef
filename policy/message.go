package policy

import (
	"slices"
	"time"
)

// message is a message that is pending, or that has ended with attempts still in flight.
type message struct {
	id          MessageID
	class       *Class
	destination *destination
	keyQueue    *keyQueue     // of its ordering key; nil if it has none
	objectiveAt time.Duration // the latency objective is met until then
	deadline    time.Duration
	queueRank   time.Duration // place in the queue: lower goes first
	queued      bool
	ended       bool // has its final answer
	recovered   bool // was accepted by an earlier process

	attempts           int
	maxAttempts        int // 0: no limit
	inFlight           []attempt
	lastFailedEndpoint *endpoint // of the last attempt that failed
	timeouts           int       // attempts without an answer; used by no decision, and part of the snapshot's format

	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // send of the first of those
	firstRunZone int           // and its zone
}

// rejectOrFail gives a message its final answer: a rejection if the client may safely retry, else a failure. A message
// without a further attempt gets it at once, not at its deadline: its client can use the time.
func (e *Engine) rejectOrFail(msg *message) {
	if e.mayReject(msg) {
		e.reject(msg)
		return
	}
	e.fail(msg)
}

// reject ends a message for which mayReject holds. Its Retry-After reaches to the time at which an endpoint may take a
// retry.
func (e *Engine) reject(msg *message) {
	retryAfter := MinRetryAfter
	for _, scope := range msg.destination.scopes {
		retryAfter = max(retryAfter, scope.retryAfterUntil-e.now)
	}
	e.emit(Action{Kind: Reject, MessageID: msg.id, Delay: min(retryAfter, e.settings.MaxRetryAfter)})
	// The client may retry here or at another relay, and the message counts there.
	e.acceptedTraffic.level = max(0, e.acceptedTraffic.level-1)
	e.finishMessage(msg)
}

// fail ends a message that may have run, or may still run.
func (e *Engine) fail(msg *message) {
	e.emit(Action{Kind: Fail, MessageID: msg.id})
	e.finishMessage(msg)
}

// finishMessage ends a message that needs no further answer.
func (e *Engine) finishMessage(msg *message) {
	if !msg.ended {
		msg.ended = true
		e.pendingMessages--
		e.dequeue(msg)
	}
	e.releaseMessage(msg)
}

// releaseMessage drops an ended message once its attempts have their outcomes. The next message of its key may go then.
func (e *Engine) releaseMessage(msg *message) {
	if !msg.ended || len(msg.inFlight) > 0 {
		return
	}
	delete(e.messages, msg.id)
	msg.destination.messageCount--
	queue := msg.keyQueue
	if queue == nil {
		return
	}
	msg.keyQueue = nil
	queue.messages = slices.DeleteFunc(queue.messages, func(other *message) bool { return other == msg })
	if len(queue.messages) > 0 {
		e.recheck(queue.messages[0].destination)
	} else {
		e.startExpiry(queue)
	}
}
