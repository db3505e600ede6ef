package policy

import (
	"cmp"
	"math"
	"time"
)

// What senders of a large fleet do otherwise than a few: what is harmless from one of them is not from all.

const (
	manyBurst = 0.5              // calls beyond one that one of many may send after idling
	calmSpan  = 20 * time.Second // without a refusal for so long, a pace grows past the fair one, or faster
	manyCreep = 0.1              // growth of the pace of one of many above its fair one
	// multiple of its fair pace that one of many may reach with a backlog, where rates are told
	manyMost   = 2
	manyLeast  = 0.05                   // of its part: refused again and again, its pace does not fall below
	takenSpan  = 10 * time.Second       // span over which a sender's own traffic is counted
	takenPrior = 5                      // messages that count as seen at the usual rate before any
	takenShare = 0.6                    // of a fair pace that goes by own traffic
	manySpread = 3 * time.Second        // over this at most the first calls of many spread
	askEvery   = 100 * time.Millisecond // while messages wait, others are asked for calls so often
	askAhead   = 700 * time.Millisecond // and so long before the calls may leave
)

// takes is what a gate takes from all, on the low side; where nothing tells, as often what it took from this sender as
// there are such.
func (s *Engine) takes(g *gate) float64 {
	return max(leastLimit, cmp.Or(s.limit(g), s.rate(g)*float64(s.set.FleetSize)))
}

// many tells whether a gate's told limit is shared by more senders than see it filled.
func (s *Engine) many(g *gate) bool { return s.set.FleetSize > fewSenders && s.limit(g) > 0 }

// startPace gives a gate of many its first pace: this sender's part of the told limit. Guards against a fleet that is
// free at first, together far above the limit, and where refused calls use it up is refused for as long as it goes on.
func (s *Engine) startPace(g *gate) {
	g.pace, g.creptAt = s.fair(g), s.now // and its tokens grow from when it was listed
	g.tokens = 1 - s.rng.Float64()*math.Min(1, g.pace*manySpread.Seconds())
}

// keepPace bounds the pace of one of many where rates are told: by its fair one, and with a backlog by twice that, if
// it grew there. Guards against paces that grew past it at one success, or whose share has shrunk: their sum passes the
// limit, and refusals use it up.
func (s *Engine) keepPace(g *gate, was float64) {
	if g.pace == 0 {
		s.startPace(g)
	} else if s.usual() > 0 {
		most := s.fair(g)
		if was >= most && len(g.dest.queue) > 0 {
			most *= manyMost
		}
		g.pace = math.Min(g.pace, most)
	}
}

// trial is the least pace of one of many: a call in a message's time, or half of its part: else a trouble's end is
// learnt too late.
func (s *Engine) trial(part float64) float64 {
	least := 0.0
	for _, c := range s.set.Classes {
		if c.Deadline > 0 {
			least = math.Max(least, 1/c.Deadline.Seconds())
		}
	}
	return math.Min(least, paceSure*part)
}

// burst is how many calls beyond one a gate's sender may send at once after idling.
func (s *Engine) burst(g *gate) float64 {
	if s.many(g) {
		return math.Max(manyBurst, g.pace*paceBurst.Seconds())
	}
	return g.pace * paceBurst.Seconds()
}

// usual is the customers' told traffic, messages a second over all senders; 0: not told.
func (s *Engine) usual() (quota float64) {
	for _, c := range s.set.Tenants {
		quota += c.Quota
	}
	return quota
}

// manyGrowth is the growth of the pace of one of many, quick below its fair one. These add up to the limit: beyond, a
// pace grows with a backlog only, into what others leave, and where rates are told long after a refusal; else its share
// is found out by refusals.
func (s *Engine) manyGrowth(g *gate) float64 {
	fair, told, refused := s.fair(g), s.usual() > 0, g.halvedAt > 0 && s.now-g.halvedAt < calmSpan
	switch {
	case g.pace >= fair && (len(g.dest.queue) == 0 || told && refused):
		return 0
	case g.pace <= paceNear*fair:
		return paceCreep
	case refused:
		return paceCrawl
	}
	return manyCreep
}

// cut is the pace of one of many after a refusal, and after further ones with no answer between. Guards against a limit
// that was lowered below half: where refused calls use it up, a fleet that stays at half its parts gets none of it.
func (s *Engine) cut(r *route, pace float64) float64 {
	part, less := s.part(r.gate), math.Min(pace/2, s.fair(r.gate))
	least := paceSure * part
	if r.refusals > 1 {
		least = math.Max(s.trial(part), manyLeast*part)
	}
	return math.Min(pace, math.Max(less, least))
}

// fair is the pace that one of many keeps to until it learns better: its part, by the share of all traffic that its own
// count and the customers' told rates tell. Guards against senders with much traffic that wait at paces which others do
// not use.
func (s *Engine) fair(g *gate) float64 {
	share := 1.0
	if quota := s.usual(); quota > 0 {
		mean := quota / float64(s.set.FleetSize) * takenSpan.Seconds() * (1 - fade(s.now-s.began, takenSpan))
		share = (takenPrior + s.taken.level*fade(s.now-s.taken.at, takenSpan)) / (takenPrior + mean)
	}
	return math.Min(s.limit(g), s.part(g)*(1-takenShare+takenShare*share))
}

// sparse tells whether this sender's part of a gate is less than a call in the span of a fall.
func (s *Engine) sparse(g *gate) bool { return s.part(g)*s.set.OverloadWindow.Seconds() < 1 }

// suspect puts a route in slight doubt, which one delivery clears, where this sender's part is under a call
// in the span of a fall. Guards against hundreds of senders, told of one failure each, that push as one.
func (s *Engine) suspect(r *route) {
	if !r.cold && s.sparse(r.gate) {
		s.doubt(r)
		r.slight = true
	}
}

// hint takes two refusals some time apart for a sign of an outage and, where this sender's part is under a call in a
// warm-up, by chance one refusal or connection failed as at a full table. Guards against many senders told once that
// all come again. Most refusals being a limit's, some must: those left are under two thirds while they come less than
// five times as often as others.
func (s *Engine) hint(r *route) {
	again := r.refusals >= sparseShut && s.now-r.refusedAt >= shutSpan
	seldom := !s.alive(r) && s.part(r.gate)*s.set.WarmUpDuration.Seconds() < 1
	if again && s.set.FleetSize > fewSenders && !s.sparse(r.gate) {
		s.doubt(r)
	} else if again || seldom && s.rng.Float64() < hintDoubt {
		s.suspect(r)
	}
}

// ask has others asked for calls shortly before the own pace is all that closes a gate, and while messages
// wait: what the recovery budget lets through lapses meanwhile. It returns when to look again.
func (s *Engine) ask(g *gate, open, paced time.Duration) time.Duration {
	if !g.shared || len(g.dest.queue) == 0 {
		return paced
	} else if open > s.now+askAhead {
		return min(paced, open-askAhead)
	}
	if n := s.perCall(g.kind); s.now >= g.askedAt+askEvery {
		s.act(Action{Kind: RequestQuota, Endpoint: g.routes[0].ID, Calls: (len(g.dest.queue) + n - 1) / n})
		g.askedAt = s.now
	}
	return min(paced, g.askedAt+askEvery)
}
