package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// relayEndpoint is an endpoint as one relay sees it.
type relayEndpoint struct{ relay, endpoint string }

// relayDestination is a destination as one relay sees it.
type relayDestination struct {
	relay       string
	destination int
}

// checkDrainRespected checks that no relay calls an endpoint after it was notified that the endpoint is draining or
// gone, and a grace period has passed.
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

// drainRestrictions returns from when to when each relay knows an endpoint to be out of service.
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

// lastActive returns when a relay last had a message or a call for a destination. A drain after that is not exercised.
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
