package policy

import (
	"slices"
	"time"
)

// message is one message held, or ended with attempts still out.
type message struct {
	id                 uint32
	class              *Class
	destination        *destination
	keyQueue           *keyQueue // order of its key; nil if none
	objectiveAt        time.Duration
	deadline           time.Duration
	queueRank          time.Duration // place in the queue
	attempts           int
	maxAttempts        int // of them; 0: no limit
	inFlight           []attempt
	firstRunAt         time.Duration // send of the first attempt that may have run
	mayHaveRun         bool          // one may have run
	firstRunZone       int
	timeouts           int
	lastFailedEndpoint *endpoint // failed this message last
	ended              bool
	queued             bool
	recovered          bool // an earlier process took it on
}

const (
	defaultRetryAfter = 500 * time.Millisecond // least advice with a refusal
)

// rejectOrFail gives a message its final answer: a refusal where that keeps the rule of effects.
func (e *Engine) rejectOrFail(msg *message) {
	if e.mayReject(msg) {
		e.reject(msg)
		return
	}
	e.fail(msg)
}

// reject ends a message that mayReject lets go, with advice to come again once a route may take it.
func (e *Engine) reject(msg *message) {
	after := defaultRetryAfter
	for _, scope := range msg.destination.scopes {
		after = max(after, scope.retryAfterUntil-e.now)
	}
	e.emit(Action{Kind: Reject, MessageID: msg.id, Delay: min(after, e.settings.MaxRetryAfter)})
	e.acceptedTraffic.level = max(0, e.acceptedTraffic.level-1) // it may come again, here or elsewhere, and counts then
	e.finishMessage(msg)
}

// fail ends a message for which nothing is promised.
func (e *Engine) fail(msg *message) {
	e.emit(Action{Kind: Fail, MessageID: msg.id})
	e.finishMessage(msg)
}

// finishMessage ends a message that needs no answer of ours.
func (e *Engine) finishMessage(msg *message) {
	if !msg.ended {
		msg.ended = true
		e.pendingMessages--
		e.dequeue(msg)
	}
	e.releaseMessage(msg)
}

// releaseMessage drops an ended message once its attempts have their outcomes, and passes its turn on.
func (e *Engine) releaseMessage(msg *message) {
	if !msg.ended || len(msg.inFlight) > 0 {
		return
	}
	delete(e.messages, msg.id)
	msg.destination.messageCount--
	if queue := msg.keyQueue; queue != nil {
		msg.keyQueue = nil
		queue.messages = slices.DeleteFunc(queue.messages, func(other *message) bool { return other == msg })
		switch {
		case len(queue.messages) > 0:
			e.recheck(queue.messages[0].destination)
		case !queue.expiring:
			queue.expiring = true
			e.expiringKeyQueues = append(e.expiringKeyQueues, queue)
		}
	}
}
