package store

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// SegmentRange is a stretch of a segment's bytes.
type SegmentRange struct {
	Segment  uint32
	From, To int64
}

// RecordRange is a run of record numbers, from the first to behind the last.
type RecordRange struct{ From, To uint64 }

// Recovery is what Open found. Values live in the Store; their deltas are here.
type Recovery struct {
	Keys []uint64 // that live, in the order in which they were put
	// Torn is what stands behind the last whole record of a segment that a process died on, or could not write:
	// never acknowledged, and dropped.
	Torn []SegmentRange
	// Damaged is what was committed and cannot be read.
	Damaged []SegmentRange
	Missing []uint32 // segments that are not there, and should be
	Foreign []string // files that are not this store's, or stand under another's name; left alone
	Stale   []uint32 // segments that were done with and whose removal a crash forestalled; removed now
	// Lost are the numbers of records that were committed and could not be read. A value of a key in it is gone.
	Lost []RecordRange
	// LostKeys are keys of which deltas were found, and no value.
	LostKeys []uint64

	deltas    map[uint64][]foundDelta
	bytesRead int64
}

type foundDelta struct {
	number   uint64
	segment  uint32
	diskSize uint32
	data     []byte
}

// Deltas are a key's, in the order in which they were appended.
func (r *Recovery) Deltas(key uint64) [][]byte {
	var all [][]byte
	for _, f := range r.deltas[key] {
		all = append(all, f.data)
	}
	return all
}

// Uncertain tells whether a delta of a key that lives may be among the records that were lost. Its owner must take it
// that there was one.
func (r *Recovery) Uncertain(key uint64) bool {
	return slices.ContainsFunc(r.Lost, func(n RecordRange) bool { return n.To > key+1 })
}

// Intact tells whether all that was ever committed was read.
func (r *Recovery) Intact() bool {
	return len(r.Damaged) == 0 && len(r.Missing) == 0 && len(r.Lost) == 0 && len(r.LostKeys) == 0
}

// Bytes is how much was read.
func (r *Recovery) Bytes() int64 { return r.bytesRead }

// directoryEntry is what a directory says of a segment.
type directoryEntry struct{ firstRecord, nextNumber uint64 }

// recoverer is Open at work.
type recoverer struct {
	store   *Store
	result  *Recovery
	values  map[uint64]valueLocation
	deleted map[uint64]bool
	// old are segments that hold a value that was moved on, as a compaction that was cut off leaves one.
	superseded map[uint32]bool
	removed    map[uint32]bool
	// tombs are deletes: bytes by the segment that they stand in and the one that held the put.
	tombstones map[[2]uint32]uint32
}

// Open opens the store in a folder, or begins one. It changes nothing but to remove what was done with.
func Open(fs FS, opt Options) (_ *Store, _ *Recovery, err error) {
	if opt.Limit < MinLimit {
		return nil, nil, fmt.Errorf("store: a limit of %d bytes, %d at least", opt.Limit, MinLimit)
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	opt.Interval = cmp.Or(opt.Interval, time.Second)
	s := &Store{
		fs:          fs,
		options:     opt,
		index:       map[uint64]valueLocation{},
		segmentSize: max(minSegmentSize, min(maxSegmentSize, opt.Limit/segmentsPerLimit)),
		nextNumber:  1,
	}
	if !opt.ReadOnly {
		if s.lock, err = fs.Lock(lockFileName); err != nil {
			return nil, nil, fmt.Errorf("store: %w", err)
		}
	}
	r := &recoverer{
		store: s, result: &Recovery{deltas: map[uint64][]foundDelta{}}, values: map[uint64]valueLocation{}, deleted: map[uint64]bool{}, superseded: map[uint32]bool{},
		removed: map[uint32]bool{}, tombstones: map[[2]uint32]uint32{},
	}
	if err := r.run(); err != nil {
		return nil, nil, errors.Join(err, s.Close())
	}
	return s, r.result, nil
}

func (r *recoverer) run() error {
	if err := r.openSegments(); err != nil {
		return err
	}
	dir, newest, err := r.readDirectories()
	if err != nil {
		return err
	}
	expected := uint64(0) // the number that comes next, if it is known
	var kept []*segment
	for _, g := range r.store.segments {
		if _, listed := dir[g.number]; !listed && g.number < newest {
			r.result.Stale = append(r.result.Stale, g.number)
			if err := g.file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		}
		if err := r.scanSegment(g, dir[g.number]); err != nil {
			return err
		}
		kept = append(kept, g)
		expected = max(expected, g.nextNumber)
	}
	r.store.segments = kept
	for number, d := range dir {
		if r.store.findSegment(number) == nil && !r.removed[number] {
			r.result.Missing = append(r.result.Missing, number)
			r.addLost(d.firstRecord, d.nextNumber)
			expected = max(expected, d.nextNumber)
		}
	}
	slices.Sort(r.result.Missing)
	r.store.nextNumber = max(1, expected)
	r.dropRemoved()
	r.buildIndex()
	return r.removeStale()
}

// addLost notes that records were committed and cannot be read.
func (r *recoverer) addLost(from, to uint64) {
	if from < to {
		r.result.Lost = append(r.result.Lost, RecordRange{from, to})
	}
}

// openSegments opens the segments that are there.
func (r *recoverer) openSegments() error {
	names, err := r.store.fs.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
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
		file, err := r.store.fs.Open(name, false)
		if err != nil {
			return fmt.Errorf("store: %s: %w", name, err)
		}
		size, err := file.Size()
		if err != nil {
			return errors.Join(fmt.Errorf("store: %s: %w", name, err), file.Close())
		}
		head := make([]byte, min(size, HeaderSize))
		if _, err := file.ReadAt(head, 0); err != nil && err != io.EOF {
			return errors.Join(fmt.Errorf("store: %s: %w", name, err), file.Close())
		}
		g := &segment{number: number, file: file, fileSize: size, tombstones: map[uint32]uint32{}}
		g.header, err = ParseHeader(head)
		switch {
		case errors.Is(err, ErrNewerFormat):
			return errors.Join(fmt.Errorf("%s: %w", name, err), file.Close())
		case err != nil && number == last && len(bytes.Trim(head, "\x00")) == 0 || len(head) < HeaderSize && number == last:
			// The last one, cut off as it was begun: nothing in it was acknowledged.
			r.result.Torn = append(r.result.Torn, SegmentRange{number, 0, size})
			r.result.Stale = append(r.result.Stale, number)
			if err := file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		case err != nil:
			r.result.Damaged = append(r.result.Damaged, SegmentRange{number, 0, size})
			g.header.Segment = uint64(number)
			g.size = -1 // nothing in it can be read
		case g.header.Segment != uint64(number):
			r.result.Foreign = append(r.result.Foreign, name)
			if err := file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		}
		r.store.segments = append(r.store.segments, g)
		r.store.diskBytes += roundToUnits(size)
	}
	return nil
}

// readDirectories reads the first record of each segment. It returns what the newest that can be read says of the others,
// with the ends that earlier ones told, and that segment's number.
func (r *recoverer) readDirectories() (map[uint32]directoryEntry, uint32, error) {
	dir, newest := map[uint32]directoryEntry{}, uint32(0)
	for _, g := range r.store.segments {
		if g.size < 0 {
			continue
		}
		data := make([]byte, min(g.fileSize, 64<<10))
		if _, err := g.file.ReadAt(data, 0); err != nil && err != io.EOF {
			return nil, 0, fmt.Errorf("store: %s: %w", segmentName(g.number), err)
		}
		var listed map[uint32]directoryEntry
		Scan(g.header, data, func(_ uint32, at int64, record []byte) {
			if at == HeaderSize {
				listed = parseDirectory(record)
			}
		})
		if listed != nil {
			dir, newest = listed, g.number
			dir[g.number] = directoryEntry{firstRecord: g.header.FirstRecord}
		}
	}
	return dir, newest, nil
}

// parseDirectory reads a directory's record; nil if it is none.
func parseDirectory(record []byte) map[uint32]directoryEntry {
	if len(record) == 0 || record[0] != kindDirectory {
		return nil
	}
	dir := map[uint32]directoryEntry{}
	for b := record[1:]; len(b) > 0; {
		var x [3]uint64
		for i := range x {
			v, n := binary.Uvarint(b)
			if n <= 0 {
				return nil
			}
			x[i], b = v, b[n:]
		}
		dir[uint32(x[0])] = directoryEntry{x[1], x[2]}
	}
	return dir
}

// scanSegment reads a segment's records. Behind a known end nothing was acknowledged.
func (r *recoverer) scanSegment(g *segment, known directoryEntry) error {
	if g.size < 0 {
		g.size, g.nextNumber = 0, known.nextNumber
		r.addLost(known.firstRecord, known.nextNumber)
		return nil
	}
	data := make([]byte, g.fileSize)
	if _, err := g.file.ReadAt(data, 0); err != nil && err != io.EOF {
		return fmt.Errorf("store: %s: %w", segmentName(g.number), err)
	}
	r.result.bytesRead += g.fileSize
	next, stop := g.header.FirstRecord, int64(-1)
	end, damaged := Scan(g.header, data, func(low uint32, at int64, record []byte) {
		number := next + uint64(int64(int32(low-uint32(next))))
		if number < next || known.nextNumber > 0 && number >= known.nextNumber {
			if stop < 0 && number >= next {
				stop = at
			}
			return
		}
		r.addLost(next, number)
		next = number + 1
		g.size = at + framedSize(at, int64(len(record)))
		r.applyRecord(g, number, at, record)
	})
	if stop >= 0 {
		end = stop
	}
	for _, d := range damaged {
		if d.From < end {
			r.result.Damaged = append(r.result.Damaged, SegmentRange{g.number, d.From, d.To})
		}
	}
	if known.nextNumber > next {
		r.addLost(next, known.nextNumber)
		r.result.Damaged = append(r.result.Damaged, SegmentRange{g.number, end, g.fileSize})
		next = known.nextNumber
	} else if end < g.fileSize && len(bytes.Trim(data[end:], "\x00")) > 0 {
		r.result.Torn = append(r.result.Torn, SegmentRange{g.number, end, g.fileSize})
	}
	g.size, g.nextNumber = max(end, HeaderSize), next
	return nil
}

// parseFields reads unsigned varints from a record behind its kind.
func parseFields(record []byte, n int) (x [2]uint64, rest []byte, ok bool) {
	rest = record[1:]
	for i := range n {
		v, k := binary.Uvarint(rest)
		if k <= 0 {
			return x, nil, false
		}
		x[i], rest = v, rest[k:]
	}
	return x, rest, true
}

// applyRecord takes a record. One that makes no sense, with a right checksum, is another version's: it changes nothing.
func (r *recoverer) applyRecord(g *segment, number uint64, at int64, record []byte) {
	if len(record) == 0 {
		return
	}
	disk := uint32(framedSize(at, int64(len(record))))
	switch record[0] {
	case kindPut:
		r.applyPut(number, valueLocation{segment: g.number, offset: uint32(at), diskSize: disk, size: uint32(len(record) - 1)})
	case kindMovedPut:
		if x, rest, ok := parseFields(record, 1); ok {
			r.applyPut(x[0], valueLocation{segment: g.number, offset: uint32(at), diskSize: disk, size: uint32(len(rest))})
		}
	case kindDelta:
		if x, rest, ok := parseFields(record, 1); ok {
			r.applyDelta(x[0], foundDelta{number, g.number, disk, bytes.Clone(rest)})
		}
	case kindMovedDelta:
		if x, rest, ok := parseFields(record, 2); ok {
			r.applyDelta(x[0], foundDelta{x[1], g.number, disk, bytes.Clone(rest)})
		}
	case kindDelete:
		if x, _, ok := parseFields(record, 2); ok {
			r.deleted[x[0]] = true
			r.tombstones[[2]uint32{g.number, uint32(x[1])}] += disk
		}
	case kindRemoved:
		if x, _, ok := parseFields(record, 1); ok {
			r.removed[uint32(x[0])] = true
		}
	}
}

// applyPut takes a value, or a later copy of it.
func (r *recoverer) applyPut(key uint64, p valueLocation) {
	if was, ok := r.values[key]; ok && was.segment != p.segment {
		r.superseded[was.segment] = true
	}
	r.values[key] = p
}

// applyDelta takes a delta, or a later copy of one.
func (r *recoverer) applyDelta(key uint64, f foundDelta) {
	all := r.result.deltas[key]
	i, ok := slices.BinarySearchFunc(all, f.number, func(x foundDelta, n uint64) int { return cmp.Compare(x.number, n) })
	if ok {
		if all[i].segment != f.segment {
			r.superseded[all[i].segment] = true
		}
		all[i] = f
		return
	}
	r.result.deltas[key] = slices.Insert(all, i, f)
}

// dropRemoved leaves out segments that a record says are removed.
func (r *recoverer) dropRemoved() {
	r.store.segments = slices.DeleteFunc(r.store.segments, func(g *segment) bool {
		if !r.removed[g.number] {
			return false
		}
		r.result.Stale = append(r.result.Stale, g.number)
		r.store.diskBytes -= roundToUnits(g.fileSize)
		g.file.Close() // it was only read
		return true
	})
}

// buildIndex makes the index of what was found.
func (r *recoverer) buildIndex() {
	s := r.store
	for key, p := range r.values {
		if r.deleted[key] || s.findSegment(p.segment) == nil {
			delete(r.values, key)
		}
	}
	for key, all := range r.result.deltas {
		if _, ok := r.values[key]; !ok {
			if !r.deleted[key] &&
				slices.ContainsFunc(r.result.Lost, func(n RecordRange) bool { return n.From <= key && key < n.To }) {
				r.result.LostKeys = append(r.result.LostKeys, key)
			}
			delete(r.result.deltas, key)
			continue
		}
		r.result.deltas[key] = slices.DeleteFunc(all, func(f foundDelta) bool { return s.findSegment(f.segment) == nil })
	}
	slices.Sort(r.result.LostKeys)
	r.result.Keys = slices.Sorted(maps.Keys(r.values))
	for _, key := range r.result.Keys {
		p := r.values[key]
		for _, f := range r.result.deltas[key] {
			p.newestDelta = s.addDelta(deltaEntry{number: f.number, segment: f.segment, diskSize: f.diskSize, next: p.newestDelta})
			s.addLiveBytes(s.findSegment(f.segment), int64(f.diskSize))
		}
		s.index[key] = p
		g := s.findSegment(p.segment)
		g.values++
		s.addLiveBytes(g, int64(p.diskSize))
	}
	for at, disk := range r.tombstones {
		if g := s.findSegment(at[0]); g != nil && s.findSegment(at[1]) != nil {
			g.tombstones[at[1]] += disk
			s.addLiveBytes(g, int64(disk))
		}
	}
	// A compaction that was cut off goes on first: until its segment is gone a value stands in two, and the delete
	// that ends it names only the later.
	for _, g := range s.segments {
		if r.superseded[g.number] && s.compacting == nil {
			s.compacting, s.compactOffset, s.compactNumber = g, HeaderSize, g.header.FirstRecord
		}
	}
}

func (r *recoverer) removeStale() error {
	if r.store.options.ReadOnly {
		return nil
	}
	for _, number := range r.result.Stale {
		if err := r.store.fs.Remove(segmentName(number)); err != nil {
			return fmt.Errorf("store: remove what was done with: %w", err)
		}
	}
	return nil
}
