package policy

import (
	"testing"
	"time"
)

// Guards against splitting a short time left between two attempts, which would both time out before the answer.
func TestShortTimeLeftGoesToOneAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for _, test := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // the latency bound before the first answer
	} {
		actions := h.step(Event{Kind: MessageAccepted, MessageID: MessageID(test.left), TimeLeft: test.left})
		if len(actions) != 1 || actions[0].Kind != Send || actions[0].TimeoutAt-h.now != test.want {
			t.Errorf("%v left: %+v, want one attempt with a timeout of %v", test.left, actions, test.want)
		}
	}
}
