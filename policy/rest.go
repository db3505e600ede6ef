package policy

import (
	"math"
	"slices"
	"time"
)

// Which destinations a caller with very many may have a Sender forget (EndpointDelta with Gone) and tell it again
// later. Nothing is sent or held by what stands here, and nothing changes: asking leaves no trace.

// Evictable tells whether forgetting a destination, as of the last step, drops nothing that binds: no message is held
// and no call out, no told wait and no skip is in force, no route is cold, in doubt or warming up, what it was refused
// no longer matters, and others share none of its limit. Told of again it stands as at a start, which is bolder in
// nothing of that. The caller leaves a destination alone for WarmUpDuration first: what one failure or one refusal
// tells is not looked at here.
func (s *Engine) Evictable(dest int) bool {
	d := s.dests[dest]
	return d == nil || d.held == 0 && !slices.ContainsFunc(d.gates, s.binds)
}

// binds tells whether a gate holds anything that must outlast it.
func (s *Engine) binds(g *gate) bool {
	switch {
	case g.out > 0, s.now < g.wait:
		return true
	case g.shared: // the fleet tells changes alone: a fresh gate would use the part that is lent
		return true
	case s.now < g.coldLeft+s.set.WarmUpDuration: // what takes the place of a route in doubt inherits it
		return true
	case g.streak >= streakDoubt || g.tights >= tightMost: // of whatever routes: the next failure is an outage's
		return true
	}
	return s.lowered(g) || slices.ContainsFunc(g.routes, s.ill)
}

// ill tells whether a route is skipped, in doubt, or coming back.
func (s *Engine) ill(r *route) bool {
	switch {
	case len(r.calls) > 0, r.down, s.now < r.skipUntil:
		return true
	case r.cold && (r.back == 0 || s.now < r.back+s.set.WarmUpDuration):
		return true
	}
	return r.okAt == 0 && r.gate.doubtful() // it stands as its siblings do, when it is looked at
}

// lowered tells whether a gate's pace is one that a start must not do away with: a call's worth is not yet earned back,
// or a refusal lowered it and it would not have grown back by now, even at its slowest growth. After calmSpan a refusal
// is of no account, as in growth itself.
func (s *Engine) lowered(g *gate) bool {
	switch {
	case g.pace == 0:
		return false
	case g.tokens+s.own(g)*(s.now-g.tokensAt).Seconds() < 1:
		return true
	case g.halvedAt == 0:
		return false
	}
	most := g.ceiling // of a few, who start free: the rate that was refused
	if s.many(g) {
		most = s.fair(g)
	}
	back := math.Log(most/g.pace) / math.Log1p(paceCrawl)
	return s.now < g.halvedAt+max(calmSpan, time.Duration(back*float64(time.Second)))
}
