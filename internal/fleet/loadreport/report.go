// Package loadreport replicates load reports: what each relay of a fleet publishes about its own traffic, by
// destination and endpoint. It is pure: no clock, no I/O, no random numbers. All times are the receiver's own monotonic
// time; reports carry their age.
//
// A Table is a join-semilattice. Of each member it keeps the greatest incarnation, and of that incarnation, for each
// report number, the greatest sequence. Of one version that is received twice it keeps the lesser age, since each age
// is an upper bound (TransitEstimator). Merging is therefore commutative, associative and idempotent, whatever is lost,
// duplicated or late on the way; property tests hold it to that. The weight of a report decays with its age, without a
// step, and it is dropped when next to nothing is left of it.
package loadreport

import (
	"cmp"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// reportShift sets which destinations share a report: n<<reportShift to (n+1)<<reportShift-1 are in report n.
	reportShift = 2
	// MaxScopes bounds the scopes of a report: memory is needed for so many.
	MaxScopes = 24
	// MaxReports bounds the reports of a member: memory is needed for so many.
	MaxReports = 64
)

// ReportNumber returns the number of the report that a destination belongs to.
func ReportNumber(destination policy.DestinationID) int { return int(destination >> reportShift) }

// ScopeLoad is what a relay reports of a destination, or of an endpoint with a limit of its own. Rates are a second.
type ScopeLoad struct {
	Destination policy.DestinationID `cbor:"Dest"`
	Endpoint    string               `cbor:"Route"` // "": all endpoints of the destination share one limit
	Demand      float64              `cbor:"Demand"`
	Calls       float64              `cbor:"Calls"`
	Rejections  float64              `cbor:"Refusals"`
	Deliveries  float64              `cbor:"Deliveries"`
	Failures    float64              `cbor:"Failures"` // outcomes that are neither a delivery nor a rejection
	Backlog     int                  `cbor:"Backlog"`  // messages waiting
	RetryAfter  time.Duration        `cbor:"Wait"`     // what is left of a Retry-After when the report's age is 0
	WarmingUp   bool                 `cbor:"Cold"`     // the relay takes it to be warming up or in an outage
}

func (s ScopeLoad) key() scopeKey { return scopeKey{s.Destination, s.Endpoint} }

func (s ScopeLoad) rates() [5]float64 {
	return [...]float64{s.Demand, s.Calls, s.Rejections, s.Deliveries, s.Failures}
}

// Idle reports whether there is nothing to report.
func (s ScopeLoad) Idle() bool {
	return s.rates() == [5]float64{} && s.Backlog == 0 && s.RetryAfter == 0 && !s.WarmingUp
}

// compare orders the loads of one scope by all their fields, so that two contents of one version have a least one.
func (s ScopeLoad) compare(other ScopeLoad) int {
	rates, otherRates := s.rates(), other.rates()
	return cmp.Or(
		s.key().compare(other.key()),
		slices.Compare(rates[:], otherRates[:]),
		cmp.Compare(s.Backlog, other.Backlog),
		cmp.Compare(s.RetryAfter, other.RetryAfter),
		compareBool(s.WarmingUp, other.WarmingUp),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Incarnation identifies one run of a member's process. Generations grow with each start. Boots tell processes of one
// generation apart, such as two that were started under one name by mistake.
type Incarnation struct {
	Generation uint64 `json:"Incarnation" cbor:"Incarnation"`
	Boot       uint32 `json:"Boot" cbor:"Boot"`
}

// Compare orders incarnations by generation, then boot.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Generation, other.Generation), cmp.Compare(i.Boot, other.Boot))
}

// Report is all that a member publishes of the destinations of one report number. A newer one replaces an older one.
type Report struct {
	Name string `cbor:"Name"`
	Incarnation
	Number   int           `cbor:"Number"`
	Sequence uint64        `cbor:"Sequence"` // grows within the incarnation, over all report numbers
	Age      time.Duration `cbor:"Age"`
	Scopes   []ScopeLoad   `cbor:"Cells"` // by destination and endpoint; none: there is nothing to report
}
