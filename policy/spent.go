package policy

import "time"

// A message with no further try in it has its final answer then, not at its deadline: its client may use the time.

// mark notes that an attempt of m, sent at so, may have run, and has m looked at when repeats stop being dropped.
func (s *Engine) mark(m *message, at time.Duration, zone int) {
	m.ran, m.ranAt, m.ranZone = true, at, zone
	if m.class.Effect == IdempotentByKey {
		s.ends.push(end{m.windowEnd(), m})
	}
}

// windowEnd is when the last repeat of a keyed message that may have run must be sent.
func (m *message) windowEnd() time.Duration { return m.ranAt + m.class.DedupWindow - endMargin }

// spent tells whether mayAttempt can never again allow a send of m, whatever becomes of the routes.
func (s *Engine) spent(m *message) bool {
	switch {
	case m.ended || len(m.out) > 0:
		return false
	case m.most > 0 && m.sends >= m.most:
		return true
	}
	return m.ran && (m.class.Effect == NonIdempotent || m.class.Effect == IdempotentByKey && s.now >= m.windowEnd())
}

// giveUp gives a message its final answer: a refusal where that keeps the rule of effects.
func (s *Engine) giveUp(m *message) {
	if s.mayRefuse(m) {
		s.refuse(m)
		return
	}
	s.fail(m)
}

// refuse ends a message that mayRefuse lets go, with advice to come again once a route may take it.
func (s *Engine) refuse(m *message) {
	after := retryAdvice
	for _, g := range m.dest.gates {
		after = max(after, g.wait-s.now)
	}
	s.act(Action{Kind: Reject, MessageID: m.id, Delay: min(after, s.set.MaxRetryAfter)})
	s.taken.level = max(0, s.taken.level-1) // it may come again, here or elsewhere, and counts then
	s.over(m)
}

// fail ends a message for which nothing is promised.
func (s *Engine) fail(m *message) {
	s.act(Action{Kind: Fail, MessageID: m.id})
	s.over(m)
}
