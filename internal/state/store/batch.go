package store

import (
	"encoding/binary"
	"fmt"
)

// maxDeleteSize is the number of bytes that a delete takes at most.
const maxDeleteSize = frameHeaderSize + maxRecordHeader

// Batch is what one commit does. Its methods add to it; it must not be used after Commit.
type Batch struct {
	store    *Store
	ops      []op
	data     []byte // of all ops
	putCount int
	err      error
}

// op is one operation of a batch: a put, a delta or a delete.
type op struct {
	kind     recordKind
	key      uint64
	from, to int // of Batch.data
}

func (o *op) size() int { return o.to - o.from }

// maxRecordSize is the number of bytes that the operation takes on disk at most.
func (o *op) maxRecordSize() int64 { return maxFramedSize(int64(o.size()) + maxRecordHeader) }

// Begin returns the store's batch, emptied.
func (s *Store) Begin() *Batch {
	if len(s.pendingDeletes) > 0 {
		s.applyPendingDeletes() // keys follow from what is written before them; where it fails, so does Commit
	}
	b := &s.batch
	b.store = s
	b.ops = b.ops[:0]
	b.data = b.data[:0]
	b.putCount = 0
	b.err = nil
	return b
}

// Put adds a new value, made of parts, and returns the key that it has once it is committed.
func (b *Batch) Put(parts ...[]byte) (key uint64) {
	key = b.store.nextNumber + uint64(len(b.ops))
	b.add(kindPut, key, parts...)
	b.putCount++
	return key
}

// Append adds a delta to a value, which may have been put in this batch.
func (b *Batch) Append(key uint64, delta []byte) { b.add(kindDelta, key, delta) }

// Delete removes a value. A key that is not there is no error: it is removed already.
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
		b.err = fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, size, maxSize)
	}
	b.ops = append(b.ops, op{kind: kind, key: key, from: from, to: len(b.data)})
}

// maxValueSize is the size of a value or a delta at most. The rest of a segment is for frames and the directory.
func (s *Store) maxValueSize() int { return int(s.segmentSize) * 7 / 8 }

// maxRecordSize is the number of bytes that a batch takes on disk at most.
func (b *Batch) maxRecordSize() int64 {
	size := int64(0)
	for i := range b.ops {
		size += b.ops[i].maxRecordSize()
	}
	return size
}

// Commit writes a batch, all of it or none. After ErrFull the same batch without puts may be committed. After any error
// the store holds what it held before, with one exception: of a batch longer than a segment whose first part was
// written and whose second part could not be, deltas and deletes of the first part remain.
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

// checkDeltaKeys fails with ErrKeyNotFound where a delta's value is neither stored nor put in the batch.
func (s *Store) checkDeltaKeys(b *Batch) error {
	firstNew := s.nextNumber
	behindNew := firstNew + uint64(len(b.ops))
	for i := range b.ops {
		o := &b.ops[i]
		if o.kind != kindDelta || o.key >= firstNew && o.key < behindNew {
			continue
		}
		if _, ok := s.index[o.key]; !ok {
			return fmt.Errorf("%w: %d", ErrKeyNotFound, o.key)
		}
	}
	return nil
}

// writeOps writes a batch's operations from one on, as many as the segment holds, in one write, and brings the index up
// to date. It returns the first operation that is not written.
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

// appendOpHeader appends an operation's record up to its bytes.
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

// scheduleDeletes notes the values that a batch put into earlier segments before a later part of it could not be
// written: they are on disk, and are deleted before anything else.
func (s *Store) scheduleDeletes(written []op) {
	for i := range written {
		if written[i].kind == kindPut {
			s.pendingDeletes = append(s.pendingDeletes, written[i].key)
		}
	}
}

// applyPendingDeletes deletes the values of failed batches, each in a write of its own.
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
