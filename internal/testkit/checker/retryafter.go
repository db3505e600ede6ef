package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// retryAfterGrace is the time after an answer with Retry-After during which further calls are allowed, since
	// they were already under way.
	retryAfterGrace = 100 * time.Millisecond
	// retryAfterRounding is how long before the end of a Retry-After a relay may call again. A Retry-After is sent
	// in whole milliseconds.
	retryAfterRounding = time.Millisecond
)

// relayService is a map key for one relay and one service. A service is a rate-limit scope.
type relayService struct{ relay, service string }

// firstNotifications returns when each relay was first notified of each endpoint. Endpoints of which a relay was never
// notified are missing.
func (r *record) firstNotifications() map[relayEndpoint]time.Duration {
	first := map[relayEndpoint]time.Duration{}
	for _, e := range r.events {
		key := relayEndpoint{e.Relay, e.Endpoint}
		if _, known := first[key]; !known && e.Kind == eventlog.RelayNotified {
			first[key] = e.At
		}
	}
	return first
}

// checkRetryAfterRespected checks that a relay calls no endpoint of a service before the end of a Retry-After of
// that service. A restart of the relay ends the restriction. The answer to a call that a relay made before it was
// notified of the endpoint does not restrict that endpoint alone: the relay had called an earlier one at the same
// address.
func checkRetryAfterRespected(r *record, result *RuleResult) {
	restrictions := map[relayService][]restriction{}
	notifiedAt := r.firstNotifications()
	misdirected := map[uint64]bool{} // calls to an endpoint of which the relay had not been notified
	for i, e := range r.events {
		key := relayService{e.Relay, r.endpoints[e.Endpoint].service}
		if e.Kind == eventlog.CallReceived && e.FirstByteAt < notifiedAt[relayEndpoint{e.Relay, e.Endpoint}] {
			misdirected[e.Call] = true
		}
		switch {
		case e.Kind == eventlog.CallAnswered && misdirected[e.Call] && key.service == e.Endpoint:
		case e.Kind == eventlog.CallAnswered && e.RetryAfter > retryAfterGrace:
			result.Exercised++
			span := timeSpan{from: e.At + retryAfterGrace, to: e.At + e.RetryAfter - retryAfterRounding}
			restrictions[key] = append(restrictions[key], restriction{span, i})
		case e.Kind == eventlog.ProcessChanged && e.State == eventlog.StateStart:
			for other := range restrictions {
				if other.relay == e.Relay {
					delete(restrictions, other)
				}
			}
		case e.Kind == eventlog.CallReceived:
			ended := func(w restriction) bool { return w.to <= e.At }
			restrictions[key] = slices.DeleteFunc(restrictions[key], ended)
			r.checkCallAllowed(result, i, restrictions[key])
		}
	}
}

// checkCallAllowed checks that a call, given by its event index, falls into none of the restrictions that still
// apply to the service.
func (r *record) checkCallAllowed(result *RuleResult, call int, restrictions []restriction) {
	e := r.events[call]
	for _, w := range restrictions {
		if e.At > w.from {
			answer := r.events[w.event]
			result.addViolation(e.At, []int{w.event, call},
				"%s was told by %s at %v to wait until %v, and called %s at %v",
				e.Relay, answer.Endpoint, answer.At.Round(time.Millisecond), w.to.Round(time.Millisecond),
				e.Endpoint, e.At.Round(time.Millisecond))
			return
		}
	}
}
