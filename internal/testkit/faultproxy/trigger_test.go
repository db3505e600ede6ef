package faultproxy

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// A rule triggers at the same offset however the data is divided into reads. modelOffset computes the expected offset
// from all of the data at once.
func TestTriggersDoNotDependOnHowBytesCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "data"))
		rule := Rule{
			Match:  []byte(rapid.StringMatching(`[ab]{0,4}`).Draw(t, "match")),
			Offset: rapid.Int64Range(0, 10).Draw(t, "offset"),
			Fault:  Reset,
		}
		if len(rule.Match) > 0 {
			rule.Occurrence = rapid.IntRange(0, 3).Draw(t, "occurrence")
		}
		want := modelOffset(rule, data)
		tested, got, passed := newTrigger(numberedRule{Rule: rule}), int64(-1), int64(0)
		for rest := data; got < 0 && len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if offset := tested.nextOffset(rest[:n]); offset >= 0 {
				got = passed + offset
			}
			tested.advance(rest[:n])
			passed, rest = passed+int64(n), rest[n:]
		}
		if len(data) > 0 && got != want {
			t.Fatalf("%s triggers in %q at %d, want %d", rule, data, got, want)
		}
	})
}

// modelOffset returns the offset in data at which a rule triggers; -1 if it does not trigger.
func modelOffset(rule Rule, data []byte) int64 {
	offset := int64(0)
	for n := 0; len(rule.Match) > 0 && n < max(1, rule.Occurrence); n++ {
		i := bytes.Index(data[offset:], rule.Match)
		if i < 0 {
			return -1
		}
		offset += int64(i + len(rule.Match))
	}
	offset += rule.Offset
	if offset > int64(len(data)) {
		return -1
	}
	return offset
}

func TestMatchesDoNotOverlap(t *testing.T) {
	rule := Rule{Match: []byte("aa"), Occurrence: 2, Fault: Reset}
	tested := newTrigger(numberedRule{Rule: rule})
	tested.advance([]byte("a"))
	if got := tested.nextOffset([]byte("aaa")); got != 3 {
		t.Errorf("the rule triggers after %d bytes, want 3", got)
	}
}
