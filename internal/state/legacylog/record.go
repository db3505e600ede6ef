package legacylog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// This file defines the encoding of records. A record is a header of magic, payload length and checksum of the payload,
// all little-endian. The payload is the length of the JSON as an unsigned varint, the JSON, and the body of a message
// up to the end of the payload.
const (
	magic          = 0xC7A1
	lengthOffset   = 2 // in the header, behind the magic of 2 bytes
	checksumOffset = 6 // in the header, behind the length of 4 bytes
	headerSize     = 10
	maxRecordSize  = 1 << 20 // of a payload, in bytes: a message's is far smaller
)

// recordKind says what a record is about.
type recordKind byte

const (
	recordAccept recordKind = iota + 1
	recordSend
	recordNotRun
	recordFinal
	recordRemove
	recordCancelled
)

// record is the JSON of a record.
type record struct {
	Kind    recordKind   `json:"Kind"`
	ID      uint32       `json:"ID"` // of the message
	Message *Message     `json:"Message,omitempty"`
	Attempt *Attempt     `json:"Attempt,omitempty"`
	N       int          `json:"N,omitempty"` // number of an attempt
	Final   *FinalAnswer `json:"Final,omitempty"`
}

// appendRecord appends a record with a body.
func appendRecord(b []byte, rec record, body []byte) []byte {
	text, err := json.Marshal(rec)
	if err != nil {
		panic(fmt.Sprintf("legacylog: encode a record: %v", err)) // its fields are plain: this cannot fail
	}
	start := len(b)
	b = append(b, make([]byte, headerSize)...)
	b = binary.AppendUvarint(b, uint64(len(text)))
	b = append(b, text...)
	b = append(b, body...)
	header, payload := b[start:start+headerSize], b[start+headerSize:]
	binary.LittleEndian.PutUint16(header, magic)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], crc32.ChecksumIEEE(payload))
	return b
}

// readRecord reads the record at the start of data. size is what it takes; 0 if data does not begin with a complete and
// undamaged record.
func readRecord(data []byte) (rec record, body []byte, size int) {
	payload, ok := readPayload(data)
	if !ok {
		return record{}, nil, 0
	}
	size = headerSize + len(payload)
	length, prefix := binary.Uvarint(payload)
	if prefix <= 0 || length > uint64(len(payload)-prefix) {
		return record{}, nil, 0
	}
	text := payload[prefix : prefix+int(length)]
	body = payload[prefix+int(length):]
	if err := json.Unmarshal(text, &rec); err != nil {
		return record{}, nil, 0
	}
	return rec, body, size
}

// readPayload returns the payload of the record at the start of data, if it is complete and its checksum is right.
func readPayload(data []byte) ([]byte, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint16(data) != magic {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if size > maxRecordSize || size > int64(len(data)-headerSize) {
		return nil, false
	}
	payload := data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return nil, false
	}
	return payload, true
}
