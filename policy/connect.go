package policy

import "time"

// Parameters for endpoints that refuse connections because their connection tables are full.
const (
	// maxConnectExhaustions is the number of failed connections since the last delivery that are attributed to a
	// full table. Any further one counts as a sign of an outage.
	maxConnectExhaustions = 2
	// connectExhaustionPause is the mean time without calls to an endpoint with a full table: about the time that
	// an answer takes.
	connectExhaustionPause = 300 * time.Millisecond
	// connectShortageWindow is the time for which a kind of destination counts as short of connections after the
	// last sign of a full table.
	connectShortageWindow = 30 * time.Second
)

// failedToConnectAtOnce reports whether a connection failed within minLatencyBound, before an answer could be
// overdue.
func (e *Engine) failedToConnectAtOnce(obs observation) bool {
	return obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound
}

// looksConnectExhausted reports whether a failed connection looks like a full connection table and not like an
// outage. The connection must have failed at once. In addition, the endpoint must have delivered recently or, in a
// large fleet, another connection to the same kind of destination must have failed at once within
// connectShortageWindow.
func (e *Engine) looksConnectExhausted(ep *endpoint, obs observation) bool {
	if !e.failedToConnectAtOnce(obs) || ep.scope.connectExhaustions >= maxConnectExhaustions {
		return false
	}
	shortage := e.settings.FleetSize > smallFleetSize && e.now < e.connectShortageUntil[ep.Kind]
	return shortage || e.recentlyHealthy(ep)
}

// pauseConnecting stops calls to an endpoint with a full connection table for a short random time, and closes the
// idle connections to it.
func (e *Engine) pauseConnecting(ep *endpoint, _ observation) {
	jitter := 0.5 + e.rng.Float64()
	ep.ejectedUntil = e.now + time.Duration(jitter*float64(connectExhaustionPause))
	e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
}
