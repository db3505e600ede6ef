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
	// The size of a segment is the store's limit divided by segmentsPerLimit, within these bounds in bytes. Small
	// segments leave compaction less to move at a time; large ones keep the number of files low.
	segmentsPerLimit = 16
	minSegmentSize   = 128 << 10
	maxSegmentSize   = 16 << 20

	// allocationUnit is the unit, in bytes, to which file sizes are rounded up before they count against the limit,
	// because file systems allocate whole units.
	allocationUnit = 512
	// reservedBytes is the part of the limit that is never used. It covers the allocation units of files that the
	// store does not count, such as the lock file.
	reservedBytes = 4 * allocationUnit

	segmentSuffix     = ".seg"
	segmentNameDigits = 8
)

// unreadableSize is the segment.size of a segment whose header is damaged: none of its records can be read.
const unreadableSize = -1

// segment is one file of the log.
type segment struct {
	number     uint32
	header     Header
	file       File
	size       int64  // bytes of the header and the records; unreadableSize during Open if the header is damaged
	fileSize   int64  // upper bound of the file's size in bytes
	nextNumber uint64 // number of the record that follows its last one
	liveBytes  int64  // bytes of live records and of deletes that are still needed
	// tombstones are the bytes of the segment's deletes that are still needed, by the number of the segment that
	// holds the put.
	tombstones map[uint32]uint32
}

// liveRatio returns the share of the segment's bytes that is live.
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

// parseSegmentName returns the segment number in a file's name; ok is false for files that are not segments.
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

// activeSegment returns the segment to which records are appended: the last one.
func (s *Store) activeSegment() *segment { return s.segments[len(s.segments)-1] }

// findSegment returns the segment with a number, or nil if there is none.
func (s *Store) findSegment(number uint32) *segment {
	i, ok := slices.BinarySearchFunc(s.segments, number, func(seg *segment, number uint32) int {
		return cmp.Compare(seg.number, number)
	})
	if !ok {
		return nil
	}
	return s.segments[i]
}

// addLiveBytes adds n, which may be negative, to the live bytes of a segment and of the store.
func (s *Store) addLiveBytes(seg *segment, n int64) {
	seg.liveBytes += n
	s.liveBytes += n
}

// recordFileSize updates the known size of a segment's file, and the bytes on disk, after the file may have grown.
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
		// A part of data may have been written. Neither this process nor the next one may read it as committed.
		if truncateErr := seg.file.Truncate(seg.size); truncateErr != nil {
			s.truncateErr = cmp.Or(s.truncateErr, truncateErr)
			s.recordFileSize(seg, seg.size+int64(n))
		}
		return fmt.Errorf("store: write segment %d: %w", seg.number, err)
	}
	s.recordFileSize(seg, end)
	seg.size = end
	s.unsynced = true
	return nil
}

// ensureSpace begins a new segment unless the active one may be written to and has space for n bytes.
func (s *Store) ensureSpace(n int64) error {
	if s.appendable && s.truncateErr == nil && s.activeSegment().size+n <= s.segmentSize {
		return nil
	}
	return s.rollSegment()
}

// rollSegment begins a new segment. Its first record is a directory, which lists all existing segments and the end
// of each. Recovery ignores what follows that end in a segment, because it was never acknowledged.
func (s *Store) rollSegment() error {
	number := uint32(1)
	if len(s.segments) > 0 {
		number = s.activeSegment().number + 1
	}
	header := Header{Format: Format, Epoch: rand.Uint64(), Segment: uint64(number), FirstRecord: s.nextNumber}
	data := header.Append(nil)
	// The directory's number is one less than the next record's, so it uses up no record number. Keys are record
	// numbers, and therefore do not depend on when segments begin.
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

// createSegmentFile creates a segment's file and writes data to its start. Unless the policy is SyncNever, it then
// syncs the previous segment and the folder, so that the segments on disk have no gap after a machine crash.
func (s *Store) createSegmentFile(name string, data []byte) (File, error) {
	file, err := s.fs.Open(name, true)
	if errors.Is(err, os.ErrExist) {
		// The file was left by a rollSegment that failed halfway. Nothing refers to it.
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

// syncBeforeRoll syncs the active segment and the folder before a new segment becomes the active one.
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

// readAvailable reads into data from an offset of a file, up to the file's end, and returns how many bytes it read.
func readAvailable(file File, data []byte, offset int64) (int, error) {
	n, err := file.ReadAt(data, offset)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}
