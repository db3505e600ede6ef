package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

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
		sendsUnrecorded: ratelog.Warning{Message: "log not written"},
	}
}

// execute does what the module has decided: first in the log, in one write, then on the sockets.
func (r *Relay) execute(acts []policy.Action, waiting []*submitEvent) {
	answers := make(map[uint32]Response, len(waiting))
	for _, in := range waiting {
		answers[in.acceptedAs.ID] = Response{Status: http.StatusAccepted}
	}
	var calls []*call
	var ended []*message
	for _, a := range acts {
		m := r.messages[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m == nil {
				// a slot less is better than no relay
				r.log.Error("send of a message that is not held", "id", a.MessageID)
				continue
			}
			calls = r.addToCalls(calls, m, a)
		case policy.Reject, policy.Fail:
			if m == nil || m.completed {
				continue
			}
			r.markCompleted(m)
			final := journal.FinalAnswer{Retryable: a.Kind == policy.Reject, RetryAfter: a.Delay}
			r.countResult(m.Message, finalResult(final))
			if _, ok := answers[a.MessageID]; ok {
				answers[a.MessageID] = finalAnswer(final)
				r.release(m)
				continue
			}
			r.journal.RecordFinal(m.Message, final)
			ended = append(ended, m)
		case policy.SetTimer:
			r.timerAt = time.Now().Add(a.Delay) // the module keeps one wake in mind, the last that it asked for
		case policy.CloseIdle:
			r.egress.CloseIdle(a.Endpoint)
		}
	}
	if err := r.recordSends(calls); err != nil {
		r.sendsUnrecorded.Log(r.log, "calls", len(calls), "err", err)
		// A send that is not in the log must not leave: after a restart it would be made again.
		r.returnCalls(calls)
		calls = nil
	}
	for _, in := range waiting {
		in.reply <- answers[in.acceptedAs.ID]
	}
	for _, m := range ended {
		r.queueNotification(m)
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// addToCalls puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *Relay) addToCalls(calls []*call, m *message, a policy.Action) []*call {
	body, err := r.journal.Body(m.Message)
	if err != nil {
		r.failUnreadable(m, err)
		return calls
	}
	t, _ := r.catalog.Endpoint(a.Endpoint)
	most := 1
	if t.Kind >= 0 && t.Kind < len(r.activeConfig.Settings.DestinationKinds) {
		most = max(1, r.activeConfig.Settings.DestinationKinds[t.Kind].MaxBatch)
	}
	var c *call
	size := egress.BatchItemSize(m.TraceID, m.IdempotencyKey, m.Size())
	for _, x := range calls {
		// Bodies hold so much at most, and many small messages are no reason to have one large one turned away.
		if x.EndpointID == a.Endpoint && len(x.attempts) < most && x.size+size <= netconn.MaxBodySize {
			c = x
		}
	}
	if c == nil {
		c = newCall(egress.Call{EndpointID: a.Endpoint, Addr: t.Addr, SentAt: time.Now()}, t.Zone)
		calls = append(calls, c)
	}
	until := r.started.Add(a.TimeoutAt)
	c.size += size
	c.insertByDeadline(&attempt{
		Attempt: egress.Attempt{TraceID: m.TraceID, IdempotencyKey: m.IdempotencyKey, Body: body, Deadline: until},
		call:    c,
		message: m,
		number:  m.attemptsStarted,
	})
	m.attemptsStarted++
	m.inFlight++
	if len(c.attempts) == 1 || until.After(c.Deadline) == r.cfg.AllowHedging {
		c.Deadline = until // where a second copy may be out, the rest of a call outlasts one message's time-out
	}
	return calls
}

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

// insertByDeadline adds an attempt before those whose messages have less time left. A call goes by its first message:
// an answer that comes after this one's time tells nothing certain of the others, however whole it is. So no call may
// outlast its first message.
func (c *call) insertByDeadline(a *attempt) {
	i := slices.IndexFunc(c.attempts, func(b *attempt) bool { return b.message.Deadline.Before(a.message.Deadline) })
	if i < 0 {
		i = len(c.attempts)
	}
	c.attempts = slices.Insert(c.attempts, i, a)
}

// recordSends writes the sends of calls and all that was noted in this step.
func (r *Relay) recordSends(calls []*call) error {
	var sends []journal.Send
	for _, c := range calls {
		for _, a := range c.attempts {
			sends = append(sends, journal.Send{
				Message: a.message.Message, Attempt: journal.Attempt{Number: a.number, Endpoint: c.EndpointID, Zone: c.zone, SentAt: c.SentAt},
			})
		}
	}
	if len(sends) == 0 {
		return r.journal.Flush()
	}
	return r.journal.RecordSends(sends...)
}

// returnCalls ends calls that could not be recorded as never connected.
func (r *Relay) returnCalls(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, egress.Result{Outcome: policy.ConnectFailed})
		}
	}
	// The module is told in a step of its own, soon, and not by its own wake, which must not be lost.
	time.AfterFunc(r.cfg.Tick, func() { r.post(tick{}) })
}

// startCall makes a call, away from the loop.
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

// sendableAttempts tells which attempts of a call that was held up may still leave, if the module lets it leave at all.
// A message that has had its final answer meanwhile, or whose time in this call is up, has no part in it any more: the
// others' connection may come up long after that.
func (r *Relay) sendableAttempts(c *call) (left []*egress.Attempt) {
	var ids []uint32
	for _, a := range c.attempts {
		if !a.finished && !a.message.completed && time.Now().Before(a.Deadline) {
			left, ids = append(left, &a.Attempt), append(ids, a.message.ID)
		}
	}
	if len(left) == 0 || r.sendingStopped {
		return nil
	}
	at := r.now()
	may := r.engine.StillAllowed(c.EndpointID, ids, at)
	if r.recorder.SendChecked(at, c.EndpointID, ids, may); !may {
		return nil
	}
	return left
}

// checkSend asks the loop which attempts of a call that was held up may still leave.
func (r *Relay) checkSend(c *call) []*egress.Attempt {
	reply := make(chan []*egress.Attempt, 1)
	if !r.post(sendCheck{c, reply}) {
		return nil
	}
	select {
	case left := <-reply:
		return left
	case <-r.loopDone:
		return nil
	}
}

// callEnded takes the end of a call.
func (r *Relay) callEnded(evs []policy.Event, e *callFinished) []policy.Event {
	r.callsInFlight--
	delete(r.activeCalls, e.call)
	for i, a := range e.call.attempts {
		evs = r.attemptEnded(evs, a, e.results[i])
	}
	return evs
}

// attemptEnded takes the outcome of an attempt: in the log, and for the module.
func (r *Relay) attemptEnded(evs []policy.Event, a *attempt, res egress.Result) []policy.Event {
	m := a.message
	ok := res.Outcome == policy.OK
	if a.finished {
		// It was cut off, and its call went on for others. A delivery still ends the message.
		if ok {
			evs = r.markDelivered(evs, m)
		}
		return evs
	}
	a.finished = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.inFlight--
	switch res.Outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		r.journal.RecordNotRun(m.Message, a.number)
	}
	if ok || res.MessageEnded {
		if ok && !m.completed {
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		evs = r.markDelivered(evs, m.resubmittedAs)
	}
	r.remove(m)
	if m.awaitingRemote {
		return r.unpark(evs, a, res)
	}
	return append(evs, policy.Event{
		Kind: policy.AttemptFinished, MessageID: m.ID, Attempt: a.number, Endpoint: a.call.EndpointID, Outcome: res.Outcome, Latency: res.Latency,
		MessageEnded: ok || res.MessageEnded, RetryAfter: res.RetryAfter, LimitReport: res.LimitReport,
	})
}
