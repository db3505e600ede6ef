package policy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what a repeated delivery of a message of a class does.
type Effect int

// The effects of a repeated delivery.
const (
	// Idempotent messages may be repeated and rejected at will.
	Idempotent Effect = iota
	// IdempotentByKey messages carry an idempotency key: a group of endpoints drops repeats within a time window.
	IdempotentByKey
	// NonIdempotent messages must never take effect twice.
	NonIdempotent
)

// Class is one class of message. Recordings keep it under the tags, so they stay as they are.
type Class struct {
	Effect Effect `json:"Effect"`
	// DedupAllZones, with IdempotentByKey: all endpoints of the destination drop repeats, else those of one zone.
	DedupAllZones bool `json:"GroupAll"`
	// DedupWindow, with IdempotentByKey: repeats are dropped for so long from the first attempt that may have run.
	DedupWindow time.Duration `json:"Window"`
	// Ordered messages with the same ordering key are delivered one after another.
	Ordered bool `json:"Ordered"`
	// LatencyObjective is the time within which a delivery earns the full weight.
	LatencyObjective time.Duration `json:"Aim"`
	// Deadline is the time within which a message may be delivered at all.
	Deadline time.Duration `json:"GiveUp"`
	// Weight is the priority weight of a message; default 1.
	Weight float64 `json:"Value"`
}

// DestinationKind is one kind of destination.
type DestinationKind struct {
	// LimitPerEndpoint gives each endpoint its own limit scope; else a destination has one for all its endpoints.
	LimitPerEndpoint bool `json:"Separate"`
	// MaxBatch is the number of messages that one call may carry; default 1.
	MaxBatch int `json:"PerCall"`
}

// BatchSize returns the number of messages that one call may carry, 1 at least.
func (kind DestinationKind) BatchSize() int { return max(1, kind.MaxBatch) }

// Tenant is one customer of the service.
type Tenant struct {
	// Quota is the traffic in messages a second, over all relays, that the tenant may send; 0: no quota is set.
	Quota float64 `json:"Quota"`
}

// Settings configure an Engine. Zero values of optional fields mean their default. Recordings keep them under the tags.
type Settings struct {
	Classes          []Class           `json:"Classes"`
	DestinationKinds []DestinationKind `json:"Kinds"`
	Tenants          []Tenant          `json:"Customers"`
	// FleetSize is the number of relays in the fleet; default 1.
	FleetSize int `json:"Senders"`
	// MaxInFlightCalls is the number of concurrent calls; 0: no limit.
	MaxInFlightCalls int `json:"Slots"`
	// MaxPendingMessages is the number of messages that may be pending at once; 0: no limit.
	MaxPendingMessages int `json:"MaxHeld"`
	// MaxAttempts is the number of attempts for one message; 0: no limit.
	MaxAttempts int `json:"MaxAttempts"`
	// MaxRetryAfter is the longest Retry-After that a client heeds; 0: none is given.
	MaxRetryAfter time.Duration `json:"MaxRetryAfter"`
	// ApproximateWeights: the listed weights may be too high or too low by up to half.
	ApproximateWeights bool `json:"RoughWeights"`
	// IgnoreWeights: the listed weights mean nothing.
	IgnoreWeights bool `json:"NoWeights"`
	// WatchRequired: changes of the endpoint list only come after a WatchEndpoints action.
	WatchRequired bool `json:"AskList"`
	// ZoneCosts is the fee of a call by the endpoint's zone, for kinds with LimitPerEndpoint.
	ZoneCosts []float64 `json:"Carriage"`
	// WarmUpInitialCapacity is the fraction of its capacity that a destination has right after an outage; default 0.1.
	WarmUpInitialCapacity float64 `json:"ColdShare"`
	// WarmUpDuration is the time after an outage at which a destination has all of its capacity again; default 30 s.
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

// maxFleetSize bounds the configured number of relays. Guards against a mistyped one: with a fair share that small, no
// relay would let a call through within a message's time.
const maxFleetSize = 1_000_000

// DestinationKind returns a kind by its index; the zero kind for an index that the settings do not have.
func (settings *Settings) DestinationKind(index int) DestinationKind {
	if index < 0 || index >= len(settings.DestinationKinds) {
		return DestinationKind{}
	}
	return settings.DestinationKinds[index]
}

// validate returns an error for settings that make no sense.
func (settings *Settings) validate() error {
	if len(settings.Classes) == 0 {
		return errors.New("policy: settings name no class")
	}
	lowestCount := min(settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages, settings.MaxAttempts)
	if lowestCount < 0 {
		return errors.New("policy: settings hold a negative count")
	}
	if settings.FleetSize > maxFleetSize {
		return fmt.Errorf("policy: settings name %d relays, %d at most", settings.FleetSize, maxFleetSize)
	}
	shortest := min(settings.MaxRetryAfter, settings.WarmUpDuration, settings.OverloadWindow, settings.OrderingPause)
	sum := settings.WarmUpInitialCapacity + settings.OverloadFactor // not a number if one of the figures is none
	for _, class := range settings.Classes {
		shortest = min(shortest, class.DedupWindow, class.LatencyObjective, class.Deadline)
		sum += class.Weight
	}
	for _, tenant := range settings.Tenants {
		sum += tenant.Quota
	}
	if shortest < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}

// setDefaults fills optional settings that are not set.
func (settings *Settings) setDefaults() {
	settings.FleetSize = max(1, settings.FleetSize)
	settings.WarmUpInitialCapacity = cmp.Or(max(0, settings.WarmUpInitialCapacity), defaultWarmUpInitialCapacity)
	settings.WarmUpDuration = cmp.Or(max(0, settings.WarmUpDuration), defaultWarmUpDuration)
	settings.OverloadWindow = cmp.Or(settings.OverloadWindow, defaultOverloadWindow)
	settings.OverloadFactor = cmp.Or(max(0, settings.OverloadFactor), defaultOverloadFactor)
}
