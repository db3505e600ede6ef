package policy

import "math"

// maxQueueScan is the number of queued messages of one destination that are looked at for one that may be sent. It
// bounds the work of a step where a long queue is blocked.
const maxQueueScan = 500

// dispatch sends what may be sent, in the order of precedes, while calls in flight are allowed. Destinations that were
// found blocked, and for which no event has called for a recheck, are not looked at.
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

// nextDestination returns the ready destination whose next message goes first; nil if no message may be sent.
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

// selectNext finds the next message of a destination that may be sent, or the time at which one may.
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

// rejectUnservable rejects messages that would wait in vain, since their destination stays blocked beyond their
// deadlines. Another relay, which got no such Retry-After, may still deliver them.
func (e *Engine) rejectUnservable(dest *destination) {
	for i := len(dest.queue) - 1; i >= 0; i-- {
		msg := dest.queue[i]
		if dest.blockedUntil < math.MaxInt64 && dest.blockedUntil >= msg.deadline && e.mayShed(msg) {
			e.reject(msg)
		}
	}
}

// startCall starts a call with the next message of a destination and, where the kind allows, with further ones. They
// share one fate: after a failure a call carries one message, after a lost answer half as many as allowed.
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
			i++ // else the next message has moved to this place
		}
	}
	e.recordCallStart(c)
}

// addToCall adds an attempt of a message to a call, if attemptAllowedAt allows it now.
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
