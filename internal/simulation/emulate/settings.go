package emulate

import (
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// policySettings returns the settings that the platform of a scenario gives its relays.
func policySettings(f *scenario.File) policy.Settings {
	s := &f.Settings
	settings := policy.Settings{
		FleetSize:             f.Relays,
		MaxInFlightCalls:      s.MaxConcurrentCalls,
		MaxPendingMessages:    s.MaxMessages,
		MaxAttempts:           s.MaxAttempts,
		MaxRetryAfter:         s.MaxRetryAfter.AsDuration(),
		WarmUpInitialCapacity: 1,
		OverloadFactor:        s.OverloadFactor,
		OverloadWindow:        s.OverloadWindow.AsDuration(),
		OrderingPause:         s.OrderingPause.AsDuration(),
	}
	for _, c := range f.Classes {
		settings.Classes = append(settings.Classes, policy.Class{
			Effect:           policyEffects[c.Effect],
			DedupAllZones:    c.DedupScope == scenario.DedupAcrossZones,
			DedupWindow:      c.DedupWindow.AsDuration(),
			Ordered:          c.Ordered,
			LatencyObjective: c.LatencyObjective.AsDuration(),
			Deadline:         c.Deadline.AsDuration(),
			Weight:           c.Weight,
		})
	}
	for _, k := range f.DestinationKinds {
		settings.DestinationKinds = append(settings.DestinationKinds, policy.DestinationKind{
			LimitPerEndpoint: k.SeparateEndpoints,
			MaxBatch:         k.MaxMessagesPerCall,
		})
		settings.WarmUpInitialCapacity = min(settings.WarmUpInitialCapacity, k.WarmUpInitialCapacity)
		settings.WarmUpDuration = max(settings.WarmUpDuration, k.WarmUpDuration.AsDuration())
	}
	for _, c := range f.Customers {
		settings.Tenants = append(settings.Tenants, policy.Tenant{Quota: c.Quota})
	}
	return settings
}

// policyEffects maps the effects of classes in scenarios to those of package policy.
var policyEffects = map[eventlog.Effect]policy.Effect{
	eventlog.Idempotent:      policy.Idempotent,
	eventlog.IdempotentByKey: policy.IdempotentByKey,
	eventlog.NonIdempotent:   policy.NonIdempotent,
}
