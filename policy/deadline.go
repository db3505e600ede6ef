package policy

import (
	"math"
	"time"
)

const (
	deadlineMargin            = 12 * time.Millisecond // final answers and time-outs come this long before the deadline
	missedObjectiveDelayRatio = 0.5                   // of its time left: how much later a message past its aim queues
)

type deadlineEntry struct {
	at      time.Duration
	message *message
}

func (entry *deadlineEntry) precedes(other *deadlineEntry) bool {
	return entry.at < other.at || entry.at == other.at && entry.message.id < other.message.id
}

// deadlineHeap is a binary heap, the soonest first. It is written out since container/heap makes a copy of each entry on the
// heap of the program, twice for each message.
type deadlineHeap []deadlineEntry

func (h *deadlineHeap) push(entry deadlineEntry) {
	*h = append(*h, entry)
	a := *h
	i := len(a) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !entry.precedes(&a[parent]) {
			break
		}
		a[i], i = a[parent], parent
	}
	a[i] = entry
}

func (h *deadlineHeap) pop() deadlineEntry {
	a := *h
	n := len(a) - 1
	first, entry := a[0], a[n]
	a[n] = deadlineEntry{}
	*h = a[:n]
	for i := 0; n > 0; {
		c := 2*i + 1
		if c+1 < n && a[c+1].precedes(&a[c]) {
			c++
		}
		if c >= n || !a[c].precedes(&entry) {
			a[i] = entry
			break
		}
		a[i], i = a[c], c
	}
	return first
}

// handleDeadlines gives every message whose time is up its final answer.
func (e *Engine) handleDeadlines() {
	for len(e.deadlines) > 0 && (e.deadlines[0].at <= e.now || e.deadlines[0].message.ended) {
		msg := e.deadlines.pop().message
		switch {
		case msg.ended:
		case e.attemptsExhausted(msg) || e.now >= msg.deadline:
			e.rejectOrFail(msg)
		case e.now >= msg.objectiveAt:
			e.deprioritize(msg)
		}
	}
}

// deprioritize moves a message back that has missed its aim: what is still in time goes first, with more to lose.
func (e *Engine) deprioritize(msg *message) {
	queued := msg.queued
	e.dequeue(msg)
	after := missedObjectiveDelayRatio * float64(msg.deadline-e.now) / math.Max(msg.class.Weight, 0.01)
	msg.queueRank = max(msg.queueRank, e.now+time.Duration(after))
	if queued {
		e.enqueue(msg)
	}
}
