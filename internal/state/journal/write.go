package journal

import (
	"errors"
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Each write is followed by a step of compaction if the store needs one. The size of a step is bounded, so that the
// work is spread evenly and no write takes long.
const (
	// minCompactionBytes is the minimum number of bytes in a step. It lets compaction advance when writes are small.
	minCompactionBytes = 8 << 10
	// compactionRatio is the number of bytes in a step per byte that was just written. Compaction must free space
	// faster than writes use it.
	compactionRatio = 3
)

// pendingRecord is a change to a message that the next write includes: an outcome, a final answer, a cancellation or
// a removal.
type pendingRecord struct {
	message *Message
	kind    deltaKind
	attempt int // number of the attempt, only for deltaNotRun
}

// Accept records messages as accepted, either all of them or none. After ErrFull none of them is in the journal.
func (j *Journal) Accept(messages ...*Message) error {
	batch := j.beginBatch()
	keys := make([]uint64, 0, 16)
	for _, m := range messages {
		j.scratch = m.appendHeader(j.scratch[:0], j.timeline)
		keys = append(keys, batch.Put(j.scratch, m.Body))
	}
	if err := j.commit(batch); err != nil {
		return err
	}
	for i, m := range messages {
		m.key = keys[i]
		j.live[m.ID] = m
		j.retainBody(m)
	}
	return nil
}

// RecordSends records attempts, either all of them or none. It must be called before the first byte of any of them is
// sent.
func (j *Journal) RecordSends(sends ...Send) error {
	err := j.commitSends(sends)
	if errors.Is(err, ErrFull) { // only delivered messages needed space, and they are removed now
		err = j.commitSends(sends)
	}
	if err != nil {
		return err
	}
	for _, send := range sends {
		send.Message.addAttempt(send.Attempt)
	}
	return nil
}

func (j *Journal) commitSends(sends []Send) error {
	batch := j.beginBatch()
	for i := range sends {
		send := &sends[i]
		j.scratch = appendAttempt(append(j.scratch[:0], byte(deltaSend)), &send.Attempt, j.timeline)
		batch.Append(send.Message.key, j.scratch)
	}
	return j.commit(batch)
}

// RecordNotRun adds a pending record of an outcome that proves that an attempt never ran. Other outcomes need no
// record: the attempt stays uncertain after them, as it is without an outcome.
func (j *Journal) RecordNotRun(m *Message, attempt int) {
	if !j.Tracks(m) {
		return
	}
	m.removeAttempt(attempt)
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaNotRun, attempt: attempt})
}

// RecordFinal adds a pending record of the final answer of m.
func (j *Journal) RecordFinal(m *Message, answer FinalAnswer) {
	if !j.Tracks(m) {
		return
	}
	m.Final = &answer
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaFinal})
}

// RecordCancelled adds a pending record that the client of m no longer waits for an answer. The journal keeps the
// uncertain attempts of m until Remove.
func (j *Journal) RecordCancelled(m *Message) {
	if !j.Tracks(m) {
		return
	}
	m.Cancelled = true
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaCancelled})
}

// Remove stops tracking m, which is complete, and adds a pending record of its removal.
func (j *Journal) Remove(m *Message) {
	if !j.Tracks(m) {
		return
	}
	delete(j.live, m.ID)
	j.releaseBody(m)
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaRemove})
}

// Flush writes the pending records. After an error they stay pending for the next write.
func (j *Journal) Flush() error {
	if len(j.pending) == 0 {
		return nil
	}
	err := j.commit(j.beginBatch())
	if errors.Is(err, ErrFull) {
		return nil // without space for delivered messages, their removal was written
	}
	return err
}

// beginBatch returns a batch that begins with all pending records.
func (j *Journal) beginBatch() *store.Batch {
	batch := j.store.Begin()
	clear(j.replaced)
	for _, record := range j.pending {
		key := record.message.key
		if replacement, replaced := j.replaced[record.message]; replaced {
			key = replacement
		}
		switch record.kind {
		case deltaRemove:
			batch.Delete(key)
			continue
		case deltaDelivered:
			j.replaceDelivered(batch, record.message, key)
			continue
		}
		j.scratch = append(j.scratch[:0], byte(record.kind))
		switch record.kind {
		case deltaNotRun:
			j.scratch = appendVarint(j.scratch, int64(record.attempt))
		case deltaFinal:
			j.scratch = appendFinal(j.scratch, record.message.Final)
		}
		batch.Append(key, j.scratch)
	}
	return batch
}

// commit writes a batch from beginBatch, which includes the pending records, and then runs a step of compaction if one
// is due. If there is no space for new messages, commit writes only the pending records and returns ErrFull.
func (j *Journal) commit(batch *store.Batch) error {
	committedBefore := j.store.Stats().CommittedBytes
	err := j.store.Commit(batch)
	if errors.Is(err, store.ErrFull) {
		j.removeDelivered()
		if pendingErr := j.commitPending(); pendingErr != nil {
			return fmt.Errorf("journal: %w", errors.Join(ErrFull, pendingErr))
		}
		err = ErrFull
	}
	if err == nil {
		j.pendingWritten()
	}
	j.compact(committedBefore)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// commitPending writes the pending records and nothing else.
func (j *Journal) commitPending() error {
	if len(j.pending) == 0 {
		return nil
	}
	if err := j.store.Commit(j.beginBatch()); err != nil {
		return err
	}
	j.pendingWritten()
	return nil
}

// compact runs a step of compaction if the store needs one. committedBefore is Stats.CommittedBytes before the write;
// the size of the step is in proportion to the bytes written since then. A compaction error does not fail the write:
// the next step tries again, and CompactionError returns the error.
func (j *Journal) compact(committedBefore int64) {
	if !j.store.CompactionDue() {
		return
	}
	written := int(j.store.Stats().CommittedBytes - committedBefore)
	_, err := j.store.Compact(max(minCompactionBytes, compactionRatio*written))
	if err != nil && j.compactionErr == nil {
		j.compactionErr = err
	}
}
