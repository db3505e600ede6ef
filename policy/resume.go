package policy

import (
	"slices"
	"time"
)

// What a real relay needs beyond the simulator's events: messages outlast a process, and calls take time to leave.

// resume gives a message what an earlier process knew of it, so that the guards hold across a restart. No
// backlog is poured onto hosts as one: paces start at this sender's part, those of many spread as first calls.
func (s *Engine) resume(m *message, e *RecoveredMessage) {
	if e == nil {
		return
	}
	m.sends, m.resumed = e.Attempts, true
	if e.MayHaveRun {
		s.mark(m, s.now-e.SinceFirstRun, e.FirstRunZone)
	}
	if s.spent(m) {
		s.ends.push(end{s.now, m}) // ends in this step
	}
	if m.turn != nil && e.MayHaveRun {
		m.turn.rest = max(m.turn.rest, s.now+s.set.OrderingPause) // a call out when the process ended may still run
	}
	for _, g := range m.dest.gates {
		if g.pace == 0 && s.many(g) {
			s.startPace(g)
		} else if g.pace == 0 {
			g.pace, g.tokens, g.tokensAt = s.part(g), 1, s.now
			if s.set.FleetSize > fewSenders {
				g.tokens = s.rng.Float64()
			}
		}
		if n := (m.dest.held-1)/s.perCall(g.kind) + 1; s.limit(g) == 0 { // no part is known: all in half of its time
			g.pace = max(g.pace, 2*float64(n)/max(time.Second, m.deadline-s.now).Seconds())
		}
	}
}

// mayDrop tells whether m may be refused for want of room or pace: not where a restart found it untried.
func (s *Engine) mayDrop(m *message) bool {
	open := func(g *gate) bool { return g.wait < m.deadline }
	owed := len(m.dest.gates) == 0 || slices.ContainsFunc(m.dest.gates, open)
	return s.mayRefuse(m) && !(owed && m.resumed && m.sends == 0)
}

// StillAllowed tells whether a call to a route that was decided earlier, with these messages, may leave at now. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or until a message that
// may have run is past the time in which its repeat is dropped.
func (s *Engine) StillAllowed(route string, ids []uint32, now time.Duration) bool {
	r := s.routes[route]
	if r == nil || !r.InService || now < r.gate.wait {
		return false
	}
	for _, id := range ids {
		if m := s.msgs[id]; m != nil && m.ran && m.class.Effect == IdempotentByKey && now >= m.windowEnd() {
			return false
		}
	}
	return true
}
