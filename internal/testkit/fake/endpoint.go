package fake

import (
	"fmt"
	"net"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// Endpoint is a fake endpoint. It listens on a separate address for each relay, in order to identify the calling relay.
type Endpoint struct {
	spec    scenario.Endpoint
	world   *World
	service *service
	ports   map[string]*port // by relay

	// Guarded by world.mu.
	conns    map[*endpointConn]struct{}
	isolated bool // its machine is cut off from the network
	crashed  bool // its process has crashed and may restart
	stopped  bool // its process was stopped for good
}

// AddEndpoint starts an endpoint of the plan. It listens on new addresses, or on those of the stopped endpoint that
// spec.ReusesAddressOf names.
func (w *World) AddEndpoint(spec scenario.Endpoint) (*Endpoint, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[spec.Service]
	if s == nil {
		return nil, fmt.Errorf("fake: endpoint %s of an unknown service %q", spec.ID, spec.Service)
	}
	previous := w.endpoints[spec.ReusesAddressOf]
	if previous != nil && !previous.stopped {
		return nil, fmt.Errorf("fake: endpoint %s at the address of %s, which runs", spec.ID, spec.ReusesAddressOf)
	}
	ports, err := w.listenPorts(previous)
	if err != nil {
		return nil, fmt.Errorf("fake: endpoint %s: %w", spec.ID, err)
	}
	e := &Endpoint{spec: spec, world: w, service: s, ports: ports, conns: map[*endpointConn]struct{}{}}
	w.endpoints[spec.ID] = e
	s.model.AddEndpoint(spec.ID)
	for relay, p := range ports {
		w.goroutines.Go(func() { p.serve(func(conn net.Conn) { e.serve(conn, relay) }) })
	}
	w.recordCapacity(s, 1, 0)
	return e, nil
}

// listenPorts opens a port for each relay. If there is a previous endpoint, it uses that endpoint's addresses.
func (w *World) listenPorts(previous *Endpoint) (map[string]*port, error) {
	ports := map[string]*port{}
	for _, relay := range w.relays {
		addr := anyLoopbackAddr
		if previous != nil {
			previous.ports[relay].release()
			addr = previous.ports[relay].addr
		}
		p, err := listen(addr)
		if err != nil {
			for _, opened := range ports {
				opened.close()
			}
			return nil, err
		}
		ports[relay] = p
	}
	return ports, nil
}

// Addr returns the address on which the endpoint listens for a relay.
func (e *Endpoint) Addr(relay string) string { return e.ports[relay].addr }

// Stop ends the endpoint's process for good. Its addresses refuse connections until another endpoint listens on them.
func (e *Endpoint) Stop() {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	e.service.model.RemoveEndpoint(e.spec.ID)
	e.refuseConnections()
	e.world.events.Add(eventlog.Event{
		Kind:        eventlog.CapacityChanged,
		Endpoint:    e.spec.ID,
		Destination: e.spec.Destination,
	})
}

// crash ends the endpoint's process: open connections are reset, and new ones are refused.
func (e *Endpoint) crash() {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	e.crashed = true
	e.refuseConnections()
}

// isolate cuts the endpoint's machine off from the network: open connections stay open but silent, and attempts to open
// new ones are not answered.
func (e *Endpoint) isolate() error {
	e.world.mu.Lock()
	e.isolated = true
	e.world.mu.Unlock()
	for _, p := range e.ports {
		if err := p.block(); err != nil {
			return fmt.Errorf("fake: endpoint %s is cut off: %w", e.spec.ID, err)
		}
	}
	return nil
}

// restart ends an outage: the endpoint's process runs and its machine is on the network. Connections from before are
// reset. A stopped endpoint stays stopped.
func (e *Endpoint) restart() error {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.stopped {
		return nil
	}
	e.resetConnections()
	e.isolated = false
	e.crashed = false
	for _, p := range e.ports {
		if err := p.open(); err != nil {
			return fmt.Errorf("fake: endpoint %s is back: %w", e.spec.ID, err)
		}
	}
	return nil
}

// refuseConnections resets the open connections and refuses new ones. The caller holds world.mu.
func (e *Endpoint) refuseConnections() {
	e.resetConnections()
	for _, p := range e.ports {
		p.refuse()
	}
}

// resetConnections resets the open connections. The caller holds world.mu.
func (e *Endpoint) resetConnections() {
	for c := range e.conns {
		c.abort()
	}
	clear(e.conns)
}

// isIsolated reports whether the endpoint's machine is cut off from the network.
func (e *Endpoint) isIsolated() bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	return e.isolated
}

// serve starts a goroutine that serves a connection of a relay.
func (e *Endpoint) serve(conn net.Conn, relay string) {
	c := &endpointConn{Conn: conn, endpoint: e, relay: relay, aborted: make(chan struct{})}
	if !e.addConnection(c) {
		c.abort() // the connection was accepted just before the process ended
		return
	}
	e.world.goroutines.Go(c.serve)
}

// addConnection adds a connection if the endpoint's process runs, and reports whether it runs.
func (e *Endpoint) addConnection(c *endpointConn) bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.stopped || e.crashed || e.world.closed {
		return false
	}
	e.conns[c] = struct{}{}
	return true
}

// removeConnection removes a connection that has ended.
func (e *Endpoint) removeConnection(c *endpointConn) {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	delete(e.conns, c)
}

// recordInvalid records an event that makes the run invalid.
func (e *Endpoint) recordInvalid(relay, cause string) {
	e.world.events.Add(eventlog.Event{Kind: eventlog.RunInvalid, Relay: relay, Endpoint: e.spec.ID, Cause: cause})
}
