// Package scenario reads the files that describe a rehearsal, and draws from a file and a seed the plan of its events:
// which messages are submitted where and when, and which faults strike. The same file and seed give the same plan, byte
// for byte.
package scenario

import (
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// File is a scenario as it stands in its file.
type File struct {
	Name        string   `toml:"name"`
	Description string   `toml:"about"`
	Length      Duration `toml:"length"` // the time during which messages are submitted
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

// Fleet is what the relays share with each other.
type Fleet struct {
	Enabled bool `toml:"enabled"` // they exchange load reports
	Quotas  bool `toml:"rights"`  // they lease each other quota of the destinations' limits
}

// Settings are the settings of the relays, and the parameters of the rules that the checker applies.
type Settings struct {
	Tick                 Duration `toml:"tick"`             // default 5ms
	MaxConcurrentCalls   int      `toml:"slots"`            // calls of a relay at the same time; default 40
	MaxMessages          int      `toml:"held"`             // messages that a relay holds; default 400
	MaxAttempts          int      `toml:"attempts"`         // for a message; default 8
	DuplicatesAllowed    *bool    `toml:"may_duplicate"`    // default true
	MaxRetryAfter        Duration `toml:"max_retry_after"`  // the longest Retry-After that clients heed; default 3s
	ConnectTimeout       Duration `toml:"connect_timeout"`  // default 1.5s
	KeepAliveTimeout     Duration `toml:"keep_alive"`       // endpoints close connections idle for so long; default 15s
	MemoryMB             float64  `toml:"memory_mb"`        // default 192
	MaxSockets           int      `toml:"sockets"`          // default 1024
	DiskMB               float64  `toml:"disk_mb"`          // default 3
	DrainGrace           Duration `toml:"drain_grace"`      // default 1s
	OverloadFactor       float64  `toml:"fall_multiple"`    // default 2
	OverloadWindow       Duration `toml:"fall_window"`      // default 3s
	OrderingPause        Duration `toml:"order_pause"`      // default 1s
	OverShareWeightRatio *float64 `toml:"over_share_worth"` // default 0.2
}

// Clients is how clients behave.
type Clients struct {
	AnswerTimeout Duration `toml:"answer_within"` // a client gives up after it; default 400ms
	RetryRatio    *float64 `toml:"again"`         // the ratio of rejected messages that are retried, once; default 0.5
	RetryBackoff  Duration `toml:"backoff"`       // before a retry, unless a Retry-After is longer; default 800ms
	// RelayVariation is the coefficient of variation of the traffic that a relay gets; default 0: all get the same.
	RelayVariation float64 `toml:"uneven"`
}

// Discovery is how late changes of the endpoint list reach the relays.
type Discovery struct {
	MinDelay Duration `toml:"least"` // default 200ms
	MaxDelay Duration `toml:"most"`  // default 1s
}

// Class is a class of messages.
type Class struct {
	Name             string          `toml:"name"`
	TrafficShare     float64         `toml:"share"`  // relative to the other classes; default 1
	Effect           eventlog.Effect `toml:"effect"` // safe, keyed or unsafe
	DedupScope       DedupScope      `toml:"group"`  // of a keyed class; default zone
	DedupWindow      Duration        `toml:"window"` // of a keyed class: repeats within it are dropped
	Ordered          bool            `toml:"order"`
	LatencyObjective Duration        `toml:"aim"`
	Deadline         Duration        `toml:"give_up"`
	LateWeightRatio  float64         `toml:"late_worth"`
	Weight           float64         `toml:"worth"` // default 1
}

// DedupScope is how far the messages of a class are deduplicated.
type DedupScope string

// The scopes of deduplication.
const (
	DedupInZone      DedupScope = "zone"
	DedupAcrossZones DedupScope = "all"
)

// Customer is a customer, whose messages count against its quota.
type Customer struct {
	Name         string  `toml:"name"`
	TrafficShare float64 `toml:"share"` // relative to the other customers; default 1
	Quota        float64 `toml:"quota"` // messages a second within its share; 0: no bound
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	Name string `toml:"name"`
	// SeparateEndpoints makes each endpoint a service with its own limit, pacing and outages.
	SeparateEndpoints       bool               `toml:"separate"`
	MaxMessagesPerCall      int                `toml:"per_call"` // default 1
	ServiceTime             Duration           `toml:"pace"`     // mean time to serve a call
	ServiceTimeVariation    float64            `toml:"spread"`   // the coefficient of variation of the service time
	ServiceTimeDistribution Distribution       `toml:"law"`      // default lognormal
	MaxConcurrentCalls      int                `toml:"slots"`    // calls that an endpoint serves at the same time
	MaxQueueTime            Duration           `toml:"queue"`    // calls that wait longer are rejected; default 500ms
	ExtraMessageCost        float64            `toml:"item_cost"`
	Limit                   upstream.LimitKind `toml:"limit"`      // none (default), rate or window
	LimitWindow             Duration           `toml:"window"`     // default 1s
	RetryAfterRatio         float64            `toml:"tells_wait"` // the ratio of rejections that carry a Retry-After
	MinRetryAfter           Duration           `toml:"wait"`
	CountsRejected          bool               `toml:"refused_count"`
	// MaxDebt bounds how far ahead rejected calls use up a limit by rate; default: by the size of its bucket.
	MaxDebt               Duration `toml:"refused_debt"`
	WarmUpInitialCapacity float64  `toml:"cold_from"` // default 0.2
	WarmUpDuration        Duration `toml:"warm"`      // default 12s
}

// Distribution is the distribution of service times.
type Distribution string

// The distributions of service times.
const (
	Lognormal   Distribution = "lognormal"
	Exponential Distribution = "exponential" // with a coefficient of variation of 1
)

// Destination is one destination, or several alike.
type Destination struct {
	Kind          string   `toml:"kind"`
	Count         int      `toml:"count"`     // default 1
	Endpoints     int      `toml:"endpoints"` // of each; default 2
	LimitRate     float64  `toml:"rate"`      // calls a second, of each service
	TrafficWeight float64  `toml:"weight"`    // its part of the traffic beside the others; default 1
	Zones         []string `toml:"zones"`     // of its endpoints, in turn; default all
}

// Traffic is the messages that are submitted over a span of time.
type Traffic struct {
	From         Duration     `toml:"from"`
	To           Duration     `toml:"to"`    // default: the scenario's length
	Rate         float64      `toml:"rate"`  // messages a second; the peak of the shape dinner
	Shape        TrafficShape `toml:"shape"` // default steady
	BurstSize    int          `toml:"burst"` // bursts: messages that come together for one destination; default 20
	Class        string       `toml:"class"`
	Customer     string       `toml:"customer"`
	Destinations []int        `toml:"destinations"`
	BodySize     int          `toml:"body"` // bytes; default 200
}

// TrafficShape is how the rate of traffic runs over its span.
type TrafficShape string

// The shapes of traffic.
const (
	ShapeSteady TrafficShape = "steady"
	ShapeBursts TrafficShape = "bursts"
	ShapeDinner TrafficShape = "dinner" // rises to a peak in the middle, and falls again
)

// Encode returns a scenario as Parse reads it.
func (f File) Encode() ([]byte, error) {
	data, err := toml.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", f.Name, err)
	}
	return data, nil
}

// Clone returns a copy that shares nothing with the scenario.
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

// destinationCount returns how many destinations there are.
func (f *File) destinationCount() int {
	count := 0
	for _, d := range f.Destinations {
		count += max(0, d.Count)
	}
	return count
}

// kindOf returns the kind of a destination; false if the scenario has none of that name.
func (f *File) kindOf(d Destination) (DestinationKind, bool) {
	i := slices.IndexFunc(f.DestinationKinds, func(k DestinationKind) bool { return k.Name == d.Kind })
	if i < 0 {
		return DestinationKind{}, false
	}
	return f.DestinationKinds[i], true
}

// UpstreamSpec returns the specification of the services of a kind with a limit's rate.
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
