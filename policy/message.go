package policy

import (
	"slices"
	"time"
)

// message holds the state of a message that is pending, or that has ended while attempts are still in flight.
type message struct {
	id          MessageID
	class       *Class
	destination *destination
	keyQueue    *keyQueue     // queue of its ordering key; nil without one
	objectiveAt time.Duration // a delivery up to this time meets the latency objective
	deadline    time.Duration
	queueRank   time.Duration // position in the queue: the lowest is sent first
	queued      bool
	ended       bool // has its final answer, or was cancelled
	recovered   bool // was accepted by an earlier process

	attempts           int
	maxAttempts        int // 0: no limit
	inFlight           []attempt
	lastFailedEndpoint *endpoint // of the last attempt that failed
	timeouts           int       // attempts without an answer; used by no decision, kept for the snapshot format

	mayHaveRun   bool          // an attempt may have run
	firstRunAt   time.Duration // send time of the first attempt that may have run
	firstRunZone int           // zone of that attempt's endpoint
}

// rejectOrFail gives a message its final answer: a rejection if the client may safely retry, else a failure. A
// message that can have no further attempt gets its final answer at once, not at its deadline, so that its client
// can use the remaining time.
func (e *Engine) rejectOrFail(msg *message) {
	if e.mayReject(msg) {
		e.reject(msg)
		return
	}
	e.fail(msg)
}

// reject ends a message for which mayReject returns true. The Retry-After that the client gets covers those of all
// scopes of the destination, up to Settings.MaxRetryAfter.
func (e *Engine) reject(msg *message) {
	retryAfter := MinRetryAfter
	for _, scope := range msg.destination.scopes {
		retryAfter = max(retryAfter, scope.retryAfterUntil-e.now)
	}
	e.emit(Action{Kind: Reject, MessageID: msg.id, Delay: min(retryAfter, e.settings.MaxRetryAfter)})
	// The relay that accepts the client's retry, this or another one, counts the message then.
	e.acceptedTraffic.level = max(0, e.acceptedTraffic.level-1)
	e.finishMessage(msg)
}

// fail ends a message that may have run, or may still run.
func (e *Engine) fail(msg *message) {
	e.emit(Action{Kind: Fail, MessageID: msg.id})
	e.finishMessage(msg)
}

// finishMessage ends a message that has its final answer, or whose client has cancelled it.
func (e *Engine) finishMessage(msg *message) {
	if !msg.ended {
		msg.ended = true
		e.pendingMessages--
		e.dequeue(msg)
	}
	e.releaseMessage(msg)
}

// releaseMessage removes an ended message once all its attempts have their outcomes. The next message with the same
// ordering key may then be sent.
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
