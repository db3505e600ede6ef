package faultproxy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Bounds of a rule.
const (
	maxMatchLength   = 4096      // for Match and Replacement, in bytes
	maxAffectedBytes = 1 << 20   // for ByteCount
	maxRuleDuration  = time.Hour // for After and Duration
)

// Direction is a direction of traffic through the proxy.
type Direction int

// The directions.
const (
	Upstream   Direction = iota // from the client to the target
	Downstream                  // from the target to the client
)

// String returns the direction as it is written in rules.
func (d Direction) String() string {
	switch d {
	case Upstream:
		return "up"
	case Downstream:
		return "down"
	}
	return fmt.Sprintf("Direction(%d)", int(d))
}

// Fault is the effect of a rule. The values are the names that ParseRule accepts.
type Fault string

// The faults. Delay lasts until the connection ends. Throttle and Stall last for Duration, or until the connection ends
// if Duration is 0. Corrupt, Drop and Duplicate affect the next ByteCount bytes. The effects of the others are
// permanent.
const (
	Delay     Fault = "delay"     // every byte arrives Duration later
	Throttle  Fault = "trickle"   // at most BytesPerSecond pass
	Stall     Fault = "stall"     // no bytes pass, and the connection stays open
	Corrupt   Fault = "garble"    // the next bytes are replaced by Replacement, or by random bytes
	Drop      Fault = "drop"      // the next bytes are not forwarded
	Duplicate Fault = "double"    // the next bytes are forwarded twice
	Truncate  Fault = "truncate"  // no more bytes pass, and the connection stays open
	HalfClose Fault = "halfclose" // this direction ends (FIN), and the other one continues
	Close     Fault = "close"     // both directions end gracefully (FIN)
	Reset     Fault = "reset"     // both directions end at once (RST)
	Refuse    Fault = "refuse"    // the connection is reset when it is accepted; Connection is the only trigger
)

var faults = []Fault{
	Delay, Throttle, Stall, Corrupt, Drop, Duplicate, Truncate, HalfClose, Close, Reset, Refuse,
}

// endsDirection reports whether a fault ends one direction of a connection or both.
func (f Fault) endsDirection() bool { return f == HalfClose || f == Close || f == Reset }

// Rule is a fault and its trigger. It triggers once on each connection that it applies to.
type Rule struct {
	Connection int           // the number of the connection, counted from 1; 0: every connection
	Direction  Direction     // whose bytes trigger the rule, and are affected except by Close, Reset and Refuse
	After      time.Duration // the rule triggers no earlier than this time after the connection was established
	Offset     int64         // the rule triggers after this many bytes; with Match, counted from the end of the match
	Match      []byte        // the rule triggers after these bytes; empty: Offset alone counts
	Occurrence int           // which match triggers the rule, counted from 1; 0: the first
	Fault      Fault

	// Parameters of the fault.
	Duration       time.Duration
	BytesPerSecond int
	ByteCount      int    // 0: one byte
	Replacement    []byte // if not empty, its length replaces ByteCount
}

// Validate returns an error if a value of the rule is out of range, or if values do not fit together.
func (r Rule) Validate() error {
	if err := r.validateRanges(); err != nil {
		return err
	}
	return r.validateCombination()
}

func (r Rule) validateRanges() error {
	smallest := min(
		int64(r.Connection), int64(r.After), r.Offset, int64(r.Occurrence),
		int64(r.Duration), int64(r.BytesPerSecond), int64(r.ByteCount),
	)
	switch {
	case !slices.Contains(faults, r.Fault):
		return fmt.Errorf("unknown fault %q, one of %v", r.Fault, faults)
	case smallest < 0:
		return errors.New("no value may be below 0")
	case r.Direction != Upstream && r.Direction != Downstream:
		return fmt.Errorf("unknown direction %d", int(r.Direction))
	case max(len(r.Match), len(r.Replacement)) > maxMatchLength || r.ByteCount > maxAffectedBytes:
		return fmt.Errorf("match and with hold %d bytes at most, bytes is %d at most", maxMatchLength, maxAffectedBytes)
	case max(r.Duration, r.After) > maxRuleDuration:
		return fmt.Errorf("for and after are %v at most", maxRuleDuration)
	}
	return nil
}

func (r Rule) validateCombination() error {
	switch {
	case r.Fault == Delay && r.Duration == 0:
		return errors.New("delay needs for")
	case r.Fault == Throttle && r.BytesPerSecond == 0:
		return errors.New("trickle needs rate")
	case r.Fault == Refuse && (r.Offset > 0 || len(r.Match) > 0 || r.After > 0):
		return errors.New("refuse strikes when a connection is made: it takes conn alone")
	case len(r.Replacement) > 0 && r.Fault != Corrupt:
		return errors.New("with goes with garble alone")
	case r.Occurrence > 0 && len(r.Match) == 0:
		return errors.New("nth goes with match alone")
	}
	return nil
}

// appliesTo reports whether the rule applies to the connection with this number.
func (r Rule) appliesTo(connection int) bool { return r.Connection == 0 || r.Connection == connection }

// affectedBytes returns how many bytes Corrupt, Drop or Duplicate affect.
func (r Rule) affectedBytes() int {
	if len(r.Replacement) > 0 {
		return len(r.Replacement)
	}
	return max(1, r.ByteCount)
}
