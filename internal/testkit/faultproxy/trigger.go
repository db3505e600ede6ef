package faultproxy

import (
	"bytes"
	"math"
	"slices"
)

// never is an offset larger than any that a direction reaches.
const never = int64(math.MaxInt64)

// trigger finds the offset at which a rule triggers in one direction of one connection.
type trigger struct {
	numberedRule
	done      bool   // the rule has triggered
	matches   int    // how many matches must still be found
	remaining int64  // how many bytes must still pass after the last match
	tail      []byte // the last bytes that passed, in which the next match may begin
	noMatch   bool   // nextOffset found no match in its data, so the next advance need not search
}

func newTrigger(rule numberedRule) *trigger {
	t := &trigger{numberedRule: rule, remaining: rule.Offset}
	if len(rule.Match) > 0 {
		t.matches = max(1, rule.Occurrence)
	}
	return t
}

// nextOffset returns after how many bytes of data the rule triggers; -1 if it does not trigger within data. The caller
// must pass all data before the trigger to advance.
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
		joined := slices.Concat(tail, data[:min(len(data), len(t.Match)-1)])
		if i := bytes.Index(joined, t.Match); i >= 0 {
			return int64(i + len(t.Match) - len(tail))
		}
	}
	if i := bytes.Index(data, t.Match); i >= 0 {
		return int64(i + len(t.Match))
	}
	return -1
}

// advance updates the trigger after data has passed without triggering the rule.
func (t *trigger) advance(data []byte) {
	if t.done {
		return
	}
	noMatch := t.noMatch // if all of the data has no match, neither has a prefix of it
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

// keepTail sets tail to the last bytes of tail and data together, one byte fewer than the match has.
func (t *trigger) keepTail(data []byte) {
	length := len(t.Match) - 1
	if len(data) >= length {
		t.tail = append(t.tail[:0], data[len(data)-length:]...)
		return
	}
	t.tail = append(t.tail, data...)
	t.tail = append(t.tail[:0], t.tail[max(0, len(t.tail)-length):]...)
}
