package policy

import (
	"slices"
	"time"
)

// What a real relay needs beyond the simulator's events: messages outlast a process, and calls take time to leave.

// recoverMessage gives a message what an earlier process knew of it, so that the guards hold across a restart. No
// backlog is poured onto hosts as one: paces start at this sender's part, those of many spread as first calls.
func (s *Engine) recoverMessage(m *message, e *RecoveredMessage) {
	if e == nil {
		return
	}
	m.attempts, m.recovered = e.Attempts, true
	if e.MayHaveRun {
		s.recordFirstRun(m, s.now-e.SinceFirstRun, e.FirstRunZone)
	}
	if s.attemptsExhausted(m) {
		s.deadlines.push(deadlineEntry{s.now, m}) // ends in this step
	}
	if m.keyQueue != nil && e.MayHaveRun {
		m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, s.now+s.settings.OrderingPause) // a call out when the process ended may still run
	}
	for _, g := range m.destination.scopes {
		if g.pacingRate == 0 && s.isLargeFleet(g) {
			s.initializePacing(g)
		} else if g.pacingRate == 0 {
			g.pacingRate, g.tokens, g.tokensUpdatedAt = s.fairShare(g), 1, s.now
			if s.settings.FleetSize > smallFleetSize {
				g.tokens = s.rng.Float64()
			}
		}
		if n := (m.destination.messageCount-1)/s.maxBatch(g.kind) + 1; s.knownLimit(g) == 0 { // no part is known: all in half of its time
			g.pacingRate = max(g.pacingRate, 2*float64(n)/max(time.Second, m.deadline-s.now).Seconds())
		}
	}
}

// mayShed tells whether m may be refused for want of room or pace: not where a restart found it untried.
func (s *Engine) mayShed(m *message) bool {
	open := func(g *limitScope) bool { return g.retryAfterUntil < m.deadline }
	owed := len(m.destination.scopes) == 0 || slices.ContainsFunc(m.destination.scopes, open)
	return s.mayReject(m) && !(owed && m.recovered && m.attempts == 0)
}

// StillAllowed tells whether a call to a route that was decided earlier, with these messages, may leave at now. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or until a message that
// may have run is past the time in which its repeat is dropped.
func (s *Engine) StillAllowed(route string, ids []uint32, now time.Duration) bool {
	r := s.endpoints[route]
	if r == nil || !r.InService || now < r.scope.retryAfterUntil {
		return false
	}
	for _, id := range ids {
		if m := s.messages[id]; m != nil && m.mayHaveRun && m.class.Effect == IdempotentByKey && now >= m.dedupWindowEnd() {
			return false
		}
	}
	return true
}
