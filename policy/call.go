package policy

import (
	"slices"
	"time"
)

// call is one call out; messages of one destination may share it.
type call struct {
	endpoint  *endpoint
	pending   int           // messages whose outcome is missing
	delivered bool          // one was delivered
	sentAt    time.Duration // when
	overdueAt time.Duration // overdue after this
	timeoutAt time.Duration // the first of its messages times out then
}

// attempt is one message's part in a call.
type attempt struct {
	number int
	call   *call
}

// recordCallStart books a call that goes out, and what it takes of its gate's slots, pace and recovery budget.
func (e *Engine) recordCallStart(c *call) {
	scope := c.endpoint.scope
	e.callsInFlight++
	scope.inFlight++
	c.endpoint.calls = append(c.endpoint.calls, c)
	e.sendRate(scope)
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

// recordCallEnd books a call whose last outcome is in.
func (e *Engine) recordCallEnd(c *call) {
	e.callsInFlight--
	c.endpoint.scope.inFlight--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(call1 *call) bool { return call1 == c })
}

// takeCall takes the attempt of an outcome off its message; nil if it is not known.
func (e *Engine) takeCall(msg *message, n int) *call {
	if msg == nil {
		return nil
	}
	for i, a := range msg.inFlight {
		if a.number == n {
			msg.inFlight = slices.Delete(msg.inFlight, i, i+1)
			return a.call
		}
	}
	return nil
}

// maxBatch is how many messages a call to a kind of destination may carry.
func (e *Engine) maxBatch(kind int) int {
	if kind >= 0 && kind < len(e.settings.DestinationKinds) {
		return max(1, e.settings.DestinationKinds[kind].MaxBatch)
	}
	return 1
}
