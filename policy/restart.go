package policy

import "time"

// recoverMessage gives a message what an earlier process knew of it, so that the guards hold across a restart. No
// backlog is poured onto hosts as one: paces start at this sender's part, those of many spread as first calls.
func (e *Engine) recoverMessage(msg *message, recovered *RecoveredMessage) {
	if recovered == nil {
		return
	}
	msg.attempts, msg.recovered = recovered.Attempts, true
	if recovered.MayHaveRun {
		e.recordFirstRun(msg, e.now-recovered.SinceFirstRun, recovered.FirstRunZone)
	}
	if e.attemptsExhausted(msg) {
		e.deadlines.push(deadlineEntry{e.now, msg}) // ends in this step
	}
	if msg.keyQueue != nil && recovered.MayHaveRun {
		msg.keyQueue.pausedUntil = max(msg.keyQueue.pausedUntil, e.now+e.settings.OrderingPause) // a call out when the process ended may still run
	}
	for _, scope := range msg.destination.scopes {
		if scope.pacingRate == 0 && e.isLargeFleet(scope) {
			e.initializePacing(scope)
		} else if scope.pacingRate == 0 {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = e.fairShare(scope), 1, e.now
			if e.settings.FleetSize > smallFleetSize {
				scope.tokens = e.rng.Float64()
			}
		}
		if n := (msg.destination.messageCount-1)/e.maxBatch(scope.kind) + 1; e.knownLimit(scope) == 0 { // no part is known: all in half of its time
			scope.pacingRate = max(scope.pacingRate, 2*float64(n)/max(time.Second, msg.deadline-e.now).Seconds())
		}
	}
}
