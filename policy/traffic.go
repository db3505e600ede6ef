package policy

import (
	"math"
	"time"
)

// The relay's own traffic, by which a large fleet shares out a limit.
const (
	trafficWindow        = decayWindow(10 * time.Second) // of the count of accepted messages
	trafficPriorMessages = 5                             // messages that count as seen at the mean rate, before any
	ownTrafficRatio      = 0.6                           // part of a fair pacing rate that goes by own traffic
)

// trafficMeter measures a rate of messages: a level that rises with each message and falls with time. A tenant's falls
// at the rate of its quota, that of all accepted messages decays.
type trafficMeter struct {
	level     float64
	updatedAt time.Duration
}

// countAccepted counts an accepted message.
func (e *Engine) countAccepted() {
	meter := &e.acceptedTraffic
	meter.level = meter.level*trafficWindow.remaining(e.now-meter.updatedAt) + 1
	meter.updatedAt = e.now
}

// totalQuota returns the sum of the tenants' quotas, messages a second over all relays; 0: none is set.
func (e *Engine) totalQuota() (quota float64) {
	for _, tenant := range e.settings.Tenants {
		quota += tenant.Quota
	}
	return quota
}

// fairPacingRate returns the rate that a relay of a large fleet keeps to until it learns better: its share of the
// scope, corrected by its share of the traffic as its own count and the tenants' quotas show it. Guards against relays
// with much traffic that wait at rates which others do not use.
func (e *Engine) fairPacingRate(scope *limitScope) float64 {
	trafficShare := 1.0 // of the mean over the relays
	if quota := e.totalQuota(); quota > 0 {
		observed := 1 - trafficWindow.remaining(e.now-e.startedAt)
		mean := quota / float64(e.settings.FleetSize) * trafficWindow.seconds() * observed
		own := e.acceptedTraffic.level * trafficWindow.remaining(e.now-e.acceptedTraffic.updatedAt)
		trafficShare = (trafficPriorMessages + own) / (trafficPriorMessages + mean)
	}
	return math.Min(e.knownLimit(scope), e.fairShare(scope)*(1-ownTrafficRatio+ownTrafficRatio*trafficShare))
}
