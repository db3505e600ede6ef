package policy

import (
	"cmp"
	"time"
)

// attemptFinished applies the outcome of an attempt to its call, its endpoint and its message. The message is
// queued again if it may be retried.
func (e *Engine) attemptFinished(event *Event) {
	msg := e.messages[event.MessageID]
	ep := e.endpoints[event.Endpoint]
	c := e.takeCall(msg, event.Attempt)
	if c != nil {
		ep = c.endpoint // the endpoint may have been removed from e.endpoints since
	}
	if ep != nil && event.RetryAfter > 0 {
		ep.scope.retryAfter(e.now + event.RetryAfter)
	}
	if c == nil {
		return
	}
	e.recordLimit(ep, event.LimitReport)
	c.pending--
	c.delivered = c.delivered || event.Outcome == OK
	if c.pending == 0 {
		e.callFinished(c, msg, event)
	}
	e.recheck(msg.destination)
	e.recordPossibleRun(msg, event, c)
	switch {
	case event.MessageEnded:
		e.finishMessage(msg)
	case msg.ended:
		e.releaseMessage(msg)
	case e.attemptsExhausted(msg):
		e.rejectOrFail(msg)
	default:
		e.enqueue(msg)
	}
}

// callFinished applies the result of a call once all its messages have outcomes. The call counts as delivered if
// any of its messages was delivered.
func (e *Engine) callFinished(c *call, msg *message, event *Event) {
	e.recordCallEnd(c)
	outcome := event.Outcome
	switch {
	case c.delivered:
		outcome = OK
	case outcome == UnprovenRejection:
		outcome = Overloaded
	}
	answerExpectedAt := c.sentAt + min(minLatencyBound, cmp.Or(msg.class.LatencyObjective, minLatencyBound))
	e.observeOutcome(c.endpoint, observation{
		outcome:    outcome,
		retryAfter: event.RetryAfter,
		sentAt:     c.sentAt,
		truncated:  (outcome == Timeout || outcome == ConnectFailed) && c.timeoutAt < answerExpectedAt,
	}, event.Latency)
}

// recordPossibleRun records that the message of an attempt may have run, unless the outcome proves that it has not.
func (e *Engine) recordPossibleRun(msg *message, event *Event, c *call) {
	switch event.Outcome {
	case ConnectFailed:
		msg.lastFailedEndpoint = c.endpoint
		return
	case Overloaded, NotSent:
		return
	case Timeout, Reset, Cancelled, UnprovenRejection:
		msg.timeouts++
		if msg.keyQueue != nil {
			msg.keyQueue.pause(e.now + e.settings.OrderingPause)
		}
	case OK, Error: // the message has run, or the endpoint has answered
	}
	msg.lastFailedEndpoint = c.endpoint
	if !msg.mayHaveRun || c.sentAt < msg.firstRunAt {
		e.recordFirstRun(msg, c.sentAt, c.endpoint.Zone)
	}
}

// recordFirstRun records the first attempt that may have run. A message with an idempotency key is checked again
// when its dedup window ends, since it may not be retried after that.
func (e *Engine) recordFirstRun(msg *message, sentAt time.Duration, zone int) {
	msg.mayHaveRun = true
	msg.firstRunAt = sentAt
	msg.firstRunZone = zone
	if msg.class.Effect == IdempotentByKey {
		e.addDeadline(msg.dedupWindowEnd(), msg)
	}
}

// dedupWindowEnd returns the time until which a message with an idempotency key may be retried after an attempt
// that may have run.
func (msg *message) dedupWindowEnd() time.Duration {
	return msg.firstRunAt + msg.class.DedupWindow - deadlineMargin
}

// usedAllAttempts reports whether a message has had its maximum number of attempts.
func (msg *message) usedAllAttempts() bool {
	return msg.maxAttempts > 0 && msg.attempts >= msg.maxAttempts
}

// attemptsExhausted reports whether attemptAllowedAt can never again allow an attempt of a message, whatever
// changes at the endpoints.
func (e *Engine) attemptsExhausted(msg *message) bool {
	switch {
	case msg.ended || len(msg.inFlight) > 0:
		return false
	case msg.usedAllAttempts():
		return true
	case !msg.mayHaveRun:
		return false
	}
	switch msg.class.Effect {
	case NonIdempotent:
		return true
	case IdempotentByKey:
		return e.now >= msg.dedupWindowEnd()
	case Idempotent:
	}
	return false
}

// mayReject reports whether the client of a message may safely retry it: a repeat is harmless at any endpoint, or
// the message has not run.
func (e *Engine) mayReject(msg *message) bool {
	if msg.ended {
		return false
	}
	if msg.class.Effect == Idempotent || msg.class.Effect == IdempotentByKey && msg.class.DedupAllZones {
		return true
	}
	return !msg.mayHaveRun && len(msg.inFlight) == 0
}

// attemptAllowedAt returns the earliest time at which the six rules allow an attempt of a message at an endpoint,
// or never if they do not allow one in the current state. Every attempt passes this check.
func (e *Engine) attemptAllowedAt(msg *message, ep *endpoint) time.Duration {
	// Rule 1: no attempt after the final answer, the deadline or the last allowed attempt.
	if msg.ended || e.now >= msg.deadline || msg.usedAllAttempts() {
		return never
	}
	// Rule 2: one attempt at a time, and repeats only where they are dropped or harmless.
	if len(msg.inFlight) > 0 || msg.mayHaveRun && !e.mayRepeat(msg, ep) {
		return never
	}
	// Rule 3: endpoints in service only.
	if !ep.InService || ep.Removed || ep.Destination != msg.destination.id {
		return never
	}
	// Rule 6: messages with the same ordering key one after another, with pauses.
	orderedAt := time.Duration(0)
	if queue := msg.keyQueue; queue != nil {
		if queue.messages[0] != msg {
			return never
		}
		if msg.attempts == 0 {
			orderedAt = queue.pausedUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: Retry-After.
	return max(orderedAt, ep.scope.retryAfterUntil, e.recoveryBudgetAt(ep))
}

// mayRepeat reports whether a message that may have run may be sent to an endpoint: the endpoint drops the repeat,
// or the repeat is harmless.
func (e *Engine) mayRepeat(msg *message, ep *endpoint) bool {
	switch msg.class.Effect {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		sameGroup := msg.class.DedupAllZones || ep.Zone == msg.firstRunZone
		return sameGroup && e.now < msg.dedupWindowEnd()
	case Idempotent:
	}
	return true
}

// StillAllowed reports whether a call from an earlier step may still be sent to an endpoint with these messages. A
// call may be delayed, for example by a slow connection. Meanwhile the endpoint may have begun to drain or sent a
// Retry-After, or the dedup window of a message that may have run may have ended.
func (e *Engine) StillAllowed(endpointID string, messageIDs []MessageID, now time.Duration) bool {
	ep := e.endpoints[endpointID]
	if ep == nil || !ep.InService || now < ep.scope.retryAfterUntil {
		return false
	}
	for _, id := range messageIDs {
		msg := e.messages[id]
		if msg == nil || !msg.mayHaveRun || msg.class.Effect != IdempotentByKey {
			continue
		}
		if now >= msg.dedupWindowEnd() {
			return false
		}
	}
	return true
}
