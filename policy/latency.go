package policy

import "time"

// Expected latencies.
const (
	timeoutDeviations = 6                      // mean deviations above the mean that a timeout allows
	overdueDeviations = 4                      // mean deviations above the mean after which an answer is overdue
	minLatencyBound   = 800 * time.Millisecond // no answer is overdue before this
)

// recordLatency updates the mean and the mean deviation of an endpoint's latency, as TCP does for round trips.
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

// latencyBound returns how long an answer of an endpoint may take: its mean latency and some mean deviations.
func (e *Engine) latencyBound(ep *endpoint, deviations int) time.Duration {
	if ep.latencyMean == 0 {
		return 2 * minLatencyBound
	}
	return max(minLatencyBound, ep.latencyMean+time.Duration(deviations)*ep.latencyDeviation)
}

// attemptTimeoutAt returns the time at which an attempt times out. It has as long as answers of the endpoint take, and
// half of the time left at most. A non-idempotent message has no second attempt and waits twice as long; a trial of an
// ejected endpoint waits least.
func (e *Engine) attemptTimeoutAt(msg *message, ep *endpoint) time.Duration {
	objective := msg.class.LatencyObjective
	timeout := max(e.latencyBound(ep, timeoutDeviations), objective/2)
	if msg.class.Effect == IdempotentByKey && !msg.class.DedupAllZones {
		timeout = max(timeout, objective) // few endpoints may take the retry
	}
	if e.settings.MaxInFlightCalls > 0 && 2*e.callsInFlight > e.settings.MaxInFlightCalls {
		timeout = min(timeout, objective) // calls in flight run short
	}
	if ep.ejected {
		timeout = objective / 2
	}
	timeLeft := msg.deadline - e.now
	if msg.class.Effect == NonIdempotent {
		return e.now + min(timeLeft, 2*timeout)
	}
	// Where half of the time left is less than an answer may take, one attempt has all of it.
	if timeLeft/2 >= e.latencyBound(ep, overdueDeviations) {
		timeLeft /= 2
	}
	return e.now + min(timeLeft, timeout)
}
