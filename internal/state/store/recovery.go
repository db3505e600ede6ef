package store

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// SegmentRange is a range of bytes of a segment. To is exclusive.
type SegmentRange struct {
	Segment  uint32
	From, To int64
}

// RecordRange is a range of record numbers. To is exclusive.
type RecordRange struct{ From, To uint64 }

func (r RecordRange) contains(number uint64) bool { return r.From <= number && number < r.To }

// Recovery describes what Open found. It holds the deltas of the live values; the values themselves are read with
// Store.Get.
type Recovery struct {
	// Keys are the keys of the live values, in the order in which the values were put.
	Keys []uint64
	// Torn are the bytes after the last acknowledged record of a segment, left by a process that crashed or whose
	// write failed. They were never acknowledged, and are dropped.
	Torn []SegmentRange
	// Damaged are the bytes that were committed and cannot be read.
	Damaged []SegmentRange
	// Missing are the numbers of segments that should exist according to the newest directory, and do not.
	Missing []uint32
	// Foreign are the names of files that do not belong to this store, or whose name is that of another segment
	// than their header states. Such files are left alone.
	Foreign []string
	// Stale are the numbers of segments that a crash kept from being removed or from being completely created. Open
	// removes them unless the store is read-only.
	Stale []uint32
	// Lost are the numbers of records that were committed and could not be read. A value whose key is among them is
	// lost if no moved copy of it was found.
	Lost []RecordRange
	// LostKeys are the keys of lost values for which deltas were found.
	LostKeys []uint64

	deltas    map[uint64][]foundDelta
	bytesRead int64
}

// foundDelta is a delta as recovery found it.
type foundDelta struct {
	number   uint64 // the delta's record number before any move
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

// Uncertain reports whether a delta of a live value may be among the lost records, which is possible if one of them
// has a higher number than the value's key. The caller must then assume that a delta was lost.
func (r *Recovery) Uncertain(key uint64) bool {
	return slices.ContainsFunc(r.Lost, func(lost RecordRange) bool { return lost.To > key+1 })
}

// Intact reports whether everything that was committed could be read.
func (r *Recovery) Intact() bool {
	return len(r.Damaged) == 0 && len(r.Missing) == 0 && len(r.Lost) == 0 && len(r.LostKeys) == 0
}

// Bytes returns how many bytes of segments were read.
func (r *Recovery) Bytes() int64 { return r.bytesRead }

// recoverer collects the records of all segments and builds the store's index from them.
type recoverer struct {
	store   *Store
	result  *Recovery
	values  map[uint64]valueLocation // by key
	deleted map[uint64]bool          // by key
	// superseded holds the numbers of segments with an old copy of a value or delta that was moved. An unfinished
	// compaction leaves such copies behind.
	superseded map[uint32]bool
	// removed holds the numbers of segments whose removal was recorded.
	removed map[uint32]bool
	// tombstones are the bytes of deletes on disk.
	tombstones map[tombstoneKey]uint32
}

// tombstoneKey groups deletes by the segment that holds them and by target, the segment that holds the put.
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

// addLost reports records that were committed and cannot be read. to is exclusive.
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

// applyRecord adds a record to what was collected. A record with a correct checksum but an unknown kind or
// malformed fields comes from another version of the program, and is ignored.
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

// applyPut adds a value. A later copy of a value replaces the earlier one.
func (r *recoverer) applyPut(key uint64, location valueLocation) {
	if old, ok := r.values[key]; ok && old.segment != location.segment {
		r.superseded[old.segment] = true
	}
	r.values[key] = location
}

// applyDelta adds a delta. A later copy of a delta replaces the earlier one.
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

// buildIndex builds the store's index from the records that were collected.
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

// dropDeadValues drops values that were deleted, and values whose segment was dropped.
func (r *recoverer) dropDeadValues() {
	for key, value := range r.values {
		if r.deleted[key] || r.store.findSegment(value.segment) == nil {
			delete(r.values, key)
		}
	}
}

// dropDeadDeltas drops deltas without a live value, and deltas whose segment was dropped. It reports the keys of
// lost values that have deltas.
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

// indexValue adds a live value and its deltas to the store's index.
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

// countTombstones counts a delete as live while the segment that holds the put exists: without the delete, the next
// recovery would restore the deleted value.
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

// resumeCompaction resumes an unfinished compaction. It must finish before any other compaction: until then a value
// may exist in two segments, and a delete refers only to the segment with the later copy. If that segment were
// removed first, the delete would be dropped and the older copy of the value would come back.
func (r *recoverer) resumeCompaction() {
	for _, seg := range r.store.segments {
		if r.superseded[seg.number] {
			r.store.compaction.begin(seg)
			return
		}
	}
}
