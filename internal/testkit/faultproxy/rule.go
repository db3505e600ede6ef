package faultproxy

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Bounds of a rule.
const (
	maxMatchLength   = 4096
	maxAffectedBytes = 1 << 20
	maxRuleDuration  = time.Hour
)

// Direction is the way that bytes take.
type Direction int

// The directions.
const (
	Upstream   Direction = iota // from the client to the target
	Downstream                  // from the target to the client
)

// String returns the direction as rules write it.
func (d Direction) String() string {
	switch d {
	case Upstream:
		return "up"
	case Downstream:
		return "down"
	}
	return fmt.Sprintf("Direction(%d)", int(d))
}

// Fault is what a rule does. The values are the words of ParseRule.
type Fault string

// The faults. Delay and Throttle last for the rest of the direction, or for Duration if that is set. Corrupt, Drop and
// Duplicate affect the next ByteCount bytes. The others end something.
const (
	Delay     Fault = "delay"     // every byte arrives Duration later
	Throttle  Fault = "trickle"   // at most BytesPerSecond pass, for Duration; 0: to the end
	Stall     Fault = "stall"     // nothing passes for Duration; 0: to the end, and the connection stays open
	Corrupt   Fault = "garble"    // the next bytes are replaced by Replacement, or by random bytes
	Drop      Fault = "drop"      // the next bytes are left out
	Duplicate Fault = "double"    // the next bytes are sent twice
	Truncate  Fault = "truncate"  // nothing more passes, and the connection stays open
	HalfClose Fault = "halfclose" // this direction ends (FIN), the other goes on
	Close     Fault = "close"     // both directions end in order (FIN)
	Reset     Fault = "reset"     // both directions end at once (RST)
	Refuse    Fault = "refuse"    // the connection is reset as soon as it is made: its only trigger is Connection
)

var faults = []Fault{
	Delay, Throttle, Stall, Corrupt, Drop, Duplicate, Truncate, HalfClose, Close, Reset, Refuse,
}

// endsDirection reports whether a fault ends one direction of a connection or both.
func (f Fault) endsDirection() bool { return f == HalfClose || f == Close || f == Reset }

// Rule is a fault and its trigger. It triggers once for each direction of each connection that it applies to.
type Rule struct {
	Connection int           // the number of the connection, counted from 1; 0: every connection
	Direction  Direction     // whose bytes trigger it and, but for Close, Reset and Refuse, are affected
	After      time.Duration // not before the connection has been up for this time
	Offset     int64         // after this many bytes; with Match, counted from the end of the match
	Match      []byte        // after these bytes; empty: Offset alone counts
	Occurrence int           // which match, counted from 1; 0: the first
	Fault      Fault

	Duration       time.Duration
	BytesPerSecond int
	ByteCount      int    // 0: one
	Replacement    []byte // its length takes the place of ByteCount
}

// Validate returns an error if a value of the rule is out of range, or does not go with the fault.
func (r Rule) Validate() error {
	if err := r.validateRanges(); err != nil {
		return err
	}
	return r.validateCombination()
}

func (r Rule) validateRanges() error {
	least := min(
		int64(r.Connection), int64(r.After), r.Offset, int64(r.Occurrence),
		int64(r.Duration), int64(r.BytesPerSecond), int64(r.ByteCount),
	)
	switch {
	case !slices.Contains(faults, r.Fault):
		return fmt.Errorf("unknown fault %q, one of %v", r.Fault, faults)
	case least < 0:
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

// appliesTo reports whether the rule is for a connection of this number.
func (r Rule) appliesTo(connection int) bool { return r.Connection == 0 || r.Connection == connection }

// affectedBytes returns how many bytes Corrupt, Drop or Duplicate affect.
func (r Rule) affectedBytes() int {
	if len(r.Replacement) > 0 {
		return len(r.Replacement)
	}
	return max(1, r.ByteCount)
}
