package policy

import "math"

const (
	maxQueueScan = 500 // messages of a destination looked at for one that may go
)

// dispatch sends what may go, first in order first, while slots last. Destinations that nothing touched since
// they were found closed are not looked at.
func (e *Engine) dispatch() {
	ready := e.ready[:0]
	for _, dest := range e.active {
		if dest.blockedUntil <= e.now {
			ready = append(ready, dest)
			dest.candidate, dest.blockedUntil = nil, 0
		}
	}
	e.ready = ready
	for e.settings.MaxInFlightCalls <= 0 || e.callsInFlight < e.settings.MaxInFlightCalls {
		var best *destination
		for _, dest := range ready {
			if dest.candidate == nil && dest.blockedUntil <= e.now && len(dest.queue) > 0 {
				e.selectNext(dest)
			}
			if dest.candidate != nil && (best == nil || precedes(dest.candidate, best.candidate)) {
				best = dest
			}
		}
		if best == nil {
			break
		}
		e.startCall(best)
		best.candidate = nil
	}
	for _, dest := range ready {
		e.rejectUnservable(dest)
	}
	for _, dest := range e.active {
		if dest.blockedUntil > e.now {
			e.requestTimer(dest.blockedUntil)
		}
	}
}

// selectNext finds the destination's next message that may go, or when one may.
func (e *Engine) selectNext(dest *destination) {
	dest.candidate, dest.candidateEndpoint, dest.blockedUntil = nil, nil, math.MaxInt64
	for _, scope := range dest.scopes {
		for _, ep := range scope.endpoints {
			dest.blockedUntil = min(dest.blockedUntil, e.acceptsCallAt(ep))
		}
	}
	if dest.blockedUntil > e.now {
		return
	}
	dest.blockedUntil = math.MaxInt64
	for i := 0; i < len(dest.queue) && i < maxQueueScan; i++ {
		ep, at := e.selectEndpoint(dest.queue[i])
		if ep != nil {
			dest.candidate, dest.candidateEndpoint, dest.blockedUntil = dest.queue[i], ep, 0
			return
		}
		dest.blockedUntil = min(dest.blockedUntil, at)
	}
}

// rejectUnservable refuses what waits for nothing: messages of a destination that opens only after their deadlines.
// The client may come again elsewhere, to a sender that was told less.
func (e *Engine) rejectUnservable(dest *destination) {
	for i := len(dest.queue) - 1; i >= 0; i-- {
		if msg := dest.queue[i]; dest.blockedUntil < math.MaxInt64 && dest.blockedUntil >= msg.deadline && e.mayShed(msg) {
			e.reject(msg)
		}
	}
}

// startCall starts a call with the destination's next message and, where its kind allows, with further ones.
// They share one fate: after a failure it carries one, after an answer that was lost half as many.
func (e *Engine) startCall(dest *destination) {
	ep := dest.candidateEndpoint
	c := &call{endpoint: ep, sentAt: e.now, overdueAt: e.now + e.latencyBound(ep, overdueDeviations)}
	capacity := e.maxBatch(ep.Kind)
	if ep.consecutiveFailures > 0 || ep.ejected {
		capacity = 1
	} else if ep.answerLost {
		capacity = (capacity + 1) / 2
	}
	if !e.addToCall(dest.candidate, c) {
		return
	}
	for i := 0; c.pending < capacity && i < len(dest.queue) && i < maxQueueScan; {
		if msg := dest.queue[i]; msg.lastFailedEndpoint == ep || !e.addToCall(msg, c) {
			i++
		}
	}
	e.recordCallStart(c)
}

// addToCall adds an attempt of m to a call, if the guard lets it.
func (e *Engine) addToCall(msg *message, c *call) bool {
	if e.attemptAllowedAt(msg, c.endpoint) > e.now {
		return false
	}
	e.dequeue(msg)
	msg.inFlight = append(msg.inFlight, attempt{msg.attempts, c})
	msg.attempts++
	c.pending++
	timeoutAt := e.attemptTimeoutAt(msg, c.endpoint)
	if c.timeoutAt == 0 || timeoutAt < c.timeoutAt {
		c.timeoutAt = timeoutAt
	}
	e.emit(Action{Kind: Send, MessageID: msg.id, Endpoint: c.endpoint.ID, TimeoutAt: timeoutAt})
	return true
}
