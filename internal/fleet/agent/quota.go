package agent

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// startQuota creates the quota ledger. Its time begins with the first step, whatever the clock reads then.
func (a *Agent) startQuota(now time.Duration) {
	a.quota = quota.New(now, quota.Settings{
		Self:        a.Settings.Self,
		Incarnation: a.Incarnation,
		Members:     a.Settings.Members,
		FleetSize:   a.Settings.FleetSize,
	})
}

// stepQuota returns the quota messages to send, and the changes of quota as events for the engine.
func (a *Agent) stepQuota(now time.Duration) ([]quota.Message, []policy.Event) {
	messages, changes := a.quota.Step(now)
	var events []policy.Event
	for _, change := range changes {
		events = append(events, policy.Event{
			Kind:             policy.QuotaGranted,
			Destination:      change.Scope.Destination,
			Endpoint:         change.Scope.Endpoint,
			ReservedFraction: change.ReservedFraction,
			GrantedCalls:     change.Calls,
			TimeLeft:         change.TTL,
		})
	}
	return messages, events
}

// recordOutcome counts an outcome for the estimate of the limit. Rejections by an endpoint that may be warming up say
// nothing about the limit: the engine's recovery ramp deals with them.
func (a *Agent) recordOutcome(endpoint string, rejected bool) {
	if a.quota == nil {
		return
	}
	scope := a.scopeOf(endpoint)
	if rejected && a.counter(scope).WarmingUp {
		return
	}
	a.quota.RecordOutcome(scope, rejected)
}
