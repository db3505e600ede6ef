// Package eventlog writes and reads the record of a run: a header with the parameters of the rules, and the events
// in the order in which they happened, timed by one monotonic clock. Package checker checks a record against the
// rules. On disk a record has one JSON object per line, so that it can be checked again long after the run.
package eventlog

import "time"

// FormatVersion is the version of the file's format. Read accepts no other version.
const FormatVersion = 1

// Effect says when a message of a class may be repeated without a second effect. The values are those of scenario
// files.
type Effect string

// The effects.
const (
	Idempotent      Effect = "safe"   // a repeat never has a second effect
	IdempotentByKey Effect = "keyed"  // a repeat has none if the endpoint recognizes its idempotency key
	NonIdempotent   Effect = "unsafe" // a repeat may have a second effect
)

// Class describes a class of messages.
type Class struct {
	Name   string `json:"name"`
	Effect Effect `json:"effect"`
	// DedupAcrossZones means that all endpoints of a destination recognize a repeat by its idempotency key, and not
	// only those in the zone of the first attempt.
	DedupAcrossZones bool          `json:"group_all,omitempty"`
	DedupWindow      time.Duration `json:"window,omitempty"` // how long endpoints recognize a repeat
	Ordered          bool          `json:"ordered,omitempty"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"give_up"`
	Weight           float64       `json:"worth"`      // of one message in the service measurement
	LateWeightRatio  float64       `json:"late_worth"` // the ratio of Weight that counts for a delivery at Deadline
}

// Customer is a customer of the relays.
type Customer struct {
	Name      string  `json:"name"`
	RateShare float64 `json:"quota,omitempty"` // messages a second that it is entitled to; 0: unbounded
}

// Rules are the parameters of the rules that a run is checked against.
type Rules struct {
	// DrainGrace is how long a relay may go on calling an endpoint after it was notified of its drain.
	DrainGrace time.Duration `json:"drain_grace"`
	// OverloadFactor is the multiple of its capacity that a service tolerates while it warms up; 0: overloads are
	// not checked.
	OverloadFactor float64 `json:"fall_multiple"`
	// OverloadWindow is the window over which the load of a service that warms up is measured.
	OverloadWindow time.Duration `json:"fall_window"`
	// OrderingPause is how long a relay must wait with the next message of an ordering key after a call that may still
	// run.
	OrderingPause time.Duration `json:"order_pause,omitempty"`
	// DuplicatesAllowed means that a message may be sent while another call with it is out, as a hedged request.
	DuplicatesAllowed bool `json:"may_duplicate"`
	// OverShareWeightRatio is the ratio of its weight with which a message beyond its customer's share counts.
	OverShareWeightRatio float64 `json:"over_share_worth"`
}

// Header describes a run.
type Header struct {
	Format     int           `json:"format"`
	Scenario   string        `json:"scenario"`
	Seed       uint64        `json:"seed"`
	PlanDigest string        `json:"plan"`
	StartedAt  time.Time     `json:"began"` // wall time of event time 0; no check depends on it
	Duration   time.Duration `json:"length"`
	Relays     []string      `json:"relays"`
	Rules      Rules         `json:"rules"`
	Classes    []Class       `json:"classes"`
	Customers  []Customer    `json:"customers"`
}
