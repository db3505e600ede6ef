package modelcheck

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// settings are those of all worlds: short times, so that a short path sees the end of each.
func modelSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.NonIdempotent, LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
			{
				Effect:           policy.IdempotentByKey,
				DedupWindow:      2 * time.Second,
				LatencyObjective: time.Second,
				Deadline:         4 * time.Second,
				Weight:           1,
			},
			{
				Effect:           policy.Idempotent,
				Ordered:          true,
				LatencyObjective: time.Second,
				Deadline:         6 * time.Second,
				Weight:           1,
			},
			{Effect: policy.Idempotent, LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1},
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 20 * time.Second, Weight: 1},
		},
		DestinationKinds: []policy.DestinationKind{
			{MaxBatch: 1},
			{MaxBatch: 1, LimitPerEndpoint: true},
		}, MaxInFlightCalls: 8, MaxPendingMessages: 100, MaxAttempts: 4, MaxRetryAfter: 2 * time.Second,
		WarmUpInitialCapacity: 0.18, WarmUpDuration: 14 * time.Second, OverloadFactor: 2, OverloadWindow: 3 * time.Second, OrderingPause: time.Second,
	}
}

// The classes of settings.
const (
	classNonIdempotent = iota
	classIdempotentByKey
	classOrdered
	classIdempotent
	classLongDeadline
)

func endpoints(weight float64, zones ...int) (all []policy.Endpoint) {
	for i, z := range zones {
		all = append(
			all,
			policy.Endpoint{ID: string(rune('a' + i)), Destination: 1, Zone: z, Weight: weight, InService: true},
		)
	}
	return all
}

func callOutcomes(all ...policy.Outcome) (list []CallOutcome) {
	for _, o := range all {
		list = append(list, CallOutcome{Outcome: o})
	}
	return list
}

// Models are those that come with the program. Their depths are such that all of them end within a minute on two cores.
func Models() []Model {
	const quantum = 500 * time.Millisecond
	told := CallOutcome{Outcome: policy.Overloaded, RetryAfter: time.Second}
	return []Model{
		{
			Name: "repeats", Rules: []checker.Rule{checker.NoDuplicateEffect, checker.NoMessageLost}, Description: "one relay, two zones: an unsafe message, a keyed one, calls that end in any way, a kill",
			Relays: 1, Settings: modelSettings(), Endpoints: endpoints(20, 0, 1), Messages: []Message{{Class: classIdempotentByKey}, {Class: classNonIdempotent}},
			Outcomes: callOutcomes(
				policy.OK,
				policy.Reset,
				policy.ConnectFailed,
				policy.Error,
			), MaxFaults: 2, MaxRestarts: 1, MaxTimeStep: quantum, MaxDepth: 11,
		},
		{
			Name: "window", Rules: []checker.Rule{checker.NoDuplicateEffect}, Description: "one relay, one zone: a keyed message whose calls break or are refused until its window is over",
			Relays: 1, Settings: modelSettings(), Endpoints: endpoints(20, 0, 0), Messages: []Message{{Class: classIdempotentByKey}},
			Outcomes: callOutcomes(
				policy.Reset,
				policy.Overloaded,
				policy.ConnectFailed,
			), MaxFaults: 5, MaxTimeStep: 200 * time.Millisecond, MaxDepth: 18,
		},
		{
			Name: "order", Rules: []checker.Rule{checker.OrderKept}, Description: "one relay: three messages of a key, calls that break or err, a drain",
			Relays: 1, Settings: modelSettings(), Endpoints: endpoints(20, 0, 0), Messages: []Message{{classOrdered, "k"}, {classOrdered, "k"}, {classOrdered, "k"}},
			Outcomes: callOutcomes(
				policy.OK,
				policy.Reset,
				policy.Error,
			), MaxFaults: 3, MaxTimeStep: quantum, DrainingEndpoints: []string{"a"}, MaxDepth: 10,
		},
		{
			Name: "waits", Rules: []checker.Rule{checker.RetryAfterRespected}, Description: "two relays, a destination with one wait for both its routes and one with a wait for each: calls that are told to wait",
			Relays: 2, Settings: modelSettings(), Endpoints: endpoints(20, 0, 0), Messages: []Message{{Class: classIdempotent}, {Class: classIdempotent}, {Class: classIdempotentByKey}},
			Outcomes: []CallOutcome{
				{Outcome: policy.OK},
				told,
				{Outcome: policy.Overloaded},
			}, MaxFaults: 2, MaxTimeStep: quantum, MaxDepth: 10,
		},
		{
			Name: "drains", Rules: []checker.Rule{checker.DrainRespected}, Description: "two relays that learn at different times that both routes of three drain and go",
			Relays: 2, Settings: modelSettings(), Endpoints: endpoints(20, 0, 0, 1), Messages: []Message{{Class: classIdempotent}, {Class: classIdempotentByKey}, {Class: classIdempotent}},
			Outcomes: callOutcomes(
				policy.OK,
				policy.Overloaded,
			), MaxFaults: 1, MaxTimeStep: 600 * time.Millisecond, DrainingEndpoints: []string{"a", "b"}, MaxDepth: 7,
		},
		{
			Name: "return", Rules: []checker.Rule{checker.RecoveryNotOverloaded}, Description: "one relay, a destination that fails and comes back cold",
			Relays: 1, Settings: modelSettings(), Endpoints: endpoints(1, 0), Messages: slices.Repeat([]Message{{Class: classIdempotent}}, 6),
			Outcomes: callOutcomes(policy.OK), MaxTimeStep: quantum, HasOutage: true, FailuresToDetect: 2, MaxDepth: 10,
		},
		{
			Name: "return-2", Rules: []checker.Rule{checker.RecoveryNotOverloaded}, Description: "two relays, a destination that is out at the start and comes back cold",
			Relays: 2, Settings: modelSettings(), Endpoints: endpoints(1, 0), Messages: slices.Repeat([]Message{{Class: classIdempotent}}, 5),
			Outcomes: callOutcomes(policy.OK), MaxTimeStep: time.Second, HasOutage: true, StartsInOutage: true, FailuresToDetect: 2, MaxDepth: 9,
		},
		{
			Name: "return-many", Rules: []checker.Rule{checker.RecoveryNotOverloaded}, Description: "two relays with messages enough, a destination that fails and comes back cold; random paths",
			Relays: 2, Settings: modelSettings(), Endpoints: endpoints(4, 0), Messages: slices.Repeat([]Message{{Class: classLongDeadline}}, 100),
			Outcomes: callOutcomes(
				policy.OK,
			), MaxTimeStep: 200 * time.Millisecond, HasOutage: true, MinOutage: 3 * time.Second, FailuresToDetect: 2, MaxDepth: 4, RandomWalks: 1000, RandomWalkLength: 200,
		},
		{
			Name: "restarts", Rules: []checker.Rule{checker.NoMessageLost, checker.NoDuplicateEffect}, Description: "two relays that are killed at any moment, with a message given up on",
			Relays: 2, Settings: modelSettings(), Endpoints: endpoints(20, 0, 1), Messages: []Message{{Class: classNonIdempotent}, {Class: classIdempotentByKey}, {Class: classIdempotent}},
			Outcomes: callOutcomes(
				policy.OK,
				policy.Reset,
				policy.Overloaded,
			), MaxFaults: 2, MaxRestarts: 2, MaxTimeStep: time.Second, MaxDepth: 8,
		},
		{
			Name: "separate", Rules: []checker.Rule{checker.DrainRespected, checker.RetryAfterRespected, checker.NoDuplicateEffect}, Description: "two relays, routes that stand apart, a told wait, a drain and a kill together",
			Relays: 2, Settings: modelSettings(), Endpoints: withOwnLimits(endpoints(20, 0, 1)), Messages: []Message{{Class: classIdempotentByKey}, {Class: classNonIdempotent}, {Class: classIdempotent}},
			Outcomes: append(
				callOutcomes(policy.OK, policy.Reset),
				told,
			), MaxFaults: 2, MaxRestarts: 1, DrainingEndpoints: []string{"a"}, MaxTimeStep: quantum, MaxDepth: 7,
		},
	}
}

func withOwnLimits(all []policy.Endpoint) []policy.Endpoint {
	for i := range all {
		all[i].Kind = 1
	}
	return all
}

// ModelNamed returns a world by its name; nil if there is none.
func FindModel(name string) *Model {
	all := Models()
	if i := slices.IndexFunc(all, func(w Model) bool { return w.Name == name }); i >= 0 {
		return &all[i]
	}
	return nil
}
