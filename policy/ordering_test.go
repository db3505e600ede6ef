package policy

import (
	"testing"
	"time"
)

func TestOrderingKeySerializesAndPauses(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	h.step(Event{Kind: MessageAccepted, MessageID: 1, Key: "k", Class: 2, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, Key: "k", Class: 2, TimeLeft: 9 * time.Second})
	if actions := h.finish(1, "a", Timeout, time.Second, 0); hasAction(actions, Send) {
		t.Errorf("sent while the key pauses: %+v", actions)
	}
	if actions := h.advance(99 * ms); hasAction(actions, Send) {
		t.Errorf("sent while the key pauses: %+v", actions)
	}
	if actions := h.advance(ms); !hasAction(actions, Send) {
		t.Error("the next message of the key was not sent after the pause")
	}
}
