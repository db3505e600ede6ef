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
func (e *Engine) scopeCapacity(scope *limitScope) float64 {
	return max(minScopeCapacity, cmp.Or(e.knownLimit(scope), e.deliveryRate(scope)*float64(e.settings.FleetSize)))
}

// isLargeFleet tells whether a gate's told limit is shared by more senders than see it filled.
func (e *Engine) isLargeFleet(scope *limitScope) bool {
	return e.settings.FleetSize > smallFleetSize && e.knownLimit(scope) > 0
}

// initializePacing gives a gate of many its first pace: this sender's part of the told limit. Guards against a fleet that is
// free at first, together far above the limit, and where refused calls use it up is refused for as long as it goes on.
func (e *Engine) initializePacing(scope *limitScope) {
	scope.pacingRate, scope.increasedAt = e.fairPacingRate(scope), e.now // and its tokens grow from when it was listed
	scope.tokens = 1 - e.rng.Float64()*math.Min(1, scope.pacingRate*initialSpreadTime.Seconds())
}

// boundPacing bounds the pace of one of many where rates are told: by its fair one, and with a backlog by twice that, if
// it grew there. Guards against paces that grew past it at one success, or whose share has shrunk: their sum passes the
// limit, and refusals use it up.
func (e *Engine) boundPacing(scope *limitScope, was float64) {
	if scope.pacingRate == 0 {
		e.initializePacing(scope)
	} else if e.totalQuota() > 0 {
		most := e.fairPacingRate(scope)
		if was >= most && len(scope.destination.queue) > 0 {
			most *= maxFleetPacingRatio
		}
		scope.pacingRate = math.Min(scope.pacingRate, most)
	}
}

// minTrialRate is the least pace of one of many: a call in a message's time, or half of its part: else a trouble's end is
// learnt too late.
func (e *Engine) minTrialRate(fairShare float64) float64 {
	least := 0.0
	for _, class := range e.settings.Classes {
		if class.Deadline > 0 {
			least = math.Max(least, 1/class.Deadline.Seconds())
		}
	}
	return math.Min(least, minPacingShareRatio*fairShare)
}

// burstTokens is how many calls beyond one a gate's sender may send at once after idling.
func (e *Engine) burstTokens(scope *limitScope) float64 {
	if e.isLargeFleet(scope) {
		return math.Max(fleetBurstTokens, scope.pacingRate*pacingBurstWindow.Seconds())
	}
	return scope.pacingRate * pacingBurstWindow.Seconds()
}

// totalQuota is the customers' told traffic, messages a second over all senders; 0: not told.
func (e *Engine) totalQuota() (quota float64) {
	for _, tenant := range e.settings.Tenants {
		quota += tenant.Quota
	}
	return quota
}

// fleetPacingGrowth is the growth of the pace of one of many, quick below its fair one. These add up to the limit: beyond, a
// pace grows with a backlog only, into what others leave, and where rates are told long after a refusal; else its share
// is found out by refusals.
func (e *Engine) fleetPacingGrowth(scope *limitScope) float64 {
	fair, told, refused := e.fairPacingRate(scope), e.totalQuota() > 0, scope.decreasedAt > 0 && e.now-scope.decreasedAt < rejectionFreeWindow
	switch {
	case scope.pacingRate >= fair && (len(scope.destination.queue) == 0 || told && refused):
		return 0
	case scope.pacingRate <= nearLimitRatio*fair:
		return pacingGrowth
	case refused:
		return cautiousPacingGrowth
	}
	return fleetExcessPacingGrowth
}

// fleetRateAfterRejection is the pace of one of many after a refusal, and after further ones with no answer between. Guards against a limit
// that was lowered below half: where refused calls use it up, a fleet that stays at half its parts gets none of it.
func (e *Engine) fleetRateAfterRejection(ep *endpoint, pace float64) float64 {
	fairShare, less := e.fairShare(ep.scope), math.Min(pace/2, e.fairPacingRate(ep.scope))
	least := minPacingShareRatio * fairShare
	if ep.consecutiveRejections > 1 {
		least = math.Max(e.minTrialRate(fairShare), minFleetPacingRatio*fairShare)
	}
	return math.Min(pace, math.Max(less, least))
}

// fairPacingRate is the pace that one of many keeps to until it learns better: its part, by the share of all traffic that its own
// count and the customers' told rates tell. Guards against senders with much traffic that wait at paces which others do
// not use.
func (e *Engine) fairPacingRate(scope *limitScope) float64 {
	share := 1.0
	if quota := e.totalQuota(); quota > 0 {
		mean := quota / float64(e.settings.FleetSize) * trafficWindow.Seconds() * (1 - decay(e.now-e.startedAt, trafficWindow))
		share = (trafficPriorMessages + e.acceptedTraffic.level*decay(e.now-e.acceptedTraffic.updatedAt, trafficWindow)) / (trafficPriorMessages + mean)
	}
	return math.Min(e.knownLimit(scope), e.fairShare(scope)*(1-ownTrafficRatio+ownTrafficRatio*share))
}

// hasSparseShare tells whether this sender's part of a gate is less than a call in the span of a fall.
func (e *Engine) hasSparseShare(scope *limitScope) bool {
	return e.fairShare(scope)*e.settings.OverloadWindow.Seconds() < 1
}

// suspectWeakly puts a route in slight doubt, which one delivery clears, where this sender's part is under a call
// in the span of a fall. Guards against hundreds of senders, told of one failure each, that push as one.
func (e *Engine) suspectWeakly(ep *endpoint) {
	if !ep.warmingUp && e.hasSparseShare(ep.scope) {
		e.suspect(ep)
		ep.weaklySuspected = true
	}
}

// suspectOnWeakSignal takes two refusals some time apart for a sign of an outage and, where this sender's part is under a call in a
// warm-up, by chance one refusal or connection failed as at a full table. Guards against many senders told once that
// all come again. Most refusals being a limit's, some must: those left are under two thirds while they come less than
// five times as often as others.
func (e *Engine) suspectOnWeakSignal(ep *endpoint) {
	repeated := ep.consecutiveRejections >= sparseOutageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
	seldom := !e.recentlyHealthy(ep) && e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() < 1
	if repeated && e.settings.FleetSize > smallFleetSize && !e.hasSparseShare(ep.scope) {
		e.suspect(ep)
	} else if repeated || seldom && e.rng.Float64() < weakSignalProbability {
		e.suspectWeakly(ep)
	}
}

// requestQuota has others asked for calls shortly before the own pace is all that closes a gate, and while messages
// wait: what the recovery budget lets through lapses meanwhile. It returns when to look again.
func (e *Engine) requestQuota(scope *limitScope, open, paced time.Duration) time.Duration {
	if !scope.quotaShared || len(scope.destination.queue) == 0 {
		return paced
	} else if open > e.now+quotaRequestLead {
		return min(paced, open-quotaRequestLead)
	}
	if n := e.maxBatch(scope.kind); e.now >= scope.quotaRequestedAt+quotaRequestInterval {
		e.emit(Action{Kind: RequestQuota, Endpoint: scope.endpoints[0].ID, Calls: (len(scope.destination.queue) + n - 1) / n})
		scope.quotaRequestedAt = e.now
	}
	return min(paced, scope.quotaRequestedAt+quotaRequestInterval)
}
