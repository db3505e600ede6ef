package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Compaction moves the live records of one segment to the end of the log, a bounded number of bytes in each step,
// and then removes the segment. It uses the ordinary write path. A crash can leave a record in two segments. Both
// copies have the same key, and copies of a delta also the same original record number, so recovery counts the
// record only once.

const (
	// maxGarbageSegments limits the garbage on disk before compaction is due: as many bytes as are live, plus the
	// size of this many segments.
	maxGarbageSegments = 4

	// When the bytes on disk exceed compactionDiskTenths tenths of the limit, compaction is due even if there is
	// less garbage than maxGarbageSegments allows. Rewriting a segment with a live ratio above
	// maxLiveRatioToCompact frees little space, so such a segment is compacted only when the bytes on disk exceed
	// shortageDiskQuarters quarters of the limit. A segment with a live ratio above maxLiveRatioInShortage is not
	// compacted even then. If there are maxSegments segments, the live ratio does not matter.
	compactionDiskTenths   = 6
	shortageDiskQuarters   = 3
	maxLiveRatioToCompact  = 0.75
	maxLiveRatioInShortage = 0.97

	// maxSegments is the number of segments at which compaction is due whatever they hold. It bounds the number of
	// open files.
	maxSegments = 2 * segmentsPerLimit

	// compactionReadBlocks is how many blocks compaction reads from a file in one call.
	compactionReadBlocks = 16
)

// compaction is the state of the compaction in progress.
type compaction struct {
	segment *segment // the segment being compacted; nil: no compaction is in progress
	offset  int64    // offset in the segment from which to read the next record
	number  uint64   // number of the last record that was read

	frames assembler // joins the frames of the record being read

	// buffer holds bytes of the segment with number bufferSegment, starting at bufferOffset. If bufferSegment is 0,
	// the buffer is not valid.
	buffer        []byte
	bufferSegment uint32
	bufferOffset  int64
}

// begin starts the compaction of a segment.
func (c *compaction) begin(seg *segment) {
	c.segment = seg
	c.offset = HeaderSize
	c.number = seg.header.FirstRecord
}

// CompactionDue reports whether Compact has anything to do: a compaction is in progress, or there is enough garbage
// to start one.
func (s *Store) CompactionDue() bool { return s.compaction.segment != nil || s.pickSegment() != nil }

// pickSegment returns the segment to compact next, or nil if no compaction is due. It picks the segment with the
// smallest live ratio, except the active one. Compaction is due if there are too many segments, or if the bytes on
// disk exceed maxBytesWithoutCompaction and the segment has enough garbage.
func (s *Store) pickSegment() *segment {
	if s.options.ReadOnly || len(s.segments) < 2 {
		return nil
	}
	tooMany := len(s.segments) >= maxSegments
	if !tooMany && s.diskBytes <= s.maxBytesWithoutCompaction() {
		return nil
	}
	var best *segment
	for _, seg := range s.segments[:len(s.segments)-1] {
		if best == nil || seg.liveRatio() < best.liveRatio() {
			best = seg
		}
	}
	if !tooMany && !s.isWorthCompacting(best) {
		return nil
	}
	return best
}

// maxBytesWithoutCompaction returns how many bytes may be on disk before compaction is due.
func (s *Store) maxBytesWithoutCompaction() int64 {
	withGarbage := 2*s.liveBytes + maxGarbageSegments*s.segmentSize
	return min(withGarbage, s.options.Limit*compactionDiskTenths/10)
}

// isWorthCompacting reports whether a segment has enough garbage to be compacted. When space is short, less garbage
// is enough.
func (s *Store) isWorthCompacting(seg *segment) bool {
	ratio := seg.liveRatio()
	if ratio <= maxLiveRatioToCompact {
		return true
	}
	short := s.diskBytes > s.options.Limit*shortageDiskQuarters/4
	return short && ratio <= maxLiveRatioInShortage
}

// Compact does one step of compaction. It reads and writes about budget bytes, or more if a single record is
// longer. It reports whether there is more to do. An error loses no data, and the next step tries again.
func (s *Store) Compact(budget int) (more bool, err error) {
	if s.options.ReadOnly {
		return false, ErrReadOnly
	}
	c := &s.compaction
	if c.segment == nil {
		seg := s.pickSegment()
		if seg == nil {
			return false, nil
		}
		c.begin(seg)
	}
	// Live records move to later segments, so the segment being compacted must not be the active one.
	if c.segment == s.activeSegment() || !s.appendable {
		if err := s.rollSegment(); err != nil {
			return true, err
		}
	}
	for budget > 0 {
		if c.segment.liveBytes <= 0 || c.offset >= c.segment.size {
			if err := s.removeCompacted(); err != nil {
				return true, err
			}
			return s.pickSegment() != nil, nil
		}
		used, err := s.moveNextRecord()
		if err != nil {
			return true, err
		}
		budget -= used
	}
	return true, nil
}

// moveNextRecord reads the next record of the segment being compacted and moves it if it is live. It returns how
// many bytes it read.
func (s *Store) moveNextRecord() (used int, err error) {
	c := &s.compaction
	next, found, err := s.readNextRecord()
	if err != nil {
		return 0, err
	}
	used = max(1, int(next-c.offset))
	if found {
		if err := s.moveRecord(c.frames.number, c.frames.offset, c.frames.record); err != nil {
			return used, err
		}
	}
	c.offset = next
	return used, nil
}

// readNextRecord reads the next complete record of the segment being compacted into compaction.frames, and returns
// the offset after the record. If there is none, found is false and next is the segment's end. Unreadable bytes are
// skipped: recovery has reported them, or they were damaged since.
func (s *Store) readNextRecord() (next int64, found bool, err error) {
	c := &s.compaction
	c.frames.discard()
	for offset := c.offset; offset < c.segment.size; {
		if blockRemaining(offset) < frameHeaderSize {
			offset = blockEnd(offset)
			continue
		}
		data, err := s.readBlock(offset)
		if err != nil {
			return 0, false, err
		}
		f, ok := readFrame(c.segment.header.Epoch, offset, data)
		if !ok {
			c.frames.discard()
			offset = blockEnd(offset)
			continue
		}
		if !c.frames.accepts(f) {
			c.frames.discard()
		}
		complete := c.frames.add(offset, f)
		offset += int64(len(f))
		if complete {
			return offset, true, nil
		}
	}
	return c.segment.size, false, nil
}

// readBlock returns the bytes of the segment being compacted from offset to the end of the block or of the segment.
// It reads several blocks at a time into compaction.buffer.
func (s *Store) readBlock(offset int64) ([]byte, error) {
	c := &s.compaction
	seg := c.segment
	end := min(blockEnd(offset), seg.size)
	buffered := c.bufferSegment == seg.number && offset >= c.bufferOffset &&
		end <= c.bufferOffset+int64(len(c.buffer))
	if !buffered {
		const bufferSize = compactionReadBlocks * BlockSize
		if c.buffer == nil {
			c.buffer = make([]byte, bufferSize)
		}
		start := offset - offset%BlockSize
		c.buffer = c.buffer[:min(bufferSize, seg.size-start)]
		n, err := readAvailable(seg.file, c.buffer, start)
		if err != nil {
			c.bufferSegment = 0
			return nil, fmt.Errorf("store: compact: read segment %d: %w", seg.number, err)
		}
		c.buffer = c.buffer[:n]
		c.bufferSegment = seg.number
		c.bufferOffset = start
		end = min(end, start+int64(n))
	}
	return c.buffer[offset-c.bufferOffset : end-c.bufferOffset], nil
}

// moveRecord moves a record of the segment being compacted if it is live. low is the low 32 bits of its number.
func (s *Store) moveRecord(low uint32, offset int64, record []byte) error {
	s.compaction.number = fullNumber(s.compaction.number, low)
	if len(record) == 0 {
		return nil
	}
	switch recordKind(record[0]) {
	case kindPut:
		return s.movePut(s.compaction.number, offset, record[1:])
	case kindMovedPut:
		if fields, value, ok := parseFields(record, 1); ok {
			return s.movePut(fields[0], offset, value)
		}
	case kindDelta:
		if fields, data, ok := parseFields(record, 1); ok {
			return s.moveDelta(fields[0], s.compaction.number, data)
		}
	case kindMovedDelta:
		if fields, data, ok := parseFields(record, 2); ok {
			return s.moveDelta(fields[0], fields[1], data)
		}
	case kindDelete:
		if fields, _, ok := parseFields(record, 2); ok {
			return s.moveDelete(uint32(fields[1]), offset, record)
		}
	}
	return nil
}

func (s *Store) movePut(key uint64, offset int64, data []byte) error {
	from := s.compaction.segment
	value, ok := s.index[key]
	if !ok || value.segment != from.number || int64(value.offset) != offset {
		return nil
	}
	s.recordBuf = append(s.recordBuf[:0], byte(kindMovedPut))
	s.recordBuf = binary.AppendUvarint(s.recordBuf, key)
	s.recordBuf = append(s.recordBuf, data...)
	to, err := s.writeRecord(s.recordBuf)
	if err != nil {
		return err
	}
	s.addLiveBytes(from, -int64(value.diskSize))
	value.segment = to.segment.number
	value.offset = uint32(to.offset)
	value.diskSize = uint32(to.diskSize)
	s.index[key] = value
	s.addLiveBytes(to.segment, to.diskSize)
	return nil
}

func (s *Store) moveDelta(key, number uint64, data []byte) error {
	from := s.compaction.segment
	value, ok := s.index[key]
	if !ok {
		return nil
	}
	for i := value.newestDelta; i != 0; i = s.deltas[i-1].next {
		entry := &s.deltas[i-1]
		if entry.number != number || entry.segment != from.number {
			continue
		}
		s.recordBuf = append(s.recordBuf[:0], byte(kindMovedDelta))
		s.recordBuf = binary.AppendUvarint(s.recordBuf, key)
		s.recordBuf = binary.AppendUvarint(s.recordBuf, number)
		s.recordBuf = append(s.recordBuf, data...)
		to, err := s.writeRecord(s.recordBuf)
		if err != nil {
			return err
		}
		s.addLiveBytes(from, -int64(entry.diskSize))
		entry.segment = to.segment.number
		entry.diskSize = uint32(to.diskSize)
		s.addLiveBytes(to.segment, to.diskSize)
		return nil
	}
	return nil
}

// moveDelete moves a delete as long as target, the segment that holds the put, exists. A put in the segment being
// compacted is removed together with its delete.
func (s *Store) moveDelete(target uint32, offset int64, record []byte) error {
	from := s.compaction.segment
	if target == from.number || s.findSegment(target) == nil {
		return nil
	}
	to, err := s.writeRecord(record)
	if err != nil {
		return err
	}
	oldSize := uint32(framedSize(offset, int64(len(record))))
	from.tombstones[target] -= min(oldSize, from.tombstones[target])
	s.addLiveBytes(from, -int64(oldSize))
	to.segment.tombstones[target] += uint32(to.diskSize)
	s.addLiveBytes(to.segment, to.diskSize)
	return nil
}

// recordLocation is the place where a record was written.
type recordLocation struct {
	segment  *segment
	offset   int64
	diskSize int64
}

// writeRecord appends a single record to the active segment, in a separate write.
func (s *Store) writeRecord(record []byte) (recordLocation, error) {
	if err := s.ensureSpace(maxFramedSize(int64(len(record)))); err != nil {
		return recordLocation{}, err
	}
	seg := s.activeSegment()
	start := seg.size
	s.writeBuf = AppendRecord(s.writeBuf[:0], seg.header.Epoch, start, s.nextNumber, record)
	if err := s.appendToSegment(seg, s.writeBuf); err != nil {
		return recordLocation{}, err
	}
	s.nextNumber++
	seg.nextNumber = s.nextNumber
	s.stats.CompactedBytes += int64(len(s.writeBuf))
	offset := frameOffset(start)
	return recordLocation{segment: seg, offset: offset, diskSize: seg.size - offset}, nil
}

// removeCompacted removes the compacted segment, which holds nothing that is still needed. It first records the
// removal, so that after a crash recovery neither uses the file if it still exists nor reports it as missing if it
// is gone.
func (s *Store) removeCompacted() error {
	removed := s.compaction.segment
	record := binary.AppendUvarint([]byte{byte(kindRemoved)}, uint64(removed.number))
	if _, err := s.writeRecord(record); err != nil {
		return err
	}
	if s.options.Sync != SyncNever { // the moved records must be as durable as the originals
		if err := s.activeSegment().file.Sync(); err != nil {
			return fmt.Errorf("store: compact: sync: %w", err)
		}
	}
	s.compaction.segment = nil
	s.segments = slices.DeleteFunc(s.segments, func(seg *segment) bool { return seg == removed })
	for _, seg := range s.segments { // deletes of the removed segment's values are no longer needed
		if n := seg.tombstones[removed.number]; n > 0 {
			s.addLiveBytes(seg, -int64(n))
			delete(seg.tombstones, removed.number)
		}
	}
	s.liveBytes -= removed.liveBytes // bytes of live records that could not be read, and so were not moved
	s.stats.RemovedSegments++
	err := removed.file.Close()
	removeErr := s.fs.Remove(segmentName(removed.number))
	if removeErr != nil && !errors.Is(removeErr, os.ErrNotExist) {
		err = errors.Join(err, removeErr) // its space stays in use until the next Open removes the file
	} else {
		s.diskBytes -= roundToUnits(removed.fileSize)
	}
	if err != nil {
		return fmt.Errorf("store: compact: remove segment %d: %w", removed.number, err)
	}
	return nil
}
