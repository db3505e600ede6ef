package policy

import (
	"math"
	"time"
)

// Pacing in a large fleet. A burst or a quick rate increase that is harmless from one relay overloads an endpoint
// if all relays do the same at once.
const (
	fleetBurstTokens        = 0.5              // tokens above 1 that a scope may save up while it sends no calls
	rejectionFreeWindow     = 20 * time.Second // time after a rejection with little or no growth above the fair rate
	fleetExcessPacingGrowth = 0.1              // growth with each success, as a fraction, near or above the fair rate
	maxFleetPacingRatio     = 2                // maximum rate with a backlog and quotas, as a multiple of the fair rate
	minFleetPacingRatio     = 0.05             // minimum after consecutive rejections, as a fraction of the fair share
)

// MaxInitialSpread is the maximum time over which the relays of a large fleet spread their first calls to a newly
// listed endpoint.
const MaxInitialSpread = 3 * time.Second

// isLargeFleet reports whether a scope has a known limit and so many relays share it that only a few of them
// receive a rejection when the limit is reached.
func (e *Engine) isLargeFleet(scope *limitScope) bool {
	return e.settings.FleetSize > smallFleetSize && e.knownLimit(scope) > 0
}

// initializePacing sets the first pacing rate of a scope: this relay's share of the known limit. Without it, the
// relays of a large fleet would start unpaced and together exceed the limit by far. Where rejected calls count
// against the limit, the relays would then be rejected for as long as they kept calling at that rate. The scope's
// tokens accumulate from the time at which it was listed.
func (e *Engine) initializePacing(scope *limitScope) {
	scope.pacingRate = e.fairPacingRate(scope)
	scope.increasedAt = e.now
	scope.tokens = 1 - e.rng.Float64()*math.Min(1, scope.pacingRate*MaxInitialSpread.Seconds())
}

// boundPacing limits a pacing rate if tenant quotas are set. The maximum is the fair rate, or maxFleetPacingRatio
// times the fair rate if there is a backlog and the previous rate was at least the fair rate. Without this bound,
// one success could raise a rate far above the fair rate, and a rate could stay high after the relay's share had
// shrunk. The rates of all relays would then add up to more than the limit, and rejected calls would use up the
// limit.
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

// minTrialRate returns the lowest useful pacing rate: one call within the shortest deadline of all classes, or half
// of the fair share if that is less. At a lower rate, the relay would detect the end of an outage too late for the
// messages that wait.
func (e *Engine) minTrialRate(fairShare float64) float64 {
	rate := 0.0
	for _, class := range e.settings.Classes {
		if class.Deadline > 0 {
			rate = math.Max(rate, 1/class.Deadline.Seconds())
		}
	}
	return math.Min(rate, minPacingShareRatio*fairShare)
}

// fleetPacingGrowth returns the fraction by which a pacing rate grows with one success. Well below the fair rate,
// growth is quick, since the fair rates of all relays add up to the limit. Above the fair rate, a rate grows only
// if there is a backlog, to use capacity that other relays leave unused. If quotas are set, this also requires that
// the last rejection was at least rejectionFreeWindow ago. Without quotas, the rate keeps growing until calls are
// rejected.
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

// fleetRateAfterRejection returns the pacing rate after a rejection. A single rejection lowers the rate no further
// than to half of the relay's fair share. Consecutive rejections lower it further. This matters if a limit is
// lowered to less than half of its former value and rejected calls count against it. If the relays then stayed at
// half of their former shares, all their calls would be rejected.
func (e *Engine) fleetRateAfterRejection(ep *endpoint, rate float64) float64 {
	fairShare := e.fairShare(ep.scope)
	decreased := math.Min(rate*pacingDecreaseFactor, e.fairPacingRate(ep.scope))
	lowest := minPacingShareRatio * fairShare
	if ep.consecutiveRejections > 1 {
		lowest = math.Max(e.minTrialRate(fairShare), minFleetPacingRatio*fairShare)
	}
	return math.Min(rate, math.Max(decreased, lowest))
}
