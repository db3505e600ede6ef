package policy

import (
	"math"
	"time"
)

// Measurement of the relay's own traffic, by which a large fleet divides a limit among its relays.
const (
	trafficWindow        = decayWindow(10 * time.Second) // decay time of the count of accepted messages
	trafficPriorMessages = 5                             // messages added to the own and mean counts as smoothing
	ownTrafficRatio      = 0.6                           // fraction of a fair pacing rate that follows own traffic
)

// trafficMeter measures a rate of messages by a level that rises with each message and falls with time. The level
// of a tenant falls at the rate of its quota. The level of all accepted messages decays exponentially.
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

// totalQuota returns the sum of the tenants' quotas, in messages a second over all relays; 0: none is set.
func (e *Engine) totalQuota() (quota float64) {
	for _, tenant := range e.settings.Tenants {
		quota += tenant.Quota
	}
	return quota
}

// fairPacingRate returns the rate that a relay of a large fleet uses until successes and rejections change it: its
// fair share of the scope, corrected by its share of the traffic. The relay estimates its share of the traffic from
// its own message count and the tenants' quotas. Without this correction, messages would wait at relays with much
// traffic while other relays left their rates unused.
func (e *Engine) fairPacingRate(scope *limitScope) float64 {
	trafficShare := 1.0 // as a multiple of the mean over all relays
	if quota := e.totalQuota(); quota > 0 {
		observed := 1 - trafficWindow.remaining(e.now-e.startedAt)
		mean := quota / float64(e.settings.FleetSize) * trafficWindow.seconds() * observed
		own := e.acceptedTraffic.level * trafficWindow.remaining(e.now-e.acceptedTraffic.updatedAt)
		trafficShare = (trafficPriorMessages + own) / (trafficPriorMessages + mean)
	}
	return math.Min(e.knownLimit(scope), e.fairShare(scope)*(1-ownTrafficRatio+ownTrafficRatio*trafficShare))
}
