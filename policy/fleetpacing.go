package policy

import (
	"math"
	"time"
)

// Pacing in a large fleet, whose relays must take care of each other: what is harmless from one of them is not from
// all at once.
const (
	fleetBurstTokens        = 0.5              // calls beyond one that may be sent after a time without calls
	rejectionFreeWindow     = 20 * time.Second // without a rejection for so long, a rate may outgrow its fair rate
	fleetExcessPacingGrowth = 0.1              // growth above the fair rate, with each success
	maxFleetPacingRatio     = 2                // multiple of the fair rate that a backlog may reach if quotas are set
	minFleetPacingRatio     = 0.05             // of the fair share: a rate does not fall below this
)

// MaxInitialSpread is the time over which a large fleet spreads its first calls to what is newly listed, at most.
const MaxInitialSpread = 3 * time.Second

// isLargeFleet reports whether a known limit of a scope is shared by so many relays that few of them see it reached.
func (e *Engine) isLargeFleet(scope *limitScope) bool {
	return e.settings.FleetSize > smallFleetSize && e.knownLimit(scope) > 0
}

// initializePacing gives a scope its first pacing rate: this relay's part of the known limit. Guards against a fleet
// that is not paced at first and goes far beyond the limit together; where rejected calls count against the limit, it
// would be rejected for as long as it goes on. Its tokens grow from the time at which the scope was listed.
func (e *Engine) initializePacing(scope *limitScope) {
	scope.pacingRate = e.fairPacingRate(scope)
	scope.increasedAt = e.now
	scope.tokens = 1 - e.rng.Float64()*math.Min(1, scope.pacingRate*MaxInitialSpread.Seconds())
}

// boundPacing bounds a pacing rate where quotas are set: by the fair rate, and with a backlog by a multiple of it if
// the previous rate was no lower. Guards against rates that have outgrown the fair one with a single success, or whose
// share has shrunk since: their sum exceeds the limit, and rejected calls use it up.
func (e *Engine) boundPacing(scope *limitScope, previous float64) {
	if scope.pacingRate == 0 {
		e.initializePacing(scope)
		return
	}
	if e.totalQuota() <= 0 {
		return
	}
	highest := e.fairPacingRate(scope)
	if previous >= highest && len(scope.destination.queue) > 0 {
		highest *= maxFleetPacingRatio
	}
	scope.pacingRate = math.Min(scope.pacingRate, highest)
}

// minTrialRate returns the lowest useful pacing rate: one call within a message's deadline, or half of the fair share
// if that is less. With a lower one the end of an outage is noticed too late.
func (e *Engine) minTrialRate(fairShare float64) float64 {
	rate := 0.0
	for _, class := range e.settings.Classes {
		if class.Deadline > 0 {
			rate = math.Max(rate, 1/class.Deadline.Seconds())
		}
	}
	return math.Min(rate, minPacingShareRatio*fairShare)
}

// fleetPacingGrowth returns the growth of a pacing rate with one success. It is quick below the fair rate, since the
// fair rates add up to the limit. Beyond, a rate grows only with a backlog, into what other relays leave: where quotas
// are set, long after a rejection; else its place is found by rejections.
func (e *Engine) fleetPacingGrowth(scope *limitScope) float64 {
	fair := e.fairPacingRate(scope)
	quotasSet := e.totalQuota() > 0
	rejected := scope.decreasedAt > 0 && e.now-scope.decreasedAt < rejectionFreeWindow
	switch {
	case scope.pacingRate >= fair && (len(scope.destination.queue) == 0 || quotasSet && rejected):
		return 0
	case scope.pacingRate <= nearLimitRatio*fair:
		return pacingGrowth
	case rejected:
		return cautiousPacingGrowth
	}
	return fleetExcessPacingGrowth
}

// fleetRateAfterRejection returns the pacing rate after a rejection; it falls further with consecutive ones. Guards
// against a limit that was lowered below half: where rejected calls count against it, a fleet that stays at half of its
// shares gets nothing through.
func (e *Engine) fleetRateAfterRejection(ep *endpoint, rate float64) float64 {
	fairShare := e.fairShare(ep.scope)
	decreased := math.Min(rate*pacingDecreaseFactor, e.fairPacingRate(ep.scope))
	lowest := minPacingShareRatio * fairShare
	if ep.consecutiveRejections > 1 {
		lowest = math.Max(e.minTrialRate(fairShare), minFleetPacingRatio*fairShare)
	}
	return math.Min(rate, math.Max(decreased, lowest))
}
