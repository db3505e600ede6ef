package policy

import "time"

// A message with no further try in it has its final answer then, not at its deadline: its client may use the time.

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
