package policy

import (
	"cmp"
	"math"
	"time"
)

// What senders of a large fleet do otherwise than a few: what is harmless from one of them is not from all.

const (
	fleetBurstTokens        = 0.5              // calls beyond one that one of many may send after idling
	rejectionFreeWindow     = 20 * time.Second // without a refusal for so long, a pace grows past the fair one, or faster
	fleetExcessPacingGrowth = 0.1              // growth of the pace of one of many above its fair one
	// multiple of its fair pace that one of many may reach with a backlog, where rates are told
	maxFleetPacingRatio  = 2
	minFleetPacingRatio  = 0.05                   // of its part: refused again and again, its pace does not fall below
	trafficWindow        = 10 * time.Second       // span over which a sender's own traffic is counted
	trafficPriorMessages = 5                      // messages that count as seen at the usual rate before any
	ownTrafficRatio      = 0.6                    // of a fair pace that goes by own traffic
	initialSpreadTime    = 3 * time.Second        // over this at most the first calls of many spread
	quotaRequestInterval = 100 * time.Millisecond // while messages wait, others are asked for calls so often
	quotaRequestLead     = 700 * time.Millisecond // and so long before the calls may leave
)

// scopeCapacity is what a gate takes from all, on the low side; where nothing tells, as often what it took from this sender as
// there are such.
func (s *Engine) scopeCapacity(g *limitScope) float64 {
	return max(minScopeCapacity, cmp.Or(s.knownLimit(g), s.deliveryRate(g)*float64(s.settings.FleetSize)))
}

// isLargeFleet tells whether a gate's told limit is shared by more senders than see it filled.
func (s *Engine) isLargeFleet(g *limitScope) bool {
	return s.settings.FleetSize > smallFleetSize && s.knownLimit(g) > 0
}

// initializePacing gives a gate of many its first pace: this sender's part of the told limit. Guards against a fleet that is
// free at first, together far above the limit, and where refused calls use it up is refused for as long as it goes on.
func (s *Engine) initializePacing(g *limitScope) {
	g.pacingRate, g.increasedAt = s.fairPacingRate(g), s.now // and its tokens grow from when it was listed
	g.tokens = 1 - s.rng.Float64()*math.Min(1, g.pacingRate*initialSpreadTime.Seconds())
}

// boundPacing bounds the pace of one of many where rates are told: by its fair one, and with a backlog by twice that, if
// it grew there. Guards against paces that grew past it at one success, or whose share has shrunk: their sum passes the
// limit, and refusals use it up.
func (s *Engine) boundPacing(g *limitScope, was float64) {
	if g.pacingRate == 0 {
		s.initializePacing(g)
	} else if s.totalQuota() > 0 {
		most := s.fairPacingRate(g)
		if was >= most && len(g.destination.queue) > 0 {
			most *= maxFleetPacingRatio
		}
		g.pacingRate = math.Min(g.pacingRate, most)
	}
}

// minTrialRate is the least pace of one of many: a call in a message's time, or half of its part: else a trouble's end is
// learnt too late.
func (s *Engine) minTrialRate(part float64) float64 {
	least := 0.0
	for _, c := range s.settings.Classes {
		if c.Deadline > 0 {
			least = math.Max(least, 1/c.Deadline.Seconds())
		}
	}
	return math.Min(least, minPacingShareRatio*part)
}

// burstTokens is how many calls beyond one a gate's sender may send at once after idling.
func (s *Engine) burstTokens(g *limitScope) float64 {
	if s.isLargeFleet(g) {
		return math.Max(fleetBurstTokens, g.pacingRate*pacingBurstWindow.Seconds())
	}
	return g.pacingRate * pacingBurstWindow.Seconds()
}

// totalQuota is the customers' told traffic, messages a second over all senders; 0: not told.
func (s *Engine) totalQuota() (quota float64) {
	for _, c := range s.settings.Tenants {
		quota += c.Quota
	}
	return quota
}

// fleetPacingGrowth is the growth of the pace of one of many, quick below its fair one. These add up to the limit: beyond, a
// pace grows with a backlog only, into what others leave, and where rates are told long after a refusal; else its share
// is found out by refusals.
func (s *Engine) fleetPacingGrowth(g *limitScope) float64 {
	fair, told, refused := s.fairPacingRate(g), s.totalQuota() > 0, g.decreasedAt > 0 && s.now-g.decreasedAt < rejectionFreeWindow
	switch {
	case g.pacingRate >= fair && (len(g.destination.queue) == 0 || told && refused):
		return 0
	case g.pacingRate <= nearLimitRatio*fair:
		return pacingGrowth
	case refused:
		return cautiousPacingGrowth
	}
	return fleetExcessPacingGrowth
}

// fleetRateAfterRejection is the pace of one of many after a refusal, and after further ones with no answer between. Guards against a limit
// that was lowered below half: where refused calls use it up, a fleet that stays at half its parts gets none of it.
func (s *Engine) fleetRateAfterRejection(r *endpoint, pace float64) float64 {
	part, less := s.fairShare(r.scope), math.Min(pace/2, s.fairPacingRate(r.scope))
	least := minPacingShareRatio * part
	if r.consecutiveRejections > 1 {
		least = math.Max(s.minTrialRate(part), minFleetPacingRatio*part)
	}
	return math.Min(pace, math.Max(less, least))
}

// fairPacingRate is the pace that one of many keeps to until it learns better: its part, by the share of all traffic that its own
// count and the customers' told rates tell. Guards against senders with much traffic that wait at paces which others do
// not use.
func (s *Engine) fairPacingRate(g *limitScope) float64 {
	share := 1.0
	if quota := s.totalQuota(); quota > 0 {
		mean := quota / float64(s.settings.FleetSize) * trafficWindow.Seconds() * (1 - decay(s.now-s.startedAt, trafficWindow))
		share = (trafficPriorMessages + s.acceptedTraffic.level*decay(s.now-s.acceptedTraffic.updatedAt, trafficWindow)) / (trafficPriorMessages + mean)
	}
	return math.Min(s.knownLimit(g), s.fairShare(g)*(1-ownTrafficRatio+ownTrafficRatio*share))
}

// hasSparseShare tells whether this sender's part of a gate is less than a call in the span of a fall.
func (s *Engine) hasSparseShare(g *limitScope) bool {
	return s.fairShare(g)*s.settings.OverloadWindow.Seconds() < 1
}

// suspectWeakly puts a route in slight doubt, which one delivery clears, where this sender's part is under a call
// in the span of a fall. Guards against hundreds of senders, told of one failure each, that push as one.
func (s *Engine) suspectWeakly(r *endpoint) {
	if !r.warmingUp && s.hasSparseShare(r.scope) {
		s.suspect(r)
		r.weaklySuspected = true
	}
}

// suspectOnWeakSignal takes two refusals some time apart for a sign of an outage and, where this sender's part is under a call in a
// warm-up, by chance one refusal or connection failed as at a full table. Guards against many senders told once that
// all come again. Most refusals being a limit's, some must: those left are under two thirds while they come less than
// five times as often as others.
func (s *Engine) suspectOnWeakSignal(r *endpoint) {
	again := r.consecutiveRejections >= sparseOutageRejections && s.now-r.firstRejectedAt >= minOutageRejectionTime
	seldom := !s.recentlyHealthy(r) && s.fairShare(r.scope)*s.settings.WarmUpDuration.Seconds() < 1
	if again && s.settings.FleetSize > smallFleetSize && !s.hasSparseShare(r.scope) {
		s.suspect(r)
	} else if again || seldom && s.rng.Float64() < weakSignalProbability {
		s.suspectWeakly(r)
	}
}

// requestQuota has others asked for calls shortly before the own pace is all that closes a gate, and while messages
// wait: what the recovery budget lets through lapses meanwhile. It returns when to look again.
func (s *Engine) requestQuota(g *limitScope, open, paced time.Duration) time.Duration {
	if !g.quotaShared || len(g.destination.queue) == 0 {
		return paced
	} else if open > s.now+quotaRequestLead {
		return min(paced, open-quotaRequestLead)
	}
	if n := s.maxBatch(g.kind); s.now >= g.quotaRequestedAt+quotaRequestInterval {
		s.emit(Action{Kind: RequestQuota, Endpoint: g.endpoints[0].ID, Calls: (len(g.destination.queue) + n - 1) / n})
		g.quotaRequestedAt = s.now
	}
	return min(paced, g.quotaRequestedAt+quotaRequestInterval)
}
