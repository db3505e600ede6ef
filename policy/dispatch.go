package policy

import "math"

// maxQueueScan is the largest number of queued messages of one destination that one search inspects, such as the
// search for a message that may be sent. It bounds the work of a step when a long queue is blocked.
const maxQueueScan = 500

// dispatch sends the messages that may be sent, in the order defined by precedes, until the limit of calls in
// flight is reached. It skips destinations that were found blocked until a later time, unless an event has
// triggered a recheck.
func (e *Engine) dispatch() {
	e.collectReady()
	for e.settings.MaxInFlightCalls <= 0 || e.callsInFlight < e.settings.MaxInFlightCalls {
		dest := e.nextDestination()
		if dest == nil {
			break
		}
		e.startCall(dest)
		dest.candidate = nil
	}
	for _, dest := range e.ready {
		e.rejectUnservable(dest)
	}
	for _, dest := range e.active {
		if dest.blockedUntil > e.now {
			e.requestTimer(dest.blockedUntil)
		}
	}
}

// collectReady collects the active destinations that are not blocked.
func (e *Engine) collectReady() {
	e.ready = e.ready[:0]
	for _, dest := range e.active {
		if dest.blockedUntil <= e.now {
			e.ready = append(e.ready, dest)
			dest.candidate = nil
			dest.blockedUntil = 0
		}
	}
}

// nextDestination returns the ready destination whose next message goes first, or nil if no message may be sent.
func (e *Engine) nextDestination() *destination {
	var best *destination
	for _, dest := range e.ready {
		if dest.candidate == nil && dest.blockedUntil <= e.now && len(dest.queue) > 0 {
			e.selectNext(dest)
		}
		if dest.candidate != nil && (best == nil || precedes(dest.candidate, best.candidate)) {
			best = dest
		}
	}
	return best
}

// selectNext sets the candidate of a destination to the first message that may be sent. If there is none, it sets
// blockedUntil to the time at which a message may be sent.
func (e *Engine) selectNext(dest *destination) {
	dest.candidate = nil
	dest.candidateEndpoint = nil
	dest.blockedUntil = math.MaxInt64
	for _, scope := range dest.scopes {
		for _, ep := range scope.endpoints {
			dest.blockedUntil = min(dest.blockedUntil, e.acceptsCallAt(ep))
		}
	}
	if dest.blockedUntil > e.now {
		return
	}
	dest.blockedUntil = math.MaxInt64
	for _, msg := range dest.queue[:min(len(dest.queue), maxQueueScan)] {
		ep, at := e.selectEndpoint(msg)
		if ep != nil {
			dest.candidate = msg
			dest.candidateEndpoint = ep
			dest.blockedUntil = 0
			return
		}
		dest.blockedUntil = min(dest.blockedUntil, at)
	}
}

// rejectUnservable rejects messages whose destination stays blocked until their deadlines or longer. Their clients
// can submit them to another relay, which may still deliver them if it has not received the same Retry-After.
func (e *Engine) rejectUnservable(dest *destination) {
	for i := len(dest.queue) - 1; i >= 0; i-- {
		msg := dest.queue[i]
		if dest.blockedUntil < math.MaxInt64 && dest.blockedUntil >= msg.deadline && e.mayShed(msg) {
			e.reject(msg)
		}
	}
}

// startCall starts a call with the candidate of a destination and further messages, up to the batch size of the
// destination's kind. A failed call usually fails all its messages, so a call carries a single message after a
// failure of the endpoint, and half a batch after a lost answer.
func (e *Engine) startCall(dest *destination) {
	ep := dest.candidateEndpoint
	c := &call{endpoint: ep, sentAt: e.now, overdueAt: e.now + e.latencyBound(ep, overdueDeviations)}
	if !e.addToCall(dest.candidate, c) {
		return
	}
	batch := e.maxBatch(ep.Kind)
	if ep.consecutiveFailures > 0 || ep.ejected {
		batch = 1
	} else if ep.answerLost {
		batch = (batch + 1) / 2
	}
	for i := 0; c.pending < batch && i < len(dest.queue) && i < maxQueueScan; {
		msg := dest.queue[i]
		if msg.lastFailedEndpoint == ep || !e.addToCall(msg, c) {
			i++ // otherwise the message was dequeued, and the next one is now at index i
		}
	}
	e.recordCallStart(c)
}

// addToCall adds an attempt of a message to a call if attemptAllowedAt allows the attempt now, and reports whether
// it did.
func (e *Engine) addToCall(msg *message, c *call) bool {
	if e.attemptAllowedAt(msg, c.endpoint) > e.now {
		return false
	}
	e.dequeue(msg)
	msg.inFlight = append(msg.inFlight, attempt{number: msg.attempts, call: c})
	msg.attempts++
	c.pending++
	timeoutAt := e.attemptTimeoutAt(msg, c.endpoint)
	if c.timeoutAt == 0 || timeoutAt < c.timeoutAt {
		c.timeoutAt = timeoutAt
	}
	e.emit(Action{Kind: Send, MessageID: msg.id, Endpoint: c.endpoint.ID, TimeoutAt: timeoutAt})
	return true
}
