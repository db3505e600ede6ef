package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Effect says what repeating a message of a class may do.
type Effect int

// The three kinds of effect.
const (
	Idempotent      Effect = iota // may be repeated and refused at will
	IdempotentByKey               // repeats are dropped inside a group of routes and a window
	NonIdempotent                 // must never take effect twice
)

// Class is one class of message.
type Class struct {
	Effect           Effect        `json:"Effect"`
	DedupAllZones    bool          `json:"GroupAll"` // Keyed: every route of the destination drops repeats; else those of one zone
	DedupWindow      time.Duration `json:"Window"`   // Keyed: how long repeats are dropped, from the first send that may have run
	Ordered          bool          `json:"Ordered"`  // messages of one key take turns
	LatencyObjective time.Duration `json:"Aim"`      // delivered within this, a message earns its full worth
	Deadline         time.Duration `json:"GiveUp"`   // how long a message may be delivered
	Weight           float64       `json:"Value"`    // worth of a message; default 1
}

// DestinationKind is one kind of destination.
type DestinationKind struct {
	LimitPerEndpoint bool `json:"Separate"` // its routes are separate: each has its own limit, pace and outages
	MaxBatch         int  `json:"PerCall"`  // messages in one call at most; default 1
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 `json:"Quota"` // messages a second within its share, over all senders; 0: no share is set
}

// Settings are what a Sender is told when it starts. Zero values of optional fields mean their default.
type Settings struct {
	Classes               []Class           `json:"Classes"`
	DestinationKinds      []DestinationKind `json:"Kinds"`
	Tenants               []Tenant          `json:"Customers"`
	FleetSize             int               `json:"Senders"`        // senders of the fleet; default 1
	MaxInFlightCalls      int               `json:"Slots"`          // calls out at once; 0: no limit
	MaxPendingMessages    int               `json:"MaxHeld"`        // messages held at once; 0: no limit
	MaxAttempts           int               `json:"MaxAttempts"`    // attempts for a message; 0: no limit
	MaxRetryAfter         time.Duration     `json:"MaxRetryAfter"`  // longest advice that a client heeds; 0: none is given
	ApproximateWeights    bool              `json:"RoughWeights"`   // listed weights may be up to half too high or too low
	IgnoreWeights         bool              `json:"NoWeights"`      // listed weights tell nothing
	WatchRequired         bool              `json:"AskList"`        // list changes come only after Watch
	ZoneCosts             []float64         `json:"Carriage"`       // fee for each zone of a separate route
	WarmUpInitialCapacity float64           `json:"ColdShare"`      // share of its capacity that a destination has after an outage; default 0.1
	WarmUpDuration        time.Duration     `json:"WarmWithin"`     // and all of it after this; default 30 s
	OverloadFactor        float64           `json:"OverloadFactor"` // sent more than this multiple of its capacity; default 1
	OverloadWindow        time.Duration     `json:"OverloadWindow"` // for this long, it falls over
	OrderingPause         time.Duration     `json:"OrderPause"`     // rest of a key after an attempt that may still run
}

// maxFleetSize bounds the told number of senders. Guards against one that was mistyped: no sender's part would let a
// call through within a message's time.
const maxFleetSize = 1_000_000

// validate tells what makes no sense in settings.
func (set *Settings) validate() error {
	if len(set.Classes) == 0 {
		return errors.New("policy: settings name no class")
	}
	if min(set.FleetSize, set.MaxInFlightCalls, set.MaxPendingMessages, set.MaxAttempts) < 0 {
		return errors.New("policy: settings hold a negative count")
	}
	if set.FleetSize > maxFleetSize {
		return fmt.Errorf("policy: settings name %d senders, %d at most", set.FleetSize, maxFleetSize)
	}
	least := min(set.MaxRetryAfter, set.WarmUpDuration, set.OverloadWindow, set.OrderingPause)
	sum := set.WarmUpInitialCapacity + set.OverloadFactor
	for _, class := range set.Classes {
		least = min(least, class.DedupWindow, class.LatencyObjective, class.Deadline)
		sum += class.Weight
	}
	for _, tenant := range set.Tenants {
		sum += tenant.Quota
	}
	if least < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}
