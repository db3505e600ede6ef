package store

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

const (
	// lockFileName is the name of the file that is locked while a process may write to the folder.
	lockFileName = "lock"
	// directoryReadSize is how many bytes at the start of a segment are read to find its directory.
	directoryReadSize = 64 << 10
)

// Open opens the store in a folder; a folder without segments is an empty store. Unless the store is read-only,
// Open locks the folder and removes the files of stale segments. It changes no other file.
func Open(fs FS, options Options) (_ *Store, _ *Recovery, err error) {
	if options.Limit < MinLimit {
		return nil, nil, fmt.Errorf("store: limit is %d bytes, must be at least %d", options.Limit, MinLimit)
	}
	s := &Store{
		fs:          fs,
		options:     options.withDefaults(),
		index:       map[uint64]valueLocation{},
		segmentSize: max(minSegmentSize, min(maxSegmentSize, options.Limit/segmentsPerLimit)),
		nextNumber:  1,
	}
	if !options.ReadOnly {
		if s.lock, err = fs.Lock(lockFileName); err != nil {
			return nil, nil, fmt.Errorf("store: lock folder: %w", err)
		}
	}
	r := newRecoverer(s)
	if err := r.run(); err != nil {
		return nil, nil, errors.Join(err, s.Close())
	}
	return s, r.result, nil
}

// run reads the segments' headers first, then their directories, then their records. From the records it builds the
// store's index.
func (r *recoverer) run() error {
	if err := r.openSegments(); err != nil {
		return err
	}
	directory, newest, err := r.readDirectories()
	if err != nil {
		return err
	}
	nextNumber, err := r.scanSegments(directory, newest)
	if err != nil {
		return err
	}
	for number, entry := range directory {
		if r.store.findSegment(number) == nil && !r.removed[number] {
			r.result.Missing = append(r.result.Missing, number)
			r.addLost(entry.firstRecord, entry.nextNumber)
			nextNumber = max(nextNumber, entry.nextNumber)
		}
	}
	slices.Sort(r.result.Missing)
	r.store.nextNumber = max(1, nextNumber)
	r.dropRemovedSegments()
	r.buildIndex()
	return r.removeStale()
}

// openSegments opens the segments in the folder.
func (r *recoverer) openSegments() error {
	names, err := r.store.fs.List()
	if err != nil {
		return fmt.Errorf("store: list files: %w", err)
	}
	slices.Sort(names)
	last := uint32(0)
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			last = max(last, number)
		}
	}
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			if name != lockFileName {
				r.result.Foreign = append(r.result.Foreign, name)
			}
			continue
		}
		if err := r.openSegment(name, number, number == last); err != nil {
			return err
		}
	}
	return nil
}

// openSegment opens a segment's file, and adds the segment to the store if readSegmentHeader accepts it.
func (r *recoverer) openSegment(name string, number uint32, last bool) error {
	file, err := r.store.fs.Open(name, false)
	if err != nil {
		return fmt.Errorf("store: %s: %w", name, err)
	}
	seg, err := r.readSegmentHeader(file, number, last)
	if err != nil {
		return errors.Join(fmt.Errorf("store: %s: %w", name, err), file.Close())
	}
	if seg == nil {
		if err := file.Close(); err != nil {
			return fmt.Errorf("store: close %s: %w", name, err)
		}
		return nil
	}
	r.store.segments = append(r.store.segments, seg)
	r.store.diskBytes += roundToUnits(seg.fileSize)
	return nil
}

// readSegmentHeader reads a segment's header. It returns nil if the file must not be used. A segment whose header
// is damaged is returned with unreadableSize.
func (r *recoverer) readSegmentHeader(file File, number uint32, last bool) (*segment, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	head := make([]byte, min(size, HeaderSize))
	if _, err := readAvailable(file, head, 0); err != nil {
		return nil, err
	}
	seg := &segment{number: number, file: file, fileSize: size, tombstones: map[uint32]uint32{}}
	seg.header, err = ParseHeader(head)
	switch {
	case errors.Is(err, ErrNewerFormat):
		return nil, err
	case last && (len(head) < HeaderSize || err != nil && isZero(head)):
		// A crash interrupted the creation of the segment: nothing in it was acknowledged.
		r.addTorn(number, 0, size)
		r.result.Stale = append(r.result.Stale, number)
		return nil, nil
	case err != nil:
		r.addDamaged(number, 0, size)
		seg.header.Segment = uint64(number)
		seg.size = unreadableSize
	case seg.header.Segment != uint64(number):
		r.result.Foreign = append(r.result.Foreign, segmentName(number))
		return nil, nil
	}
	return seg, nil
}

func isZero(data []byte) bool { return len(bytes.Trim(data, "\x00")) == 0 }

// readDirectories reads the first record of each segment. It returns the newest readable directory and the number
// of the segment that holds it.
func (r *recoverer) readDirectories() (directory map[uint32]directoryEntry, newest uint32, err error) {
	directory = map[uint32]directoryEntry{}
	for _, seg := range r.store.segments {
		if seg.size == unreadableSize {
			continue
		}
		data := make([]byte, min(seg.fileSize, directoryReadSize))
		if _, err := readAvailable(seg.file, data, 0); err != nil {
			return nil, 0, fmt.Errorf("store: %s: %w", segmentName(seg.number), err)
		}
		var entries map[uint32]directoryEntry
		Scan(seg.header, data, func(_ uint32, offset int64, record []byte) {
			if offset == HeaderSize {
				entries = parseDirectory(record)
			}
		})
		if entries != nil {
			directory = entries
			newest = seg.number
			directory[newest] = directoryEntry{firstRecord: seg.header.FirstRecord}
		}
	}
	return directory, newest, nil
}

// scanSegments reads the records of all segments. A segment before the newest directory's segment is stale if that
// directory does not list it. nextNumber is the number after the last record.
func (r *recoverer) scanSegments(directory map[uint32]directoryEntry, newest uint32) (nextNumber uint64, err error) {
	var kept []*segment
	for _, seg := range r.store.segments {
		entry, listed := directory[seg.number]
		if !listed && seg.number < newest {
			r.result.Stale = append(r.result.Stale, seg.number)
			if err := seg.file.Close(); err != nil {
				return 0, fmt.Errorf("store: close %s: %w", segmentName(seg.number), err)
			}
			continue
		}
		if err := r.scanSegment(seg, entry); err != nil {
			return 0, err
		}
		kept = append(kept, seg)
		nextNumber = max(nextNumber, seg.nextNumber)
	}
	r.store.segments = kept
	return nextNumber, nil
}

// scanSegment reads a segment's records. Records at or after entry.nextNumber, the end stated by the directory,
// were never acknowledged and are ignored.
func (r *recoverer) scanSegment(seg *segment, entry directoryEntry) error {
	if seg.size == unreadableSize {
		seg.size = 0
		seg.nextNumber = entry.nextNumber
		r.addLost(entry.firstRecord, entry.nextNumber)
		return nil
	}
	data := make([]byte, seg.fileSize)
	if _, err := readAvailable(seg.file, data, 0); err != nil {
		return fmt.Errorf("store: %s: %w", segmentName(seg.number), err)
	}
	r.result.bytesRead += seg.fileSize
	const none = -1
	next := seg.header.FirstRecord
	firstIgnored := int64(none) // offset of the first record after the end stated by the directory
	end, damaged := Scan(seg.header, data, func(low uint32, offset int64, record []byte) {
		number := fullNumber(next, low)
		if number < next {
			return
		}
		if entry.nextNumber > 0 && number >= entry.nextNumber {
			if firstIgnored == none {
				firstIgnored = offset
			}
			return
		}
		r.addLost(next, number)
		next = number + 1
		r.applyRecord(seg, number, offset, record)
	})
	if firstIgnored != none {
		end = firstIgnored
	}
	for _, d := range damaged {
		if d.From < end {
			r.addDamaged(seg.number, d.From, d.To)
		}
	}
	switch {
	case entry.nextNumber > next:
		r.addLost(next, entry.nextNumber)
		r.addDamaged(seg.number, end, seg.fileSize)
		next = entry.nextNumber
	case end < seg.fileSize && !isZero(data[end:]):
		r.addTorn(seg.number, end, seg.fileSize)
	}
	seg.size = max(end, HeaderSize)
	seg.nextNumber = next
	return nil
}

// dropRemovedSegments drops the segments whose removal was recorded.
func (r *recoverer) dropRemovedSegments() {
	r.store.segments = slices.DeleteFunc(r.store.segments, func(seg *segment) bool {
		if !r.removed[seg.number] {
			return false
		}
		r.result.Stale = append(r.result.Stale, seg.number)
		r.store.diskBytes -= roundToUnits(seg.fileSize)
		_ = seg.file.Close() // the file was only read, so an error on closing loses nothing
		return true
	})
}

// removeStale removes the files of stale segments.
func (r *recoverer) removeStale() error {
	if r.store.options.ReadOnly {
		return nil
	}
	for _, number := range r.result.Stale {
		if err := r.store.fs.Remove(segmentName(number)); err != nil {
			return fmt.Errorf("store: remove stale segment %d: %w", number, err)
		}
	}
	return nil
}
