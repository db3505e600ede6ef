package policy

import (
	"math"
	"time"
)

// deadlineMargin is the time by which final answers and timeouts come before a message's deadline, so that they reach
// the client in time.
const deadlineMargin = 12 * time.Millisecond

// Delays of messages in the queue, as fractions of their time left.
const (
	missedObjectiveDelayRatio = 0.5 // of one that has missed its latency objective
	overQuotaDelayRatio       = 0.5 // of one beyond its tenant's quota
)

// minClassWeight is the lowest weight that counts: weights divide delays, and may be zero.
const minClassWeight = 0.01

// deadlineEntry is a time at which a message has to be looked at.
type deadlineEntry struct {
	at      time.Duration
	message *message
}

// precedes reports whether an entry is due before another one.
func (entry *deadlineEntry) precedes(other *deadlineEntry) bool {
	return entry.at < other.at || entry.at == other.at && entry.message.id < other.message.id
}

// deadlineHeap is a binary heap, the soonest entry first. It is written out since container/heap allocates a copy of
// each entry, twice for each message.
type deadlineHeap []deadlineEntry

// push adds an entry.
func (h *deadlineHeap) push(entry deadlineEntry) {
	*h = append(*h, entry)
	entries := *h
	i := len(entries) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !entry.precedes(&entries[parent]) {
			break
		}
		entries[i] = entries[parent]
		i = parent
	}
	entries[i] = entry
}

// pop removes and returns the soonest entry of a heap that is not empty.
func (h *deadlineHeap) pop() deadlineEntry {
	entries := *h
	n := len(entries) - 1
	first := entries[0]
	last := entries[n]
	entries[n] = deadlineEntry{} // releases its message
	*h = entries[:n]
	for i := 0; n > 0; {
		child := 2*i + 1
		if child+1 < n && entries[child+1].precedes(&entries[child]) {
			child++
		}
		if child >= n || !entries[child].precedes(&last) {
			entries[i] = last
			break
		}
		entries[i] = entries[child]
		i = child
	}
	return first
}

// addDeadline schedules a look at a message.
func (e *Engine) addDeadline(at time.Duration, msg *message) {
	e.deadlines.push(deadlineEntry{at: at, message: msg})
}

// handleDeadlines gives messages their final answers whose time is up, and moves those back in the queue that have
// missed their latency objectives.
func (e *Engine) handleDeadlines() {
	for len(e.deadlines) > 0 && (e.deadlines[0].at <= e.now || e.deadlines[0].message.ended) {
		msg := e.deadlines.pop().message
		switch {
		case msg.ended: // has its answer
		case e.attemptsExhausted(msg) || e.now >= msg.deadline:
			e.rejectOrFail(msg)
		case e.now >= msg.objectiveAt:
			e.deprioritize(msg)
		}
	}
}

// deprioritize moves a message back that has missed its latency objective: those that may still meet theirs have more
// to lose and go first.
func (e *Engine) deprioritize(msg *message) {
	queued := msg.queued
	e.dequeue(msg)
	delay := missedObjectiveDelayRatio * float64(msg.deadline-e.now) / math.Max(msg.class.Weight, minClassWeight)
	msg.queueRank = max(msg.queueRank, e.now+time.Duration(delay))
	if queued {
		e.enqueue(msg)
	}
}
