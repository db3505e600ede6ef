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
	Up   Direction = iota // from the side that connected to the target
	Down                  // back
)

func (d Direction) String() string { return [...]string{"up", "down"}[d] }

// Fault is what is done.
type Fault string

// The faults. Delay and Trickle last for the rest of the direction, or for For if that is set; Garble, Drop and Double
// touch the next Bytes and no more. The others end something.
const (
	Delay     Fault = "delay"     // every byte arrives For later
	Trickle   Fault = "trickle"   // Rate bytes a second at most, for For; 0: to the end
	Stall     Fault = "stall"     // nothing goes on for For; 0: to the end, the connection stays open
	Garble    Fault = "garble"    // the next Bytes are others, With or drawn by the seed
	Drop      Fault = "drop"      // the next Bytes are left out
	Double    Fault = "double"    // the next Bytes come twice
	Truncate  Fault = "truncate"  // what comes after is left out, the connection stays open
	HalfClose Fault = "halfclose" // this direction ends (FIN), the other goes on
	Close     Fault = "close"     // both end in order (FIN)
	Reset     Fault = "reset"     // both end at once (RST)
	Refuse    Fault = "refuse"    // the connection is reset as soon as it is made: no trigger but conn
)

var faults = []Fault{Delay, Trickle, Stall, Garble, Drop, Double, Truncate, HalfClose, Close, Reset, Refuse}

// Rule is one fault and when it strikes.
type Rule struct {
	Conn  int       // the n-th connection, counted from 1; 0: each
	Dir   Direction // whose bytes trigger it and, but for Close, Reset and Refuse, suffer it
	After time.Duration
	At    int64  // once so many bytes have passed; with Match, counted from behind what matched
	Match []byte // once these have passed; empty: At alone counts
	Nth   int    // which match, counted from 1; default the first
	Do    Fault

	For   time.Duration
	Rate  int // bytes a second
	Bytes int // default 1
	With  []byte
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
		known = known || f == r.Do
	}
	switch {
	case !known:
		return fmt.Errorf("unknown fault %q, one of %v", r.Do, faults)
	case r.Conn < 0 || r.At < 0 || r.After < 0 || r.Nth < 0 || r.For < 0 || r.Rate < 0 || r.Bytes < 0:
		return errors.New("no value may be below 0")
	case r.Dir != Up && r.Dir != Down:
		return fmt.Errorf("unknown direction %d", r.Dir)
	case len(r.Match) > matchMost || len(r.With) > matchMost || r.Bytes > bytesMost:
		return fmt.Errorf("match and with hold %d bytes at most, bytes is %d at most", matchMost, bytesMost)
	case r.For > forMost || r.After > forMost:
		return fmt.Errorf("for and after are %v at most", forMost)
	case r.Do == Delay && r.For == 0:
		return errors.New("delay needs for")
	case r.Do == Trickle && r.Rate == 0:
		return errors.New("trickle needs rate")
	case r.Do == Refuse && (r.At > 0 || len(r.Match) > 0 || r.After > 0):
		return errors.New("refuse strikes when a connection is made: it takes conn alone")
	case len(r.With) > 0 && r.Do != Garble:
		return errors.New("with goes with garble alone")
	case r.Nth > 0 && len(r.Match) == 0:
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
	put("conn", strconv.Itoa(r.Conn), r.Conn > 0)
	put("dir", r.Dir.String(), true)
	put("after", r.After.String(), r.After > 0)
	put("at", strconv.FormatInt(r.At, 10), r.At > 0)
	put("match", strconv.Quote(string(r.Match)), len(r.Match) > 0)
	put("nth", strconv.Itoa(r.Nth), r.Nth > 0)
	put("for", r.For.String(), r.For > 0)
	put("rate", strconv.Itoa(r.Rate), r.Rate > 0)
	put("bytes", strconv.Itoa(r.Bytes), r.Bytes > 0)
	put("with", strconv.Quote(string(r.With)), len(r.With) > 0)
	return b.String() + "do=" + string(r.Do)
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
		r.Conn, err = strconv.Atoi(value)
	case "dir":
		switch value {
		case "up":
			r.Dir = Up
		case "down":
			r.Dir = Down
		default:
			return fmt.Errorf("%q is neither up nor down", value)
		}
	case "after":
		r.After, err = time.ParseDuration(value)
	case "at":
		r.At, err = strconv.ParseInt(value, 10, 64)
	case "match":
		r.Match = []byte(value)
	case "nth":
		r.Nth, err = strconv.Atoi(value)
	case "do":
		r.Do = Fault(value)
	case "for":
		r.For, err = time.ParseDuration(value)
	case "rate":
		r.Rate, err = strconv.Atoi(value)
	case "bytes":
		r.Bytes, err = strconv.Atoi(value)
	case "with":
		r.With = []byte(value)
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
	t := &trigger{Rule: r, left: r.At}
	if len(r.Match) > 0 {
		t.matches = max(1, r.Nth)
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
	if len(r.With) > 0 {
		return len(r.With)
	}
	return max(1, r.Bytes)
}

// never is a number of bytes that does not come.
const never = int64(math.MaxInt64)
