package policy

import (
	"testing"
	"time"
)

// Short-lived messages once had two tries of half their time each, both cut off before the answer.
func TestShortTimeLeftGoesToOneAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for _, test := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // what an answer not measured yet may take
	} {
		actions := h.step(Event{Kind: MessageAccepted, MessageID: uint32(test.left), TimeLeft: test.left})
		if len(actions) != 1 || actions[0].Kind != Send || actions[0].TimeoutAt-h.now != test.want {
			t.Errorf("%v left: %+v, want one try cut after %v", test.left, actions, test.want)
		}
	}
}
