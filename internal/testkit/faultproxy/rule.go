// Package sockfault stands between two sockets and does to their bytes what networks and peers do: it delays, trickles,
// cuts, half-closes, stalls, garbles, truncates, doubles or refuses them. When and to which connection is said by
// rules, which a test or a script adds and takes away while traffic runs. The same seed, rules and bytes give the same
// faults.
package faultproxy

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Direction says which way bytes go.
type Direction int

// The directions.
const (
	Upstream   Direction = iota // from the side that connected to the target
	Downstream                  // back
)

func (d Direction) String() string { return [...]string{"up", "down"}[d] }

// Fault is what is done.
type Fault string

// The faults. Delay and Throttle last for the rest of the direction, or for For if that is set; Corrupt, Drop and Duplicate
// touch the next Bytes and no more. The others end something.
const (
	Delay     Fault = "delay"     // every byte arrives For later
	Throttle  Fault = "trickle"   // Rate bytes a second at most, for For; 0: to the end
	Stall     Fault = "stall"     // nothing goes on for For; 0: to the end, the connection stays open
	Corrupt   Fault = "garble"    // the next Bytes are others, With or drawn by the seed
	Drop      Fault = "drop"      // the next Bytes are left out
	Duplicate Fault = "double"    // the next Bytes come twice
	Truncate  Fault = "truncate"  // what comes after is left out, the connection stays open
	HalfClose Fault = "halfclose" // this direction ends (FIN), the other goes on
	Close     Fault = "close"     // both end in order (FIN)
	Reset     Fault = "reset"     // both end at once (RST)
	Refuse    Fault = "refuse"    // the connection is reset as soon as it is made: no trigger but conn
)

var faults = []Fault{Delay, Throttle, Stall, Corrupt, Drop, Duplicate, Truncate, HalfClose, Close, Reset, Refuse}

// Rule is one fault and when it strikes.
type Rule struct {
	Connection int       // the n-th connection, counted from 1; 0: each
	Direction  Direction // whose bytes trigger it and, but for Close, Reset and Refuse, suffer it
	After      time.Duration
	Offset     int64  // once so many bytes have passed; with Match, counted from behind what matched
	Match      []byte // once these have passed; empty: At alone counts
	Occurrence int    // which match, counted from 1; default the first
	Fault      Fault

	Duration       time.Duration
	BytesPerSecond int // bytes a second
	ByteCount      int // default 1
	Replacement    []byte
}

// Bounds of a rule.
const (
	matchMost = 4096
	bytesMost = 1 << 20
	forMost   = time.Hour
)

// Validate returns what is wrong with a rule.
func (r Rule) Validate() error {
	known := false
	for _, f := range faults {
		known = known || f == r.Fault
	}
	switch {
	case !known:
		return fmt.Errorf("unknown fault %q, one of %v", r.Fault, faults)
	case r.Connection < 0 || r.Offset < 0 || r.After < 0 || r.Occurrence < 0 || r.Duration < 0 || r.BytesPerSecond < 0 || r.ByteCount < 0:
		return errors.New("no value may be below 0")
	case r.Direction != Upstream && r.Direction != Downstream:
		return fmt.Errorf("unknown direction %d", r.Direction)
	case len(r.Match) > matchMost || len(r.Replacement) > matchMost || r.ByteCount > bytesMost:
		return fmt.Errorf("match and with hold %d bytes at most, bytes is %d at most", matchMost, bytesMost)
	case r.Duration > forMost || r.After > forMost:
		return fmt.Errorf("for and after are %v at most", forMost)
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

// String is the rule as ParseRule reads it.
func (r Rule) String() string {
	var b strings.Builder
	put := func(key, value string, set bool) {
		if set {
			fmt.Fprintf(&b, "%s=%s ", key, value)
		}
	}
	put("conn", strconv.Itoa(r.Connection), r.Connection > 0)
	put("dir", r.Direction.String(), true)
	put("after", r.After.String(), r.After > 0)
	put("at", strconv.FormatInt(r.Offset, 10), r.Offset > 0)
	put("match", strconv.Quote(string(r.Match)), len(r.Match) > 0)
	put("nth", strconv.Itoa(r.Occurrence), r.Occurrence > 0)
	put("for", r.Duration.String(), r.Duration > 0)
	put("rate", strconv.Itoa(r.BytesPerSecond), r.BytesPerSecond > 0)
	put("bytes", strconv.Itoa(r.ByteCount), r.ByteCount > 0)
	put("with", strconv.Quote(string(r.Replacement)), len(r.Replacement) > 0)
	return b.String() + "do=" + string(r.Fault)
}

// ParseRule reads a rule: key=value, set apart by blanks; text in Go's quotes, such as
//
//	conn=2 dir=up match="\r\n\r\n" do=reset
func ParseRule(text string) (Rule, error) {
	var r Rule
	seen := map[string]bool{}
	for rest := strings.TrimSpace(text); rest != ""; rest = strings.TrimSpace(rest) {
		key, value, ok := strings.Cut(rest, "=")
		if !ok {
			return Rule{}, fmt.Errorf("sockfault: %q is no key=value", rest)
		}
		if strings.HasPrefix(value, `"`) {
			quoted, err := strconv.QuotedPrefix(value)
			if err != nil {
				return Rule{}, fmt.Errorf("sockfault: %s: no end of %s", key, value)
			}
			rest = value[len(quoted):]
			if rest != "" && rest[0] != ' ' {
				return Rule{}, fmt.Errorf("sockfault: %s: %q stands behind its text", key, rest)
			}
			if value, err = strconv.Unquote(quoted); err != nil {
				return Rule{}, fmt.Errorf("sockfault: %s: bad text %s", key, quoted)
			}
		} else {
			value, rest, _ = strings.Cut(value, " ")
		}
		if seen[key] {
			return Rule{}, fmt.Errorf("sockfault: %s stands twice", key)
		}
		seen[key] = true
		if err := r.set(key, value); err != nil {
			return Rule{}, fmt.Errorf("sockfault: %s: %w", key, err)
		}
	}
	if err := r.Validate(); err != nil {
		return Rule{}, fmt.Errorf("sockfault: %w", err)
	}
	return r, nil
}

func (r *Rule) set(key, value string) (err error) {
	switch key {
	case "conn":
		r.Connection, err = strconv.Atoi(value)
	case "dir":
		switch value {
		case "up":
			r.Direction = Upstream
		case "down":
			r.Direction = Downstream
		default:
			return fmt.Errorf("%q is neither up nor down", value)
		}
	case "after":
		r.After, err = time.ParseDuration(value)
	case "at":
		r.Offset, err = strconv.ParseInt(value, 10, 64)
	case "match":
		r.Match = []byte(value)
	case "nth":
		r.Occurrence, err = strconv.Atoi(value)
	case "do":
		r.Fault = Fault(value)
	case "for":
		r.Duration, err = time.ParseDuration(value)
	case "rate":
		r.BytesPerSecond, err = strconv.Atoi(value)
	case "bytes":
		r.ByteCount, err = strconv.Atoi(value)
	case "with":
		r.Replacement = []byte(value)
	default:
		return errors.New("unknown key: conn, dir, after, at, match, nth, do, for, rate, bytes and with are known")
	}
	return err
}

// trigger finds where in one direction of one connection a rule strikes.
type trigger struct {
	Rule
	done    bool
	left    int64  // bytes still to pass once matched, or from the start
	matches int    // still to come before left counts
	tail    []byte // the last bytes, as far as a match may begin in them
	missed  bool   // next has just looked through what passed is told of, and found no match
}

func newTrigger(r Rule) *trigger {
	t := &trigger{Rule: r, left: r.Offset}
	if len(r.Match) > 0 {
		t.matches = max(1, r.Occurrence)
	}
	return t
}

// next says after how many bytes of data the rule strikes; -1: not within them. It must be told of all data that pass,
// by passed.
func (t *trigger) next(data []byte) int64 {
	if t.done {
		return -1
	}
	matches, tail, from := t.matches, t.tail, int64(0)
	for ; matches > 0; matches-- {
		end := t.find(tail, data[from:])
		if end < 0 {
			t.missed = matches == t.matches
			return -1
		}
		from, tail = from+end, nil // matches do not overlap
	}
	if at := from + t.left; at <= int64(len(data)) {
		return at
	}
	return -1
}

// find returns the end, in data, of the first match in what stands in tail and data together; -1 if there is none.
func (t *trigger) find(tail, data []byte) int64 {
	if len(tail) > 0 {
		joint := append(append([]byte(nil), tail...), data[:min(len(data), len(t.Match)-1)]...)
		if i := bytes.Index(joint, t.Match); i >= 0 {
			return int64(i + len(t.Match) - len(tail))
		}
	}
	if i := bytes.Index(data, t.Match); i >= 0 {
		return int64(i + len(t.Match))
	}
	return -1
}

// passed notes data that have passed before the rule struck.
func (t *trigger) passed(data []byte) {
	if t.done {
		return
	}
	missed := t.missed
	t.missed = false
	for t.matches > 0 {
		end := int64(-1)
		if !missed { // what has no match in the whole has none in a part
			end = t.find(t.tail, data)
		}
		if end < 0 {
			keep := len(t.Match) - 1
			if len(data) >= keep {
				t.tail = append(t.tail[:0], data[len(data)-keep:]...)
				return
			}
			t.tail = append(t.tail, data...)
			t.tail = append(t.tail[:0], t.tail[max(0, len(t.tail)-keep):]...)
			return
		}
		data, t.tail = data[end:], nil
		t.matches--
	}
	t.left = max(0, t.left-int64(len(data)))
}

// bytes to touch.
func (r Rule) touch() int {
	if len(r.Replacement) > 0 {
		return len(r.Replacement)
	}
	return max(1, r.ByteCount)
}

// never is a number of bytes that does not come.
const never = int64(math.MaxInt64)
