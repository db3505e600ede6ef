package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// HeaderSize is the size of a segment's header in bytes. The frames of the first block follow it.
	HeaderSize = 64
	// Format is the version of the format on disk. Open rejects a folder of a newer version and leaves it
	// unchanged.
	Format = 1

	magic = "CTSTORE\x00"
	// blockSizeUnit is the unit, in bytes, of the header's block size field.
	blockSizeUnit = 512
)

// Offsets of the header's fields.
const (
	headerFormatOffset    = 8
	headerBlockSizeOffset = 10
	headerEpochOffset     = 16
	headerSegmentOffset   = 24
	headerFirstOffset     = 32
	headerChecksumOffset  = 60
)

// Errors of ParseHeader, to be matched with errors.Is. Store.Get also returns ErrDamaged, for a value that cannot
// be read.
var (
	ErrNotSegment  = errors.New("store: not a segment file")
	ErrNewerFormat = errors.New("store: written by a newer version")
	ErrDamaged     = errors.New("store: data is damaged")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is the header at the start of a segment.
type Header struct {
	Format      uint16
	Epoch       uint64 // random for each segment, so that no frame's checksum is correct in another segment
	Segment     uint64
	FirstRecord uint64 // number of the segment's first record
}

// Append appends the encoded header to b.
func (h Header) Append(b []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, HeaderSize)...)
	raw := b[start:]
	copy(raw, magic)
	binary.LittleEndian.PutUint16(raw[headerFormatOffset:], h.Format)
	binary.LittleEndian.PutUint16(raw[headerBlockSizeOffset:], BlockSize/blockSizeUnit)
	binary.LittleEndian.PutUint64(raw[headerEpochOffset:], h.Epoch)
	binary.LittleEndian.PutUint64(raw[headerSegmentOffset:], h.Segment)
	binary.LittleEndian.PutUint64(raw[headerFirstOffset:], h.FirstRecord)
	checksum := crc32.Checksum(raw[:headerChecksumOffset], castagnoli)
	binary.LittleEndian.PutUint32(raw[headerChecksumOffset:], checksum)
	return b
}

// ParseHeader decodes the header at the start of a segment's bytes.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize || string(b[:len(magic)]) != magic {
		return Header{}, ErrNotSegment
	}
	checksum := crc32.Checksum(b[:headerChecksumOffset], castagnoli)
	if binary.LittleEndian.Uint32(b[headerChecksumOffset:]) != checksum {
		return Header{}, ErrDamaged
	}
	h := Header{
		Format:      binary.LittleEndian.Uint16(b[headerFormatOffset:]),
		Epoch:       binary.LittleEndian.Uint64(b[headerEpochOffset:]),
		Segment:     binary.LittleEndian.Uint64(b[headerSegmentOffset:]),
		FirstRecord: binary.LittleEndian.Uint64(b[headerFirstOffset:]),
	}
	blockSize := binary.LittleEndian.Uint16(b[headerBlockSizeOffset:])
	switch {
	case h.Format > Format:
		return Header{}, fmt.Errorf("%w: format %d, this version reads %d", ErrNewerFormat, h.Format, Format)
	case h.Format == 0 || blockSize != BlockSize/blockSizeUnit:
		return Header{}, ErrDamaged
	}
	return h, nil
}
