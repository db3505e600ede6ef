package policy

import (
	"time"
)

// What a real relay needs beyond the simulator's events: messages that outlast a process, and calls that take
// time to leave.

// resume gives a message what an earlier process knew of it, so that the guards hold across a restart. Guards
// also against a backlog that a fresh Sender, free of any pace, would pour onto hosts as one: the pace of its
// destination starts at this sender's part, that of many spread as any first calls of theirs.
func (s *Sender) resume(m *message, e *Resumed) {
	if e == nil {
		return
	}
	m.sends = e.Attempts
	if e.Ran {
		s.mark(m, s.now-e.RanAgo, e.RanZone)
	}
	if s.spent(m) {
		s.ends.push(end{s.now, m}) // ends in this step
	}
	if m.turn != nil && e.Ran {
		m.turn.rest = max(m.turn.rest, s.now+s.set.OrderPause) // a call out when the process ended may still run
	}
	for _, g := range m.dest.gates {
		if g.pace == 0 && s.many(g) {
			s.startPace(g)
		} else if g.pace == 0 {
			g.pace, g.tokens, g.tokensAt = s.part(g), 1, s.now
		}
	}
}

// MayStill tells whether a call to a route that was decided earlier, with these messages, may leave at now. Guards
// against one that was held up, by a slow connection say, while a drain or a wait was told, or until a message that
// may have run is past the time in which its repeat is dropped.
func (s *Sender) MayStill(route string, ids []uint32, now time.Duration) bool {
	r := s.routes[route]
	if r == nil || !r.InService || now < r.gate.wait {
		return false
	}
	for _, id := range ids {
		if m := s.msgs[id]; m != nil && m.ran && m.class.Effect == Keyed && now >= m.windowEnd() {
			return false
		}
	}
	return true
}
