package policy

import (
	"cmp"
	"math"
	"time"
)

// Pacing rates. A scope has a token bucket whose rate falls by half with a rejection and grows with successes.
const (
	pacingRestartRate    = 1.0  // calls a second after an ejection
	minPacingRate        = 0.03 // calls a second: a rate does not fall below this
	minPacingShareRatio  = 0.5  // nor below this fraction of its even share of the limit
	pacingDecreaseFactor = 0.5  // of the rate in use, at a rejection
	pacingBurstWindow    = 300 * time.Millisecond
)

// Growth of a pacing rate with successes.
const (
	pacingGrowth         = 0.25 // with each success
	cautiousPacingGrowth = 0.03 // the same near the rate that was rejected last
	nearLimitRatio       = 0.85 // "near" is above this fraction of that rate
	maxGrowthSeconds     = 8    // seconds that one success may stand for
	maxUnusedPacingRatio = 3.0  // a rate above this multiple of the one in use does not grow
)

// sparseSpreadCalls is the number of calls, at the pacing rate, over which relays with sparse shares spread after a
// rejection that reached them together.
const sparseSpreadCalls = 1.0

// decreasePacing sets the pacing rate to half the last second's rate, once for all calls that were in flight together.
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
		// With one call in several seconds there may be none in the last one.
		scope.pacingRate = e.fleetRateAfterRejection(ep, cmp.Or(rate, scope.pacingRate))
		scope.lastRejectedRate = 0
	} else {
		// A count of few calls a second is rough: decreases must not starve a scope whose limit is known.
		lowest := math.Max(minPacingRate, minPacingShareRatio*e.knownLimit(scope)/float64(e.settings.FleetSize))
		scope.lastRejectedRate = math.Max(rate, lowest)
		scope.pacingRate = math.Max(rate*pacingDecreaseFactor, lowest)
	}
	scope.tokens = 0
	scope.tokensUpdatedAt = e.now
	scope.decreasedAt = e.now
	// Calls that were rejected together at hundreds of relays come again spread over the time of a call.
	if e.hasSparseShare(scope) {
		scope.tokens = 0.5 - sparseSpreadCalls*e.rng.Float64()
	}
}

// increasePacing lets the pacing rate grow with a success, slowly near the rate that was rejected last.
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
	// Where successes are seconds apart, each stands for the seconds since the last one.
	sinceChange := e.now - max(scope.increasedAt, scope.decreasedAt)
	steps := min(max(1, sinceChange.Seconds()), maxGrowthSeconds)
	previous := scope.pacingRate
	scope.pacingRate *= math.Pow(1+growth, steps)
	scope.increasedAt = e.now
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, previous)
	}
	// While one call carries all waiting messages, more than the fair share only takes capacity from other relays'
	// backlogs.
	batch := e.maxBatch(scope.kind)
	if batch > 1 && len(scope.destination.queue) < batch && e.knownLimit(scope) > 0 {
		scope.pacingRate = math.Min(scope.pacingRate, e.fairShare(scope))
	}
}

// pacingGrowth returns the growth of a pacing rate with one success.
func (e *Engine) pacingGrowth(scope *limitScope) float64 {
	switch {
	case e.isLargeFleet(scope):
		return e.fleetPacingGrowth(scope)
	case scope.lastRejectedRate > 0 && scope.pacingRate > nearLimitRatio*scope.lastRejectedRate:
		return cautiousPacingGrowth
	}
	return pacingGrowth
}

// burstTokens returns how many calls beyond one may be sent at once after a time without calls.
func (e *Engine) burstTokens(scope *limitScope) float64 {
	burst := scope.pacingRate * pacingBurstWindow.Seconds()
	if e.isLargeFleet(scope) {
		return math.Max(fleetBurstTokens, burst)
	}
	return burst
}

// tokenRate returns the rate at which a scope's tokens grow: the pacing rate, without the part that is lent.
func (e *Engine) tokenRate(scope *limitScope) float64 {
	if scope.quotaShared && scope.reservedFraction < 1 {
		evenShare := e.knownLimit(scope) / float64(e.settings.FleetSize)
		return math.Min(scope.pacingRate, evenShare) * scope.reservedFraction
	}
	return scope.pacingRate
}

// refillTokens adds the tokens of the time since the last refill, up to one and a burst.
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
