package journal

import "encoding/binary"

// extendedPrefix begins an extended string. No string that is not extended begins with it.
const extendedPrefix = "\x00"

// appendExtended appends a string that is extended by additional fields: as one string with a prefix, the original
// string and the encoded fields. A program that does not know of the fields reads it as a string that equals no other.
// More fields may be added at the end of the extension.
func appendExtended(b []byte, s string, fields []byte) []byte {
	var lengthBuffer [binary.MaxVarintLen64]byte
	length := binary.AppendUvarint(lengthBuffer[:0], uint64(len(s)))
	b = binary.AppendUvarint(b, uint64(len(extendedPrefix)+len(length)+len(s)+len(fields)))
	b = append(b, extendedPrefix...)
	b = append(b, length...)
	b = append(b, s...)
	return append(b, fields...)
}

// readExtended reads a string that may be extended. fields reads the additional fields; extended reports that there are
// any.
func (r *reader) readExtended() (s string, fields reader, extended bool) {
	data := r.readBytes()
	if len(data) == 0 || data[0] != extendedPrefix[0] {
		return string(data), reader{}, false
	}
	fields = reader{data: data[len(extendedPrefix):], timeline: r.timeline, shared: r.shared}
	s = fields.readString()
	if fields.failed {
		r.fail()
	}
	return s, fields, true
}
