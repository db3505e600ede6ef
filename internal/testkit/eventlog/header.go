// Package eventlog holds the record of a rehearsal: a header with the rules of the run, and the events in the order in
// which they happened, all on one monotonic clock. Package checker checks a record against the rules. On disk a record
// has one JSON object a line, so that it can be checked again long after the run.
package eventlog

import "time"

// FormatVersion is the version of the file's format. A reader accepts no other.
const FormatVersion = 1

// Effect is what a repeat of a message of a class may do. The values are the words of the operators' brief.
type Effect string

// The effects.
const (
	Idempotent      Effect = "safe"
	IdempotentByKey Effect = "keyed"
	NonIdempotent   Effect = "unsafe"
)

// Class is a class of messages.
type Class struct {
	Name   string `json:"name"`
	Effect Effect `json:"effect"`
	// DedupAcrossZones means that all endpoints of a destination recognize a repeat with an idempotency key, and not
	// only those of one zone.
	DedupAcrossZones bool          `json:"group_all,omitempty"`
	DedupWindow      time.Duration `json:"window,omitempty"` // how long endpoints recognize a repeat
	Ordered          bool          `json:"ordered,omitempty"`
	LatencyObjective time.Duration `json:"aim"`
	Deadline         time.Duration `json:"give_up"`
	Weight           float64       `json:"worth"`
	LateWeightRatio  float64       `json:"late_worth"` // the ratio of Weight that is left at Deadline
}

// Customer is a customer of the relays.
type Customer struct {
	Name      string  `json:"name"`
	RateShare float64 `json:"quota,omitempty"` // messages a second that it is entitled to; 0: unbounded
}

// Rules are the parameters of the rules that a run is checked against.
type Rules struct {
	DrainGrace           time.Duration `json:"drain_grace"`
	OverloadFactor       float64       `json:"fall_multiple"`
	OverloadWindow       time.Duration `json:"fall_window"`
	OrderingPause        time.Duration `json:"order_pause,omitempty"`
	DuplicatesAllowed    bool          `json:"may_duplicate"`
	OverShareWeightRatio float64       `json:"over_share_worth"`
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
