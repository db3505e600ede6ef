package policy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The heap returns entries in order for any sequence of pushes and pops. It allocates nothing for an entry once its
// slice has grown.
func TestDeadlineHeapOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h deadlineHeap
		var model []deadlineEntry
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(model) == 0 || rapid.IntRange(0, 2).Draw(t, "push") > 0 {
				entry := deadlineEntry{
					time.Duration(rapid.IntRange(0, 20).Draw(t, "at")),
					&message{id: MessageID(rapid.Uint32Range(0, 5).Draw(t, "id"))},
				}
				h.push(entry)
				model = append(model, entry)
				continue
			}
			got := h.pop()
			for i := range model {
				if model[i].precedes(&got) {
					t.Fatalf("entry at %v of message %d popped before entry at %v of message %d",
						got.at, got.message.id, model[i].at, model[i].message.id)
				}
			}
			i := slices.Index(model, got)
			if i < 0 {
				t.Fatal("popped an entry that was not pushed")
			}
			model = slices.Delete(model, i, i+1)
		}
		if len(h) != len(model) {
			t.Fatalf("%d entries in the heap, want %d", len(h), len(model))
		}
	})
	h := make(deadlineHeap, 0, 8)
	msg := &message{id: 1}
	allocations := testing.AllocsPerRun(100, func() {
		h.push(deadlineEntry{1, msg})
		h.pop()
	})
	if allocations > 0 {
		t.Errorf("%.0f allocations for an entry, want none", allocations)
	}
}

func TestLateMessagesAreDeprioritized(t *testing.T) {
	h := newHarness(t, testSettings())
	h.accept(1, 0)
	h.advance(3 * time.Second)
	h.accept(2, 0)
	actions := h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", InService: true}}})
	if len(actions) != 2 || actions[0].MessageID != 2 || actions[1].MessageID != 1 {
		t.Errorf("actions %+v, want message 2 sent before message 1", actions)
	}
}
