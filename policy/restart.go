package policy

import "time"

// recoverMessage restores what an earlier process recorded about a message, so that the rules hold across a
// restart. A backlog is not sent all at once: pacing rates start at this relay's fair share. In a large fleet, the
// first calls are also spread over MaxInitialSpread.
func (e *Engine) recoverMessage(msg *message, recovered *RecoveredMessage) {
	if recovered == nil {
		return
	}
	msg.attempts = recovered.Attempts
	msg.recovered = true
	if recovered.MayHaveRun {
		e.recordFirstRun(msg, e.now-recovered.SinceFirstRun, recovered.FirstRunZone)
	}
	if e.attemptsExhausted(msg) {
		e.addDeadline(e.now, msg) // gets its final answer in this step
	}
	if msg.keyQueue != nil && recovered.MayHaveRun {
		// A call that was in flight when the process ended may still run.
		msg.keyQueue.pause(e.now + e.settings.OrderingPause)
	}
	for _, scope := range msg.destination.scopes {
		e.paceBacklog(scope, msg)
	}
}

// paceBacklog sets the pacing rate of a scope that is not paced yet, for a recovered backlog. If no limit is known,
// the rate is high enough to send all messages of the destination in half of this message's time left.
func (e *Engine) paceBacklog(scope *limitScope, msg *message) {
	if scope.pacingRate == 0 && e.isLargeFleet(scope) {
		e.initializePacing(scope)
	} else if scope.pacingRate == 0 {
		scope.pacingRate = e.fairShare(scope)
		scope.tokens = 1
		scope.tokensUpdatedAt = e.now
		if e.settings.FleetSize > smallFleetSize {
			scope.tokens = e.rng.Float64()
		}
	}
	if e.knownLimit(scope) == 0 {
		calls := (msg.destination.messageCount-1)/e.maxBatch(scope.kind) + 1
		timeLeft := max(time.Second, msg.deadline-e.now)
		scope.pacingRate = max(scope.pacingRate, 2*float64(calls)/timeLeft.Seconds())
	}
}
