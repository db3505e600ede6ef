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

// Span is a stretch of a segment's bytes.
type Span struct {
	Segment  uint32
	From, To int64
}

// Numbers is a run of record numbers, from the first to behind the last.
type Numbers struct{ From, To uint64 }

// Recovery is what Open found. Values live in the Store; their deltas are here.
type Recovery struct {
	Keys []uint64 // that live, in the order in which they were put
	// Torn is what stands behind the last whole record of a segment that a process died on, or could not write:
	// never acknowledged, and dropped.
	Torn []Span
	// Damaged is what was committed and cannot be read.
	Damaged []Span
	Missing []uint32 // segments that are not there, and should be
	Foreign []string // files that are not this store's, or stand under another's name; left alone
	Stale   []uint32 // segments that were done with and whose removal a crash forestalled; removed now
	// Lost are the numbers of records that were committed and could not be read. A value of a key in it is gone.
	Lost []Numbers
	// LostValues are keys of which deltas were found, and no value.
	LostValues []uint64

	deltas map[uint64][]found
	read   int64
}

type found struct {
	number  uint64
	segment uint32
	disk    uint32
	data    []byte
}

// Deltas are a key's, in the order in which they were appended.
func (r *Recovery) Deltas(key uint64) [][]byte {
	var all [][]byte
	for _, f := range r.deltas[key] {
		all = append(all, f.data)
	}
	return all
}

// Doubtful tells whether a delta of a key that lives may be among the records that were lost. Its owner must take it
// that there was one.
func (r *Recovery) Doubtful(key uint64) bool {
	return slices.ContainsFunc(r.Lost, func(n Numbers) bool { return n.To > key+1 })
}

// Intact tells whether all that was ever committed was read.
func (r *Recovery) Intact() bool {
	return len(r.Damaged) == 0 && len(r.Missing) == 0 && len(r.Lost) == 0 && len(r.LostValues) == 0
}

// Bytes is how much was read.
func (r *Recovery) Bytes() int64 { return r.read }

// directoryEntry is what a directory says of a segment.
type directoryEntry struct{ first, end uint64 }

// recovery is Open at work.
type recovery struct {
	s    *Store
	rec  *Recovery
	puts map[uint64]place
	dead map[uint64]bool
	// old are segments that hold a value that was moved on, as a compaction that was cut off leaves one.
	old  map[uint32]bool
	gone map[uint32]bool
	// tombs are deletes: bytes by the segment that they stand in and the one that held the put.
	tombs map[[2]uint32]uint32
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
		fs:      fs,
		opt:     opt,
		index:   map[uint64]place{},
		segSize: max(leastSegment, min(mostSegment, opt.Limit/segments)),
		next:    1,
	}
	if !opt.ReadOnly {
		if s.lock, err = fs.Lock(lockName); err != nil {
			return nil, nil, fmt.Errorf("store: %w", err)
		}
	}
	r := &recovery{
		s: s, rec: &Recovery{deltas: map[uint64][]found{}}, puts: map[uint64]place{}, dead: map[uint64]bool{}, old: map[uint32]bool{},
		gone: map[uint32]bool{}, tombs: map[[2]uint32]uint32{},
	}
	if err := r.run(); err != nil {
		return nil, nil, errors.Join(err, s.Close())
	}
	return s, r.rec, nil
}

func (r *recovery) run() error {
	if err := r.openAll(); err != nil {
		return err
	}
	dir, newest, err := r.directories()
	if err != nil {
		return err
	}
	expected := uint64(0) // the number that comes next, if it is known
	var kept []*segment
	for _, g := range r.s.segs {
		if _, listed := dir[g.number]; !listed && g.number < newest {
			r.rec.Stale = append(r.rec.Stale, g.number)
			if err := g.file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		}
		if err := r.scan(g, dir[g.number]); err != nil {
			return err
		}
		kept = append(kept, g)
		expected = max(expected, g.end)
	}
	r.s.segs = kept
	for number, d := range dir {
		if r.s.segment(number) == nil && !r.gone[number] {
			r.rec.Missing = append(r.rec.Missing, number)
			r.lose(d.first, d.end)
			expected = max(expected, d.end)
		}
	}
	slices.Sort(r.rec.Missing)
	r.s.next = max(1, expected)
	r.dropGone()
	r.build()
	return r.removeStale()
}

// lose notes that records were committed and cannot be read.
func (r *recovery) lose(from, to uint64) {
	if from < to {
		r.rec.Lost = append(r.rec.Lost, Numbers{from, to})
	}
}

// openAll opens the segments that are there.
func (r *recovery) openAll() error {
	names, err := r.s.fs.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	slices.Sort(names)
	last := uint32(0)
	for _, name := range names {
		if number, ok := parseName(name); ok {
			last = max(last, number)
		}
	}
	for _, name := range names {
		number, ok := parseName(name)
		if !ok {
			if name != lockName {
				r.rec.Foreign = append(r.rec.Foreign, name)
			}
			continue
		}
		file, err := r.s.fs.Open(name, false)
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
		g := &segment{number: number, file: file, onDisk: size, tombs: map[uint32]uint32{}}
		g.header, err = ParseHeader(head)
		switch {
		case errors.Is(err, ErrNewer):
			return errors.Join(fmt.Errorf("%s: %w", name, err), file.Close())
		case err != nil && number == last && len(bytes.Trim(head, "\x00")) == 0 || len(head) < HeaderSize && number == last:
			// The last one, cut off as it was begun: nothing in it was acknowledged.
			r.rec.Torn = append(r.rec.Torn, Span{number, 0, size})
			r.rec.Stale = append(r.rec.Stale, number)
			if err := file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		case err != nil:
			r.rec.Damaged = append(r.rec.Damaged, Span{number, 0, size})
			g.header.Segment = uint64(number)
			g.size = -1 // nothing in it can be read
		case g.header.Segment != uint64(number):
			r.rec.Foreign = append(r.rec.Foreign, name)
			if err := file.Close(); err != nil {
				return fmt.Errorf("store: %w", err)
			}
			continue
		}
		r.s.segs = append(r.s.segs, g)
		r.s.disk += units(size)
	}
	return nil
}

// directories reads the first record of each segment. It returns what the newest that can be read says of the others,
// with the ends that earlier ones told, and that segment's number.
func (r *recovery) directories() (map[uint32]directoryEntry, uint32, error) {
	dir, newest := map[uint32]directoryEntry{}, uint32(0)
	for _, g := range r.s.segs {
		if g.size < 0 {
			continue
		}
		data := make([]byte, min(g.onDisk, 64<<10))
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
			dir[g.number] = directoryEntry{first: g.header.First}
		}
	}
	return dir, newest, nil
}

// parseDirectory reads a directory's record; nil if it is none.
func parseDirectory(record []byte) map[uint32]directoryEntry {
	if len(record) == 0 || record[0] != recDirectory {
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

// scan reads a segment's records. Behind a known end nothing was acknowledged.
func (r *recovery) scan(g *segment, known directoryEntry) error {
	if g.size < 0 {
		g.size, g.end = 0, known.end
		r.lose(known.first, known.end)
		return nil
	}
	data := make([]byte, g.onDisk)
	if _, err := g.file.ReadAt(data, 0); err != nil && err != io.EOF {
		return fmt.Errorf("store: %s: %w", segmentName(g.number), err)
	}
	r.rec.read += g.onDisk
	next, stop := g.header.First, int64(-1)
	end, damaged := Scan(g.header, data, func(low uint32, at int64, record []byte) {
		number := next + uint64(int64(int32(low-uint32(next))))
		if number < next || known.end > 0 && number >= known.end {
			if stop < 0 && number >= next {
				stop = at
			}
			return
		}
		r.lose(next, number)
		next = number + 1
		g.size = at + recordSize(at, int64(len(record)))
		r.take(g, number, at, record)
	})
	if stop >= 0 {
		end = stop
	}
	for _, d := range damaged {
		if d.From < end {
			r.rec.Damaged = append(r.rec.Damaged, Span{g.number, d.From, d.To})
		}
	}
	if known.end > next {
		r.lose(next, known.end)
		r.rec.Damaged = append(r.rec.Damaged, Span{g.number, end, g.onDisk})
		next = known.end
	} else if end < g.onDisk && len(bytes.Trim(data[end:], "\x00")) > 0 {
		r.rec.Torn = append(r.rec.Torn, Span{g.number, end, g.onDisk})
	}
	g.size, g.end = max(end, HeaderSize), next
	return nil
}

// fields reads unsigned varints from a record behind its kind.
func fields(record []byte, n int) (x [2]uint64, rest []byte, ok bool) {
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

// take takes a record. One that makes no sense, with a right checksum, is another version's: it changes nothing.
func (r *recovery) take(g *segment, number uint64, at int64, record []byte) {
	if len(record) == 0 {
		return
	}
	disk := uint32(recordSize(at, int64(len(record))))
	switch record[0] {
	case recPut:
		r.put(number, place{segment: g.number, offset: uint32(at), disk: disk, size: uint32(len(record) - 1)})
	case recMovedPut:
		if x, rest, ok := fields(record, 1); ok {
			r.put(x[0], place{segment: g.number, offset: uint32(at), disk: disk, size: uint32(len(rest))})
		}
	case recDelta:
		if x, rest, ok := fields(record, 1); ok {
			r.delta(x[0], found{number, g.number, disk, bytes.Clone(rest)})
		}
	case recMovedDelta:
		if x, rest, ok := fields(record, 2); ok {
			r.delta(x[0], found{x[1], g.number, disk, bytes.Clone(rest)})
		}
	case recDelete:
		if x, _, ok := fields(record, 2); ok {
			r.dead[x[0]] = true
			r.tombs[[2]uint32{g.number, uint32(x[1])}] += disk
		}
	case recGone:
		if x, _, ok := fields(record, 1); ok {
			r.gone[uint32(x[0])] = true
		}
	}
}

// put takes a value, or a later copy of it.
func (r *recovery) put(key uint64, p place) {
	if was, ok := r.puts[key]; ok && was.segment != p.segment {
		r.old[was.segment] = true
	}
	r.puts[key] = p
}

// delta takes a delta, or a later copy of one.
func (r *recovery) delta(key uint64, f found) {
	all := r.rec.deltas[key]
	i, ok := slices.BinarySearchFunc(all, f.number, func(x found, n uint64) int { return cmp.Compare(x.number, n) })
	if ok {
		if all[i].segment != f.segment {
			r.old[all[i].segment] = true
		}
		all[i] = f
		return
	}
	r.rec.deltas[key] = slices.Insert(all, i, f)
}

// dropGone leaves out segments that a record says are removed.
func (r *recovery) dropGone() {
	r.s.segs = slices.DeleteFunc(r.s.segs, func(g *segment) bool {
		if !r.gone[g.number] {
			return false
		}
		r.rec.Stale = append(r.rec.Stale, g.number)
		r.s.disk -= units(g.onDisk)
		g.file.Close() // it was only read
		return true
	})
}

// build makes the index of what was found.
func (r *recovery) build() {
	s := r.s
	for key, p := range r.puts {
		if r.dead[key] || s.segment(p.segment) == nil {
			delete(r.puts, key)
		}
	}
	for key, all := range r.rec.deltas {
		if _, ok := r.puts[key]; !ok {
			if !r.dead[key] &&
				slices.ContainsFunc(r.rec.Lost, func(n Numbers) bool { return n.From <= key && key < n.To }) {
				r.rec.LostValues = append(r.rec.LostValues, key)
			}
			delete(r.rec.deltas, key)
			continue
		}
		r.rec.deltas[key] = slices.DeleteFunc(all, func(f found) bool { return s.segment(f.segment) == nil })
	}
	slices.Sort(r.rec.LostValues)
	r.rec.Keys = slices.Sorted(maps.Keys(r.puts))
	for _, key := range r.rec.Keys {
		p := r.puts[key]
		for _, f := range r.rec.deltas[key] {
			p.deltas = s.link(delta{number: f.number, segment: f.segment, disk: f.disk, next: p.deltas})
			s.lives(s.segment(f.segment), int64(f.disk))
		}
		s.index[key] = p
		g := s.segment(p.segment)
		g.values++
		s.lives(g, int64(p.disk))
	}
	for at, disk := range r.tombs {
		if g := s.segment(at[0]); g != nil && s.segment(at[1]) != nil {
			g.tombs[at[1]] += disk
			s.lives(g, int64(disk))
		}
	}
	// A compaction that was cut off goes on first: until its segment is gone a value stands in two, and the delete
	// that ends it names only the later.
	for _, g := range s.segs {
		if r.old[g.number] && s.victim == nil {
			s.victim, s.at, s.number = g, HeaderSize, g.header.First
		}
	}
}

func (r *recovery) removeStale() error {
	if r.s.opt.ReadOnly {
		return nil
	}
	for _, number := range r.rec.Stale {
		if err := r.s.fs.Remove(segmentName(number)); err != nil {
			return fmt.Errorf("store: remove what was done with: %w", err)
		}
	}
	return nil
}
