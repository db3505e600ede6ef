package policy

import (
	"cmp"
	"math"
	"time"
)

func (e *Engine) attemptFinished(event *Event) {
	msg := e.messages[event.MessageID]
	ep, c := e.endpoints[event.Endpoint], e.takeCall(msg, event.Attempt)
	if c != nil {
		ep = c.endpoint
	}
	// A told wait keeps every message from the gate until it is over, whoever was told.
	if ep != nil && event.RetryAfter > 0 {
		ep.scope.retryAfterUntil = max(ep.scope.retryAfterUntil, e.now+event.RetryAfter)
	}
	if c == nil {
		return
	}
	e.recordLimit(ep, event.LimitReport)
	c.pending, c.delivered = c.pending-1, c.delivered || event.Outcome == OK
	if c.pending == 0 {
		e.recordCallEnd(c)
		outcome := event.Outcome
		if c.delivered {
			outcome = OK
		}
		due := c.sentAt + min(minLatencyBound, cmp.Or(msg.class.LatencyObjective, minLatencyBound))
		truncated := (outcome == Timeout || outcome == ConnectFailed) && c.timeoutAt < due
		e.observeOutcome(ep, observation{outcome: outcome, retryAfter: event.RetryAfter, sentAt: c.sentAt, truncated: truncated}, event.Latency)
	}
	e.recheck(msg.destination)
	e.recordPossibleEffect(msg, event, c)
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

// recordPossibleEffect notes for a message what its attempt may have done.
func (e *Engine) recordPossibleEffect(msg *message, event *Event, c *call) {
	switch event.Outcome {
	case ConnectFailed:
		msg.lastFailedEndpoint = c.endpoint
		return
	case Overloaded, NotSent:
		return
	case Timeout, Reset, Cancelled:
		msg.timeouts++
		if msg.keyQueue != nil {
			msg.keyQueue.pausedUntil = max(msg.keyQueue.pausedUntil, e.now+e.settings.OrderingPause)
		}
	}
	msg.lastFailedEndpoint = c.endpoint
	if !msg.mayHaveRun || c.sentAt < msg.firstRunAt {
		e.recordFirstRun(msg, c.sentAt, c.endpoint.Zone)
	}
}

// recordFirstRun notes that an attempt of m, sent at so, may have run, and has m looked at when repeats stop being dropped.
func (e *Engine) recordFirstRun(msg *message, at time.Duration, zone int) {
	msg.mayHaveRun, msg.firstRunAt, msg.firstRunZone = true, at, zone
	if msg.class.Effect == IdempotentByKey {
		e.deadlines.push(deadlineEntry{msg.dedupWindowEnd(), msg})
	}
}

// dedupWindowEnd is when the last repeat of a keyed message that may have run must be sent.
func (msg *message) dedupWindowEnd() time.Duration {
	return msg.firstRunAt + msg.class.DedupWindow - deadlineMargin
}

// attemptsExhausted tells whether attemptAllowedAt can never again allow a send of m, whatever becomes of the routes.
func (e *Engine) attemptsExhausted(msg *message) bool {
	switch {
	case msg.ended || len(msg.inFlight) > 0:
		return false
	case msg.maxAttempts > 0 && msg.attempts >= msg.maxAttempts:
		return true
	}
	return msg.mayHaveRun && (msg.class.Effect == NonIdempotent || msg.class.Effect == IdempotentByKey && e.now >= msg.dedupWindowEnd())
}

// mayReject tells whether a refusal keeps the rule of effects: the client may come again.
func (e *Engine) mayReject(msg *message) bool {
	free := msg.class.Effect == Idempotent || msg.class.Effect == IdempotentByKey && msg.class.DedupAllZones
	return !msg.ended && (free || !msg.mayHaveRun && len(msg.inFlight) == 0)
}

// attemptAllowedAt is the one guard of all sends. It tells when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (e *Engine) attemptAllowedAt(msg *message, ep *endpoint) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, nothing past the time or the attempts.
	if msg.ended || e.now >= msg.deadline || msg.maxAttempts > 0 && msg.attempts >= msg.maxAttempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are dropped.
	if len(msg.inFlight) > 0 {
		return never
	}
	if msg.mayHaveRun {
		switch msg.class.Effect {
		case NonIdempotent:
			return never
		case IdempotentByKey:
			if !msg.class.DedupAllZones && ep.Zone != msg.firstRunZone || e.now >= msg.dedupWindowEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !ep.InService || ep.Removed || ep.Destination != msg.destination.id {
		return never
	}
	// Rule 6: the key's turn and its rest.
	at := time.Duration(0)
	if queue := msg.keyQueue; queue != nil {
		if queue.messages[0] != msg {
			return never
		}
		if msg.attempts == 0 {
			at = queue.pausedUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: told waits.
	return max(at, ep.scope.retryAfterUntil, e.recoveryBudgetAt(ep))
}

// StillAllowed tells whether a call to a route that was decided earlier, with these messages, may leave at now. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or until a message that
// may have run is past the time in which its repeat is dropped.
func (e *Engine) StillAllowed(endpointID string, messageIDs []uint32, now time.Duration) bool {
	ep := e.endpoints[endpointID]
	if ep == nil || !ep.InService || now < ep.scope.retryAfterUntil {
		return false
	}
	for _, id := range messageIDs {
		if msg := e.messages[id]; msg != nil && msg.mayHaveRun && msg.class.Effect == IdempotentByKey && now >= msg.dedupWindowEnd() {
			return false
		}
	}
	return true
}
