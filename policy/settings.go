package policy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect is what a repeated delivery of a message does.
type Effect int

// The effects of a repeated delivery.
const (
	// Idempotent messages may be repeated and rejected at any time.
	Idempotent Effect = iota
	// IdempotentByKey messages carry an idempotency key: a group of endpoints drops repeats within a time window.
	IdempotentByKey
	// NonIdempotent messages must never take effect twice.
	NonIdempotent
)

// Class is a class of messages. Recordings contain its fields under the JSON tags, so the tags must not change.
type Class struct {
	Effect Effect `json:"Effect"`
	// DedupAllZones, with IdempotentByKey: all endpoints of the destination drop repeats. If false, only those in
	// the zone of the first attempt that may have run drop them.
	DedupAllZones bool `json:"GroupAll"`
	// DedupWindow, with IdempotentByKey: the time, from the first attempt that may have run, in which repeats are
	// dropped.
	DedupWindow time.Duration `json:"Window"`
	// Ordered messages with the same ordering key are delivered one after another.
	Ordered bool `json:"Ordered"`
	// LatencyObjective is the time within which a delivery has its full value.
	LatencyObjective time.Duration `json:"Aim"`
	// Deadline is the time after which a message may no longer be delivered.
	Deadline time.Duration `json:"GiveUp"`
	// Weight is the priority weight of a message; a weight below minClassWeight counts as minClassWeight.
	Weight float64 `json:"Value"`
}

// DestinationKind is one kind of destination.
type DestinationKind struct {
	// LimitPerEndpoint gives each endpoint its own limit scope. If false, all endpoints of a destination share one.
	LimitPerEndpoint bool `json:"Separate"`
	// MaxBatch is the number of messages that one call may carry; default 1.
	MaxBatch int `json:"PerCall"`
}

// BatchSize returns the number of messages that one call may carry, 1 at least.
func (kind DestinationKind) BatchSize() int { return max(1, kind.MaxBatch) }

// Tenant is one customer of the service.
type Tenant struct {
	// Quota is the number of messages a second that the tenant may send over all relays; 0: no quota is set.
	Quota float64 `json:"Quota"`
}

// Settings configure an Engine. The zero value of an optional field means its default. Recordings contain the
// fields under the JSON tags, so the tags must not change.
type Settings struct {
	Classes          []Class           `json:"Classes"`
	DestinationKinds []DestinationKind `json:"Kinds"`
	Tenants          []Tenant          `json:"Customers"`
	// FleetSize is the number of relays in the fleet; default 1.
	FleetSize int `json:"Senders"`
	// MaxInFlightCalls is the maximum number of concurrent calls; 0: no limit.
	MaxInFlightCalls int `json:"Slots"`
	// MaxPendingMessages is the maximum number of pending messages; 0: no limit.
	MaxPendingMessages int `json:"MaxHeld"`
	// MaxAttempts is the maximum number of attempts for one message; 0: no limit.
	MaxAttempts int `json:"MaxAttempts"`
	// MaxRetryAfter is the longest Retry-After that clients obey, and the longest that a rejection gives; 0: none
	// is given.
	MaxRetryAfter time.Duration `json:"MaxRetryAfter"`
	// ApproximateWeights means that the listed weights may be too high or too low by up to half.
	ApproximateWeights bool `json:"RoughWeights"`
	// IgnoreWeights means that the listed weights carry no information.
	IgnoreWeights bool `json:"NoWeights"`
	// WatchRequired means that changes of the endpoint list are received only after a WatchEndpoints action.
	WatchRequired bool `json:"AskList"`
	// ZoneCosts is the cost of a call, indexed by the endpoint's zone, for kinds with LimitPerEndpoint.
	ZoneCosts []float64 `json:"Carriage"`
	// WarmUpInitialCapacity is the fraction of its capacity that a destination has right after an outage; default 0.1.
	WarmUpInitialCapacity float64 `json:"ColdShare"`
	// WarmUpDuration is the time after an outage until a destination has its full capacity again; default 30 s.
	WarmUpDuration time.Duration `json:"WarmWithin"`
	// OverloadFactor is the multiple of its capacity that overloads a destination, sustained for OverloadWindow;
	// default 1.
	OverloadFactor float64 `json:"OverloadFactor"`
	// OverloadWindow is the time over which calls count towards an overload; default 3 s.
	OverloadWindow time.Duration `json:"OverloadWindow"`
	// OrderingPause is the pause of an ordering key after an attempt that may still run.
	OrderingPause time.Duration `json:"OrderPause"`
}

// Defaults of optional settings.
const (
	defaultWarmUpInitialCapacity = 0.1              // fraction of the capacity
	defaultWarmUpDuration        = 30 * time.Second // time to the full capacity
	defaultOverloadWindow        = 3 * time.Second  // span over which calls count towards an overload
	defaultOverloadFactor        = 1                // multiple of the capacity
)

// maxFleetSize bounds the configured number of relays, to detect a mistyped number. With more relays, each fair
// share would be so small that no relay would allow a call before a message's deadline.
const maxFleetSize = 1_000_000

// DestinationKind returns the kind with the given index, or the zero value if the settings have no such kind.
func (settings *Settings) DestinationKind(index int) DestinationKind {
	if index < 0 || index >= len(settings.DestinationKinds) {
		return DestinationKind{}
	}
	return settings.DestinationKinds[index]
}

// validate returns an error if the settings are incomplete or hold an invalid value.
func (settings *Settings) validate() error {
	if len(settings.Classes) == 0 {
		return errors.New("policy: settings hold no message class")
	}
	lowestCount := min(settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages, settings.MaxAttempts)
	if lowestCount < 0 {
		return fmt.Errorf("policy: settings hold a negative count %d in FleetSize, MaxInFlightCalls, "+
			"MaxPendingMessages or MaxAttempts", lowestCount)
	}
	if settings.FleetSize > maxFleetSize {
		return fmt.Errorf("policy: FleetSize is %d relays, at most %d are allowed", settings.FleetSize, maxFleetSize)
	}
	shortest := min(settings.MaxRetryAfter, settings.WarmUpDuration, settings.OverloadWindow, settings.OrderingPause)
	sum := settings.WarmUpInitialCapacity + settings.OverloadFactor // NaN or infinite if one of the values is
	for _, class := range settings.Classes {
		shortest = min(shortest, class.DedupWindow, class.LatencyObjective, class.Deadline)
		sum += class.Weight
	}
	for _, tenant := range settings.Tenants {
		sum += tenant.Quota
	}
	if shortest < 0 {
		return fmt.Errorf("policy: settings hold a negative time %v in MaxRetryAfter, WarmUpDuration, OverloadWindow, "+
			"OrderingPause or a class", shortest)
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a value that is not a finite number in WarmUpInitialCapacity, " +
			"OverloadFactor, a class weight or a tenant quota")
	}
	return nil
}

// setDefaults sets the optional settings that are not set to their defaults.
func (settings *Settings) setDefaults() {
	settings.FleetSize = max(1, settings.FleetSize)
	settings.WarmUpInitialCapacity = cmp.Or(max(0, settings.WarmUpInitialCapacity), defaultWarmUpInitialCapacity)
	settings.WarmUpDuration = cmp.Or(max(0, settings.WarmUpDuration), defaultWarmUpDuration)
	settings.OverloadWindow = cmp.Or(settings.OverloadWindow, defaultOverloadWindow)
	settings.OverloadFactor = cmp.Or(max(0, settings.OverloadFactor), defaultOverloadFactor)
}
