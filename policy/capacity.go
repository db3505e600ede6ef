package policy

import (
	"cmp"
	"math"
	"time"
)

// Parameters for estimating the capacity of a scope and this relay's share of it.
const (
	minScopeCapacity        = 1.0 // calls a second that any scope is assumed to take
	ownDeliveryRatio        = 0.2 // weight of the relay's own deliveries in its fair share, beside the even share
	approximateWeightFactor = 1.5 // factor by which an approximate weight may exceed the real capacity
	deliveryRateWindow      = decayWindow(10 * time.Second)
)

// decayWindow is the time in which an exponentially decaying count falls to 1/e.
type decayWindow time.Duration

// remaining returns the fraction of a count that is left after the given time.
func (w decayWindow) remaining(since time.Duration) float64 {
	return math.Exp(-float64(since) / float64(w))
}

// seconds returns the window in seconds.
func (w decayWindow) seconds() float64 { return time.Duration(w).Seconds() }

// recordLimit records the rate limit that an endpoint reports.
func (e *Engine) recordLimit(ep *endpoint, report LimitReport) {
	if !report.Present || report.Limit <= 0 {
		return
	}
	ep.scope.reportedLimit = report.Limit
	if lowest := e.lowestReportedLimit[ep.Kind]; lowest == 0 || report.Limit < lowest {
		e.lowestReportedLimit[ep.Kind] = report.Limit
	}
}

// knownLimit returns a low estimate of the calls a second that a scope takes from all relays together, or 0 if
// nothing is known. If the scope has not reported a limit, the lowest limit reported for its kind is used. If there
// is none either, the listed weight of its first endpoint is used.
func (e *Engine) knownLimit(scope *limitScope) float64 {
	limit := cmp.Or(scope.reportedLimit, e.lowestReportedLimit[scope.kind])
	if limit > 0 || e.settings.IgnoreWeights || len(scope.endpoints) == 0 {
		return limit
	}
	weight := scope.endpoints[0].Weight
	if e.settings.ApproximateWeights {
		return weight / approximateWeightFactor
	}
	return weight
}

// scopeCapacity returns a low estimate of the calls a second that a scope takes from all relays together. If no
// limit is known, it assumes that the scope takes as many calls from each other relay as from this one.
func (e *Engine) scopeCapacity(scope *limitScope) float64 {
	limit := e.knownLimit(scope)
	if limit == 0 {
		limit = e.deliveryRate(scope) * float64(e.settings.FleetSize)
	}
	return max(minScopeCapacity, limit)
}

// fairShare returns this relay's share, in calls a second, of the capacity of a scope. Traffic is uneven, so the
// share is a fixed mix of an even share and the relay's own delivery rate. Summed over all relays, the even shares
// give the capacity. So do the delivery rates while the scope is fully used, and so does the mix.
func (e *Engine) fairShare(scope *limitScope) float64 {
	even := (1 - ownDeliveryRatio) * e.scopeCapacity(scope) / float64(e.settings.FleetSize)
	return even + ownDeliveryRatio*e.deliveryRate(scope)
}

// hasSparseShare reports whether this relay's share of a scope is less than one call per overload window.
func (e *Engine) hasSparseShare(scope *limitScope) bool {
	return e.fairShare(scope)*e.settings.OverloadWindow.Seconds() < 1
}

// deliveryRate returns the mean rate of this relay's deliveries to a scope, in deliveries a second. The rate does
// not decay while an endpoint of the scope is suspect.
func (e *Engine) deliveryRate(scope *limitScope) float64 {
	if scope.hasSuspect() {
		return scope.deliveryRate
	}
	return scope.deliveryRate * deliveryRateWindow.remaining(e.now-scope.deliveryRateAt)
}

// recordDelivery adds a delivery to the delivery rate. The rate does not fall while an endpoint of the scope is
// suspect.
func (e *Engine) recordDelivery(scope *limitScope) {
	since := (e.now - scope.deliveryRateAt).Seconds()
	if scope.hasSuspect() && scope.deliveryRate > 0 {
		since = min(since, 1/scope.deliveryRate)
	}
	window := deliveryRateWindow.seconds()
	scope.deliveryRate = scope.deliveryRate*math.Exp(-since/window) + 1/window
	scope.deliveryRateAt = e.now
}

// sendRate returns the number of calls sent to a scope in the last second, and drops the records of older calls.
func (e *Engine) sendRate(scope *limitScope) float64 {
	expired := 0
	for expired < len(scope.recentSends) && scope.recentSends[expired] <= e.now-time.Second {
		expired++
	}
	scope.recentSends = append(scope.recentSends[:0], scope.recentSends[expired:]...)
	return float64(len(scope.recentSends))
}
