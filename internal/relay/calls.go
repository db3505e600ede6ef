package relay

import (
	"context"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// call is a call to an endpoint, with the state that the loop keeps for it.
type call struct {
	egress.Call
	zone      int  // zone of the endpoint
	size      int  // upper bound of the body size of a batch, in bytes
	toSuspect bool // the endpoint was suspect at the decision, so that the recovery budget allowed the call

	reservedMemory int64 // in bytes
	missingMemory  int64 // in bytes; above 0, the call waits for it, and the bodies of its messages are not loaded

	attempts []*attempt // in the order of Call.Attempts; empty if the predecessor made the call

	// single is the initial storage of attempts: most calls carry one message and need no allocation for the slice.
	single [1]*attempt
}

// attempt is an attempt to deliver a message, with the state that the loop keeps for it.
type attempt struct {
	egress.Attempt
	call     *call
	message  *message
	number   int         // of the attempt within its message, from 0
	timer    *time.Timer // ends the attempt before its call ends; nil if both end together
	finished bool        // its outcome was passed on to the engine, or to the successor
}

// callState is the state of the calls in flight.
type callState struct {
	callCtx         context.Context // cancelled when calls in flight must be abandoned
	activeCalls     map[*call]struct{}
	callsInFlight   int
	sendsUnrecorded ratelog.Warning // the journal could not record the sends of calls

	waitingCallState
}

func newCallState() callState {
	return callState{
		activeCalls:     map[*call]struct{}{},
		sendsUnrecorded: ratelog.Warning{Message: "journal not written, calls not sent"},
	}
}

// newCall returns a call without attempts.
func newCall(outgoing egress.Call, zone int) *call {
	c := &call{Call: outgoing, zone: zone}
	c.attempts = c.single[:0]
	return c
}

// outgoing returns attempts in the form that package egress uses.
func outgoing(attempts []*attempt) []*egress.Attempt {
	converted := make([]*egress.Attempt, len(attempts))
	for i, a := range attempts {
		converted[i] = &a.Attempt
	}
	return converted
}

// addToCalls adds an attempt of a message to a call to the action's endpoint, and returns the calls. Sends of one
// step to the same endpoint share a call, up to the maximum batch of the endpoint's kind. A message whose body cannot
// be read from the journal fails instead.
func (r *Relay) addToCalls(calls []*call, m *message, a *policy.Action) []*call {
	endpoint, _ := r.catalog.Endpoint(a.Endpoint)
	size := egress.BatchItemSize(m.TraceID, m.IdempotencyKey, m.Size())
	maxBatch := r.activeConfig.Settings.DestinationKind(endpoint.Kind).BatchSize()
	memorySize := callCopies * size
	c := findCall(calls, a.Endpoint, maxBatch, size)
	isNew := c == nil
	if isNew {
		memorySize += callSize
		c = newCall(egress.Call{
			EndpointID: a.Endpoint,
			Addr:       endpoint.Addr,
			Kind:       endpoint.Kind,
			Batch:      maxBatch > 1 && size <= netconn.MaxBodySize,
			SentAt:     time.Now(),
		}, endpoint.Zone)
		c.toSuspect = r.engine.Suspect(a.Endpoint)
	}
	var body []byte
	if r.reserveCall(c, memorySize) {
		var err error
		body, err = r.journal.Body(m.Message)
		if err != nil {
			r.failUnreadable(m, err)
			if isNew {
				r.releaseCall(c)
			}
			return calls
		}
	}
	if isNew {
		calls = append(calls, c)
	}
	deadline := r.started.Add(a.TimeoutAt)
	c.size += size
	c.OnceOnly = c.OnceOnly || r.effectOf(m.Message) == policy.NonIdempotent
	c.insertByDeadline(&attempt{
		Attempt: egress.Attempt{TraceID: m.TraceID, IdempotencyKey: m.IdempotencyKey, Body: body, Deadline: deadline},
		call:    c,
		message: m,
		number:  m.attemptsStarted,
	})
	m.attemptsStarted++
	m.inFlight++
	c.Deadline = r.callDeadline(c.attempts)
	return calls
}

// callDeadline returns the deadline of a call with these attempts. With hedging, a call lasts until the latest timeout
// of its attempts. Without hedging it ends at the earliest timeout: a message may be sent again after its timeout, and
// must not have two attempts in flight.
func (r *Relay) callDeadline(attempts []*attempt) time.Time {
	deadline := attempts[0].Deadline
	for _, a := range attempts[1:] {
		if a.Deadline.After(deadline) == r.cfg.AllowHedging {
			deadline = a.Deadline
		}
	}
	return deadline
}

// findCall returns the last call to the endpoint that has room for one more message; nil if there is none. A batch
// stays within the maximum body size: the endpoint would reject a larger one with all its messages, although it would
// accept each of them alone.
func findCall(calls []*call, endpoint string, maxBatch, size int) (found *call) {
	for _, c := range calls {
		if c.EndpointID == endpoint && len(c.attempts) < maxBatch && c.size+size <= netconn.MaxBodySize {
			found = c
		}
	}
	return found
}

// insertByDeadline inserts an attempt before those whose messages have less time left. An endpoint may apply the
// deadline of the first message to the whole call. A response after that deadline proves nothing about the other
// messages, even if it is complete, so no call may outlast its first message.
func (c *call) insertByDeadline(a *attempt) {
	i := slices.IndexFunc(c.attempts, func(b *attempt) bool { return b.message.Deadline.Before(a.message.Deadline) })
	if i < 0 {
		i = len(c.attempts)
	}
	c.attempts = slices.Insert(c.attempts, i, a)
}

// startCall makes a call on its own goroutine, which posts the results to the loop.
func (r *Relay) startCall(c *call) {
	r.callsInFlight++
	r.activeCalls[c] = struct{}{}
	for _, a := range c.attempts {
		if a.Deadline.Before(c.Deadline) {
			a.timer = time.AfterFunc(time.Until(a.Deadline), func() { r.post(attemptTimeout{a}) })
		}
	}
	c.Attempts = outgoing(c.attempts)
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		results := r.egress.Do(r.callCtx, &c.Call, func() []*egress.Attempt { return r.checkSend(c) })
		r.post(&callFinished{c, results})
	}()
}

// callEnded handles the results of a call, and appends the events for the policy.
func (r *Relay) callEnded(events []policy.Event, e *callFinished) []policy.Event {
	r.callsInFlight--
	delete(r.activeCalls, e.call)
	r.releaseCall(e.call)
	for i, a := range e.call.attempts {
		events = r.attemptEnded(events, a, e.results[i])
	}
	return events
}

// attemptEnded updates the journal and the message's state with the result of an attempt, and appends the events for
// the policy.
func (r *Relay) attemptEnded(events []policy.Event, a *attempt, result egress.Result) []policy.Event {
	m := a.message
	delivered := result.Outcome == policy.OK
	r.observeAttempt(a, result)
	if a.finished {
		// The attempt timed out while its call went on for other messages. A delivery still ends the message.
		if delivered {
			events = r.markDelivered(events, m)
		}
		return events
	}
	a.finished = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.inFlight--
	switch result.Outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		r.journal.RecordNotRun(m.Message, a.number)
	}
	switch {
	case delivered:
		if !m.completed() {
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m, resultDelivered)
		r.recordDelivered(m)
		events = r.markDelivered(events, m.resubmittedAs)
	case result.MessageEnded && !m.completed():
		r.markCompleted(m, resultCancelled)
		r.release(m)
	}
	r.remove(m)
	if m.awaitingPredecessor {
		return r.resumeAfterPredecessorAttempt(events, a, result)
	}
	return append(events, policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    m.ID,
		Attempt:      a.number,
		Endpoint:     a.call.EndpointID,
		Outcome:      result.Outcome,
		Latency:      result.Latency,
		MessageEnded: delivered || result.MessageEnded,
		RetryAfter:   result.RetryAfter,
		LimitReport:  result.LimitReport,
	})
}
