package policy

import "time"

const (
	maxConnectExhaustions  = 2                      // failed connections in a row that a full table explains
	connectExhaustionPause = 300 * time.Millisecond // rest of a route with a full table: about an answer's time
	connectShortageWindow  = 30 * time.Second       // how long a kind whose table was full is short of connections
)

// looksConnectExhausted tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (e *Engine) looksConnectExhausted(ep *endpoint, obs observation) bool {
	truncated := e.settings.FleetSize > smallFleetSize && e.now < e.connectShortageUntil[ep.Kind]
	failed := obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound
	return failed && ep.scope.connectExhaustions < maxConnectExhaustions && (e.recentlyHealthy(ep) || truncated)
}

// pauseConnecting answers a full connection table.
func (e *Engine) pauseConnecting(ep *endpoint, _ observation) {
	ep.ejectedUntil = e.now + time.Duration((0.5+e.rng.Float64())*float64(connectExhaustionPause))
	e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
}
