package emulate

import (
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The states of messages in the answer to a batch.
const (
	stateServed    = "ok"
	stateEnded     = "gone"      // the message is past its deadline, or has its final answer
	stateExhausted = "exhausted" // no more attempts of the message are allowed
)

// arrive handles the arrival of a complete call at its endpoint.
func (c *call) arrive() {
	w, e := c.relay.world, c.endpoint
	if e.unreachable {
		return // the call gets no answer; its connection breaks when the endpoint is back
	}
	if e.down || e.stopped {
		c.breakConnection()
		return
	}
	c.received = true
	c.recordReceived()
	results, toServe := c.checkMessages()
	if toServe == 0 {
		c.answerAfter(0, results, policy.OK, 0)
		return
	}
	response := e.service.HandleCall(w.Now(), e.ID, toServe)
	if response.CausedOverload {
		w.Overloads++
		w.record(eventlog.Event{
			Kind:        eventlog.ServiceOverloaded,
			Service:     e.service.Name,
			Destination: e.Destination,
			Endpoints:   endpointIDs(e.service.runningEndpoints()),
		})
		w.recordCapacity(e.service, 0, 0)
	}
	if response.Result != upstream.Unanswered && c.drawReset() {
		w.ScheduleAfter(0, c.breakConnection)
		return
	}
	c.respond(response, results)
}

func (c *call) recordReceived() {
	w, e := c.relay.world, c.endpoint
	if !w.options.Record {
		return
	}
	received := eventlog.Event{
		Kind:        eventlog.CallReceived,
		Call:        c.number,
		Relay:       c.relay.name,
		Endpoint:    e.ID,
		FirstByteAt: w.Now(),
		Destination: e.Destination,
		Weight:      e.service.CallWeight(len(c.attempts)),
	}
	for _, a := range c.attempts {
		received.IDs = append(received.IDs, a.message.clientID)
	}
	w.record(received)
}

// checkMessages returns the results of the call's attempts in case the service serves the call, and the number of
// messages to be served. Messages that ended, or whose attempts are exhausted, are not served.
func (c *call) checkMessages() (results []attemptResult, toServe int) {
	w := c.relay.world
	results = make([]attemptResult, len(c.attempts))
	for i, a := range c.attempts {
		m := a.message
		m.receivedCalls++
		switch {
		case w.Now() > m.deadline || m.released:
			results[i] = attemptResult{outcome: policy.NotSent, messageEnded: true}
		case w.settings.MaxAttempts > 0 && m.receivedCalls > w.settings.MaxAttempts:
			results[i] = attemptResult{outcome: policy.NotSent}
		default:
			toServe++
			results[i] = attemptResult{outcome: policy.OK}
		}
	}
	return results, toServe
}

// drawReset draws whether the connection breaks after the call ran and before its answer.
func (c *call) drawReset() bool {
	ratio := c.endpoint.service.ResetRatio
	return ratio != nil && c.relay.world.networkRandom.Float64() < ratio(c.relay.index)
}

// respond carries out the service's response to the call.
func (c *call) respond(response upstream.Response, results []attemptResult) {
	switch response.Result {
	case upstream.Unanswered:
	case upstream.Served:
		if response.ResponseLost {
			c.loseAnswer(response.Latency)
			return
		}
		c.answerAfter(response.Latency, results, policy.OK, 0)
	case upstream.Rejected:
		retryAfter := response.RetryAfter.Round(time.Millisecond) // as it is sent
		c.answerAfter(response.Latency, results, policy.Overloaded, retryAfter)
	case upstream.Failed:
		c.answerAfter(response.Latency, results, policy.Error, 0)
	}
}

// loseAnswer breaks the connection when the answer is due, unless the endpoint's machine is cut off by then.
func (c *call) loseAnswer(latency time.Duration) {
	c.relay.world.ScheduleAfter(latency, func() {
		if !c.endedAtEndpoint && !c.endpoint.unreachable {
			c.breakConnection()
		}
	})
}

// answerAfter answers the call after the latency of the service. If the outcome is policy.OK, each attempt has its
// own result. Any other outcome holds for all attempts.
func (c *call) answerAfter(latency time.Duration, results []attemptResult, outcome policy.Outcome,
	retryAfter time.Duration,
) {
	c.relay.world.ScheduleAfter(latency, func() {
		if c.endedAtEndpoint || c.endpoint.unreachable {
			return
		}
		c.endedAtEndpoint = true
		delete(c.endpoint.calls, c)
		c.answer(results, outcome, retryAfter)
	})
}

// answer sends the answer to the call.
func (c *call) answer(results []attemptResult, outcome policy.Outcome, retryAfter time.Duration) {
	w := c.relay.world
	answered := eventlog.Event{
		Kind:       eventlog.CallAnswered,
		Call:       c.number,
		Relay:      c.relay.name,
		Endpoint:   c.endpoint.ID,
		RetryAfter: retryAfter,
	}
	switch outcome {
	case policy.Overloaded:
		w.CallsRejected++
		answered.Status = http.StatusServiceUnavailable
		if retryAfter > 0 {
			answered.Status = http.StatusTooManyRequests
		}
	case policy.Error:
		w.CallsFailed++
		answered.Status = http.StatusInternalServerError
	default:
		w.CallsServed++
		answered.Status = c.served(results)
		if w.options.Record && len(c.attempts) > 1 {
			for _, result := range results {
				answered.States = append(answered.States, result.state())
			}
		}
	}
	w.record(answered)
	latency := w.Now() + c.latency() - c.sentAt
	for i := range results {
		if outcome != policy.OK {
			results[i] = attemptResult{outcome: outcome}
		}
		results[i].latency, results[i].retryAfter = latency, retryAfter
	}
	c.schedule(c.latency(), func() {
		c.relay.poolOf(c.endpoint).put(w.Now())
		c.relay.callEnded(c, results...)
	})
}

// served counts the deliveries of a served call, and returns the status of its answer.
func (c *call) served(results []attemptResult) (status int) {
	status = http.StatusOK
	for i, a := range c.attempts {
		switch {
		case results[i].outcome == policy.OK:
			c.relay.world.countDelivery(a.message.origin)
		case len(c.attempts) > 1: // the answer has a state for each message
		case results[i].messageEnded:
			status = http.StatusGone
		default:
			status = http.StatusGatewayTimeout
		}
	}
	return status
}

// state returns the state of the message in the answer to a batch.
func (a attemptResult) state() string {
	switch {
	case a.outcome == policy.OK:
		return stateServed
	case a.messageEnded:
		return stateEnded
	}
	return stateExhausted
}

// endAtEndpoint ends the call at the endpoint without an answer. A call that the service already runs continues to
// run. An endpoint whose machine is cut off does not notice that the relay has closed the connection.
func (c *call) endAtEndpoint(cause string) {
	if c.endedAtEndpoint || c.endpoint.unreachable && cause == eventlog.CauseRelay {
		return
	}
	c.endedAtEndpoint = true
	delete(c.endpoint.calls, c)
	if c.received {
		c.relay.world.record(eventlog.Event{
			Kind:     eventlog.CallAborted,
			Call:     c.number,
			Relay:    c.relay.name,
			Endpoint: c.endpoint.ID,
			Cause:    cause,
		})
	}
}

// breakConnection breaks the call's connection at the endpoint. The relay notices this one network latency later.
func (c *call) breakConnection() {
	c.endAtEndpoint(eventlog.CauseEndpoint)
	if c.ended {
		return
	}
	c.schedule(c.latency(), func() {
		w := c.relay.world
		c.relay.callEnded(c, attemptResult{outcome: policy.Reset, latency: w.Now() - c.sentAt})
	})
}
