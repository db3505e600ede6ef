package policy

import (
	"math"
	"testing"
	"time"
)

func TestLoadIsShedFromTheLongestQueue(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 10
	h := newHarness(t, settings)
	for id := range uint32(9) {
		h.accept(id, 0)
	}
	actions := h.step(Event{Kind: MessageAccepted, MessageID: 20, Destination: 4, TimeLeft: 60 * time.Second})
	if len(actions) != 1 || actions[0].Kind != Reject || actions[0].MessageID == 20 {
		t.Errorf("with little room left: %+v", actions)
	}
}

// Where room is short so many messages are looked at for one to refuse, and no more: a restart finds a full house of
// which none may be refused, and would look through all of it for each message that it takes up, and for each new one.
func TestLoadSheddingScansABoundedQueue(t *testing.T) {
	for _, test := range []struct {
		name    string
		behind  int // messages that may not be refused, behind one that may
		refused bool
	}{
		{"near the end", maxQueueScan - 1, true},
		{"beyond the depth", maxQueueScan, false},
	} {
		// short with the last
		engine, err := New(
			Settings{
				Classes: []Class{
					{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second},
				},
				MaxPendingMessages: (test.behind*10 + 8) / 9,
			},
			1,
		)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 8 * time.Second}}
		for i := range test.behind {
			events = append(
				events,
				Event{
					Kind:        MessageAccepted,
					MessageID:   uint32(i + 2),
					Destination: 5,
					TimeLeft:    9 * time.Second,
					Recovered:   &RecoveredMessage{},
				},
			)
		}
		refused := false
		for _, a := range engine.Step(time.Second, events) {
			refused = refused || a.Kind == Reject && a.MessageID == 1
		}
		if refused != test.refused {
			t.Errorf("%s: refused %v, want %v", test.name, refused, test.refused)
		}
	}
}

// A message of no known class ends once, under the strictest rules; a weight that is no number tells nothing.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, classIndex := range []int{-1, 99} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: math.NaN()}, Endpoint{ID: "b", Kind: 77})
		if got := firstSend(h.accept(1, classIndex)); got == "" {
			t.Fatalf("class %d: not sent", classIndex)
		}
		if actions := h.finish(1, "a", Timeout, time.Second, 0); !hasAction(actions, Fail) || hasAction(actions, Send) {
			t.Errorf("class %d: %+v after a time-out", classIndex, actions)
		}
	}
}
