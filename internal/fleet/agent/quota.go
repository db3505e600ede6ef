package agent

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// startQuota creates the quota ledger. It is called by the first step, because the ledger starts at that step's time,
// which may be any value of the clock.
func (a *Agent) startQuota(now time.Duration) {
	a.quota = quota.New(now, quota.Settings{
		Self:        a.Settings.Self,
		Incarnation: a.Incarnation,
		Members:     a.Settings.Members,
		FleetSize:   a.Settings.FleetSize,
	})
}

// stepQuota steps the quota ledger. It returns the quota messages to send, and the changes of quota as events for the
// engine.
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

// recordOutcome counts an outcome for the ledger's estimate of the capacity. Rejections are not counted while an
// endpoint of the scope is warming up or ejected: they do not show the capacity, and the engine's slow start handles
// them.
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
