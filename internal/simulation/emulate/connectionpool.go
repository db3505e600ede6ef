package emulate

import "time"

const (
	// idleTimeoutRatio is a relay's idle timeout as a ratio of the endpoints' KeepAliveTimeout, as in package egress.
	idleTimeoutRatio = 0.8
	// minPoolLimit is the least number of connection pools at which a relay drops the empty ones.
	minPoolLimit = 64
)

// connectionPool holds the idle connections from a relay to an endpoint.
type connectionPool struct {
	epoch int             // the endpoint's connectionEpoch when the connections were opened
	idle  []time.Duration // time of last use of each idle connection, in ascending order
}

// put adds a connection that becomes idle now.
func (p *connectionPool) put(now time.Duration) { p.idle = append(p.idle, now) }

// countOpen closes the connections whose last use was not after a time, and returns how many are left.
func (p *connectionPool) countOpen(after time.Duration) int {
	expired := 0
	for expired < len(p.idle) && p.idle[expired] <= after {
		expired++
	}
	p.idle = append(p.idle[:0], p.idle[expired:]...)
	return len(p.idle)
}

// take removes the most recently used connection for reuse, if its last use was after a time. It reports whether there
// was such a connection.
func (p *connectionPool) take(after time.Duration) bool {
	if p.countOpen(after) == 0 {
		return false
	}
	p.idle = p.idle[:len(p.idle)-1]
	return true
}

// idleSince returns the time of last use up to which an idle connection is now too old to be reused.
func (w *World) idleSince() time.Duration {
	keepAlive := float64(w.plan.File.Settings.KeepAliveTimeout)
	return w.Now() - time.Duration(idleTimeoutRatio*keepAlive)
}

// connectionCount returns how many connections an endpoint has: those of its calls, and the idle ones of all relays.
func (w *World) connectionCount(e *endpoint) int {
	count := len(e.calls)
	for p := range e.pools {
		if p.epoch == e.connectionEpoch {
			count += p.countOpen(w.idleSince())
		}
	}
	return count
}

// poolOf returns the relay's pool of connections to an endpoint.
func (r *relay) poolOf(e *endpoint) *connectionPool {
	p := r.pools[e]
	if p == nil {
		p = r.addPool(e)
	}
	if p.epoch != e.connectionEpoch { // the endpoint's connections were reset
		p.epoch = e.connectionEpoch
		p.idle = p.idle[:0]
	}
	return p
}

// addPool adds a pool for an endpoint. If the relay has twice as many pools as the last cleanup left, and minPoolLimit
// at least, addPool drops the empty ones first.
func (r *relay) addPool(e *endpoint) *connectionPool {
	if len(r.pools) >= r.maxPools {
		for pooled, p := range r.pools {
			if p.epoch != pooled.connectionEpoch || p.countOpen(r.world.idleSince()) == 0 {
				r.dropPool(pooled)
			}
		}
		r.maxPools = max(minPoolLimit, 2*len(r.pools))
	}
	p := &connectionPool{epoch: e.connectionEpoch}
	r.pools[e] = p
	if r.world.options.MaxConnections > 0 {
		if e.pools == nil {
			e.pools = map[*connectionPool]struct{}{}
		}
		e.pools[p] = struct{}{}
	}
	return p
}

// dropPool closes the relay's idle connections to an endpoint.
func (r *relay) dropPool(e *endpoint) {
	if p := r.pools[e]; p != nil {
		delete(r.pools, e)
		delete(e.pools, p)
	}
}

// resetPools closes all idle connections of the relay.
func (r *relay) resetPools() {
	for e := range r.pools {
		r.dropPool(e)
	}
	r.pools = map[*endpoint]*connectionPool{}
	r.maxPools = minPoolLimit
}
