package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// call is a call that a relay makes. The relay has its end of it, the host its own; each learns of the other a latency
// later.
type call struct {
	relay     *relay
	process   int
	endpoint  *endpoint
	number    uint64
	startedAt time.Duration
	timeoutAt time.Duration // dropped then
	attempts  []*attempt

	newConnection   bool          // on a new connection
	closedOnRequest bool          // on one that the host takes and breaks off
	writtenAt       time.Duration // to be written
	written         bool
	ended           bool // at the relay
	received        bool // whole, to the host
	endedAtEndpoint bool // at the host
}

// attempt is one message's part in a call.
type attempt struct {
	message   *message
	number    int
	timeoutAt time.Duration
	ended     bool
}

// result is how an attempt, or all of a call, ended.
type attemptResult struct {
	outcome     policy.Outcome
	messageGone bool
	retryAfter  time.Duration
	latency     time.Duration
}

func (c *call) messageIDs() []policy.MessageID {
	all := make([]policy.MessageID, 0, len(c.attempts))
	for _, a := range c.attempts {
		all = append(all, a.message.id)
	}
	return all
}

// latency is one way between the relay and the host.
func (c *call) latency() time.Duration {
	d := c.relay.world.options.Latency
	if c.relay.zone != c.endpoint.zone {
		d += c.relay.world.options.ZoneLatency
	}
	return d
}

// in plans something at the relay, unless the call is over there.
func (c *call) scheduleUnlessEnded(d time.Duration, do func()) {
	c.relay.world.ScheduleAfter(d, func() {
		if !c.ended {
			do()
		}
	})
}

func (r *relay) poolOf(h *endpoint) *connectionPool {
	p := r.pools[h]
	if p == nil {
		p = r.addPool(h)
	}
	if p.epoch != h.connectionEpoch { // all its connections were reset, which the relay has seen
		p.epoch, p.idle = h.connectionEpoch, p.idle[:0]
	}
	return p
}

func (p *connectionPool) put(at time.Duration) { p.idle = append(p.idle, at) }

// open is how many connections have been idle since later than a time; the others are closed.
func (p *connectionPool) countOpen(since time.Duration) int {
	old := 0
	for old < len(p.idle) && p.idle[old] <= since {
		old++
	}
	p.idle = append(p.idle[:0], p.idle[old:]...)
	return len(p.idle)
}

// get takes the connection that was used last, idle since later than a time; false if there is none.
func (p *connectionPool) take(since time.Duration) bool {
	if p.countOpen(since) == 0 {
		return false
	}
	p.idle = p.idle[:len(p.idle)-1]
	return true
}

// connections is how many a host has: those of calls that were written to it, and the idle ones of all relays.
func (w *World) connectionCount(h *endpoint) int {
	n := len(h.calls)
	for p := range h.pools {
		if p.epoch == h.connectionEpoch {
			n += p.countOpen(w.Now() - w.idleTimeout())
		}
	}
	return n
}

// keep is how long relays keep a connection idle.
func (w *World) idleTimeout() time.Duration {
	return time.Duration(idleTimeoutRatio * float64(w.plan.File.Settings.KeepAliveTimeout))
}

// launch makes a call.
func (r *relay) startCall(c *call) {
	w := r.world
	r.activeCalls[c] = struct{}{}
	for i := range c.attempts {
		if a := c.attempts[i]; a.timeoutAt < c.timeoutAt {
			c.scheduleUnlessEnded(a.timeoutAt-w.Now(), func() {
				if !a.ended {
					r.attemptEnded(c, a, attemptResult{outcome: policy.Timeout, latency: w.Now() - c.startedAt})
				}
			})
		}
	}
	c.scheduleUnlessEnded(c.timeoutAt-w.Now(), c.timeout)
	if r.poolOf(c.endpoint).take(w.Now() - w.idleTimeout()) {
		c.write()
		return
	}
	c.newConnection = true
	h := c.endpoint
	connect := w.plan.File.Settings.ConnectTimeout.AsDuration()
	c.scheduleUnlessEnded(c.latency(), func() { // the first packet has come to the host
		up := !h.unreachable && !h.down && !h.stopped
		full := up && w.options.MaxConnections > 0 && w.connectionCount(h) >= w.options.MaxConnections
		if full {
			w.ConnectionsRefused++
		}
		switch {
		case h.unreachable:
			c.scheduleUnlessEnded(connect-c.latency(), func() { r.callEnded(c, attemptResult{outcome: policy.ConnectFailed}) })
		case h.down || h.stopped:
			c.scheduleUnlessEnded(c.latency(), func() { r.callEnded(c, attemptResult{outcome: policy.ConnectFailed}) })
		case full && w.options.ExcessConnections != ExcessClosed:
			after := c.latency()
			if w.options.ExcessConnections == ExcessUnanswered {
				after = connect - c.latency()
			}
			c.scheduleUnlessEnded(after, func() { r.callEnded(c, attemptResult{outcome: policy.ConnectFailed}) })
		default:
			if c.closedOnRequest = full; !full {
				w.ConnectionsOpened++
			}
			c.scheduleUnlessEnded(c.latency(), func() { // the connection is up; meanwhile a drain or a wait may have been told
				r.awaitingCheck = append(r.awaitingCheck, c)
				r.scheduleStep()
			})
		}
	})
}

// write writes a call on its connection.
func (c *call) write() {
	w := c.relay.world
	c.written, c.writtenAt = true, w.Now()
	h := c.endpoint
	if c.closedOnRequest || !c.newConnection && w.options.IdleResetRatio > 0 && w.networkRandom.Float64() < w.options.IdleResetRatio {
		c.endedAtEndpoint = true // the host never has it
		c.scheduleUnlessEnded(2*c.latency(), func() { c.relay.callEnded(c, attemptResult{outcome: policy.Reset, latency: 2 * c.latency()}) })
		return
	}
	if h.calls == nil {
		h.calls = map[*call]struct{}{}
	}
	h.calls[c] = struct{}{}
	life := h.connectionEpoch
	w.ScheduleAfter(c.latency(), func() {
		if h.connectionEpoch == life && !c.endedAtEndpoint {
			w.Calls++
			c.arrive()
		}
	})
}

// timeout ends a call whose time is up.
func (c *call) timeout() {
	r := c.relay
	outcome := policy.Timeout
	if !c.written {
		outcome = policy.ConnectFailed
	}
	c.closeConnection()
	r.callEnded(c, attemptResult{outcome: outcome, latency: r.world.Now() - max(c.startedAt, c.writtenAt)})
}

// leaves tells the host, a latency later, that the relay has closed the connection.
func (c *call) closeConnection() {
	if c.written && !c.endedAtEndpoint {
		c.relay.world.ScheduleAfter(c.latency(), func() { c.endAtEndpoint(eventlog.CauseRelay) })
	}
}

// closed is the end of a call whose relay has died.
func (c *call) abandon() {
	c.ended = true
	c.closeConnection()
}

// endsAtHost ends a call at the host without an answer. What runs there runs on.
func (c *call) endAtEndpoint(cause string) {
	if c.endedAtEndpoint || c.endpoint.unreachable && cause == eventlog.CauseRelay {
		return // a machine that is cut off hears nothing of that
	}
	c.endedAtEndpoint = true
	delete(c.endpoint.calls, c)
	if c.received {
		c.relay.world.record(eventlog.Event{Kind: eventlog.CallAborted, Call: c.number, Relay: c.relay.name, Endpoint: c.endpoint.ID, Cause: cause})
	}
}

// broken is the end of a call whose host breaks its connection.
func (c *call) breakConnection() {
	c.endAtEndpoint(eventlog.CauseEndpoint)
	c.endedAtEndpoint = true
	delete(c.endpoint.calls, c)
	if !c.ended {
		c.scheduleUnlessEnded(c.latency(), func() {
			c.relay.callEnded(c, attemptResult{outcome: policy.Reset, latency: c.relay.world.Now() - c.writtenAt})
		})
	}
}

// arrive is the coming of a whole call to its host.
func (c *call) arrive() {
	w, h := c.relay.world, c.endpoint
	if h.unreachable {
		return // it is held back, until the host is back and breaks the connection
	}
	if h.down || h.stopped {
		c.breakConnection()
		return
	}
	c.received = true
	if w.options.Record {
		e := eventlog.Event{
			Kind:        eventlog.CallReceived,
			Call:        c.number,
			Relay:       c.relay.name,
			Endpoint:    h.ID,
			FirstByteAt: w.Now(),
			Destination: h.Destination,
			Weight:      h.service.CallWeight(len(c.attempts)),
		}
		for i := range c.attempts {
			e.IDs = append(e.IDs, c.attempts[i].message.clientID)
		}
		w.record(e)
	}
	results := make([]attemptResult, len(c.attempts))
	live := 0
	for i := range c.attempts {
		m := c.attempts[i].message
		m.receivedCalls++
		switch {
		case w.Now() > m.deadline || m.released:
			results[i] = attemptResult{outcome: policy.NotSent, messageGone: true}
		case m.receivedCalls > w.settings.MaxAttempts && w.settings.MaxAttempts > 0:
			results[i] = attemptResult{outcome: policy.NotSent}
		default:
			live++
			results[i] = attemptResult{outcome: policy.OK}
		}
	}
	if live == 0 {
		c.answer(0, results, policy.OK, 0)
		return
	}
	fate := h.service.HandleCall(w.Now(), h.ID, live)
	if fate.CausedOverload {
		w.Overloads++
		w.record(eventlog.Event{Kind: eventlog.ServiceOverloaded, Service: h.service.Name, Destination: h.Destination, Endpoints: endpointIDs(h.service.runningEndpoints())})
		w.recordCapacity(h.service, 0, 0)
	}
	if fate.Result != upstream.Unanswered && h.service.ResetRatio != nil && w.networkRandom.Float64() < h.service.ResetRatio(c.relay.index) {
		w.ScheduleAfter(0, c.breakConnection)
		return
	}
	switch fate.Result {
	case upstream.Unanswered:
	case upstream.Served:
		if fate.ResponseLost {
			w.ScheduleAfter(fate.Latency, func() {
				if !c.endedAtEndpoint && !h.unreachable { // a machine that is cut off breaks nothing before it is back
					c.breakConnection()
				}
			})
			return
		}
		c.answer(fate.Latency, results, policy.OK, 0)
	case upstream.Rejected:
		c.answer(fate.Latency, results, policy.Overloaded, fate.RetryAfter.Round(time.Millisecond))
	case upstream.Failed:
		c.answer(fate.Latency, results, policy.Error, 0)
	}
}

// reply answers a call after a time: as a whole, or where the outcome is OK each of its messages.
func (c *call) answer(after time.Duration, results []attemptResult, outcome policy.Outcome, wait time.Duration) {
	w, h := c.relay.world, c.endpoint
	w.ScheduleAfter(after, func() {
		if c.endedAtEndpoint || h.unreachable {
			return
		}
		c.endedAtEndpoint = true
		delete(h.calls, c)
		e := eventlog.Event{Kind: eventlog.CallAnswered, Call: c.number, Relay: c.relay.name, Endpoint: h.ID, Status: 200, RetryAfter: wait}
		switch outcome {
		case policy.Overloaded:
			w.CallsRejected++
			if e.Status = 503; wait > 0 {
				e.Status = 429
			}
		case policy.Error:
			w.CallsFailed++
			e.Status = 500
		default:
			w.CallsServed++
			for i := range c.attempts {
				switch {
				case results[i].outcome == policy.OK:
					w.recordDelivery(c.attempts[i].message)
				case len(c.attempts) == 1 && results[i].messageGone:
					e.Status = 410
				case len(c.attempts) == 1:
					e.Status = 504
				}
			}
			if w.options.Record && len(c.attempts) > 1 {
				for _, x := range results {
					e.States = append(e.States, stateOf(x))
				}
			}
		}
		w.record(e)
		took := w.Now() + c.latency() - c.writtenAt
		for i := range results {
			if outcome != policy.OK {
				results[i] = attemptResult{outcome: outcome}
			}
			results[i].latency, results[i].retryAfter = took, wait
		}
		c.scheduleUnlessEnded(c.latency(), func() {
			c.relay.poolOf(h).put(w.Now())
			c.relay.callEnded(c, results...)
		})
	})
}

func stateOf(x attemptResult) string {
	switch {
	case x.outcome == policy.OK:
		return "ok"
	case x.messageGone:
		return "gone"
	}
	return "exhausted"
}

// callEnded takes the end of a call: of each attempt, or of all alike.
func (r *relay) callEnded(c *call, results ...attemptResult) {
	if c.ended {
		return
	}
	c.ended = true
	delete(r.activeCalls, c)
	for i := range c.attempts {
		r.attemptEnded(c, c.attempts[i], results[min(i, len(results)-1)])
	}
	r.scheduleStep()
}

// attemptEnded takes the outcome of an attempt: in the journal, and for the module.
func (r *relay) attemptEnded(c *call, a *attempt, res attemptResult) {
	m := a.message
	ok := res.outcome == policy.OK
	if a.ended { // cut off before; a delivery still ends the message
		if ok {
			if !m.ended {
				r.pendingEvents = append(r.pendingEvents, policy.Event{Kind: policy.MessageCancelled, MessageID: m.id})
			}
			r.endMessage(m)
			r.removeMessage(m)
		}
		return
	}
	a.ended = true
	m.openAttempts--
	switch res.outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		if len(m.mayHaveRun) > 0 {
			if r.recordsUndo {
				was := slices.Clone(m.mayHaveRun)
				r.journal.recordUndo(r, func() { m.mayHaveRun = was })
			}
			m.attemptNeverRan(a.number)
		}
	}
	if ok || res.messageGone {
		r.endMessage(m)
		r.removeMessage(m)
	}
	r.postEvent(policy.Event{
		Kind: policy.AttemptFinished, MessageID: m.id, Attempt: a.number, Endpoint: c.endpoint.ID, Outcome: res.outcome, Latency: res.latency, MessageEnded: ok || res.messageGone, RetryAfter: res.retryAfter,
	})
}
