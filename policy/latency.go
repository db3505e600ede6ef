package policy

import "time"

// Bounds on the latency of an answer.
const (
	timeoutDeviations = 6                      // mean deviations above the mean after which an attempt times out
	overdueDeviations = 4                      // mean deviations above the mean after which an answer is overdue
	minLatencyBound   = 800 * time.Millisecond // an answer is never overdue sooner than this
)

// recordLatency updates the mean and the mean deviation of an endpoint's latency, as TCP does for round-trip times.
func (e *Engine) recordLatency(ep *endpoint, latency time.Duration) {
	if ep.latencyMean == 0 {
		ep.latencyMean = latency
		ep.latencyDeviation = latency / 2
		return
	}
	difference := latency - ep.latencyMean
	ep.latencyMean += difference / 8
	ep.latencyDeviation += (max(difference, -difference) - ep.latencyDeviation) / 4
}

// latencyBound returns how long an endpoint may take to answer: its mean latency plus the given number of mean
// deviations, at least minLatencyBound. Before the first answer it is twice minLatencyBound.
func (e *Engine) latencyBound(ep *endpoint, deviations int) time.Duration {
	if ep.latencyMean == 0 {
		return 2 * minLatencyBound
	}
	return max(minLatencyBound, ep.latencyMean+time.Duration(deviations)*ep.latencyDeviation)
}

// attemptTimeoutAt returns the time at which an attempt times out. The timeout depends on the endpoint's latency
// and is usually at most half of the message's time left, so that a second attempt can follow. A non-idempotent
// message has no second attempt, so its timeout is twice as long. A trial call to an ejected endpoint has the
// shortest timeout.
func (e *Engine) attemptTimeoutAt(msg *message, ep *endpoint) time.Duration {
	objective := msg.class.LatencyObjective
	timeout := max(e.latencyBound(ep, timeoutDeviations), objective/2)
	if msg.class.Effect == IdempotentByKey && !msg.class.DedupAllZones {
		timeout = max(timeout, objective) // only endpoints of one zone may take a retry
	}
	if e.settings.MaxInFlightCalls > 0 && 2*e.callsInFlight > e.settings.MaxInFlightCalls {
		timeout = min(timeout, objective) // more than half of the allowed calls are in flight
	}
	if ep.ejected {
		timeout = objective / 2
	}
	timeLeft := msg.deadline - e.now
	if msg.class.Effect == NonIdempotent {
		return e.now + min(timeLeft, 2*timeout)
	}
	// If half of the time left is less than an answer may take, one attempt gets all of the time left.
	if timeLeft/2 >= e.latencyBound(ep, overdueDeviations) {
		timeLeft /= 2
	}
	return e.now + min(timeLeft, timeout)
}
