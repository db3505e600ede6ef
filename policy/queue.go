package policy

import (
	"slices"
	"sort"
)

// precedes reports whether message a is sent before message b.
func precedes(a, b *message) bool {
	return a.queueRank < b.queueRank || a.queueRank == b.queueRank && a.id < b.id
}

// enqueue puts a message in the queue of its destination.
func (e *Engine) enqueue(msg *message) {
	dest := msg.destination
	i := sort.Search(len(dest.queue), func(i int) bool { return precedes(msg, dest.queue[i]) })
	dest.queue = slices.Insert(dest.queue, i, msg)
	msg.queued = true
	e.recheck(dest)
	if dest.activeIndex == 0 {
		e.active = append(e.active, dest)
		dest.activeIndex = len(e.active)
	}
}

// dequeue takes a message out of the queue of its destination, if it is there.
func (e *Engine) dequeue(msg *message) {
	if !msg.queued {
		return
	}
	msg.queued = false
	dest := msg.destination
	i := sort.Search(len(dest.queue), func(i int) bool { return !precedes(dest.queue[i], msg) })
	if len(dest.queue) > maxQueueScan && i < len(dest.queue)/2 {
		// Most messages leave at the front. Moving the shorter front part avoids moving the rest of a long queue
		// for each of its messages, for example when all of them miss their latency objectives.
		copy(dest.queue[1:i+1], dest.queue[:i])
		dest.queue[0] = nil
		dest.queue = dest.queue[1:]
	} else {
		dest.queue = slices.Delete(dest.queue, i, i+1)
	}
	if len(dest.queue) == 0 {
		e.deactivate(dest)
	}
}

// deactivate removes a destination from the active ones. The last active destination moves to its index.
func (e *Engine) deactivate(dest *destination) {
	last := e.active[len(e.active)-1]
	e.active[dest.activeIndex-1] = last
	last.activeIndex = dest.activeIndex
	e.active = e.active[:len(e.active)-1]
	dest.activeIndex = 0
}
