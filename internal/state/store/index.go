package store

// valueLocation says where a live value is stored.
type valueLocation struct {
	segment     uint32
	offset      uint32
	diskSize    uint32 // bytes that its frames take
	size        uint32 // of the value
	newestDelta int32  // chain of its deltas in Store.deltas, by index from 1; 0: none
}

// deltaEntry says where a delta is stored, to count its segment's live bytes.
type deltaEntry struct {
	number   uint64 // of its record, before any move
	segment  uint32
	diskSize uint32
	next     int32 // the delta before it, or the next free entry
}

// applyOp brings the index up to date with an operation that was written at an offset of a segment.
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

// removeValue takes a value and its deltas out of the index.
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

// addDelta adds a delta to the chain of a value.
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
