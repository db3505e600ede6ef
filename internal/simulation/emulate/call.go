package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// call is a call from a relay to an endpoint, with the attempts of one or more messages. The relay and the endpoint
// each have their own state of the call. A change at one side reaches the other after the network latency.
type call struct {
	relay     *relay
	endpoint  *endpoint
	number    uint64
	startedAt time.Duration
	timeoutAt time.Duration
	attempts  []*attempt

	// State at the relay.
	newConnection bool
	sent          bool
	sentAt        time.Duration
	ended         bool

	// State at the endpoint.
	closedOnRequest bool // the connection exceeds Options.MaxConnections, and is closed when the request arrives
	received        bool // the endpoint received the call's last byte
	endedAtEndpoint bool
}

// attempt is an attempt of a message in a call.
type attempt struct {
	message   *message
	number    int
	timeoutAt time.Duration
	ended     bool
}

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	outcome      policy.Outcome
	messageEnded bool // the endpoint answered that the message must not be attempted again
	retryAfter   time.Duration
	latency      time.Duration
}

func (c *call) messageIDs() []policy.MessageID {
	ids := make([]policy.MessageID, 0, len(c.attempts))
	for _, a := range c.attempts {
		ids = append(ids, a.message.id)
	}
	return ids
}

// latency returns the one-way network latency between the relay and the endpoint.
func (c *call) latency() time.Duration {
	latency := c.relay.world.options.Latency
	if c.relay.zone != c.endpoint.zone {
		latency += c.relay.world.options.ZoneLatency
	}
	return latency
}

// schedule has a function run after a delay, unless the call has ended at the relay by then.
func (c *call) schedule(delay time.Duration, run func()) {
	c.relay.world.ScheduleAfter(delay, func() {
		if !c.ended {
			run()
		}
	})
}

// scheduleEnd schedules the end of the call at the relay, with one outcome for all attempts.
func (c *call) scheduleEnd(delay time.Duration, result attemptResult) {
	c.schedule(delay, func() { c.relay.callEnded(c, result) })
}

// startCall starts a call, on an idle connection if there is one. A new connection takes a round trip.
func (r *relay) startCall(c *call) {
	w := r.world
	r.activeCalls[c] = struct{}{}
	for _, a := range c.attempts {
		if a.timeoutAt < c.timeoutAt {
			c.schedule(a.timeoutAt-w.Now(), func() {
				if !a.ended {
					r.attemptEnded(c, a, attemptResult{outcome: policy.Timeout, latency: w.Now() - c.startedAt})
				}
			})
		}
	}
	c.schedule(c.timeoutAt-w.Now(), c.timeout)
	if r.poolOf(c.endpoint).take(w.idleSince()) {
		c.send()
		return
	}
	c.newConnection = true
	c.schedule(c.latency(), c.connect)
}

// connect handles the arrival of a new connection's first packet at the endpoint.
func (c *call) connect() {
	w, e := c.relay.world, c.endpoint
	connectTimeout := w.plan.File.Settings.ConnectTimeout.AsDuration()
	untilTimeout := connectTimeout - c.latency()
	failed := attemptResult{outcome: policy.ConnectFailed}
	switch {
	case e.unreachable:
		c.scheduleEnd(untilTimeout, failed)
		return
	case e.down || e.stopped:
		c.scheduleEnd(c.latency(), failed)
		return
	case w.options.MaxConnections == 0 || w.connectionCount(e) < w.options.MaxConnections:
		w.ConnectionsOpened++
		c.schedule(c.latency(), c.connected)
		return
	}
	w.ConnectionsRefused++
	switch w.options.ExcessConnections {
	case ExcessRefused:
		c.scheduleEnd(c.latency(), failed)
	case ExcessClosed:
		c.closedOnRequest = true
		c.schedule(c.latency(), c.connected)
	case ExcessUnanswered:
		c.scheduleEnd(untilTimeout, failed)
	}
}

// connected handles the established connection: the relay's next step checks whether the call may still be sent.
func (c *call) connected() {
	c.relay.awaitingCheck = append(c.relay.awaitingCheck, c)
	c.relay.scheduleStep()
}

// send sends the call on its connection.
func (c *call) send() {
	w, e := c.relay.world, c.endpoint
	c.sent = true
	c.sentAt = w.Now()
	if c.closedOnRequest || c.drawIdleReset() {
		c.endedAtEndpoint = true // the call never reaches the endpoint
		roundTrip := 2 * c.latency()
		c.scheduleEnd(roundTrip, attemptResult{outcome: policy.Reset, latency: roundTrip})
		return
	}
	if e.calls == nil {
		e.calls = map[*call]struct{}{}
	}
	e.calls[c] = struct{}{}
	epoch := e.connectionEpoch
	w.ScheduleAfter(c.latency(), func() {
		if e.connectionEpoch == epoch && !c.endedAtEndpoint {
			w.Calls++
			c.arrive()
		}
	})
}

// drawIdleReset draws whether the call's connection was reset while it was idle.
func (c *call) drawIdleReset() bool {
	w := c.relay.world
	return !c.newConnection && w.options.IdleResetRatio > 0 && w.networkRandom.Float64() < w.options.IdleResetRatio
}

// timeout ends the call at its timeout.
func (c *call) timeout() {
	outcome := policy.Timeout
	if !c.sent {
		outcome = policy.ConnectFailed
	}
	c.closeConnection()
	latency := c.relay.world.Now() - max(c.startedAt, c.sentAt)
	c.relay.callEnded(c, attemptResult{outcome: outcome, latency: latency})
}

// abandon ends the call because the relay's process ends.
func (c *call) abandon() {
	c.ended = true
	c.closeConnection()
}

// closeConnection closes the connection at the relay. The endpoint observes the end after the network latency.
func (c *call) closeConnection() {
	if c.sent && !c.endedAtEndpoint {
		c.relay.world.ScheduleAfter(c.latency(), func() { c.endAtEndpoint(eventlog.CauseRelay) })
	}
}

// callEnded ends a call at the relay, with one result for each attempt, or a single result for all attempts.
func (r *relay) callEnded(c *call, results ...attemptResult) {
	if c.ended {
		return
	}
	c.ended = true
	delete(r.activeCalls, c)
	for i, a := range c.attempts {
		r.attemptEnded(c, a, results[min(i, len(results)-1)])
	}
	r.scheduleStep()
}

// attemptEnded journals the outcome of an attempt, and posts it to the engine for the relay's next step.
func (r *relay) attemptEnded(c *call, a *attempt, result attemptResult) {
	m := a.message
	delivered := result.outcome == policy.OK
	if a.ended {
		if delivered {
			r.deliveredLate(m)
		}
		return
	}
	a.ended = true
	m.openAttempts--
	switch result.outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		if len(m.mayHaveRun) > 0 {
			if r.journal.undoable {
				before := slices.Clone(m.mayHaveRun)
				r.journal.written(func() { m.mayHaveRun = before })
			}
			m.attemptNeverRan(a.number)
		}
	}
	messageEnded := delivered || result.messageEnded
	if messageEnded {
		r.endMessage(m)
		r.removeMessage(m)
	}
	r.postEvent(policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    m.id,
		Attempt:      a.number,
		Endpoint:     c.endpoint.ID,
		Outcome:      result.outcome,
		Latency:      result.latency,
		MessageEnded: messageEnded,
		RetryAfter:   result.retryAfter,
	})
}

// deliveredLate ends a message whose attempt timed out before its call ended, and whose call then delivered it.
func (r *relay) deliveredLate(m *message) {
	if !m.ended {
		r.pendingEvents = append(r.pendingEvents, policy.Event{Kind: policy.MessageCancelled, MessageID: m.id})
	}
	r.endMessage(m)
	r.removeMessage(m)
}
