package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// event is something that happened outside the loop. Its apply method runs on the loop's goroutine: it updates the
// relay's state immediately, and adds to the step what has to wait for the policy's decisions.
type event interface {
	apply(r *Relay, s *stepState)
}

// submitEvent submits a message from a client.
type submitEvent struct {
	message    *journal.Message
	acceptedAs *message              // set by the loop: the registered message; for a duplicate, the earlier message
	reply      chan ingress.Response // buffered: the loop never waits for the client
}

// cancelEvent reports that a client left before it received the answer to its message.
type cancelEvent struct{ messageID policy.MessageID }

// callFinished carries the results of a call, one for each of its attempts.
type callFinished struct {
	call    *call
	results []egress.Result
}

// attemptTimeout reports that an attempt has timed out while its call goes on for other messages.
type attemptTimeout struct{ attempt *attempt }

// sendCheck requests the attempts of a delayed call that may still be sent.
type sendCheck struct {
	call  *call
	reply chan []*egress.Attempt // buffered; receives the attempts that may still be sent
}

// notificationsAcked reports that the platform has accepted the final notifications of these messages.
type notificationsAcked struct{ messageIDs []policy.MessageID }

// stopAccepting reports that no more messages will be submitted.
type stopAccepting struct{}

// stopSending ends the decisions of the policy: from then on only outcomes are recorded.
type stopSending struct{}

// tick requests a step and carries no data.
type tick struct{}

// listEvent carries an endpoint list that was received as a whole, or changes to the list.
type listEvent struct{ list discovery.List }

// partEvent carries one part of a long endpoint list.
type partEvent struct{ part *discovery.SnapshotPart }

func (e *submitEvent) apply(_ *Relay, s *stepState) { s.submissions = append(s.submissions, e) }

func (e cancelEvent) apply(r *Relay, s *stepState) {
	s.policyEvents = r.cancel(s.policyEvents, e.messageID)
}

func (e *callFinished) apply(r *Relay, s *stepState) {
	s.policyEvents = r.callEnded(s.policyEvents, e)
}

func (e attemptTimeout) apply(r *Relay, s *stepState) {
	timeout := egress.Result{Outcome: policy.Timeout, Latency: time.Since(e.attempt.call.SentAt)}
	s.policyEvents = r.attemptEnded(s.policyEvents, e.attempt, timeout)
}

func (e sendCheck) apply(_ *Relay, s *stepState) { s.sendChecks = append(s.sendChecks, e) }

func (e notificationsAcked) apply(r *Relay, _ *stepState) {
	for _, id := range e.messageIDs {
		if m := r.messages[id]; m != nil {
			r.logNotified(m.Message)
			r.journal.Remove(m.Message)
			r.remove(m)
		}
	}
}

func (stopAccepting) apply(r *Relay, _ *stepState) { r.stopping = true }

func (stopSending) apply(r *Relay, _ *stepState) { r.sendingStopped = true }

func (tick) apply(*Relay, *stepState) {}

func (e listEvent) apply(r *Relay, s *stepState) {
	s.policyEvents = append(s.policyEvents, r.applyList(e.list)...)
}

func (e partEvent) apply(r *Relay, s *stepState) {
	r.applyPart(e.part)
	s.policyEvents = append(s.policyEvents, r.deferredEvents...)
	r.deferredEvents = r.deferredEvents[:0]
}

func (e configChange) apply(r *Relay, _ *stepState) { r.changeConfig(e) }

func (e metricsRequest) apply(_ *Relay, s *stepState) {
	s.metricsRequests = append(s.metricsRequests, e)
}
