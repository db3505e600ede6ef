// Package store is to become the embedded store under the relay's journal: see docs/design/store.md. So far it holds
// the form of segments on disk, and nothing uses it.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Sizes of the form, in bytes.
const (
	BlockSize       = 4096 // a frame header stands at the start of each block
	HeaderSize      = 64   // of a segment; the first block's frames follow it
	frameHeaderSize = 11
	// Format is the version of the form. A folder of a newer one is refused and left as it is.
	Format = 1
)

const magic = "CTSTORE\x00"

// The errors of a segment's header.
var (
	ErrNotSegment  = errors.New("store: no segment")
	ErrNewerFormat = errors.New("store: written by a newer version")
	ErrDamaged     = errors.New("store: damaged header")
)

// Header begins a segment.
type Header struct {
	Format      uint16
	Epoch       uint64 // random, new with each segment: no frame verifies in another
	Segment     uint64
	FirstRecord uint64 // number of the segment's first record
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the header as it stands on disk.
func (h Header) Append(b []byte) []byte {
	at := len(b)
	b = append(b, make([]byte, HeaderSize)...)
	x := b[at:]
	copy(x, magic)
	binary.LittleEndian.PutUint16(x[8:], h.Format)
	binary.LittleEndian.PutUint16(x[10:], BlockSize/512)
	binary.LittleEndian.PutUint64(x[16:], h.Epoch)
	binary.LittleEndian.PutUint64(x[24:], h.Segment)
	binary.LittleEndian.PutUint64(x[32:], h.FirstRecord)
	binary.LittleEndian.PutUint32(x[60:], crc32.Checksum(x[:60], castagnoli))
	return b
}

// ParseHeader reads the header at the start of a segment.
func ParseHeader(b []byte) (Header, error) {
	switch {
	case len(b) < HeaderSize || string(b[:8]) != magic:
		return Header{}, ErrNotSegment
	case binary.LittleEndian.Uint32(b[60:]) != crc32.Checksum(b[:60], castagnoli):
		return Header{}, ErrDamaged
	}
	h := Header{
		Format: binary.LittleEndian.Uint16(b[8:]), Epoch: binary.LittleEndian.Uint64(b[16:]),
		Segment: binary.LittleEndian.Uint64(b[24:]), FirstRecord: binary.LittleEndian.Uint64(b[32:]),
	}
	switch {
	case h.Format > Format:
		return Header{}, fmt.Errorf("%w: format %d, this one reads %d", ErrNewerFormat, h.Format, Format)
	case h.Format == 0 || binary.LittleEndian.Uint16(b[10:]) != BlockSize/512:
		return Header{}, ErrDamaged
	}
	return h, nil
}

// The parts of a record that a frame holds.
const (
	partWhole byte = iota + 1
	partFirst
	partMiddle
	partLast
)

// frameChecksum is the checksum of a frame at an offset of a segment: of what is behind the checksum, and of where it stands. A
// frame that was copied to another place, by whoever, does not verify there.
func frameChecksum(epoch uint64, offset int64, rest []byte) uint32 {
	place := (epoch ^ uint64(offset)) * 0x9e3779b97f4a7c15 // spreads both over all bits
	return crc32.Update(uint32(place^place>>32), castagnoli, rest)
}

// AppendRecord appends a record's frames to b, which will be written at an offset of the segment of epoch, the first
// one at HeaderSize. Records follow one another without gaps, but for a block's last bytes where no frame header fits.
func AppendRecord(b []byte, epoch uint64, offset int64, number uint64, record []byte) []byte {
	for first := true; ; first = false {
		room := BlockSize - int(offset%BlockSize)
		if room < frameHeaderSize {
			b = append(b, make([]byte, room)...)
			offset += int64(room)
			room = BlockSize
		}
		n := min(room-frameHeaderSize, len(record))
		part := partMiddle
		switch last := n == len(record); {
		case first && last:
			part = partWhole
		case first:
			part = partFirst
		case last:
			part = partLast
		}
		at := len(b)
		b = append(b, make([]byte, frameHeaderSize)...)
		b = append(b, record[:n]...)
		x := b[at:]
		binary.LittleEndian.PutUint16(x[4:], uint16(n))
		x[6] = part
		binary.LittleEndian.PutUint32(x[7:], uint32(number))
		binary.LittleEndian.PutUint32(x, frameChecksum(epoch, offset, x[4:]))
		offset, record = offset+int64(frameHeaderSize+n), record[n:]
		if part == partWhole || part == partLast {
			return b
		}
	}
}

// Range is a stretch of a segment, from its first byte to behind its last.
type Range struct{ From, To int64 }

// Scan reads the records of a segment, whose header data begin with, and hands each to found, with the low bits of its
// number and the offset of its first frame; record is only good until found returns. It goes on behind what is damaged
// at the next block, and never looks for a frame where none can begin. end is the end of the last record that is whole;
// damaged are the stretches before that which could not be read. What stands behind end is torn, and was never
// acknowledged as written.
func Scan(h Header, data []byte, found func(number uint32, at int64, record []byte)) (end int64, damaged []Range) {
	end = HeaderSize
	var record []byte
	var number uint32
	began := int64(-1) // of a record whose last frame has not come
	lost := int64(-1)  // where what is unread begins
	lose := func(at int64) {
		if lost < 0 {
			lost = at
			if began >= 0 {
				lost = began
			}
		}
		began = -1
	}
	for at := int64(HeaderSize); at < int64(len(data)); {
		block := at - at%BlockSize
		next := min(block+BlockSize, int64(len(data)))
		if block+BlockSize-at < frameHeaderSize {
			at = block + BlockSize // the block's last bytes hold none
			continue
		}
		frame, ok := readFrame(h.Epoch, at, data[at:next])
		if !ok {
			lose(at)
			at = block + BlockSize
			continue
		}
		part, n := frame[6], binary.LittleEndian.Uint32(frame[7:])
		if joins := began >= 0 && n == number; joins != (part == partMiddle || part == partLast) {
			lose(at) // its other parts are missing; a first one may still begin here
			if part == partMiddle || part == partLast {
				at += int64(len(frame))
				continue
			}
		}
		if part == partWhole || part == partFirst {
			began, number, record = at, n, record[:0]
		}
		record = append(record, frame[frameHeaderSize:]...)
		at += int64(len(frame))
		if part == partWhole || part == partLast {
			if lost >= 0 {
				damaged = append(damaged, Range{lost, began})
				lost = -1
			}
			found(number, began, record)
			began, end = -1, at
		}
	}
	return end, damaged
}

// readFrame reads the frame at the start of data, which end with its block.
func readFrame(epoch uint64, at int64, data []byte) ([]byte, bool) {
	if len(data) < frameHeaderSize {
		return nil, false
	}
	n := frameHeaderSize + int(binary.LittleEndian.Uint16(data[4:]))
	if n > len(data) || data[6] < partWhole || data[6] > partLast ||
		binary.LittleEndian.Uint32(data) != frameChecksum(epoch, at, data[4:n]) {
		return nil, false
	}
	return data[:n], true
}
