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

// call is a call to an endpoint, with what the loop knows of it.
type call struct {
	egress.Call
	zone     int
	size     int        // of its body at most, if it carries several messages
	attempts []*attempt // those whose outcome is awaited, in the order of Call.Attempts

	// single holds the attempts of a call with one message, as most calls are.
	single [1]*attempt
}

// attempt is an attempt of a message, with what the loop knows of it.
type attempt struct {
	egress.Attempt
	call     *call
	message  *message
	number   int         // among the message's attempts, from 0
	timer    *time.Timer // ends it before the rest of its call; nil if it ends with it
	finished bool        // its outcome is known to the engine
}

// callState is the state of the calls in flight.
type callState struct {
	callCtx         context.Context // ends when calls must be given up
	activeCalls     map[*call]struct{}
	callsInFlight   int
	sendsUnrecorded ratelog.Warning // the journal does not accept the sends of calls
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

// outgoing returns the attempts as package egress knows them.
func (c *call) outgoing() []*egress.Attempt {
	attempts := make([]*egress.Attempt, len(c.attempts))
	for i, a := range c.attempts {
		attempts[i] = &a.Attempt
	}
	return attempts
}

// addToCalls adds an attempt of a message to a call to its endpoint. The sends of one step to one endpoint share a
// call, up to the largest batch of its kind.
func (r *Relay) addToCalls(calls []*call, m *message, a *policy.Action) []*call {
	body, err := r.journal.Body(m.Message)
	if err != nil {
		r.failUnreadable(m, err)
		return calls
	}
	endpoint, _ := r.catalog.Endpoint(a.Endpoint)
	size := egress.BatchItemSize(m.TraceID, m.IdempotencyKey, m.Size())
	maxBatch := r.activeConfig.Settings.DestinationKind(endpoint.Kind).BatchSize()
	c := findCall(calls, a.Endpoint, maxBatch, size)
	if c == nil {
		outgoing := egress.Call{EndpointID: a.Endpoint, Addr: endpoint.Addr, SentAt: time.Now()}
		c = newCall(outgoing, endpoint.Zone)
		calls = append(calls, c)
	}
	deadline := r.started.Add(a.TimeoutAt)
	c.size += size
	c.insertByDeadline(&attempt{
		Attempt: egress.Attempt{TraceID: m.TraceID, IdempotencyKey: m.IdempotencyKey, Body: body, Deadline: deadline},
		call:    c,
		message: m,
		number:  m.attemptsStarted,
	})
	m.attemptsStarted++
	m.inFlight++
	// With hedging, the rest of a call may outlast the timeout of one of its messages, and without it nothing may.
	if len(c.attempts) == 1 || deadline.After(c.Deadline) == r.cfg.AllowHedging {
		c.Deadline = deadline
	}
	return calls
}

// findCall returns the last of the calls to an endpoint that has room for one more message; nil if there is none.
// Bodies are bounded: many small messages are no reason for the endpoint to reject a large one.
func findCall(calls []*call, endpoint string, maxBatch, size int) (found *call) {
	for _, c := range calls {
		if c.EndpointID == endpoint && len(c.attempts) < maxBatch && c.size+size <= netconn.MaxBodySize {
			found = c
		}
	}
	return found
}

// insertByDeadline inserts an attempt before those whose messages have less time left. The first
// message sets the deadline of a call: a response that comes after it proves nothing about the others, even if it is
// complete. So no call may outlast its first message.
func (c *call) insertByDeadline(a *attempt) {
	i := slices.IndexFunc(c.attempts, func(b *attempt) bool { return b.message.Deadline.Before(a.message.Deadline) })
	if i < 0 {
		i = len(c.attempts)
	}
	c.attempts = slices.Insert(c.attempts, i, a)
}

// startCall makes a call on a goroutine of its own.
func (r *Relay) startCall(c *call) {
	r.callsInFlight++
	r.activeCalls[c] = struct{}{}
	for _, a := range c.attempts {
		if a.Deadline.Before(c.Deadline) {
			a.timer = time.AfterFunc(time.Until(a.Deadline), func() { r.post(attemptTimeout{a}) })
		}
	}
	c.Attempts = c.outgoing()
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		results := r.egress.Do(r.callCtx, &c.Call, func() []*egress.Attempt { return r.checkSend(c) })
		r.post(&callFinished{c, results})
	}()
}

// sendableAttempts returns the attempts of a delayed call that may still be sent, if the policy still allows the call.
// A message that has its final answer meanwhile, or whose time in this call is up, is left out: the connection may come
// up long after that.
func (r *Relay) sendableAttempts(c *call) (sendable []*egress.Attempt) {
	var ids []policy.MessageID
	for _, a := range c.attempts {
		if !a.finished && !a.message.completed && time.Now().Before(a.Deadline) {
			sendable = append(sendable, &a.Attempt)
			ids = append(ids, a.message.ID)
		}
	}
	if len(sendable) == 0 || r.sendingStopped {
		return nil
	}
	now := r.now()
	allowed := r.engine.StillAllowed(c.EndpointID, ids, now)
	r.recorder.SendChecked(now, c.EndpointID, ids, allowed)
	if !allowed {
		return nil
	}
	return sendable
}

// checkSend asks the loop which attempts of a delayed call may still be sent.
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

// callEnded handles the results of a call.
func (r *Relay) callEnded(events []policy.Event, e *callFinished) []policy.Event {
	r.callsInFlight--
	delete(r.activeCalls, e.call)
	for i, a := range e.call.attempts {
		events = r.attemptEnded(events, a, e.results[i])
	}
	return events
}

// attemptEnded handles the result of an attempt: for the journal, the message's state, and the policy.
func (r *Relay) attemptEnded(events []policy.Event, a *attempt, result egress.Result) []policy.Event {
	m := a.message
	delivered := result.Outcome == policy.OK
	if a.finished {
		// Its time was up, and the call went on for others. A delivery still ends the message.
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
	if delivered || result.MessageEnded {
		if delivered && !m.completed {
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		events = r.markDelivered(events, m.resubmittedAs)
	}
	r.remove(m)
	if m.awaitingRemote {
		return r.resumeAfterRemoteAttempt(events, a, result)
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
