package store

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// SegmentRange is a range of a segment's bytes, from its first to behind its last.
type SegmentRange struct {
	Segment  uint32
	From, To int64
}

// RecordRange is a range of record numbers, from the first to behind the last.
type RecordRange struct{ From, To uint64 }

func (r RecordRange) contains(number uint64) bool { return r.From <= number && number < r.To }

// Recovery is what Open found. Values are in the Store; their deltas are here.
type Recovery struct {
	// Keys are those of the live values, in the order in which they were put.
	Keys []uint64
	// Torn is what stands behind the last complete record of a segment that a process died on, or could not write. It
	// was never acknowledged, and is dropped.
	Torn []SegmentRange
	// Damaged is what was committed and cannot be read.
	Damaged []SegmentRange
	// Missing are segments that do not exist, and should.
	Missing []uint32
	// Foreign are files that are not this store's, or have the name of another segment. They are left alone.
	Foreign []string
	// Stale are segments that a crash kept from being removed. They are removed now.
	Stale []uint32
	// Lost are the numbers of records that were committed and could not be read. A value whose key is among them is
	// lost.
	Lost []RecordRange
	// LostKeys are keys of which deltas were found, and no value.
	LostKeys []uint64

	deltas    map[uint64][]foundDelta
	bytesRead int64
}

// foundDelta is a delta as recovery found it.
type foundDelta struct {
	number   uint64 // of its record, before any move
	segment  uint32
	diskSize uint32
	data     []byte
}

// Deltas returns the deltas of a value, in the order in which they were appended.
func (r *Recovery) Deltas(key uint64) [][]byte {
	var deltas [][]byte
	for _, delta := range r.deltas[key] {
		deltas = append(deltas, delta.data)
	}
	return deltas
}

// Uncertain reports whether a delta of a live value may be among the records that were lost. Its owner must assume that
// there was one.
func (r *Recovery) Uncertain(key uint64) bool {
	return slices.ContainsFunc(r.Lost, func(lost RecordRange) bool { return lost.To > key+1 })
}

// Intact reports whether all that was ever committed was read.
func (r *Recovery) Intact() bool {
	return len(r.Damaged) == 0 && len(r.Missing) == 0 && len(r.Lost) == 0 && len(r.LostKeys) == 0
}

// Bytes returns how many bytes were read.
func (r *Recovery) Bytes() int64 { return r.bytesRead }

// recoverer collects what the segments' records say, and makes the store's index of it.
type recoverer struct {
	store   *Store
	result  *Recovery
	values  map[uint64]valueLocation // by key
	deleted map[uint64]bool          // keys
	// superseded are segments that hold an old copy of a value or delta that was moved, as an unfinished compaction
	// leaves them.
	superseded map[uint32]bool
	// removed are segments that a record says are removed.
	removed map[uint32]bool
	// tombstones are the bytes of deletes.
	tombstones map[tombstoneKey]uint32
}

// tombstoneKey names the segment that a delete stands in, and the one that held the put.
type tombstoneKey struct{ segment, target uint32 }

func newRecoverer(s *Store) *recoverer {
	return &recoverer{
		store:      s,
		result:     &Recovery{deltas: map[uint64][]foundDelta{}},
		values:     map[uint64]valueLocation{},
		deleted:    map[uint64]bool{},
		superseded: map[uint32]bool{},
		removed:    map[uint32]bool{},
		tombstones: map[tombstoneKey]uint32{},
	}
}

// addLost notes that records were committed and cannot be read.
func (r *recoverer) addLost(from, to uint64) {
	if from < to {
		r.result.Lost = append(r.result.Lost, RecordRange{From: from, To: to})
	}
}

func (r *recoverer) addTorn(segment uint32, from, to int64) {
	r.result.Torn = append(r.result.Torn, SegmentRange{Segment: segment, From: from, To: to})
}

func (r *recoverer) addDamaged(segment uint32, from, to int64) {
	r.result.Damaged = append(r.result.Damaged, SegmentRange{Segment: segment, From: from, To: to})
}

// applyRecord takes a record. One that makes no sense although its checksum is right is of another version: it changes
// nothing.
func (r *recoverer) applyRecord(seg *segment, number uint64, offset int64, record []byte) {
	if len(record) == 0 {
		return
	}
	diskSize := uint32(framedSize(offset, int64(len(record))))
	location := valueLocation{segment: seg.number, offset: uint32(offset), diskSize: diskSize}
	delta := foundDelta{segment: seg.number, diskSize: diskSize}
	switch recordKind(record[0]) {
	case kindPut:
		location.size = uint32(len(record) - 1)
		r.applyPut(number, location)
	case kindMovedPut:
		if fields, value, ok := parseFields(record, 1); ok {
			location.size = uint32(len(value))
			r.applyPut(fields[0], location)
		}
	case kindDelta:
		if fields, data, ok := parseFields(record, 1); ok {
			delta.number = number
			delta.data = bytes.Clone(data)
			r.applyDelta(fields[0], delta)
		}
	case kindMovedDelta:
		if fields, data, ok := parseFields(record, 2); ok {
			delta.number = fields[1]
			delta.data = bytes.Clone(data)
			r.applyDelta(fields[0], delta)
		}
	case kindDelete:
		if fields, _, ok := parseFields(record, 2); ok {
			r.deleted[fields[0]] = true
			r.tombstones[tombstoneKey{segment: seg.number, target: uint32(fields[1])}] += diskSize
		}
	case kindRemoved:
		if fields, _, ok := parseFields(record, 1); ok {
			r.removed[uint32(fields[0])] = true
		}
	}
}

// applyPut takes a value, or a later copy of it.
func (r *recoverer) applyPut(key uint64, location valueLocation) {
	if old, ok := r.values[key]; ok && old.segment != location.segment {
		r.superseded[old.segment] = true
	}
	r.values[key] = location
}

// applyDelta takes a delta, or a later copy of it.
func (r *recoverer) applyDelta(key uint64, delta foundDelta) {
	deltas := r.result.deltas[key]
	i, ok := slices.BinarySearchFunc(deltas, delta.number, func(d foundDelta, number uint64) int {
		return cmp.Compare(d.number, number)
	})
	if ok {
		if deltas[i].segment != delta.segment {
			r.superseded[deltas[i].segment] = true
		}
		deltas[i] = delta
		return
	}
	r.result.deltas[key] = slices.Insert(deltas, i, delta)
}

// buildIndex makes the store's index of the records that were found.
func (r *recoverer) buildIndex() {
	r.dropDeadValues()
	r.dropDeadDeltas()
	r.result.Keys = slices.Sorted(maps.Keys(r.values))
	for _, key := range r.result.Keys {
		r.indexValue(key)
	}
	r.countTombstones()
	r.resumeCompaction()
}

// dropDeadValues leaves out values that were deleted, or whose segment is gone.
func (r *recoverer) dropDeadValues() {
	for key, value := range r.values {
		if r.deleted[key] || r.store.findSegment(value.segment) == nil {
			delete(r.values, key)
		}
	}
}

// dropDeadDeltas leaves out deltas without a live value, or whose segment is gone. It reports those of values that were
// lost.
func (r *recoverer) dropDeadDeltas() {
	for key, deltas := range r.result.deltas {
		if _, live := r.values[key]; live {
			r.result.deltas[key] = slices.DeleteFunc(deltas, func(d foundDelta) bool {
				return r.store.findSegment(d.segment) == nil
			})
			continue
		}
		lost := slices.ContainsFunc(r.result.Lost, func(lost RecordRange) bool { return lost.contains(key) })
		if lost && !r.deleted[key] {
			r.result.LostKeys = append(r.result.LostKeys, key)
		}
		delete(r.result.deltas, key)
	}
	slices.Sort(r.result.LostKeys)
}

// indexValue enters a live value and its deltas into the store's index.
func (r *recoverer) indexValue(key uint64) {
	s := r.store
	value := r.values[key]
	for _, d := range r.result.deltas[key] {
		s.addDelta(&value, deltaEntry{number: d.number, segment: d.segment, diskSize: d.diskSize})
		s.addLiveBytes(s.findSegment(d.segment), int64(d.diskSize))
	}
	s.index[key] = value
	s.addLiveBytes(s.findSegment(value.segment), int64(value.diskSize))
}

// countTombstones counts the deletes whose put's segment still exists as live: without them the value would be back.
func (r *recoverer) countTombstones() {
	s := r.store
	for key, diskSize := range r.tombstones {
		seg := s.findSegment(key.segment)
		if seg != nil && s.findSegment(key.target) != nil {
			seg.tombstones[key.target] += diskSize
			s.addLiveBytes(seg, int64(diskSize))
		}
	}
}

// resumeCompaction has an unfinished compaction go on first: until its segment is gone a value stands in two segments,
// and the delete that ends it names only the later one.
func (r *recoverer) resumeCompaction() {
	for _, seg := range r.store.segments {
		if r.superseded[seg.number] {
			r.store.compaction.begin(seg)
			return
		}
	}
}
