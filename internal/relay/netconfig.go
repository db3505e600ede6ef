package relay

import (
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
)

const (
	// reservedDescriptors are those, of the share for endpoints, that the journal's files and the second address may
	// need.
	reservedDescriptors = 16
	// minEndpointConns are left to calls on the smallest machine.
	minEndpointConns = 8
)

// egressConfig returns the configuration of the calls to endpoints, which may use three eighths of all descriptors.
func (r *Relay) egressConfig() egress.Config {
	return egress.Config{
		ConnectTimeout: r.cfg.ConnectTimeout,
		KeepAlive:      r.cfg.KeepAlive,
		MaxConns:       max(minEndpointConns, r.cfg.Limits.Sockets*3/8-reservedDescriptors),
		ReportFields:   r.cfg.LoadReportFields,
		OnWritten:      func(messages int) { r.metrics.UpstreamRequests.Add(int64(messages)) },
		Log:            r.log,
	}
}

// ingressConfig returns the configuration of the clients' side. Clients hold a third of the descriptors with their
// requests; what it may use beyond that is for those that are slow to leave.
func (r *Relay) ingressConfig() ingress.Config {
	return ingress.Config{
		MaxConns: r.cfg.Limits.Sockets * 9 / 20,
		Handler:  r.handleRequest,
		Log:      r.log,
	}
}
