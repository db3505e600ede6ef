// Package scenario reads scenario files, which describe the relays, destinations, traffic and faults of a run. From a
// scenario and a seed it draws the plan of the run: which messages are submitted to which relay at which time, and
// which faults occur. The same scenario and seed always give the same plan, byte for byte.
//
// A plan is run either by a rehearsal, with relay processes and sockets, or by the emulator, in virtual time.
package scenario

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// File is the content of a scenario file.
type File struct {
	Name        string   `toml:"name"`
	Description string   `toml:"about"`
	Length      Duration `toml:"length"` // time during which messages are submitted
	Seed        uint64   `toml:"seed"`   // default 1
	Relays      int      `toml:"relays"` // default 1
	Zones       []string `toml:"zones"`  // default one, "a"

	Fleet            Fleet             `toml:"fleet"`
	Settings         Settings          `toml:"settings"`
	Clients          Clients           `toml:"clients"`
	Discovery        Discovery         `toml:"discovery"`
	Classes          []Class           `toml:"class"`
	Customers        []Customer        `toml:"customer"`
	DestinationKinds []DestinationKind `toml:"kind"`
	Destinations     []Destination     `toml:"destination"`
	Traffic          []Traffic         `toml:"traffic"`
	Faults           []Fault           `toml:"trouble"`
}

// Fleet selects what the relays exchange with each other.
type Fleet struct {
	Enabled bool `toml:"enabled"` // relays exchange load reports
	Quotas  bool `toml:"rights"`  // relays lease quota of the destinations' limits to each other
}

// Settings are the settings of the relays, and the parameters of the rules that the checker applies; see
// eventlog.Rules.
type Settings struct {
	Tick                 Duration `toml:"tick"`             // least time between two steps of a relay; default 5ms
	MaxConcurrentCalls   int      `toml:"slots"`            // of a relay; default 40
	MaxMessages          int      `toml:"held"`             // held by a relay at the same time; default 400
	MaxAttempts          int      `toml:"attempts"`         // to deliver a message; default 8
	DuplicatesAllowed    *bool    `toml:"may_duplicate"`    // relays may send hedged requests; default true
	MaxRetryAfter        Duration `toml:"max_retry_after"`  // longest Retry-After that clients respect; default 3s
	ConnectTimeout       Duration `toml:"connect_timeout"`  // default 1.5s
	KeepAliveTimeout     Duration `toml:"keep_alive"`       // endpoints close connections idle for longer; default 15s
	MemoryMB             float64  `toml:"memory_mb"`        // limit of a relay; default 192
	MaxSockets           int      `toml:"sockets"`          // limit of a relay; default 1024
	DiskMB               float64  `toml:"disk_mb"`          // limit of a relay; default 3
	DrainGrace           Duration `toml:"drain_grace"`      // time to stop calls to a drained endpoint; default 1s
	OverloadFactor       float64  `toml:"fall_multiple"`    // relative load that overloads a cold service; default 2
	OverloadWindow       Duration `toml:"fall_window"`      // time over which that load is measured; default 3s
	OrderingPause        Duration `toml:"order_pause"`      // of an ordering key after an unknown outcome; default 1s
	OverShareWeightRatio *float64 `toml:"over_share_worth"` // relative weight of messages beyond a quota; default 0.2
}

// Clients describes the behavior of clients.
type Clients struct {
	AnswerTimeout Duration `toml:"answer_within"` // after which a client gives up; default 400ms
	RetryRatio    *float64 `toml:"again"`         // ratio of rejected messages that are retried once; default 0.5
	RetryBackoff  Duration `toml:"backoff"`       // mean pause before a retry; Retry-After may extend it; default 800ms
	// RelayVariation is the coefficient of variation of the relays' shares of the traffic; default 0: equal shares.
	RelayVariation float64 `toml:"uneven"`
}

// Discovery bounds the delay after which a change of the endpoint list reaches a relay.
type Discovery struct {
	MinDelay Duration `toml:"least"` // default 200ms
	MaxDelay Duration `toml:"most"`  // default 1s, or MinDelay if that is longer
}

// Class describes messages with the same effect, deadline and weight.
type Class struct {
	Name             string          `toml:"name"`
	TrafficShare     float64         `toml:"share"`  // relative to the other classes; default 1
	Effect           eventlog.Effect `toml:"effect"` // safe (idempotent), keyed (idempotent by key) or unsafe
	DedupScope       DedupScope      `toml:"group"`  // of a keyed class; default DedupInZone
	DedupWindow      Duration        `toml:"window"` // of a keyed class: time within which repeats are dropped
	Ordered          bool            `toml:"order"`
	LatencyObjective Duration        `toml:"aim"`
	Deadline         Duration        `toml:"give_up"`
	LateWeightRatio  float64         `toml:"late_worth"` // weight of a delivery at Deadline, relative to Weight
	Weight           float64         `toml:"worth"`      // default 1
}

// DedupScope selects the endpoints of a destination that recognize a repeated idempotency key.
type DedupScope string

// The scopes of deduplication.
const (
	DedupInZone      DedupScope = "zone" // those in the zone of the endpoint that received the key first
	DedupAcrossZones DedupScope = "all"
)

// Customer submits messages, which count against its quota.
type Customer struct {
	Name         string  `toml:"name"`
	TrafficShare float64 `toml:"share"` // relative to the other customers; default 1
	Quota        float64 `toml:"quota"` // messages a second that it is entitled to; 0: unbounded
}

// DestinationKind holds the properties that the destinations of a kind have in common.
type DestinationKind struct {
	Name string `toml:"name"`
	// SeparateEndpoints makes each endpoint a service with its own limit, service times and outages.
	SeparateEndpoints       bool         `toml:"separate"`
	MaxMessagesPerCall      int          `toml:"per_call"` // default 1
	ServiceTime             Duration     `toml:"pace"`     // mean time to serve a call
	ServiceTimeVariation    float64      `toml:"spread"`   // coefficient of variation of the service time
	ServiceTimeDistribution Distribution `toml:"law"`      // default lognormal
	MaxConcurrentCalls      int          `toml:"slots"`    // calls served by an endpoint at the same time
	// MaxQueueTime is the longest wait of a call for a free slot. Calls that would wait longer are rejected; default
	// 500ms.
	MaxQueueTime     Duration           `toml:"queue"`
	ExtraMessageCost float64            `toml:"item_cost"`     // work per further message, relative to the first
	Limit            upstream.LimitKind `toml:"limit"`         // none (default), rate or window
	LimitWindow      Duration           `toml:"window"`        // length of a window; default 1s
	RetryAfterRatio  float64            `toml:"tells_wait"`    // ratio of rejections that carry a Retry-After
	MinRetryAfter    Duration           `toml:"wait"`          // the shortest Retry-After
	CountsRejected   bool               `toml:"refused_count"` // rejected calls use up a limit by rate too
	// MaxDebt bounds how far ahead rejected calls use up a limit by rate, in time at that rate; default: the size of
	// the token bucket.
	MaxDebt               Duration `toml:"refused_debt"`
	WarmUpInitialCapacity float64  `toml:"cold_from"` // ratio of the full capacity; default 0.2
	WarmUpDuration        Duration `toml:"warm"`      // default 12s
}

// Distribution is the distribution of service times.
type Distribution string

// The distributions of service times.
const (
	Lognormal   Distribution = "lognormal"
	Exponential Distribution = "exponential" // with a coefficient of variation of 1
)

// Destination describes Count destinations with the same properties.
type Destination struct {
	Kind          string   `toml:"kind"`
	Count         int      `toml:"count"`     // default 1
	Endpoints     int      `toml:"endpoints"` // of each destination; default 2
	LimitRate     float64  `toml:"rate"`      // calls a second, for each service
	TrafficWeight float64  `toml:"weight"`    // traffic of each destination, relative to the others; default 1
	Zones         []string `toml:"zones"`     // assigned to the endpoints in turn; default all
}

// Traffic describes messages that are submitted from one time to another.
type Traffic struct {
	From         Duration     `toml:"from"`
	To           Duration     `toml:"to"`           // default: the length of the scenario
	Rate         float64      `toml:"rate"`         // messages a second; with ShapeDinner at the peak
	Shape        TrafficShape `toml:"shape"`        // default steady
	BurstSize    int          `toml:"burst"`        // messages of a burst, all for one destination; default 20
	Class        string       `toml:"class"`        // default: drawn by TrafficShare
	Customer     string       `toml:"customer"`     // default: drawn by TrafficShare
	Destinations []int        `toml:"destinations"` // numbers, counted from 1; default: all, drawn by TrafficWeight
	BodySize     int          `toml:"body"`         // bytes; default 200
}

// TrafficShape describes how the rate of traffic varies from its start to its end.
type TrafficShape string

// The shapes of traffic.
const (
	ShapeSteady TrafficShape = "steady"
	ShapeBursts TrafficShape = "bursts"
	ShapeDinner TrafficShape = "dinner" // the rate rises to a peak in the middle and falls again
)

// Encode returns the scenario in the format that Parse reads.
func (f File) Encode() ([]byte, error) {
	data, err := toml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", f.Name, err)
	}
	return data, nil
}

// Clone returns a deep copy of the scenario.
func (f File) Clone() File {
	f.Settings.DuplicatesAllowed = clonePointer(f.Settings.DuplicatesAllowed)
	f.Settings.OverShareWeightRatio = clonePointer(f.Settings.OverShareWeightRatio)
	f.Clients.RetryRatio = clonePointer(f.Clients.RetryRatio)
	f.Zones = slices.Clone(f.Zones)
	f.Classes = slices.Clone(f.Classes)
	f.Customers = slices.Clone(f.Customers)
	f.DestinationKinds = slices.Clone(f.DestinationKinds)
	f.Destinations = slices.Clone(f.Destinations)
	for i := range f.Destinations {
		f.Destinations[i].Zones = slices.Clone(f.Destinations[i].Zones)
	}
	f.Traffic = slices.Clone(f.Traffic)
	for i := range f.Traffic {
		f.Traffic[i].Destinations = slices.Clone(f.Traffic[i].Destinations)
	}
	f.Faults = slices.Clone(f.Faults)
	for i := range f.Faults {
		f.Faults[i].Destinations = slices.Clone(f.Faults[i].Destinations)
		f.Faults[i].Relays = slices.Clone(f.Faults[i].Relays)
	}
	return f
}

func clonePointer[T any](pointer *T) *T {
	if pointer == nil {
		return nil
	}
	value := *pointer
	return &value
}

// destinationCount returns the number of destinations in all entries of Destinations.
func (f *File) destinationCount() int {
	count := 0
	for _, d := range f.Destinations {
		count += max(0, d.Count)
	}
	return count
}

// kindOf returns the kind of a destination; false if the scenario does not define that kind.
func (f *File) kindOf(d Destination) (DestinationKind, bool) {
	i := slices.IndexFunc(f.DestinationKinds, func(k DestinationKind) bool { return k.Name == d.Kind })
	if i < 0 {
		return DestinationKind{}, false
	}
	return f.DestinationKinds[i], true
}

// UpstreamSpec returns the specification of the services of a kind whose limit has the given rate.
func (f *File) UpstreamSpec(k DestinationKind, limitRate float64) upstream.Spec {
	return upstream.Spec{
		ServiceTime:            k.ServiceTime.AsDuration(),
		ServiceTimeVariation:   k.ServiceTimeVariation,
		ExponentialServiceTime: k.ServiceTimeDistribution == Exponential,
		MaxConcurrentCalls:     k.MaxConcurrentCalls,
		MaxQueueTime:           k.MaxQueueTime.AsDuration(),
		ExtraMessageCost:       k.ExtraMessageCost,
		Limit:                  k.Limit,
		LimitRate:              limitRate,
		LimitWindow:            k.LimitWindow.AsDuration(),
		RetryAfterRatio:        k.RetryAfterRatio,
		MinRetryAfter:          k.MinRetryAfter.AsDuration(),
		CountsRejected:         k.CountsRejected,
		MaxDebt:                k.MaxDebt.AsDuration(),
		WarmUpInitialCapacity:  k.WarmUpInitialCapacity,
		WarmUpDuration:         k.WarmUpDuration.AsDuration(),
		OverloadFactor:         f.Settings.OverloadFactor,
		OverloadWindow:         f.Settings.OverloadWindow.AsDuration(),
	}
}

// RelayName returns the name of the n-th relay, counted from 1.
func RelayName(n int) string { return fmt.Sprintf("r%d", n) }
