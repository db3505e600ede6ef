package policy

import (
	"slices"
	"time"
)

// call is one call in flight. Messages of one destination may share it.
type call struct {
	endpoint  *endpoint
	pending   int  // messages whose outcome is missing
	delivered bool // at least one message was delivered
	sentAt    time.Duration
	overdueAt time.Duration // an answer is overdue after this
	timeoutAt time.Duration // the first of its messages times out then
}

// attempt is the part of one message in a call.
type attempt struct {
	number int
	call   *call
}

// recordCallStart accounts for a call that is sent: the in-flight counts, and what it takes of its scope's pacing and
// recovery tokens.
func (e *Engine) recordCallStart(c *call) {
	scope := c.endpoint.scope
	e.callsInFlight++
	scope.inFlight++
	c.endpoint.calls = append(c.endpoint.calls, c)
	e.sendRate(scope) // drops sends older than a second
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

// recordCallEnd accounts for a call whose last outcome is in.
func (e *Engine) recordCallEnd(c *call) {
	e.callsInFlight--
	c.endpoint.scope.inFlight--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(other *call) bool { return other == c })
}

// takeCall removes an attempt from its message and returns its call; nil if the attempt is not known.
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

// maxBatch returns the number of messages that a call to a kind of destination may carry.
func (e *Engine) maxBatch(kind int) int { return e.settings.DestinationKind(kind).BatchSize() }
