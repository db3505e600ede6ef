package policy

import (
	"cmp"
	"math"
	"time"
)

// Pacing rates. A scope has a token bucket whose rate is halved after a rejection and grows with successes.
const (
	pacingRestartRate    = 1.0                    // calls a second after an ejection
	minPacingRate        = 0.03                   // calls a second below which a rate does not fall
	minPacingShareRatio  = 0.5                    // minimum rate as a fraction of the relay's share of a known limit
	pacingDecreaseFactor = 0.5                    // factor applied to the rate in use after a rejection
	pacingBurstWindow    = 300 * time.Millisecond // unused tokens of this time may be sent as a burst
)

// Growth of a pacing rate with successes.
const (
	pacingGrowth         = 0.25 // growth with each success, as a fraction of the rate
	cautiousPacingGrowth = 0.03 // growth with each success near the last rejected rate
	nearLimitRatio       = 0.85 // a rate above this fraction of the last rejected rate is near it
	maxGrowthSeconds     = 8    // seconds of growth that one success may count for, at most
	maxUnusedPacingRatio = 3.0  // a pacing rate above this multiple of the actual send rate does not grow
)

// sparseSpreadCalls is the time, in calls at the pacing rate, over which relays with sparse shares spread their
// next calls after all of them were rejected at once.
const sparseSpreadCalls = 1.0

// decreasePacing lowers the pacing rate after a rejection, to half of the rate at which calls were sent in the last
// second. Rejections of calls that were in flight together lower it only once.
func (e *Engine) decreasePacing(ep *endpoint, obs observation) {
	scope := ep.scope
	if obs.sentAt < scope.decreasedAt {
		return
	}
	rate := e.sendRate(scope)
	if scope.pacingRate > 0 {
		rate = math.Min(rate, scope.pacingRate)
	}
	if e.isLargeFleet(scope) {
		// With one call in several seconds, there may be none in the last second. The pacing rate is used then.
		scope.pacingRate = e.fleetRateAfterRejection(ep, cmp.Or(rate, scope.pacingRate))
		scope.lastRejectedRate = 0
	} else {
		// A rate counted from few calls is imprecise: repeated decreases must not starve a scope whose limit is
		// known.
		lowest := math.Max(minPacingRate, minPacingShareRatio*e.knownLimit(scope)/float64(e.settings.FleetSize))
		scope.lastRejectedRate = math.Max(rate, lowest)
		scope.pacingRate = math.Max(rate*pacingDecreaseFactor, lowest)
	}
	scope.tokens = 0
	scope.tokensUpdatedAt = e.now
	scope.decreasedAt = e.now
	// Hundreds of relays may be rejected at the same time. Their next calls are spread over the interval between
	// calls.
	if e.hasSparseShare(scope) {
		scope.tokens = 0.5 - sparseSpreadCalls*e.rng.Float64()
	}
}

// increasePacing raises the pacing rate after a success, slowly near the last rejected rate.
func (e *Engine) increasePacing(scope *limitScope) {
	if scope.pacingRate == 0 {
		return
	}
	e.refillTokens(scope)
	if scope.pacingRate > maxUnusedPacingRatio*math.Max(1, e.sendRate(scope)) {
		return
	}
	growth := e.pacingGrowth(scope)
	if growth == 0 {
		return
	}
	// If successes are seconds apart, each counts once for each second since the last change of the rate.
	sinceChange := e.now - max(scope.increasedAt, scope.decreasedAt)
	steps := min(max(1, sinceChange.Seconds()), maxGrowthSeconds)
	previous := scope.pacingRate
	scope.pacingRate *= math.Pow(1+growth, steps)
	scope.increasedAt = e.now
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, previous)
	}
	// If one call can carry all waiting messages, a rate above the fair share only takes capacity from relays with
	// a backlog.
	batch := e.maxBatch(scope.kind)
	if batch > 1 && len(scope.destination.queue) < batch && e.knownLimit(scope) > 0 {
		scope.pacingRate = math.Min(scope.pacingRate, e.fairShare(scope))
	}
}

// pacingGrowth returns the fraction by which a pacing rate grows with one success.
func (e *Engine) pacingGrowth(scope *limitScope) float64 {
	switch {
	case e.isLargeFleet(scope):
		return e.fleetPacingGrowth(scope)
	case scope.lastRejectedRate > 0 && scope.pacingRate > nearLimitRatio*scope.lastRejectedRate:
		return cautiousPacingGrowth
	}
	return pacingGrowth
}

// burstTokens returns how many calls, in addition to one, may be sent at once after a time without calls.
func (e *Engine) burstTokens(scope *limitScope) float64 {
	burst := scope.pacingRate * pacingBurstWindow.Seconds()
	if e.isLargeFleet(scope) {
		return math.Max(fleetBurstTokens, burst)
	}
	return burst
}

// tokenRate returns the rate at which a scope earns tokens: the pacing rate, less the part that is lent to other
// relays.
func (e *Engine) tokenRate(scope *limitScope) float64 {
	if scope.quotaShared && scope.reservedFraction < 1 {
		evenShare := e.knownLimit(scope) / float64(e.settings.FleetSize)
		return math.Min(scope.pacingRate, evenShare) * scope.reservedFraction
	}
	return scope.pacingRate
}

// refillTokens adds the tokens earned since the last refill. A scope holds one token plus its burst tokens at most.
func (e *Engine) refillTokens(scope *limitScope) {
	earned := e.tokenRate(scope) * (e.now - scope.tokensUpdatedAt).Seconds()
	scope.tokens = math.Min(1+e.burstTokens(scope), scope.tokens+earned)
	scope.tokensUpdatedAt = e.now
}

// callInterval returns the time between calls at a rate, an hour at most.
func callInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}
