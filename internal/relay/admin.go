package relay

import (
	"context"
	"fmt"
	"net"

	"cherrytrestle.example/cherrytrestle/internal/admin"
)

// serveAdmin begins to answer on the admin address, until ctx ends.
func (r *Relay) serveAdmin(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.cfg.AdminListen)
	if err != nil {
		return fmt.Errorf("relay: admin address: %w", err)
	}
	server := admin.Server{
		Ready:   r.ready,
		Metrics: r.writeMetrics,
		Log:     r.log,
	}
	if r.fleet != nil {
		server.Fleet = r.fleet.WriteJSON
	}
	go func() { _ = server.Serve(ctx, listener) }() // returns as ctx ends
	return nil
}

// ready reports whether the platform may count on this process.
func (r *Relay) ready() bool {
	serving := r.endpointsKnown.Load() || r.awaitingHandover.Load()
	return serving && !r.terminating.Load()
}
