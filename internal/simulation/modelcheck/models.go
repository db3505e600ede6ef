package modelcheck

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The classes of modelSettings.
const (
	classNonIdempotent = iota
	classIdempotentByKey
	classOrdered
	classIdempotent
	classLongDeadline
)

// The destination kinds of modelSettings.
const (
	kindSharedLimits = iota
	kindLimitsPerEndpoint
)

// modelSettings returns the settings of all models. Deadlines, windows and pauses are short, so that they end within
// a few moves.
func modelSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			classNonIdempotent: {
				Effect:           policy.NonIdempotent,
				LatencyObjective: time.Second,
				Deadline:         4 * time.Second,
				Weight:           1,
			},
			classIdempotentByKey: {
				Effect:           policy.IdempotentByKey,
				DedupWindow:      2 * time.Second,
				LatencyObjective: time.Second,
				Deadline:         4 * time.Second,
				Weight:           1,
			},
			classOrdered: {
				Effect:           policy.Idempotent,
				Ordered:          true,
				LatencyObjective: time.Second,
				Deadline:         6 * time.Second,
				Weight:           1,
			},
			classIdempotent: {
				Effect:           policy.Idempotent,
				LatencyObjective: time.Second,
				Deadline:         5 * time.Second,
				Weight:           1,
			},
			classLongDeadline: {
				Effect:           policy.Idempotent,
				LatencyObjective: 3 * time.Second,
				Deadline:         20 * time.Second,
				Weight:           1,
			},
		},
		DestinationKinds: []policy.DestinationKind{
			kindSharedLimits:      {MaxBatch: 1},
			kindLimitsPerEndpoint: {MaxBatch: 1, LimitPerEndpoint: true},
		},
		MaxInFlightCalls:      8,
		MaxPendingMessages:    100,
		MaxAttempts:           4,
		MaxRetryAfter:         2 * time.Second,
		WarmUpInitialCapacity: 0.18,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
		OrderingPause:         time.Second,
	}
}

// newEndpoints returns endpoints of one destination, one for each given zone, with the IDs a, b and so on. The
// weight is each endpoint's capacity in calls a second.
func newEndpoints(weight float64, zones ...int) (endpoints []policy.Endpoint) {
	for i, zone := range zones {
		endpoints = append(endpoints, policy.Endpoint{
			ID:          string(rune('a' + i)),
			Destination: 1,
			Zone:        zone,
			Weight:      weight,
			InService:   true,
		})
	}
	return endpoints
}

// withOwnLimits gives each endpoint its own rate-limit scope, and returns the endpoints.
func withOwnLimits(endpoints []policy.Endpoint) []policy.Endpoint {
	for i := range endpoints {
		endpoints[i].Kind = kindLimitsPerEndpoint
	}
	return endpoints
}

// newMessages returns one message without an ordering key for each given class.
func newMessages(classes ...int) (messages []Message) {
	for _, class := range classes {
		messages = append(messages, Message{Class: class})
	}
	return messages
}

// newOutcomes returns outcomes without a Retry-After.
func newOutcomes(outcomes ...policy.Outcome) (list []CallOutcome) {
	for _, outcome := range outcomes {
		list = append(list, CallOutcome{Outcome: outcome})
	}
	return list
}

// defaultTimeStep is the MaxTimeStep of most models.
const defaultTimeStep = 500 * time.Millisecond

// overloadedWithRetryAfter is the outcome of a call that is rejected with a Retry-After.
var overloadedWithRetryAfter = CallOutcome{Outcome: policy.Overloaded, RetryAfter: time.Second}

// Models returns all predefined models. Their depths are such that the search of all of them takes less than a
// minute on two cores.
func Models() []Model {
	return []Model{
		repeatsModel(),
		windowModel(),
		orderModel(),
		waitsModel(),
		drainsModel(),
		returnModel(),
		returnTwoRelaysModel(),
		returnManyMessagesModel(),
		restartsModel(),
		separateModel(),
	}
}

// FindModel returns a model by its name; nil if there is none.
func FindModel(name string) *Model {
	models := Models()
	i := slices.IndexFunc(models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return &models[i]
}

func repeatsModel() Model {
	return Model{
		Name: "repeats",
		Description: "one relay, two zones: a message with an idempotency key and a non-idempotent one, " +
			"calls that are reset, cannot connect or return an error, a crash",
		Rules:       []checker.Rule{checker.NoDuplicateEffect, checker.NoMessageLost},
		Relays:      1,
		Settings:    modelSettings(),
		Endpoints:   newEndpoints(20, 0, 1),
		Messages:    newMessages(classIdempotentByKey, classNonIdempotent),
		Outcomes:    newOutcomes(policy.OK, policy.Reset, policy.ConnectFailed, policy.Error),
		MaxFaults:   2,
		MaxRestarts: 1,
		MaxTimeStep: defaultTimeStep,
		MaxDepth:    11,
	}
}

func windowModel() Model {
	return Model{
		Name: "window",
		Description: "one relay, one zone: a message with an idempotency key whose calls are reset or " +
			"rejected, or cannot connect, until its deduplication window is over",
		Rules:       []checker.Rule{checker.NoDuplicateEffect},
		Relays:      1,
		Settings:    modelSettings(),
		Endpoints:   newEndpoints(20, 0, 0),
		Messages:    newMessages(classIdempotentByKey),
		Outcomes:    newOutcomes(policy.Reset, policy.Overloaded, policy.ConnectFailed),
		MaxFaults:   5,
		MaxTimeStep: 200 * time.Millisecond,
		MaxDepth:    18,
	}
}

func orderModel() Model {
	return Model{
		Name:              "order",
		Description:       "one relay: three messages of one ordering key, calls that are reset or err, a drain",
		Rules:             []checker.Rule{checker.OrderKept},
		Relays:            1,
		Settings:          modelSettings(),
		Endpoints:         newEndpoints(20, 0, 0),
		Messages:          slices.Repeat([]Message{{Class: classOrdered, Key: "k"}}, 3),
		Outcomes:          newOutcomes(policy.OK, policy.Reset, policy.Error),
		MaxFaults:         3,
		DrainingEndpoints: []string{"a"},
		MaxTimeStep:       defaultTimeStep,
		MaxDepth:          10,
	}
}

func waitsModel() Model {
	return Model{
		Name: "waits",
		Description: "two relays, a destination whose two endpoints share their rate limits: calls that are " +
			"rejected with a Retry-After",
		Rules:       []checker.Rule{checker.RetryAfterRespected},
		Relays:      2,
		Settings:    modelSettings(),
		Endpoints:   newEndpoints(20, 0, 0),
		Messages:    newMessages(classIdempotent, classIdempotent, classIdempotentByKey),
		Outcomes:    []CallOutcome{{Outcome: policy.OK}, overloadedWithRetryAfter, {Outcome: policy.Overloaded}},
		MaxFaults:   2,
		MaxTimeStep: defaultTimeStep,
		MaxDepth:    10,
	}
}

func drainsModel() Model {
	return Model{
		Name:              "drains",
		Description:       "two relays that observe the drain and removal of two of three endpoints at different times",
		Rules:             []checker.Rule{checker.DrainRespected},
		Relays:            2,
		Settings:          modelSettings(),
		Endpoints:         newEndpoints(20, 0, 0, 1),
		Messages:          newMessages(classIdempotent, classIdempotentByKey, classIdempotent),
		Outcomes:          newOutcomes(policy.OK, policy.Overloaded),
		MaxFaults:         1,
		DrainingEndpoints: []string{"a", "b"},
		MaxTimeStep:       600 * time.Millisecond,
		MaxDepth:          7,
	}
}

func returnModel() Model {
	return Model{
		Name:             "return",
		Description:      "one relay, a destination that fails and recovers cold",
		Rules:            []checker.Rule{checker.RecoveryNotOverloaded},
		Relays:           1,
		Settings:         modelSettings(),
		Endpoints:        newEndpoints(1, 0),
		Messages:         slices.Repeat(newMessages(classIdempotent), 6),
		Outcomes:         newOutcomes(policy.OK),
		HasOutage:        true,
		FailuresToDetect: 2,
		MaxTimeStep:      defaultTimeStep,
		MaxDepth:         10,
	}
}

func returnTwoRelaysModel() Model {
	return Model{
		Name:             "return-2",
		Description:      "two relays, a destination that is in an outage at the start and recovers cold",
		Rules:            []checker.Rule{checker.RecoveryNotOverloaded},
		Relays:           2,
		Settings:         modelSettings(),
		Endpoints:        newEndpoints(1, 0),
		Messages:         slices.Repeat(newMessages(classIdempotent), 5),
		Outcomes:         newOutcomes(policy.OK),
		HasOutage:        true,
		StartsInOutage:   true,
		FailuresToDetect: 2,
		MaxTimeStep:      time.Second,
		MaxDepth:         9,
	}
}

func returnManyMessagesModel() Model {
	return Model{
		Name: "return-many",
		Description: "two relays, a hundred messages, a destination that fails and recovers cold; " +
			"mostly random walks",
		Rules:            []checker.Rule{checker.RecoveryNotOverloaded},
		Relays:           2,
		Settings:         modelSettings(),
		Endpoints:        newEndpoints(4, 0),
		Messages:         slices.Repeat(newMessages(classLongDeadline), 100),
		Outcomes:         newOutcomes(policy.OK),
		HasOutage:        true,
		MinOutage:        3 * time.Second,
		FailuresToDetect: 2,
		MaxTimeStep:      200 * time.Millisecond,
		MaxDepth:         4,
		RandomWalks:      1000,
		RandomWalkLength: 200,
	}
}

func restartsModel() Model {
	return Model{
		Name:        "restarts",
		Description: "two relays that are killed at any time, with a message that may be given up",
		Rules:       []checker.Rule{checker.NoMessageLost, checker.NoDuplicateEffect},
		Relays:      2,
		Settings:    modelSettings(),
		Endpoints:   newEndpoints(20, 0, 1),
		Messages:    newMessages(classNonIdempotent, classIdempotentByKey, classIdempotent),
		Outcomes:    newOutcomes(policy.OK, policy.Reset, policy.Overloaded),
		MaxFaults:   2,
		MaxRestarts: 2,
		MaxTimeStep: time.Second,
		MaxDepth:    8,
	}
}

func separateModel() Model {
	return Model{
		Name:        "separate",
		Description: "two relays, endpoints with their own rate limits: a Retry-After, a drain and a crash together",
		Rules: []checker.Rule{
			checker.DrainRespected,
			checker.RetryAfterRespected,
			checker.NoDuplicateEffect,
		},
		Relays:            2,
		Settings:          modelSettings(),
		Endpoints:         withOwnLimits(newEndpoints(20, 0, 1)),
		Messages:          newMessages(classIdempotentByKey, classNonIdempotent, classIdempotent),
		Outcomes:          append(newOutcomes(policy.OK, policy.Reset), overloadedWithRetryAfter),
		MaxFaults:         2,
		MaxRestarts:       1,
		DrainingEndpoints: []string{"a"},
		MaxTimeStep:       defaultTimeStep,
		MaxDepth:          7,
	}
}
