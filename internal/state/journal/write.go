package journal

import (
	"errors"
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// Each write is followed by a step of compaction, so that the work is spread evenly and no write waits long.
const (
	// minCompaction is the least that a step copies, in bytes: enough for small writes to make progress, too.
	minCompaction = 8 << 10
	// compactionRatio is how many times the bytes just written a step copies: compaction must outrun the writes.
	compactionRatio = 3
)

// pendingRecord is an outcome, a final answer or a removal that waits for the next write.
type pendingRecord struct {
	message *Message
	kind    deltaKind
	attempt int // its number, for deltaNotRun
}

// Accept records that messages are accepted, all or none. After ErrFull none of them is in the journal.
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

// RecordSends records attempts, all or none. It is called before the first byte of any of them leaves.
func (j *Journal) RecordSends(sends ...Send) error {
	batch := j.beginBatch()
	for i := range sends {
		send := &sends[i]
		j.scratch = appendAttempt(append(j.scratch[:0], byte(deltaSend)), &send.Attempt, j.timeline)
		batch.Append(send.Message.key, j.scratch)
	}
	if err := j.commit(batch); err != nil {
		return err
	}
	for _, send := range sends {
		send.Message.addAttempt(send.Attempt)
	}
	return nil
}

// RecordNotRun notes an outcome which proves that an attempt never ran. No other outcome needs a record: it would
// change nothing for the next process.
func (j *Journal) RecordNotRun(m *Message, attempt int) {
	if !j.Tracks(m) {
		return
	}
	m.removeAttempt(attempt)
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaNotRun, attempt: attempt})
}

// RecordFinal notes the final answer that will end m.
func (j *Journal) RecordFinal(m *Message, answer FinalAnswer) {
	if !j.Tracks(m) {
		return
	}
	m.Final = &answer
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaFinal})
}

// RecordCancelled notes that the client of m waits for no answer. Until Remove the journal keeps which attempts may
// have run.
func (j *Journal) RecordCancelled(m *Message) {
	if !j.Tracks(m) {
		return
	}
	m.Cancelled = true
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaCancelled})
}

// Remove notes that m is complete and need not be known any longer.
func (j *Journal) Remove(m *Message) {
	if !j.Tracks(m) {
		return
	}
	delete(j.live, m.ID)
	j.releaseBody(m)
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaRemove})
}

// Flush writes what is pending. After an error it stays pending for the next write.
func (j *Journal) Flush() error {
	if len(j.pending) == 0 {
		return nil
	}
	return j.commit(j.beginBatch())
}

// beginBatch returns a batch that begins with all pending records.
func (j *Journal) beginBatch() *store.Batch {
	batch := j.store.Begin()
	for _, record := range j.pending {
		key := record.message.key
		if record.kind == deltaRemove {
			batch.Delete(key)
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

// commit writes a batch, which begins with the pending records, and then compacts in proportion. If there is no room
// for new messages it writes the pending records alone.
func (j *Journal) commit(batch *store.Batch) error {
	committedBefore := j.store.Stats().CommittedBytes
	err := j.store.Commit(batch)
	if errors.Is(err, store.ErrFull) {
		if pendingErr := j.commitPending(); pendingErr != nil {
			return fmt.Errorf("journal: %w", errors.Join(ErrFull, pendingErr))
		}
		err = ErrFull
	}
	if err == nil {
		j.pending = j.pending[:0]
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
	j.pending = j.pending[:0]
	return nil
}

// compact runs a step of compaction if the store needs one, in proportion to what was written since
// Stats.CommittedBytes was committedBefore. An error does not fail the write, which succeeded: the next step tries
// again, and CompactionError reports it.
func (j *Journal) compact(committedBefore int64) {
	if !j.store.CompactionDue() {
		return
	}
	written := int(j.store.Stats().CommittedBytes - committedBefore)
	_, err := j.store.Compact(max(minCompaction, compactionRatio*written))
	if err != nil && j.compactionErr == nil {
		j.compactionErr = err
	}
}
