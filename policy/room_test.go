package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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

// A long queue stays where it is when its first message leaves: moved for each, as where all that a restart finds miss
// their aims, it takes the square of its length. Whichever leave, the order stays.
func TestDequeueAtTheFrontMovesNothing(t *testing.T) {
	engine, err := New(
		Settings{Classes: []Class{{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second}}},
		1,
	)
	if err != nil {
		t.Fatal(err)
	}
	var events []Event
	for i := range uint32(3 * maxQueueScan) {
		events = append(events, Event{Kind: MessageAccepted, MessageID: i + 1, Destination: 5, TimeLeft: 9 * time.Second})
	}
	engine.Step(time.Second, events)
	dest := engine.destinations[5]
	for range maxQueueScan {
		second := &dest.queue[1]
		if engine.dequeue(dest.queue[0]); &dest.queue[0] != second {
			t.Fatal("the queue was moved")
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	left := slices.Clone(dest.queue)
	for len(left) > 0 {
		i := rng.IntN(len(left))
		if i%3 == 0 {
			i = 0
		}
		engine.dequeue(left[i])
		if left = slices.Delete(left, i, i+1); !slices.Equal(dest.queue, left) {
			t.Fatalf("with %d left another order", len(left))
		}
	}
}
