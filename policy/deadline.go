package policy

import (
	"math"
	"time"
)

// deadlineMargin is the time between the last possible final answer or timeout of a message and the message's
// deadline. It lets the answer reach the client in time.
const deadlineMargin = 12 * time.Millisecond

// Delays of messages in the queue, as fractions of the time left until their deadlines.
const (
	missedObjectiveDelayRatio = 0.5 // for a message that has missed its latency objective
	overQuotaDelayRatio       = 0.5 // for a message beyond its tenant's quota
)

// minClassWeight is the lower bound of a class weight where it divides a delay: configured weights may be zero.
const minClassWeight = 0.01

// deadlineEntry is a time at which a message is due for a check by handleDeadlines.
type deadlineEntry struct {
	at      time.Duration
	message *message
}

// precedes reports whether an entry is due before another one.
func (entry *deadlineEntry) precedes(other *deadlineEntry) bool {
	return entry.at < other.at || entry.at == other.at && entry.message.id < other.message.id
}

// deadlineHeap is a binary heap with the earliest entry first. It does not use container/heap, which allocates a
// copy of each entry, twice for each message.
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

// pop removes and returns the earliest entry. The heap must not be empty.
func (h *deadlineHeap) pop() deadlineEntry {
	entries := *h
	n := len(entries) - 1
	first := entries[0]
	last := entries[n]
	entries[n] = deadlineEntry{} // drops the reference to the message
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

// addDeadline schedules a check of a message.
func (e *Engine) addDeadline(at time.Duration, msg *message) {
	e.deadlines.push(deadlineEntry{at: at, message: msg})
}

// handleDeadlines checks the messages whose entries are due. A message whose deadline has passed, or that can have
// no further attempt, gets its final answer. A message that has missed its latency objective moves back in the
// queue.
func (e *Engine) handleDeadlines() {
	for len(e.deadlines) > 0 && (e.deadlines[0].at <= e.now || e.deadlines[0].message.ended) {
		msg := e.deadlines.pop().message
		switch {
		case msg.ended: // already has its final answer
		case e.attemptsExhausted(msg) || e.now >= msg.deadline:
			e.rejectOrFail(msg)
		case e.now >= msg.objectiveAt:
			e.deprioritize(msg)
		}
	}
}

// deprioritize moves a message that has missed its latency objective back in the queue. Messages that can still
// meet their objectives lose more by waiting, so they go first.
func (e *Engine) deprioritize(msg *message) {
	queued := msg.queued
	e.dequeue(msg)
	delay := missedObjectiveDelayRatio * float64(msg.deadline-e.now) / math.Max(msg.class.Weight, minClassWeight)
	msg.queueRank = max(msg.queueRank, e.now+time.Duration(delay))
	if queued {
		e.enqueue(msg)
	}
}
