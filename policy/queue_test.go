package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Removing the first message must not move the rest of a long queue. Otherwise, the time to remove all messages is
// quadratic in the length of the queue, for example when all messages that a restart recovers miss their latency
// objectives. Removing a message from any place must keep the order.
func TestDequeueAtTheFrontMovesNothing(t *testing.T) {
	class := Class{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second}
	engine, err := New(Settings{Classes: []Class{class}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var events []Event
	for i := range MessageID(3 * maxQueueScan) {
		accepted := Event{Kind: MessageAccepted, MessageID: i + 1, Destination: 5, TimeLeft: 9 * time.Second}
		events = append(events, accepted)
	}
	engine.Step(time.Second, events)
	dest := engine.destinations[5]
	for range maxQueueScan {
		second := &dest.queue[1]
		engine.dequeue(dest.queue[0])
		if &dest.queue[0] != second {
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
		left = slices.Delete(left, i, i+1)
		if !slices.Equal(dest.queue, left) {
			t.Fatalf("wrong order with %d messages left", len(left))
		}
	}
}
