package relay

import (
	"fmt"
	"net"

	"cherrytrestle.example/cherrytrestle/internal/admin"
)

// serveAdmin begins to answer on the second address, until the process ends.
func (r *Relay) serveAdmin() error {
	l, err := net.Listen("tcp", r.cfg.AdminListen)
	if err != nil {
		return fmt.Errorf("relay: second address: %w", err)
	}
	s := admin.Server{
		Ready:   func() bool { return (r.endpointsKnown.Load() || r.awaitingHandover.Load()) && !r.terminating.Load() },
		Metrics: r.writeMetrics,
		Log:     r.log,
	}
	if r.fleet != nil {
		s.Fleet = r.fleet.WriteJSON
	}
	go s.Serve(r.adminCtx, l)
	return nil
}
