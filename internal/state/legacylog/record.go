package legacylog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// This file defines the encoding of records. A record consists of a header and a payload. The header holds a magic
// number, the length of the payload and the CRC-32 of the payload, all little-endian. The payload holds the length of
// the JSON as an unsigned varint, the JSON, and the body of a message, which extends to the end of the payload.
const (
	magic          = 0xC7A1
	lengthOffset   = 2 // in the header, after the magic number of 2 bytes
	checksumOffset = 6 // in the header, after the length of 4 bytes
	headerSize     = 10
	maxPayloadSize = 1 << 20 // in bytes; the payload of a message is far smaller
)

// recordKind identifies the change that a record describes.
type recordKind byte

const (
	recordAccept recordKind = iota + 1
	recordSend
	recordNotRun
	recordFinal
	recordRemove
	recordCancelled
)

// record is the part of a record that is encoded as JSON.
type record struct {
	Kind    recordKind   `json:"Kind"`
	ID      uint32       `json:"ID"` // of the message
	Message *Message     `json:"Message,omitempty"`
	Attempt *Attempt     `json:"Attempt,omitempty"`
	N       int          `json:"N,omitempty"` // number of the attempt, only for recordNotRun
	Final   *FinalAnswer `json:"Final,omitempty"`
}

// appendRecord appends the encoding of a record and the body of a message, which may be empty.
func appendRecord(b []byte, rec record, body []byte) []byte {
	text, err := json.Marshal(rec)
	if err != nil {
		panic(fmt.Sprintf("legacylog: encode a record: %v", err)) // not expected: JSON supports all field types
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

// readRecord reads the record at the start of data. size is the length of the record in bytes, or 0 if data does not
// begin with a complete and undamaged record.
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

// readPayload returns the payload of the record at the start of data if the record is complete and its checksum
// matches.
func readPayload(data []byte) ([]byte, bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint16(data) != magic {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	if size > maxPayloadSize || size > int64(len(data)-headerSize) {
		return nil, false
	}
	payload := data[headerSize : headerSize+size]
	if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return nil, false
	}
	return payload, true
}
