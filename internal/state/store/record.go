package store

import "encoding/binary"

// recordKind is the first byte of a record. Fields follow it as unsigned varints, then bytes.
type recordKind byte

const (
	kindPut        recordKind = iota + 1 // value; its key is the record's own number
	kindMovedPut                         // key, value
	kindDelta                            // key, delta
	kindMovedDelta                       // key, the number that the record had before, delta
	kindDelete                           // key, segment that holds the put
	kindDirectory                        // the segments that exist: see Store.directoryRecord
	kindRemoved                          // segment that is removed
)

// maxRecordHeader is the size of a record's kind and fields at most.
const maxRecordHeader = 1 + 2*binary.MaxVarintLen64

// parseFields reads n unsigned varints, two at most, from a record behind its kind.
func parseFields(record []byte, n int) (values [2]uint64, rest []byte, ok bool) {
	rest = record[1:]
	for i := range n {
		value, length := binary.Uvarint(rest)
		if length <= 0 {
			return values, nil, false
		}
		values[i] = value
		rest = rest[length:]
	}
	return values, rest, true
}

// fullNumber returns the record number with these low bits that is nearest to another one.
func fullNumber(near uint64, low uint32) uint64 {
	return near + uint64(int64(int32(low-uint32(near))))
}

// directoryEntry is what a directory states of a segment.
type directoryEntry struct {
	firstRecord uint64
	nextNumber  uint64 // number behind its last record; 0: not known
}

// directoryRecord returns the directory that a new segment begins with: for each segment its number, the number of its
// first record and the number behind its last. It includes the new segment, whose end is not known yet: 0.
func (s *Store) directoryRecord(newSegment uint32) []byte {
	record := []byte{byte(kindDirectory)}
	for _, seg := range s.segments {
		record = binary.AppendUvarint(record, uint64(seg.number))
		record = binary.AppendUvarint(record, seg.header.FirstRecord)
		record = binary.AppendUvarint(record, seg.nextNumber)
	}
	record = binary.AppendUvarint(record, uint64(newSegment))
	record = binary.AppendUvarint(record, s.nextNumber)
	return binary.AppendUvarint(record, 0)
}

// parseDirectory reads a directory by segment number; nil if the record is none.
func parseDirectory(record []byte) map[uint32]directoryEntry {
	if len(record) == 0 || recordKind(record[0]) != kindDirectory {
		return nil
	}
	directory := map[uint32]directoryEntry{}
	for rest := record[1:]; len(rest) > 0; {
		var fields [3]uint64
		for i := range fields {
			value, length := binary.Uvarint(rest)
			if length <= 0 {
				return nil
			}
			fields[i] = value
			rest = rest[length:]
		}
		directory[uint32(fields[0])] = directoryEntry{firstRecord: fields[1], nextNumber: fields[2]}
	}
	return directory
}
