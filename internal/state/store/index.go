package store

// valueLocation is the place on disk of a live value.
type valueLocation struct {
	segment     uint32
	offset      uint32
	diskSize    uint32 // bytes of its record's frames on disk
	size        uint32 // bytes of the value
	newestDelta int32  // head of its delta chain: index in Store.deltas plus 1; 0: none
}

// deltaEntry is the place on disk of a delta. It is kept to update the live bytes of the delta's segment.
type deltaEntry struct {
	number   uint64 // the delta's record number before any move
	segment  uint32
	diskSize uint32
	next     int32 // previous delta of the value, or next unused entry: index in Store.deltas plus 1; 0: none
}

// applyOp updates the index with an operation that was written to a segment as the record with this number, in the
// bytes from offset to end.
func (s *Store) applyOp(seg *segment, o *op, number uint64, offset, end int64) {
	diskSize := end - offset
	switch o.kind {
	case kindPut:
		s.index[o.key] = valueLocation{
			segment:  seg.number,
			offset:   uint32(offset),
			diskSize: uint32(diskSize),
			size:     uint32(o.size()),
		}
		s.addLiveBytes(seg, diskSize)
	case kindDelta:
		value, ok := s.index[o.key]
		if !ok {
			return
		}
		s.addDelta(&value, deltaEntry{number: number, segment: seg.number, diskSize: uint32(diskSize)})
		s.index[o.key] = value
		s.addLiveBytes(seg, diskSize)
	case kindDelete:
		value, ok := s.index[o.key]
		if !ok {
			return
		}
		s.removeValue(o.key, value)
		if s.findSegment(value.segment) != nil {
			seg.tombstones[value.segment] += uint32(diskSize)
			s.addLiveBytes(seg, diskSize)
		}
	}
}

// removeValue removes a value and its deltas from the index and from the live bytes.
func (s *Store) removeValue(key uint64, value valueLocation) {
	delete(s.index, key)
	if seg := s.findSegment(value.segment); seg != nil {
		s.addLiveBytes(seg, -int64(value.diskSize))
	}
	for i := value.newestDelta; i != 0; {
		entry := &s.deltas[i-1]
		if seg := s.findSegment(entry.segment); seg != nil {
			s.addLiveBytes(seg, -int64(entry.diskSize))
		}
		next := entry.next
		entry.next = s.freeDelta
		s.freeDelta = i
		i = next
	}
}

// addDelta adds a delta to the head of a value's chain.
func (s *Store) addDelta(value *valueLocation, entry deltaEntry) {
	entry.next = value.newestDelta
	if free := s.freeDelta; free != 0 {
		s.freeDelta = s.deltas[free-1].next
		s.deltas[free-1] = entry
		value.newestDelta = free
		return
	}
	s.deltas = append(s.deltas, entry)
	value.newestDelta = int32(len(s.deltas))
}
