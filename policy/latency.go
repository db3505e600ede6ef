package policy

import "time"

const (
	timeoutDeviations = 6                      // mean deviations over the mean answer time that a time-out allows
	overdueDeviations = 4                      // the same after which an answer is overdue
	minLatencyBound   = 800 * time.Millisecond // no answer is overdue before this
)

// recordLatency learns how long answers of a route take. A time-out tells that its answer takes longer.
func (e *Engine) recordLatency(ep *endpoint, latency time.Duration) {
	if ep.latencyMean == 0 {
		ep.latencyMean, ep.latencyDeviation = latency, latency/2
		return
	}
	d := latency - ep.latencyMean
	ep.latencyMean, ep.latencyDeviation = ep.latencyMean+d/8, ep.latencyDeviation+(max(d, -d)-ep.latencyDeviation)/4
}

// latencyBound is how long an answer of a route may take: its mean and so many mean deviations.
func (e *Engine) latencyBound(ep *endpoint, deviations int) time.Duration {
	if ep.latencyMean == 0 {
		return 2 * minLatencyBound
	}
	return max(minLatencyBound, ep.latencyMean+time.Duration(deviations)*ep.latencyDeviation)
}

// attemptTimeoutAt is when an attempt times out: as long as the route's answers have taken, at most half the time left.
// An unsafe message has no second try and waits twice as long; a trial of a skipped route waits least.
func (e *Engine) attemptTimeoutAt(msg *message, ep *endpoint) time.Duration {
	left := msg.deadline - e.now
	usualLatency := max(e.latencyBound(ep, timeoutDeviations), msg.class.LatencyObjective/2)
	if msg.class.Effect == IdempotentByKey && !msg.class.DedupAllZones {
		usualLatency = max(usualLatency, msg.class.LatencyObjective) // a repeat is bound to few routes
	}
	if e.settings.MaxInFlightCalls > 0 && 2*e.callsInFlight > e.settings.MaxInFlightCalls {
		usualLatency = min(usualLatency, msg.class.LatencyObjective)
	}
	if ep.ejected {
		usualLatency = msg.class.LatencyObjective / 2
	}
	if msg.class.Effect == NonIdempotent {
		return e.now + min(left, 2*usualLatency)
	}
	// Where half of the time is less than an answer may take, one try has all of it.
	if left/2 >= e.latencyBound(ep, overdueDeviations) {
		left /= 2
	}
	return e.now + min(left, usualLatency)
}
