package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The decision on a call rests on the state of its messages, of its endpoint and of the settings at that time. Each of
// them may change while the call waits for memory, for the journal or for a connection, so such a call is checked again
// before it is made.

// sendableAttempts returns the attempts of a delayed call that may still be sent; none if the call may no longer be
// made. It omits messages that received their final answer during the delay, and attempts that have timed out:
// establishing a connection can take longer than the timeout of an attempt.
func (r *Relay) sendableAttempts(c *call) (sendable []*attempt) {
	now := time.Now()
	for _, a := range c.attempts {
		if !a.finished && !a.message.completed() && now.Before(a.Deadline) {
			sendable = append(sendable, a)
		}
	}
	if len(sendable) == 0 || r.sendingStopped || !r.stillAt(c) || !r.fitsEndpoint(c, len(sendable)) {
		return nil
	}
	if !r.stillAllowed(c.EndpointID, sendable) {
		return nil
	}
	return sendable
}

// stillAt reports whether the endpoint of a call is listed with the address, the kind and the destination for which the
// call was decided. Another process may have taken over an address that the endpoint has left.
func (r *Relay) stillAt(c *call) bool {
	endpoint, listed := r.catalog.Endpoint(c.EndpointID)
	if !listed || endpoint.Addr != c.Addr || endpoint.Kind != c.Kind {
		return false
	}
	return endpoint.Destination == c.attempts[0].message.Destination
}

// fitsEndpoint reports whether the settings in force allow a call of this form, with so many messages, to the kind of
// its endpoint. A reload may have lowered the number.
func (r *Relay) fitsEndpoint(c *call, messages int) bool {
	maxBatch := r.activeConfig.Settings.DestinationKind(c.Kind).BatchSize()
	if c.Batch && maxBatch <= 1 {
		return false
	}
	return messages <= maxBatch
}

// stillAllowed reports whether the policy still allows a call to an endpoint with these attempts.
func (r *Relay) stillAllowed(endpointID string, attempts []*attempt) bool {
	ids := make([]policy.MessageID, len(attempts))
	for i, a := range attempts {
		ids[i] = a.message.ID
	}
	now := r.now()
	allowed := r.engine.StillAllowed(endpointID, ids, now)
	r.recorder.SendChecked(now, endpointID, ids, allowed)
	return allowed
}

// checkSend has the loop determine which attempts of a delayed call may still be sent. It returns none if the loop
// has ended.
func (r *Relay) checkSend(c *call) []*egress.Attempt {
	reply := make(chan []*egress.Attempt, 1)
	if !r.post(sendCheck{c, reply}) {
		return nil
	}
	select {
	case sendable := <-reply:
		return sendable
	case <-r.loopDone:
		return nil
	}
}
