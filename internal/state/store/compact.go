package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
)

// Compaction moves what lives in one segment forward, a bounded stretch in each step, and removes the segment then. It
// goes through the ordinary write path: a crash leaves a record twice, under the same key and number, which recovery
// takes once.

// Garbage that is let stand: so many segments' worth beside as much as lives.
const maxGarbageSegments = 4

// CompactionDue tells whether there is enough to win for Compact.
func (s *Store) CompactionDue() bool { return s.compacting != nil || s.pickSegment() != nil }

// pickSegment chooses the segment to compact: of those that are not written to, the one with the least that lives for its
// size, once garbage takes more than what lives and some segments, or room gets short. A segment that is nearly all
// alive is left until room is very short: it would be written again for little.
func (s *Store) pickSegment() *segment {
	limit := s.options.Limit
	if s.options.ReadOnly || len(s.segments) < 2 ||
		len(s.segments) < 2*segmentsPerLimit && s.diskBytes <= min(2*s.liveBytes+maxGarbageSegments*s.segmentSize, limit*6/10) {
		return nil
	}
	var best *segment
	for _, g := range s.segments[:len(s.segments)-1] {
		if best == nil || liveRatio(g) < liveRatio(best) {
			best = g
		}
	}
	if x := liveRatio(best); len(s.segments) < 2*segmentsPerLimit && x > 0.75 && (x > 0.97 || s.diskBytes <= limit*3/4) {
		return nil
	}
	return best
}

func liveRatio(g *segment) float64 { return float64(g.liveBytes) / float64(max(1, g.size)) }

// Compact does a step of compaction: it reads and writes about budget bytes at most, 64 KiB of them at least where a
// record is so long. It reports whether there is more to do. Where it fails nothing is lost, and the next step tries
// again.
func (s *Store) Compact(budget int) (more bool, err error) {
	if s.options.ReadOnly {
		return false, ErrReadOnly
	}
	if s.compacting == nil {
		if s.compacting = s.pickSegment(); s.compacting == nil {
			return false, nil
		}
		s.compactOffset, s.compactNumber = HeaderSize, s.compacting.header.FirstRecord
	}
	// A segment is compacted into those behind it.
	if s.compacting == s.segments[len(s.segments)-1] || !s.appendable {
		if err := s.rollSegment(); err != nil {
			return true, err
		}
	}
	for budget > 0 {
		if s.compacting.liveBytes <= 0 || s.compactOffset >= s.compacting.size {
			if err := s.removeCompacted(); err != nil {
				return true, err
			}
			return s.pickSegment() != nil, nil
		}
		used, err := s.moveNextRecord(budget)
		if err != nil {
			return true, err
		}
		budget -= used
	}
	return true, nil
}

// moveNextRecord moves what lives in the next stretch of the victim.
func (s *Store) moveNextRecord(budget int) (used int, err error) {
	v := s.compacting
	number, record, from, next, err := s.nextRecord(v, s.compactOffset)
	if err != nil {
		return 0, err
	}
	used = max(1, int(next-s.compactOffset))
	if record == nil { // nothing more can be read
		s.compactOffset = v.size
		return used, nil
	}
	if err := s.moveRecord(v, number, from, record); err != nil {
		return used, err
	}
	s.compactOffset = next
	return used, nil
}

// nextRecord reads the first whole record of a segment from an offset on; record is nil if there is none. What cannot
// be read on the way was told at recovery, or has been damaged since: it is passed over.
func (s *Store) nextRecord(g *segment, at int64) (number uint32, record []byte, from, next int64, err error) {
	began := int64(-1)
	for at < g.size {
		block := at - at%BlockSize
		if block+BlockSize-at < frameHeaderSize {
			at = block + BlockSize
			continue
		}
		data, err := s.readBlock(g, at)
		if err != nil {
			return 0, nil, 0, 0, err
		}
		frame, ok := readFrame(g.header.Epoch, at, data)
		if !ok {
			began, at = -1, block+BlockSize
			continue
		}
		part, n := frame[6], binary.LittleEndian.Uint32(frame[7:])
		if joins := began >= 0 && n == number; joins != (part == partMiddle || part == partLast) {
			began = -1
			if part == partMiddle || part == partLast {
				at += int64(len(frame))
				continue
			}
		}
		if part == partWhole || part == partFirst {
			began, number, record = at, n, s.moveBuf[:0]
		}
		record = append(record, frame[frameHeaderSize:]...)
		s.moveBuf = record
		at += int64(len(frame))
		if part == partWhole || part == partLast {
			return number, record, began, at, nil
		}
	}
	return 0, nil, 0, g.size, nil
}

// readBlock returns a segment's bytes from an offset to the end of its block. It reads a stretch of blocks at a time.
func (s *Store) readBlock(g *segment, at int64) ([]byte, error) {
	end := min(at-at%BlockSize+BlockSize, g.size)
	if s.readSegment != g.number || at < s.readOffset || end > s.readOffset+int64(len(s.readBuf)) {
		from := at - at%BlockSize
		if s.readBuf = s.readBuf[:cap(s.readBuf)]; len(s.readBuf) < 16*BlockSize {
			s.readBuf = make([]byte, 16*BlockSize)
		}
		n, err := g.file.ReadAt(s.readBuf[:min(int64(len(s.readBuf)), g.size-from)], from)
		if err != nil && err != io.EOF {
			s.readSegment = 0
			return nil, fmt.Errorf("store: compact: %w", err)
		}
		s.readSegment, s.readOffset, s.readBuf = g.number, from, s.readBuf[:n]
		if end > from+int64(n) {
			end = from + int64(n)
		}
	}
	return s.readBuf[at-s.readOffset : end-s.readOffset], nil
}

// moveRecord writes a record of the victim again if it lives.
func (s *Store) moveRecord(v *segment, low uint32, at int64, record []byte) error {
	number := s.compactNumber + uint64(int64(int32(low-uint32(s.compactNumber))))
	s.compactNumber = number
	if len(record) == 0 {
		return nil
	}
	switch record[0] {
	case kindPut:
		return s.movePut(v, number, at, record[1:])
	case kindMovedPut:
		if x, rest, ok := parseFields(record, 1); ok {
			return s.movePut(v, x[0], at, rest)
		}
	case kindDelta:
		if x, rest, ok := parseFields(record, 1); ok {
			return s.moveDelta(v, x[0], number, rest)
		}
	case kindMovedDelta:
		if x, rest, ok := parseFields(record, 2); ok {
			return s.moveDelta(v, x[0], x[1], rest)
		}
	case kindDelete:
		x, _, ok := parseFields(record, 2)
		if !ok || uint32(x[1]) == v.number || s.findSegment(uint32(x[1])) == nil {
			return nil // the value that it ends is gone
		}
		seg, _, disk, err := s.writeRecord(record)
		if err != nil {
			return err
		}
		was := uint32(framedSize(at, int64(len(record))))
		v.tombstones[uint32(x[1])] -= min(was, v.tombstones[uint32(x[1])])
		s.addLiveBytes(v, -int64(was))
		seg.tombstones[uint32(x[1])] += uint32(disk)
		s.addLiveBytes(seg, disk)
	}
	return nil
}

func (s *Store) movePut(v *segment, key uint64, at int64, value []byte) error {
	p, ok := s.index[key]
	if !ok || p.segment != v.number || int64(p.offset) != at {
		return nil
	}
	s.recordBuf = binary.AppendUvarint(append(s.recordBuf[:0], kindMovedPut), key)
	s.recordBuf = append(s.recordBuf, value...)
	seg, to, disk, err := s.writeRecord(s.recordBuf)
	if err != nil {
		return err
	}
	s.addLiveBytes(v, -int64(p.diskSize))
	v.values--
	p.segment, p.offset, p.diskSize = seg.number, uint32(to), uint32(disk)
	s.index[key] = p
	seg.values++
	s.addLiveBytes(seg, disk)
	return nil
}

func (s *Store) moveDelta(v *segment, key, number uint64, data []byte) error {
	p, ok := s.index[key]
	if !ok {
		return nil
	}
	for i := p.newestDelta; i != 0; i = s.deltas[i-1].next {
		d := s.deltas[i-1]
		if d.number != number || d.segment != v.number {
			continue
		}
		s.recordBuf = binary.AppendUvarint(append(s.recordBuf[:0], kindMovedDelta), key)
		s.recordBuf = append(binary.AppendUvarint(s.recordBuf, number), data...)
		seg, _, disk, err := s.writeRecord(s.recordBuf)
		if err != nil {
			return err
		}
		s.addLiveBytes(v, -int64(d.diskSize))
		s.deltas[i-1].segment, s.deltas[i-1].diskSize = seg.number, uint32(disk)
		s.addLiveBytes(seg, disk)
		return nil
	}
	return nil
}

// writeRecord writes a record of its own at the end of the log.
func (s *Store) writeRecord(record []byte) (seg *segment, at, disk int64, err error) {
	if err := s.ensureSpace(maxFramedSize(int64(len(record)))); err != nil {
		return nil, 0, 0, err
	}
	seg = s.segments[len(s.segments)-1]
	at = seg.size
	s.writeBuf = AppendRecord(s.writeBuf[:0], seg.header.Epoch, at, s.nextNumber, record)
	if err := s.appendToSegment(seg, s.writeBuf); err != nil {
		return nil, 0, 0, err
	}
	s.nextNumber++
	seg.nextNumber = s.nextNumber
	s.stats.CompactedBytes += int64(len(s.writeBuf))
	at = frameOffset(at)
	return seg, at, seg.size - at, nil
}

// removeCompacted removes the victim, of which nothing is needed any more. First it is written that it is gone: a file that a
// crash leaves behind is then not taken for one that should be there.
func (s *Store) removeCompacted() error {
	v := s.compacting
	if _, _, _, err := s.writeRecord(binary.AppendUvarint([]byte{kindRemoved}, uint64(v.number))); err != nil {
		return err
	}
	if s.options.Sync != SyncNever { // what was moved must be as lasting as what it was moved from
		if err := s.segments[len(s.segments)-1].file.Sync(); err != nil {
			return fmt.Errorf("store: compact: %w", err)
		}
	}
	s.compacting = nil
	s.segments = slices.DeleteFunc(s.segments, func(g *segment) bool { return g == v })
	for _, g := range s.segments { // deletes that ended its values have done their part
		if n := g.tombstones[v.number]; n > 0 {
			s.addLiveBytes(g, -int64(n))
			delete(g.tombstones, v.number)
		}
	}
	s.liveBytes -= v.liveBytes // what could not be read
	s.stats.RemovedSegments++
	err := v.file.Close()
	if e := s.fs.Remove(segmentName(v.number)); e != nil && !errors.Is(e, os.ErrNotExist) {
		err = errors.Join(err, e) // its room is not had again before the next start
	} else {
		s.diskBytes -= roundToUnits(v.fileSize)
	}
	if err != nil {
		return fmt.Errorf("store: compact: %w", err)
	}
	return nil
}
