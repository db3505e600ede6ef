package policy

import "time"

// Exhausted connection tables.
const (
	// maxConnectExhaustions is the number of consecutive failures that a full table explains; more are an outage.
	maxConnectExhaustions = 2
	// connectExhaustionPause is the mean pause of an endpoint with a full table: about the time of an answer.
	connectExhaustionPause = 300 * time.Millisecond
	// connectShortageWindow is the time for which a kind whose table was full is taken to be short of connections.
	connectShortageWindow = 30 * time.Second
)

// failedToConnectAtOnce reports whether a connection failed sooner than an answer is overdue.
func (e *Engine) failedToConnectAtOnce(obs observation) bool {
	return obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound
}

// looksConnectExhausted reports whether a failed connection looks like a full connection table: it failed at once, at
// an endpoint that was healthy of late or, in a large fleet, of a kind that had such failures.
func (e *Engine) looksConnectExhausted(ep *endpoint, obs observation) bool {
	if !e.failedToConnectAtOnce(obs) || ep.scope.connectExhaustions >= maxConnectExhaustions {
		return false
	}
	shortage := e.settings.FleetSize > smallFleetSize && e.now < e.connectShortageUntil[ep.Kind]
	return shortage || e.recentlyHealthy(ep)
}

// pauseConnecting pauses an endpoint with a full connection table, and frees the idle connections to it.
func (e *Engine) pauseConnecting(ep *endpoint, _ observation) {
	jitter := 0.5 + e.rng.Float64()
	ep.ejectedUntil = e.now + time.Duration(jitter*float64(connectExhaustionPause))
	e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
}
