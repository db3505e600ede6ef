package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
)

const (
	// Segments are a sixteenth of the limit within these bounds, in bytes: small ones leave compaction less to move
	// at a time, large ones keep the number of files low.
	segmentsPerLimit = 16
	minSegmentSize   = 128 << 10
	maxSegmentSize   = 16 << 20

	// allocationUnit is the unit, in bytes, in which a file counts against the limit, as file systems allocate.
	allocationUnit = 512
	// reservedBytes of the limit are never used: allocation units of files that the store does not count, as the lock.
	reservedBytes = 4 * allocationUnit

	segmentSuffix     = ".seg"
	segmentNameDigits = 8
)

// unreadableSize is the size of a segment whose header is damaged: nothing in it can be read.
const unreadableSize = -1

// segment is one file.
type segment struct {
	number     uint32
	header     Header
	file       File
	size       int64  // bytes that hold records or the header; unreadableSize while opening one that is damaged
	fileSize   int64  // bytes of the file, at the most
	nextNumber uint64 // number behind its last record
	liveBytes  int64  // bytes of records that are live
	// tombstones are the bytes of deletes in it, by the segment that held the put.
	tombstones map[uint32]uint32
}

// liveRatio is the part of a segment's bytes that is live.
func (seg *segment) liveRatio() float64 {
	return float64(seg.liveBytes) / float64(max(1, seg.size))
}

// roundToUnits rounds a file's size up to whole allocation units.
func roundToUnits(n int64) int64 {
	return (n + allocationUnit - 1) / allocationUnit * allocationUnit
}

func segmentName(number uint32) string {
	return fmt.Sprintf("%0*x%s", segmentNameDigits, number, segmentSuffix)
}

// parseSegmentName returns the number of the segment that a file's name states; ok is false for other files.
func parseSegmentName(name string) (number uint32, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != segmentNameDigits {
		return 0, false
	}
	if _, err := fmt.Sscanf(digits, "%08x", &number); err != nil {
		return 0, false
	}
	return number, segmentName(number) == name
}

// activeSegment returns the segment that is written to: the last one.
func (s *Store) activeSegment() *segment { return s.segments[len(s.segments)-1] }

// findSegment returns the segment of a number; nil if it does not exist any more.
func (s *Store) findSegment(number uint32) *segment {
	i, ok := slices.BinarySearchFunc(s.segments, number, func(seg *segment, number uint32) int {
		return cmp.Compare(seg.number, number)
	})
	if !ok {
		return nil
	}
	return s.segments[i]
}

// addLiveBytes counts n more live bytes in a segment.
func (s *Store) addLiveBytes(seg *segment, n int64) {
	seg.liveBytes += n
	s.liveBytes += n
}

// recordFileSize notes how long a segment's file has become.
func (s *Store) recordFileSize(seg *segment, size int64) {
	if size > seg.fileSize {
		s.diskBytes += roundToUnits(size) - roundToUnits(seg.fileSize)
		seg.fileSize = size
	}
}

// appendToSegment appends data to a segment in one write.
func (s *Store) appendToSegment(seg *segment, data []byte) error {
	end := seg.size + int64(len(data))
	growth := roundToUnits(max(seg.fileSize, end)) - roundToUnits(seg.fileSize)
	if s.diskBytes+growth > s.options.Limit-reservedBytes {
		return ErrNoSpace
	}
	n, err := seg.file.WriteAt(data, seg.size)
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	if err != nil {
		// A part may have been written. Neither this process nor the next may read it as committed.
		if truncateErr := seg.file.Truncate(seg.size); truncateErr != nil {
			s.truncateErr = cmp.Or(s.truncateErr, truncateErr)
			s.recordFileSize(seg, seg.size+int64(n))
		}
		return fmt.Errorf("store: write: %w", err)
	}
	s.recordFileSize(seg, end)
	seg.size = end
	s.unsynced = true
	return nil
}

// ensureSpace begins a new segment unless the active one has space for n bytes.
func (s *Store) ensureSpace(n int64) error {
	if s.appendable && s.truncateErr == nil && s.activeSegment().size+n <= s.segmentSize {
		return nil
	}
	return s.rollSegment()
}

// rollSegment begins a new segment. Its first record names all segments that exist, and how far each goes: what stands
// behind that in one of them was never acknowledged.
func (s *Store) rollSegment() error {
	number := uint32(1)
	if len(s.segments) > 0 {
		number = s.activeSegment().number + 1
	}
	header := Header{Format: Format, Epoch: rand.Uint64(), Segment: uint64(number), FirstRecord: s.nextNumber}
	data := header.Append(nil)
	// The directory takes the number before the next: it does not count as a record, so that keys do not depend on it.
	data = AppendRecord(data, header.Epoch, HeaderSize, s.nextNumber-1, s.directoryRecord(number))
	if s.diskBytes+roundToUnits(int64(len(data))) > s.options.Limit-reservedBytes {
		return ErrNoSpace
	}
	file, err := s.createSegmentFile(segmentName(number), data)
	if err != nil {
		return err
	}
	seg := &segment{
		number:     number,
		header:     header,
		file:       file,
		size:       int64(len(data)),
		tombstones: map[uint32]uint32{},
		nextNumber: s.nextNumber,
	}
	s.segments = append(s.segments, seg)
	s.recordFileSize(seg, seg.size)
	s.appendable = true
	s.truncateErr = nil
	s.unsynced = true
	return nil
}

// createSegmentFile creates a segment's file with its first data. Unless the policy is SyncNever it syncs the segment
// before it and the folder, so that the segments on disk have no gap after the loss of the machine.
func (s *Store) createSegmentFile(name string, data []byte) (File, error) {
	file, err := s.fs.Open(name, true)
	if errors.Is(err, os.ErrExist) {
		// Left by a roll that failed half-way: nothing refers to it.
		if err = s.fs.Remove(name); err == nil {
			file, err = s.fs.Open(name, true)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("store: new segment: %w", err)
	}
	n, err := file.WriteAt(data, 0)
	if err != nil || n < len(data) {
		err = cmp.Or(err, io.ErrShortWrite)
	} else {
		err = s.syncBeforeRoll()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store: new segment: %w", err), file.Close(), s.fs.Remove(name))
	}
	return file, nil
}

// syncBeforeRoll makes the active segment and the folder's entries durable before a new segment follows.
func (s *Store) syncBeforeRoll() error {
	if s.options.Sync == SyncNever {
		return nil
	}
	var err error
	if len(s.segments) > 0 && s.unsynced {
		err = s.activeSegment().file.Sync()
	}
	return errors.Join(err, s.fs.Sync())
}

// readAvailable fills data from an offset of a file as far as the file goes, and returns how many bytes it read.
func readAvailable(file File, data []byte, offset int64) (int, error) {
	n, err := file.ReadAt(data, offset)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}
