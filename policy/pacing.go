package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	pacingRestartRate    = 1.0                    // calls a second after a skip
	minPacingRate        = 0.03                   // calls a second under which a pace does not fall
	minPacingShareRatio  = 0.5                    // of its even part of the limit: a pace does not fall below
	pacingGrowth         = 0.25                   // growth of the pace with each success
	cautiousPacingGrowth = 0.03                   // the same near the rate that was refused last
	maxGrowthSeconds     = 8                      // most seconds that one success counts for
	nearLimitRatio       = 0.85                   // "near": above this share of that rate
	maxUnusedPacingRatio = 3.0                    // above this multiple of the rate in use a pace does not grow
	pacingBurstWindow    = 300 * time.Millisecond // span of pace that may be sent at once after idling
	sparseSpreadCalls    = 1.0                    // calls at the pace over which refused sparse senders spread
)

// decreasePacing sets the pace to half the last second's rate, once for all calls that were out together.
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
		scope.lastRejectedRate, scope.pacingRate = 0, e.fleetRateAfterRejection(ep, cmp.Or(rate, scope.pacingRate)) // one in seconds: none in the last
	} else {
		// Counts of few calls a second are rough: halvings must not starve a gate whose limit is known.
		least := math.Max(minPacingRate, minPacingShareRatio*e.knownLimit(scope)/float64(e.settings.FleetSize))
		scope.lastRejectedRate, scope.pacingRate = math.Max(rate, least), math.Max(rate/2, least)
	}
	scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 0, e.now, e.now
	// A clump refused at hundreds of senders comes again spread over a call's time.
	if e.hasSparseShare(scope) {
		scope.tokens = 0.5 - sparseSpreadCalls*e.rng.Float64()
	}
}

// increasePacing lets the pace grow with a success, slowly near the rate that was refused last.
func (e *Engine) increasePacing(scope *limitScope) {
	if scope.pacingRate == 0 {
		return
	}
	e.refillTokens(scope)
	if scope.pacingRate > maxUnusedPacingRatio*math.Max(1, e.sendRate(scope)) {
		return
	}
	growth := pacingGrowth
	if e.isLargeFleet(scope) {
		growth = e.fleetPacingGrowth(scope)
	} else if scope.lastRejectedRate > 0 && scope.pacingRate > nearLimitRatio*scope.lastRejectedRate {
		growth = cautiousPacingGrowth
	}
	if growth == 0 {
		return
	}
	// Where successes are seconds apart, each counts for the seconds that it stands for.
	steps := min(max(1, (e.now-max(scope.increasedAt, scope.decreasedAt)).Seconds()), maxGrowthSeconds)
	was := scope.pacingRate
	scope.pacingRate, scope.increasedAt = scope.pacingRate*math.Pow(1+growth, steps), e.now
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, was)
	}
	// While one call carries all that waits, more than this part only takes the room of others' backlogs.
	if n := e.maxBatch(scope.kind); n > 1 && len(scope.destination.queue) < n && e.knownLimit(scope) > 0 {
		scope.pacingRate = math.Min(scope.pacingRate, e.fairShare(scope))
	}
}

// burstTokens is how many calls beyond one a gate's sender may send at once after idling.
func (e *Engine) burstTokens(scope *limitScope) float64 {
	if e.isLargeFleet(scope) {
		return math.Max(fleetBurstTokens, scope.pacingRate*pacingBurstWindow.Seconds())
	}
	return scope.pacingRate * pacingBurstWindow.Seconds()
}

// tokenRate is the pace that a gate's tokens grow with: of a part that is lent, what is left.
func (e *Engine) tokenRate(scope *limitScope) float64 {
	if scope.quotaShared && scope.reservedFraction < 1 {
		return math.Min(scope.pacingRate, e.knownLimit(scope)/float64(e.settings.FleetSize)) * scope.reservedFraction
	}
	return scope.pacingRate
}

// refillTokens adds to a gate's tokens what its pace has earned, up to one and a burst.
func (e *Engine) refillTokens(scope *limitScope) {
	scope.tokens = math.Min(1+e.burstTokens(scope), scope.tokens+e.tokenRate(scope)*(e.now-scope.tokensUpdatedAt).Seconds())
	scope.tokensUpdatedAt = e.now
}

// callInterval is the time between calls at a rate.
func callInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}
