package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

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
