package engine

import "time"

// heapArity is the number of children of a node. With four, a path from the root touches fewer cache lines than with
// two.
const heapArity = 4

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // number in the order of scheduling; orders events of the same time
	run      func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventHeap is a min-heap of events: the next event to run is at index 0. It does not use container/heap, whose
// interface allocates memory for each event.
type eventHeap []event

// push adds an event.
func (h *eventHeap) push(added event) {
	*h = append(*h, added)
	events := *h
	i := len(events) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !added.before(&events[parent]) {
			break
		}
		events[i] = events[parent]
		i = parent
	}
	events[i] = added
}

// pop removes and returns the next event. The heap must not be empty.
func (h *eventHeap) pop() event {
	events := *h
	next := events[0]
	last := len(events) - 1
	moved := events[last]
	events[last] = event{} // lets the garbage collector free the event's closure
	events = events[:last]
	*h = events
	if last > 0 {
		events.siftDown(moved)
	}
	return next
}

// siftDown moves an event from the vacant root down to its place in the heap.
func (h eventHeap) siftDown(moved event) {
	i := 0
	for {
		first := heapArity*i + 1
		if first >= len(h) {
			break
		}
		earliest := first
		for child := first + 1; child < min(first+heapArity, len(h)); child++ {
			if h[child].before(&h[earliest]) {
				earliest = child
			}
		}
		if !h[earliest].before(&moved) {
			break
		}
		h[i] = h[earliest]
		i = earliest
	}
	h[i] = moved
}
