package relay

import (
	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
)

const (
	// messageSize estimates the memory of a message without its body and its texts, in bytes: the states that the
	// relay, the journal and the policy keep for it.
	messageSize = 768
	// finishedSize estimates the memory of the answer to a finished message without its trace id, in bytes.
	finishedSize = 192
)

// messageMemory returns the memory that a message takes until it is removed, in bytes.
func messageMemory(m *journal.Message) int64 {
	return int64(messageSize + len(m.TraceID) + len(m.IdempotencyKey) + len(m.OrderingKey))
}

// track adds a message whose memory is reserved.
func (r *Relay) track(m *message) { r.messages[m.ID] = m }

// trackRestored adds a message that an earlier process accepted, whether or not there is memory for it.
func (r *Relay) trackRestored(m *message) {
	r.budget.Add(memory.Messages, messageMemory(m.Message))
	r.track(m)
}

// untrack deletes a message and releases its memory.
func (r *Relay) untrack(m *message) {
	if r.messages[m.ID] != m {
		return
	}
	delete(r.messages, m.ID)
	r.budget.Release(memory.Messages, messageMemory(m.Message))
}

// maxBodyBytes returns how many bytes of bodies the journal may keep in memory. configured is the operator's bound; 0
// means none.
func maxBodyBytes(configured int64, budget *memory.Budget) int64 {
	limit := budget.Limit(memory.Bodies)
	if configured > 0 {
		return min(configured, limit)
	}
	return limit
}

// finishedMemory returns the memory of the answer to a finished message, in bytes.
func finishedMemory(trace string) int64 { return int64(finishedSize + len(trace)) }

// accountFinished reserves the memory of the answers to finished messages. Their number is bounded in any case.
func (r *Relay) accountFinished() {
	r.budget.Add(memory.Messages, r.finished.bytes-r.finishedBytes)
	r.finishedBytes = r.finished.bytes
}
