package policy

import (
	"slices"
	"time"
)

// call is a call in flight. It carries one or more messages of the same destination.
type call struct {
	endpoint  *endpoint
	pending   int  // messages without an outcome yet
	delivered bool // at least one message was delivered
	sentAt    time.Duration
	overdueAt time.Duration // the answer is overdue after this time
	timeoutAt time.Duration // earliest timeout of its messages
}

// attempt is an attempt to deliver one message, carried by a call.
type attempt struct {
	number int
	call   *call
}

// recordCallStart updates the in-flight counts for a call that is sent, and takes the call's pacing token (or
// granted call) and its recovery token from the scope.
func (e *Engine) recordCallStart(c *call) {
	scope := c.endpoint.scope
	e.callsInFlight++
	scope.inFlight++
	c.endpoint.calls = append(c.endpoint.calls, c)
	e.sendRate(scope) // removes sends older than a second from recentSends
	scope.recentSends = append(scope.recentSends, e.now)
	if scope.pacingRate > 0 && scope.hasGrant(e.now) {
		scope.grantedCalls--
	} else if scope.pacingRate > 0 {
		scope.tokens--
	}
	if c.endpoint.warmingUp {
		scope.recoveryTokens--
	}
}

// recordCallEnd updates the in-flight counts once all messages of a call have their outcomes.
func (e *Engine) recordCallEnd(c *call) {
	e.callsInFlight--
	c.endpoint.scope.inFlight--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(other *call) bool { return other == c })
}

// takeCall removes an attempt from its message and returns the call that carries it, or nil if the message has no
// such attempt in flight.
func (e *Engine) takeCall(msg *message, attemptNumber int) *call {
	if msg == nil {
		return nil
	}
	for i, a := range msg.inFlight {
		if a.number == attemptNumber {
			msg.inFlight = slices.Delete(msg.inFlight, i, i+1)
			return a.call
		}
	}
	return nil
}

// maxBatch returns the largest number of messages that one call to a kind of destination may carry.
func (e *Engine) maxBatch(kind int) int { return e.settings.DestinationKind(kind).BatchSize() }
