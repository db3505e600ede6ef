package journal

import (
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

// fixedTimeline is the timeline of a machine whose clock was never set.
var fixedTimeline = clock.Timeline{Base: time.Unix(0, 0), Epoch: 1}

// encodeMessage encodes a message as a store value.
func encodeMessage(m *Message) []byte {
	return append(m.appendHeader(nil, fixedTimeline), m.Body...)
}

func TestDecodeMessageRejectsMalformedInput(t *testing.T) {
	m := message(3)
	value := encodeMessage(m)
	for cut := range len(value) - len(m.Body) {
		if m, ok := decodeMessage(value[:cut], fixedTimeline, sharedTerms{}); ok {
			t.Errorf("a message cut at byte %d is accepted: %+v", cut, m)
		}
	}
}

func TestApplyDeltaRejectsMalformedInput(t *testing.T) {
	for name, delta := range map[string][]byte{
		"empty":                 nil,
		"unknown kind":          {99},
		"send without fields":   {byte(deltaSend)},
		"final cut off":         {byte(deltaFinal), 2},
		"cancelled, extra byte": {byte(deltaCancelled), 1},
		"not run, extra bytes":  append([]byte{byte(deltaNotRun), 2}, strings.Repeat("x", 9)...),
	} {
		t.Run(name, func(t *testing.T) {
			if message(1).applyDelta(delta, fixedTimeline) {
				t.Errorf("delta %v is accepted", delta)
			}
		})
	}
}

// A message that can be decoded stays the same when it is encoded and decoded again. Data that is not a message is
// applied as a delta, which must not panic.
func FuzzDecode(f *testing.F) {
	f.Add(encodeMessage(message(3)))
	attempt := Attempt{Number: 1, Endpoint: "h", Zone: 2, SentAt: time.Unix(1, 2)}
	f.Add(appendAttempt([]byte{byte(deltaSend)}, &attempt, fixedTimeline))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := decodeMessage(data, fixedTimeline, sharedTerms{})
		if !ok {
			message(1).applyDelta(data, fixedTimeline)
			return
		}
		again, ok := decodeMessage(encodeMessage(m), fixedTimeline, sharedTerms{})
		if !ok || !equalMessages(m, again) {
			t.Errorf("decoded %+v, after encoding and decoding again %+v", m, again)
		}
	})
}

// A malformed anchor is treated as missing: times then depend on the wall clock.
func TestDecodeAnchorRejectsMalformedInput(t *testing.T) {
	want := clock.Anchor{BootID: "b", Uptime: 1, Stamp: 2, WallOffset: 3, Epoch: 4}
	value := encodeAnchor(&want, nil)
	if got := decodeAnchor(value); got == nil || *got != want {
		t.Errorf("decoded anchor %+v, want %+v", got, want)
	}
	for cut := 1; cut < len(value); cut++ {
		if got := decodeAnchor(value[:cut]); got != nil {
			t.Errorf("an anchor cut at byte %d is accepted: %+v", cut, got)
		}
	}
	if decodeAnchor(append(value, 0)) != nil {
		t.Error("an anchor with a trailing byte is accepted")
	}
}
