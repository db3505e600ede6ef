package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// relayEndpoint is a map key for one relay and one endpoint.
type relayEndpoint struct{ relay, endpoint string }

// relayDestination is a map key for one relay and one destination.
type relayDestination struct {
	relay       string
	destination int
}

// checkDrainRespected checks that no relay calls an endpoint later than the drain grace after the relay was
// notified that the endpoint is draining or gone.
func checkDrainRespected(r *record, result *RuleResult) {
	restrictions := r.drainRestrictions()
	for _, c := range r.allCalls {
		for _, d := range restrictions[relayEndpoint{c.Relay, c.Endpoint}] {
			if c.FirstByteAt > d.from+r.Rules.DrainGrace+Tolerance && c.FirstByteAt < d.to {
				result.addViolation(c.FirstByteAt, []int{d.event, c.index},
					"%s was sent to by %s %v after this was told that it is no longer in service",
					c.Endpoint, c.Relay, (c.FirstByteAt - d.from).Round(time.Millisecond))
			}
		}
	}
	lastActive := r.lastActive()
	for key, list := range restrictions {
		last := lastActive[relayDestination{key.relay, r.endpoints[key.endpoint].destination}]
		for _, d := range list {
			if last > d.from+r.Rules.DrainGrace {
				result.Exercised++
			}
		}
	}
}

// drainRestrictions returns, for each relay and endpoint, the time spans from the notification of the relay that
// the endpoint is draining or gone until the notification that it is ready.
func (r *record) drainRestrictions() map[relayEndpoint][]restriction {
	restrictions := map[relayEndpoint][]restriction{}
	for i, e := range r.events {
		if e.Kind != eventlog.RelayNotified {
			continue
		}
		key := relayEndpoint{e.Relay, e.Endpoint}
		list := restrictions[key]
		restricted := len(list) > 0 && list[len(list)-1].to == never
		inService := e.State == eventlog.StateReady
		switch {
		case inService && restricted:
			list[len(list)-1].to = e.At
		case !inService && !restricted:
			restrictions[key] = append(list, restriction{timeSpan{e.At, never}, i})
		}
	}
	return restrictions
}

// lastActive returns when each relay last received a message for a destination or called one of its endpoints. A
// drain is exercised only if its grace ends before that time.
func (r *record) lastActive() map[relayDestination]time.Duration {
	last := map[relayDestination]time.Duration{}
	for _, m := range r.submissions {
		key := relayDestination{m.Relay, m.Destination}
		last[key] = max(last[key], m.At)
	}
	for _, c := range r.allCalls {
		key := relayDestination{c.Relay, r.endpoints[c.Endpoint].destination}
		last[key] = max(last[key], c.FirstByteAt)
	}
	return last
}
