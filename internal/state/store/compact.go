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
const slackSegments = 4

// Due tells whether there is enough to win for Compact.
func (s *Store) Due() bool { return s.victim != nil || s.pick() != nil }

// pick chooses the segment to compact: of those that are not written to, the one with the least that lives for its
// size, once garbage takes more than what lives and some segments, or room gets short. A segment that is nearly all
// alive is left until room is very short: it would be written again for little.
func (s *Store) pick() *segment {
	limit := s.opt.Limit
	if s.opt.ReadOnly || len(s.segs) < 2 ||
		len(s.segs) < 2*segments && s.disk <= min(2*s.live+slackSegments*s.segSize, limit*6/10) {
		return nil
	}
	var best *segment
	for _, g := range s.segs[:len(s.segs)-1] {
		if best == nil || share(g) < share(best) {
			best = g
		}
	}
	if x := share(best); len(s.segs) < 2*segments && x > 0.75 && (x > 0.97 || s.disk <= limit*3/4) {
		return nil
	}
	return best
}

func share(g *segment) float64 { return float64(g.live) / float64(max(1, g.size)) }

// Compact does a step of compaction: it reads and writes about budget bytes at most, 64 KiB of them at least where a
// record is so long. It reports whether there is more to do. Where it fails nothing is lost, and the next step tries
// again.
func (s *Store) Compact(budget int) (more bool, err error) {
	if s.opt.ReadOnly {
		return false, ErrReadOnly
	}
	if s.victim == nil {
		if s.victim = s.pick(); s.victim == nil {
			return false, nil
		}
		s.at, s.number = HeaderSize, s.victim.header.First
	}
	// A segment is compacted into those behind it.
	if s.victim == s.segs[len(s.segs)-1] || !s.open {
		if err := s.roll(); err != nil {
			return true, err
		}
	}
	for budget > 0 {
		if s.victim.live <= 0 || s.at >= s.victim.size {
			if err := s.remove(); err != nil {
				return true, err
			}
			return s.pick() != nil, nil
		}
		used, err := s.moveSome(budget)
		if err != nil {
			return true, err
		}
		budget -= used
	}
	return true, nil
}

// moveSome moves what lives in the next stretch of the victim.
func (s *Store) moveSome(budget int) (used int, err error) {
	v := s.victim
	number, record, from, next, err := s.nextRecord(v, s.at)
	if err != nil {
		return 0, err
	}
	used = max(1, int(next-s.at))
	if record == nil { // nothing more can be read
		s.at = v.size
		return used, nil
	}
	if err := s.move(v, number, from, record); err != nil {
		return used, err
	}
	s.at = next
	return used, nil
}

// nextRecord reads the first whole record of a segment from an offset on; record is nil if there is none. What cannot
// be read on the way was told at recovery, or has been damaged since: it is passed over.
func (s *Store) nextRecord(g *segment, at int64) (number uint32, record []byte, from, next int64, err error) {
	began := int64(-1)
	for at < g.size {
		block := at - at%BlockSize
		if block+BlockSize-at < frameHeader {
			at = block + BlockSize
			continue
		}
		data, err := s.window(g, at)
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
			began, number, record = at, n, s.moved[:0]
		}
		record = append(record, frame[frameHeader:]...)
		s.moved = record
		at += int64(len(frame))
		if part == partWhole || part == partLast {
			return number, record, began, at, nil
		}
	}
	return 0, nil, 0, g.size, nil
}

// window returns a segment's bytes from an offset to the end of its block. It reads a stretch of blocks at a time.
func (s *Store) window(g *segment, at int64) ([]byte, error) {
	end := min(at-at%BlockSize+BlockSize, g.size)
	if s.readSeg != g.number || at < s.readAt || end > s.readAt+int64(len(s.readBuf)) {
		from := at - at%BlockSize
		if s.readBuf = s.readBuf[:cap(s.readBuf)]; len(s.readBuf) < 16*BlockSize {
			s.readBuf = make([]byte, 16*BlockSize)
		}
		n, err := g.file.ReadAt(s.readBuf[:min(int64(len(s.readBuf)), g.size-from)], from)
		if err != nil && err != io.EOF {
			s.readSeg = 0
			return nil, fmt.Errorf("store: compact: %w", err)
		}
		s.readSeg, s.readAt, s.readBuf = g.number, from, s.readBuf[:n]
		if end > from+int64(n) {
			end = from + int64(n)
		}
	}
	return s.readBuf[at-s.readAt : end-s.readAt], nil
}

// move writes a record of the victim again if it lives.
func (s *Store) move(v *segment, low uint32, at int64, record []byte) error {
	number := s.number + uint64(int64(int32(low-uint32(s.number))))
	s.number = number
	if len(record) == 0 {
		return nil
	}
	switch record[0] {
	case recPut:
		return s.movePut(v, number, at, record[1:])
	case recMovedPut:
		if x, rest, ok := fields(record, 1); ok {
			return s.movePut(v, x[0], at, rest)
		}
	case recDelta:
		if x, rest, ok := fields(record, 1); ok {
			return s.moveDelta(v, x[0], number, rest)
		}
	case recMovedDelta:
		if x, rest, ok := fields(record, 2); ok {
			return s.moveDelta(v, x[0], x[1], rest)
		}
	case recDelete:
		x, _, ok := fields(record, 2)
		if !ok || uint32(x[1]) == v.number || s.segment(uint32(x[1])) == nil {
			return nil // the value that it ends is gone
		}
		seg, _, disk, err := s.rewrite(record)
		if err != nil {
			return err
		}
		was := uint32(recordSize(at, int64(len(record))))
		v.tombs[uint32(x[1])] -= min(was, v.tombs[uint32(x[1])])
		s.lives(v, -int64(was))
		seg.tombs[uint32(x[1])] += uint32(disk)
		s.lives(seg, disk)
	}
	return nil
}

func (s *Store) movePut(v *segment, key uint64, at int64, value []byte) error {
	p, ok := s.index[key]
	if !ok || p.segment != v.number || int64(p.offset) != at {
		return nil
	}
	s.rec = binary.AppendUvarint(append(s.rec[:0], recMovedPut), key)
	s.rec = append(s.rec, value...)
	seg, to, disk, err := s.rewrite(s.rec)
	if err != nil {
		return err
	}
	s.lives(v, -int64(p.disk))
	v.values--
	p.segment, p.offset, p.disk = seg.number, uint32(to), uint32(disk)
	s.index[key] = p
	seg.values++
	s.lives(seg, disk)
	return nil
}

func (s *Store) moveDelta(v *segment, key, number uint64, data []byte) error {
	p, ok := s.index[key]
	if !ok {
		return nil
	}
	for i := p.deltas; i != 0; i = s.deltas[i-1].next {
		d := s.deltas[i-1]
		if d.number != number || d.segment != v.number {
			continue
		}
		s.rec = binary.AppendUvarint(append(s.rec[:0], recMovedDelta), key)
		s.rec = append(binary.AppendUvarint(s.rec, number), data...)
		seg, _, disk, err := s.rewrite(s.rec)
		if err != nil {
			return err
		}
		s.lives(v, -int64(d.disk))
		s.deltas[i-1].segment, s.deltas[i-1].disk = seg.number, uint32(disk)
		s.lives(seg, disk)
		return nil
	}
	return nil
}

// rewrite writes a record of its own at the end of the log.
func (s *Store) rewrite(record []byte) (seg *segment, at, disk int64, err error) {
	if err := s.ready(framed(int64(len(record)))); err != nil {
		return nil, 0, 0, err
	}
	seg = s.segs[len(s.segs)-1]
	at = seg.size
	s.buf = AppendRecord(s.buf[:0], seg.header.Epoch, at, s.next, record)
	if err := s.write(seg, s.buf); err != nil {
		return nil, 0, 0, err
	}
	s.next++
	seg.end = s.next
	s.stats.Copied += int64(len(s.buf))
	at = begins(at)
	return seg, at, seg.size - at, nil
}

// remove removes the victim, of which nothing is needed any more. First it is written that it is gone: a file that a
// crash leaves behind is then not taken for one that should be there.
func (s *Store) remove() error {
	v := s.victim
	if _, _, _, err := s.rewrite(binary.AppendUvarint([]byte{recGone}, uint64(v.number))); err != nil {
		return err
	}
	if s.opt.Sync != SyncNever { // what was moved must be as lasting as what it was moved from
		if err := s.segs[len(s.segs)-1].file.Sync(); err != nil {
			return fmt.Errorf("store: compact: %w", err)
		}
	}
	s.victim = nil
	s.segs = slices.DeleteFunc(s.segs, func(g *segment) bool { return g == v })
	for _, g := range s.segs { // deletes that ended its values have done their part
		if n := g.tombs[v.number]; n > 0 {
			s.lives(g, -int64(n))
			delete(g.tombs, v.number)
		}
	}
	s.live -= v.live // what could not be read
	s.stats.Removed++
	err := v.file.Close()
	if e := s.fs.Remove(segmentName(v.number)); e != nil && !errors.Is(e, os.ErrNotExist) {
		err = errors.Join(err, e) // its room is not had again before the next start
	} else {
		s.disk -= units(v.onDisk)
	}
	if err != nil {
		return fmt.Errorf("store: compact: %w", err)
	}
	return nil
}
