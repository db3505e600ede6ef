package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	minScopeCapacity        = 1.0              // calls a second that any destination takes
	ownDeliveryRatio        = 0.2              // own deliveries in the part; the rest is even
	approximateWeightFactor = 1.5              // a rough weight may exceed the truth by this factor
	deliveryRateWindow      = 10 * time.Second // span of the mean rate of own deliveries
)

// knownLimit is what a gate takes from all senders, on the low side, in calls a second; 0 if nothing tells. One
// that is told in answers and has not been yet is taken for the least told of its kind.
func (e *Engine) knownLimit(scope *limitScope) float64 {
	if l := cmp.Or(scope.reportedLimit, e.lowestReportedLimit[scope.kind]); l > 0 || e.settings.IgnoreWeights || len(scope.endpoints) == 0 {
		return l
	}
	if e.settings.ApproximateWeights {
		return scope.endpoints[0].Weight / approximateWeightFactor
	}
	return scope.endpoints[0].Weight
}

// scopeCapacity is what a gate takes from all, on the low side; where nothing tells, as often what it took from this sender as
// there are such.
func (e *Engine) scopeCapacity(scope *limitScope) float64 {
	return max(minScopeCapacity, cmp.Or(e.knownLimit(scope), e.deliveryRate(scope)*float64(e.settings.FleetSize)))
}

// fairShare is this sender's part of the calls a second that a gate takes from all: a fixed mix of an even part
// and own deliveries, since traffic is uneven. Each adds up to what the gate takes, and so does the mix.
func (e *Engine) fairShare(scope *limitScope) float64 {
	return (1-ownDeliveryRatio)*e.scopeCapacity(scope)/float64(e.settings.FleetSize) + ownDeliveryRatio*e.deliveryRate(scope)
}

// hasSparseShare tells whether this sender's part of a gate is less than a call in the span of a fall.
func (e *Engine) hasSparseShare(scope *limitScope) bool {
	return e.fairShare(scope)*e.settings.OverloadWindow.Seconds() < 1
}

// decay is what is left after a while of a count that fades over a span.
func decay(since, span time.Duration) float64 { return math.Exp(-float64(since) / float64(span)) }

// deliveryRate is the mean rate of own deliveries of a gate; while a route of it is in doubt, as of the doubt.
func (e *Engine) deliveryRate(scope *limitScope) float64 {
	if scope.hasSuspect() {
		return scope.deliveryRate
	}
	return scope.deliveryRate * decay(e.now-scope.deliveryRateAt, deliveryRateWindow)
}

// recordDelivery adds a delivery to that rate, which does not fall while a route of the gate is in doubt.
func (e *Engine) recordDelivery(scope *limitScope) {
	since := (e.now - scope.deliveryRateAt).Seconds()
	if scope.hasSuspect() && scope.deliveryRate > 0 {
		since = min(since, 1/scope.deliveryRate)
	}
	scope.deliveryRate, scope.deliveryRateAt = scope.deliveryRate*math.Exp(-since/deliveryRateWindow.Seconds())+1/deliveryRateWindow.Seconds(), e.now
}

// sendRate is the rate of calls in the last second.
func (e *Engine) sendRate(scope *limitScope) float64 {
	i := 0
	for i < len(scope.recentSends) && scope.recentSends[i] <= e.now-time.Second {
		i++
	}
	scope.recentSends = append(scope.recentSends[:0], scope.recentSends[i:]...)
	return float64(len(scope.recentSends))
}
