package relay

import (
	"context"
	"fmt"
	"net"

	"cherrytrestle.example/cherrytrestle/internal/admin"
)

// serveAdmin starts the server at the management address. The server runs until ctx ends.
func (r *Relay) serveAdmin(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.cfg.AdminListen)
	if err != nil {
		return fmt.Errorf("relay: management address: %w", err)
	}
	server := admin.Server{
		Ready:   r.ready,
		Metrics: r.writeMetrics,
		Log:     r.log,
	}
	if r.fleet != nil {
		server.Fleet = r.fleet.WriteJSON
	}
	go func() { _ = server.Serve(ctx, listener) }() // returns when ctx ends
	return nil
}

// ready reports whether this process serves clients, or is about to take over, and is not terminating.
func (r *Relay) ready() bool {
	serving := r.endpointsKnown.Load() || r.awaitingHandOver.Load()
	return serving && !r.terminating.Load()
}
