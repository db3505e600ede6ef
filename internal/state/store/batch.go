package store

import (
	"encoding/binary"
	"fmt"
)

// maxDeleteSize is the largest number of bytes that a delete takes on disk.
const maxDeleteSize = frameHeaderSize + maxRecordHeader

// Batch collects the operations of one commit. It must not be used after Commit, because the store reuses it.
type Batch struct {
	store    *Store
	ops      []op
	data     []byte // values and deltas of all ops
	putCount int
	err      error
}

// op is one operation of a batch: a put, a delta or a delete.
type op struct {
	kind     recordKind
	key      uint64
	from, to int // range of its bytes in Batch.data; to is exclusive
}

func (o *op) size() int { return o.to - o.from }

// maxRecordSize returns the largest number of bytes that the operation takes on disk.
func (o *op) maxRecordSize() int64 { return maxFramedSize(int64(o.size()) + maxRecordHeader) }

// Begin empties the store's batch and returns it. Each store has only one batch.
func (s *Store) Begin() *Batch {
	if len(s.pendingDeletes) > 0 {
		// Pending deletes use up record numbers, which determine the keys that Put returns, so they come first. If
		// they fail, Commit fails too.
		s.applyPendingDeletes()
	}
	b := &s.batch
	b.store = s
	b.ops = b.ops[:0]
	b.data = b.data[:0]
	b.putCount = 0
	b.err = nil
	return b
}

// Put adds a new value, the concatenation of parts. It returns the key that the value will have after Commit.
func (b *Batch) Put(parts ...[]byte) (key uint64) {
	key = b.store.nextNumber + uint64(len(b.ops))
	b.add(kindPut, key, parts...)
	b.putCount++
	return key
}

// Append adds a delta to a value, which may have been put in the same batch.
func (b *Batch) Append(key uint64, delta []byte) { b.add(kindDelta, key, delta) }

// Delete removes a value. A key without a live value is no error: the value may have been removed already.
func (b *Batch) Delete(key uint64) { b.add(kindDelete, key) }

// Len returns the number of operations that the batch holds.
func (b *Batch) Len() int { return len(b.ops) }

func (b *Batch) add(kind recordKind, key uint64, parts ...[]byte) {
	from := len(b.data)
	for _, part := range parts {
		b.data = append(b.data, part...)
	}
	size := len(b.data) - from
	if maxSize := b.store.maxValueSize(); size > maxSize {
		b.err = fmt.Errorf("%w: %d bytes, must be at most %d", ErrTooLarge, size, maxSize)
	}
	b.ops = append(b.ops, op{kind: kind, key: key, from: from, to: len(b.data)})
}

// maxValueSize returns the largest size of a value or delta in bytes. The rest of a segment is for frame headers
// and the directory.
func (s *Store) maxValueSize() int { return int(s.segmentSize) * 7 / 8 }

// maxRecordSize returns the largest number of bytes that the batch takes on disk.
func (b *Batch) maxRecordSize() int64 {
	size := int64(0)
	for i := range b.ops {
		size += b.ops[i].maxRecordSize()
	}
	return size
}

// Commit writes all operations of a batch or, if it fails, none, with the exceptions below. After ErrFull, the same
// operations without the puts may be committed in a new batch.
//
// A batch that the active segment cannot hold is written in parts. If a later part cannot be written, deltas and
// deletes of the earlier parts remain; values of the earlier parts are deleted by the next Begin. If only the sync
// fails, the whole batch remains in the store, but may not survive a machine crash. A crash during Commit may leave
// the first operations of the batch without the others.
func (s *Store) Commit(b *Batch) error {
	switch {
	case b.err != nil:
		return b.err
	case s.options.ReadOnly:
		return ErrReadOnly
	case s.closed:
		return ErrClosed // the lock is released: another process may write
	case len(b.ops) == 0:
		return nil
	}
	if n := len(s.pendingDeletes); n > 0 {
		return fmt.Errorf("store: %d values of a failed batch are not deleted yet: %w", n, s.pendingDeleteErr)
	}
	if err := s.checkDeltaKeys(b); err != nil {
		return err
	}
	if b.putCount > 0 && !s.hasSpaceForValues(b.maxRecordSize()) {
		return ErrFull
	}
	for done := 0; done < len(b.ops); {
		next, err := s.writeOps(b, done)
		if err != nil {
			s.scheduleDeletes(b.ops[:done])
			return err
		}
		done = next
	}
	return s.syncCommit()
}

// checkDeltaKeys returns ErrKeyNotFound if the value of a delta is neither stored nor put in the batch.
func (s *Store) checkDeltaKeys(b *Batch) error {
	firstNew := s.nextNumber
	endNew := firstNew + uint64(len(b.ops))
	for i := range b.ops {
		o := &b.ops[i]
		if o.kind != kindDelta || o.key >= firstNew && o.key < endNew {
			continue
		}
		if _, ok := s.index[o.key]; !ok {
			return fmt.Errorf("%w: %d", ErrKeyNotFound, o.key)
		}
	}
	return nil
}

// writeOps writes the operations of a batch starting at index from, as many as fit into one segment, in one write,
// and updates the store's index. It returns the index of the first operation that it did not write.
func (s *Store) writeOps(b *Batch, from int) (next int, err error) {
	if err := s.ensureSpace(b.ops[from].maxRecordSize()); err != nil {
		return from, err
	}
	seg := s.activeSegment()
	start := seg.size
	s.writeBuf = s.writeBuf[:0]
	s.recordEnds = s.recordEnds[:0]
	for next = from; next < len(b.ops); next++ {
		o := &b.ops[next]
		offset := start + int64(len(s.writeBuf))
		if next > from && offset+o.maxRecordSize() > s.segmentSize {
			break
		}
		s.recordBuf = s.appendOpHeader(s.recordBuf[:0], o)
		s.recordBuf = append(s.recordBuf, b.data[o.from:o.to]...)
		number := s.nextNumber + uint64(next-from)
		s.writeBuf = AppendRecord(s.writeBuf, seg.header.Epoch, offset, number, s.recordBuf)
		s.recordEnds = append(s.recordEnds, start+int64(len(s.writeBuf)))
	}
	if err := s.appendToSegment(seg, s.writeBuf); err != nil {
		return from, err
	}
	offset := start
	for i, end := range s.recordEnds {
		s.applyOp(seg, &b.ops[from+i], s.nextNumber, frameOffset(offset), end)
		s.nextNumber++
		offset = end
	}
	seg.nextNumber = s.nextNumber
	s.stats.CommittedBytes += int64(len(s.writeBuf))
	return next, nil
}

// appendOpHeader appends the kind and the fields of an operation's record. The operation's bytes follow them.
func (s *Store) appendOpHeader(record []byte, o *op) []byte {
	record = append(record, byte(o.kind))
	switch o.kind {
	case kindDelta:
		record = binary.AppendUvarint(record, o.key)
	case kindDelete:
		record = binary.AppendUvarint(record, o.key)
		record = binary.AppendUvarint(record, uint64(s.index[o.key].segment))
	}
	return record
}

// scheduleDeletes schedules the deletion of the values in a batch's written operations, after a later operation
// could not be written. The values are on disk, and must be deleted before the next batch is committed.
func (s *Store) scheduleDeletes(written []op) {
	for i := range written {
		if written[i].kind == kindPut {
			s.pendingDeletes = append(s.pendingDeletes, written[i].key)
		}
	}
}

// applyPendingDeletes deletes the values of failed batches, each in a separate write.
func (s *Store) applyPendingDeletes() {
	for len(s.pendingDeletes) > 0 {
		last := len(s.pendingDeletes) - 1
		key := s.pendingDeletes[last]
		if _, ok := s.index[key]; ok {
			b := Batch{store: s, ops: []op{{kind: kindDelete, key: key}}}
			if _, err := s.writeOps(&b, 0); err != nil {
				s.pendingDeleteErr = err
				return
			}
		}
		s.pendingDeletes = s.pendingDeletes[:last]
	}
}
