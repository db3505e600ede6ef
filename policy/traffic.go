package policy

import (
	"math"
	"time"
)

// trafficMeter measures a customer's traffic against its share.
type trafficMeter struct {
	level     float64
	updatedAt time.Duration
}

const (
	trafficWindow        = 10 * time.Second // span over which a sender's own traffic is counted
	trafficPriorMessages = 5                // messages that count as seen at the usual rate before any
	ownTrafficRatio      = 0.6              // of a fair pace that goes by own traffic
)

// countAccepted counts a message that was handed in.
func (e *Engine) countAccepted() {
	meter := &e.acceptedTraffic
	meter.level, meter.updatedAt = meter.level*decay(e.now-meter.updatedAt, trafficWindow)+1, e.now
}

// totalQuota is the customers' told traffic, messages a second over all senders; 0: not told.
func (e *Engine) totalQuota() (quota float64) {
	for _, tenant := range e.settings.Tenants {
		quota += tenant.Quota
	}
	return quota
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
