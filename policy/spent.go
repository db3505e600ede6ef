package policy

import "time"

// A message with no further try in it has its final answer then, not at its deadline: its client may use the time.

// recordFirstRun notes that an attempt of m, sent at so, may have run, and has m looked at when repeats stop being dropped.
func (s *Engine) recordFirstRun(m *message, at time.Duration, zone int) {
	m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, at, zone
	if m.class.Effect == IdempotentByKey {
		s.deadlines.push(deadlineEntry{m.dedupWindowEnd(), m})
	}
}

// dedupWindowEnd is when the last repeat of a keyed message that may have run must be sent.
func (m *message) dedupWindowEnd() time.Duration {
	return m.firstRunAt + m.class.DedupWindow - deadlineMargin
}

// attemptsExhausted tells whether attemptAllowedAt can never again allow a send of m, whatever becomes of the routes.
func (s *Engine) attemptsExhausted(m *message) bool {
	switch {
	case m.ended || len(m.inFlight) > 0:
		return false
	case m.maxAttempts > 0 && m.attempts >= m.maxAttempts:
		return true
	}
	return m.mayHaveRun && (m.class.Effect == NonIdempotent || m.class.Effect == IdempotentByKey && s.now >= m.dedupWindowEnd())
}

// rejectOrFail gives a message its final answer: a refusal where that keeps the rule of effects.
func (s *Engine) rejectOrFail(m *message) {
	if s.mayReject(m) {
		s.reject(m)
		return
	}
	s.fail(m)
}

// reject ends a message that mayReject lets go, with advice to come again once a route may take it.
func (s *Engine) reject(m *message) {
	after := defaultRetryAfter
	for _, g := range m.destination.scopes {
		after = max(after, g.retryAfterUntil-s.now)
	}
	s.emit(Action{Kind: Reject, MessageID: m.id, Delay: min(after, s.settings.MaxRetryAfter)})
	s.acceptedTraffic.level = max(0, s.acceptedTraffic.level-1) // it may come again, here or elsewhere, and counts then
	s.finishMessage(m)
}

// fail ends a message for which nothing is promised.
func (s *Engine) fail(m *message) {
	s.emit(Action{Kind: Fail, MessageID: m.id})
	s.finishMessage(m)
}
