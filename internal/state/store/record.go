package store

import "encoding/binary"

// recordKind is the first byte of a record. The fields of the kind follow as unsigned varints, then the bytes of a
// value or delta.
type recordKind byte

const (
	kindPut        recordKind = iota + 1 // value; its key is the record's own number
	kindMovedPut                         // key, value
	kindDelta                            // key, delta
	kindMovedDelta                       // key, the delta's record number before any move, delta
	kindDelete                           // key, number of the segment that holds the put
	kindDirectory                        // the existing segments: see Store.directoryRecord
	kindRemoved                          // number of a segment that is about to be removed
)

// maxRecordHeader is the largest size in bytes of a record's kind and fields. Directories, which have more fields,
// may exceed it.
const maxRecordHeader = 1 + 2*binary.MaxVarintLen64

// parseFields reads the n fields, at most two, that follow a record's kind. rest holds the bytes after these
// fields.
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

// fullNumber returns the record number nearest to near whose low 32 bits are low.
func fullNumber(near uint64, low uint32) uint64 {
	return near + uint64(int64(int32(low-uint32(near))))
}

// directoryEntry describes one segment in a directory.
type directoryEntry struct {
	firstRecord uint64 // number of the segment's first record
	nextNumber  uint64 // number after the segment's last record; 0: not known
}

// directoryRecord returns the directory that a new segment begins with. For each segment it lists the segment's
// number, the number of its first record, and the number after its last record. The new segment is listed too, with
// 0 as the last of these, because its end is not known yet.
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

// parseDirectory returns the entries of a directory by segment number, or nil if record is not a valid directory.
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
