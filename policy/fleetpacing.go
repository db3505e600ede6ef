package policy

import (
	"math"
	"time"
)

const (
	fleetBurstTokens        = 0.5              // calls beyond one that one of many may send after idling
	rejectionFreeWindow     = 20 * time.Second // without a refusal for so long, a pace grows past the fair one, or faster
	fleetExcessPacingGrowth = 0.1              // growth of the pace of one of many above its fair one
	// multiple of its fair pace that one of many may reach with a backlog, where rates are told
	maxFleetPacingRatio = 2
	minFleetPacingRatio = 0.05            // of its part: refused again and again, its pace does not fall below
	initialSpreadTime   = 3 * time.Second // over this at most the first calls of many spread
)

// MaxInitialSpread is the longest time over which the first calls of many senders to what is listed anew spread.
const MaxInitialSpread = initialSpreadTime

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
