package faultproxy

import (
	"bytes"
	"math"
	"slices"
)

// never is an offset that no direction reaches.
const never = int64(math.MaxInt64)

// trigger finds the byte of one direction of one connection at which a rule triggers.
type trigger struct {
	numberedRule
	done      bool
	matches   int    // that must still come before remaining counts
	remaining int64  // bytes that must still pass after the matches
	tail      []byte // the last bytes that passed, as far as a match may begin in them
	noMatch   bool   // nextOffset has found no match in the data that advance is called with next
}

func newTrigger(rule numberedRule) *trigger {
	t := &trigger{numberedRule: rule, remaining: rule.Offset}
	if len(rule.Match) > 0 {
		t.matches = max(1, rule.Occurrence)
	}
	return t
}

// nextOffset returns after how many bytes of data the rule triggers; -1: not within data. All data that pass before it
// triggers must be passed to advance.
func (t *trigger) nextOffset(data []byte) int64 {
	if t.done {
		return -1
	}
	tail, start := t.tail, int64(0)
	for matches := t.matches; matches > 0; matches-- {
		end := t.findMatch(tail, data[start:])
		if end < 0 {
			t.noMatch = matches == t.matches
			return -1
		}
		start, tail = start+end, nil // matches do not overlap
	}
	if offset := start + t.remaining; offset <= int64(len(data)) {
		return offset
	}
	return -1
}

// findMatch returns the end, in data, of the first match in tail and data together; -1 if there is none.
func (t *trigger) findMatch(tail, data []byte) int64 {
	if len(tail) > 0 {
		joint := slices.Concat(tail, data[:min(len(data), len(t.Match)-1)])
		if i := bytes.Index(joint, t.Match); i >= 0 {
			return int64(i + len(t.Match) - len(tail))
		}
	}
	if i := bytes.Index(data, t.Match); i >= 0 {
		return int64(i + len(t.Match))
	}
	return -1
}

// advance takes note of data that have passed before the rule triggers.
func (t *trigger) advance(data []byte) {
	if t.done {
		return
	}
	noMatch := t.noMatch // what has no match as a whole has none in a part
	t.noMatch = false
	for t.matches > 0 {
		end := int64(-1)
		if !noMatch {
			end = t.findMatch(t.tail, data)
		}
		if end < 0 {
			t.keepTail(data)
			return
		}
		data, t.tail = data[end:], nil
		t.matches--
	}
	t.remaining = max(0, t.remaining-int64(len(data)))
}

// keepTail keeps the last bytes of tail and data together, one fewer than a match has.
func (t *trigger) keepTail(data []byte) {
	length := len(t.Match) - 1
	if len(data) >= length {
		t.tail = append(t.tail[:0], data[len(data)-length:]...)
		return
	}
	t.tail = append(t.tail, data...)
	t.tail = append(t.tail[:0], t.tail[max(0, len(t.tail)-length):]...)
}
