package relay

import (
	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
)

const (
	// reservedDescriptors is how many file descriptors are left to the journal's files and the management address. They
	// are taken out of the share of the connections to endpoints.
	reservedDescriptors = 16
	// minEndpointConns is how many connections to endpoints are allowed even with a very low limit on sockets.
	minEndpointConns = 8
)

// egressConfig returns the configuration of the client that calls endpoints. Its connections and reservedDescriptors
// together may use three eighths of all file descriptors, and the connections' memory has a bound, too.
func (r *Relay) egressConfig() egress.Config {
	byDescriptors := r.cfg.Limits.Sockets*3/8 - reservedDescriptors
	byMemory := int(r.budget.Limit(memory.EndpointConnections) / egress.ConnSize)
	return egress.Config{
		ConnectTimeout: r.cfg.ConnectTimeout,
		KeepAlive:      r.cfg.KeepAlive,
		MaxConns:       max(minEndpointConns, min(byDescriptors, byMemory)),
		Budget:         r.budget,
		ReportFields:   r.cfg.LoadReportFields,
		Observer:       newConnObserver(&r.metrics),
		Log:            r.log,
	}
}

// ingressConfig returns the configuration of the server for clients. Clients with requests use up to a third of all
// file descriptors. The server may use more, for connections that their clients are slow to close.
func (r *Relay) ingressConfig() ingress.Config {
	return ingress.Config{
		MaxConns: r.cfg.Limits.Sockets * 9 / 20,
		Handler:  r.handleRequest,
		Observer: newClientObserver(&r.metrics),
		Budget:   r.budget,
		Log:      r.log,
	}
}
