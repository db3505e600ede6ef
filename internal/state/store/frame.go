package store

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// BlockSize is the size of a block in bytes. A frame header stands at the start of each block, so that recovery
	// finds the next frame behind damage without looking at bytes inside a payload.
	BlockSize = 4096

	frameHeaderSize = 11
)

// Offsets of the frame header's fields. The checksum stands first and covers all that follows.
const (
	frameLengthOffset = 4
	framePartOffset   = 6
	frameNumberOffset = 7
)

// framePart says which part of a record a frame holds.
type framePart byte

const (
	partFull framePart = iota + 1
	partFirst
	partMiddle
	partLast
)

// partOf returns the part of a record's frame that is its first, its last, both or neither.
func partOf(first, last bool) framePart {
	switch {
	case first && last:
		return partFull
	case first:
		return partFirst
	case last:
		return partLast
	}
	return partMiddle
}

// frame is a verified frame: its header, and a part of a record.
type frame []byte

func (f frame) part() framePart { return framePart(f[framePartOffset]) }

// recordNumber returns the low bits of the record's number.
func (f frame) recordNumber() uint32 { return binary.LittleEndian.Uint32(f[frameNumberOffset:]) }

func (f frame) payload() []byte { return f[frameHeaderSize:] }

// isContinuation reports whether an earlier frame holds the record's first part.
func (f frame) isContinuation() bool { return f.part() == partMiddle || f.part() == partLast }

// isFinal reports whether the record ends with this frame.
func (f frame) isFinal() bool { return f.part() == partFull || f.part() == partLast }

// frameChecksum is the checksum of a frame at an offset of a segment. It covers the bytes behind the checksum and the
// frame's position: a frame that was copied to another position, by whomever, does not verify there.
func frameChecksum(epoch uint64, offset int64, rest []byte) uint32 {
	const mixer = 0x9e3779b97f4a7c15 // 2^64 / golden ratio: spreads epoch and offset over all bits
	position := (epoch ^ uint64(offset)) * mixer
	return crc32.Update(uint32(position^position>>32), castagnoli, rest)
}

// blockEnd returns the offset behind the block that an offset lies in.
func blockEnd(offset int64) int64 { return offset - offset%BlockSize + BlockSize }

// blockRemaining returns the number of bytes from an offset to the end of its block.
func blockRemaining(offset int64) int64 { return BlockSize - offset%BlockSize }

// frameOffset returns where the first frame of a record stands that is written at an offset: not in a block's last
// bytes, where no frame header fits.
func frameOffset(offset int64) int64 {
	if remaining := blockRemaining(offset); remaining < frameHeaderSize {
		return offset + remaining
	}
	return offset
}

// framedSize returns the number of bytes that a record of n bytes takes at an offset.
func framedSize(offset, n int64) int64 {
	start := offset
	for first := true; first || n > 0; first = false {
		offset = frameOffset(offset)
		length := min(blockRemaining(offset)-frameHeaderSize, n)
		offset += frameHeaderSize + length
		n -= length
	}
	return offset - start
}

// maxFramedSize returns the number of bytes that a record of n bytes takes at most, wherever it begins.
func maxFramedSize(n int64) int64 {
	return n + frameHeaderSize*(2+n/(BlockSize-frameHeaderSize)) + frameHeaderSize
}

// AppendRecord appends a record's frames to b, which will be written at an offset of the segment with this epoch, the
// first record at HeaderSize. Records follow one another without gaps, but for a block's last bytes where no frame
// header fits.
func AppendRecord(b []byte, epoch uint64, offset int64, number uint64, record []byte) []byte {
	for first := true; ; first = false {
		remaining := int(blockRemaining(offset))
		if remaining < frameHeaderSize {
			b = append(b, make([]byte, remaining)...)
			offset += int64(remaining)
			remaining = BlockSize
		}
		length := min(remaining-frameHeaderSize, len(record))
		last := length == len(record)
		start := len(b)
		b = append(b, make([]byte, frameHeaderSize)...)
		b = append(b, record[:length]...)
		raw := b[start:]
		binary.LittleEndian.PutUint16(raw[frameLengthOffset:], uint16(length))
		raw[framePartOffset] = byte(partOf(first, last))
		binary.LittleEndian.PutUint32(raw[frameNumberOffset:], uint32(number))
		binary.LittleEndian.PutUint32(raw, frameChecksum(epoch, offset, raw[frameLengthOffset:]))
		if last {
			return b
		}
		offset += int64(frameHeaderSize + length)
		record = record[length:]
	}
}

// readFrame reads the frame at the start of data, which end with the frame's block.
func readFrame(epoch uint64, offset int64, data []byte) (frame, bool) {
	if len(data) < frameHeaderSize {
		return nil, false
	}
	size := frameHeaderSize + int(binary.LittleEndian.Uint16(data[frameLengthOffset:]))
	part := framePart(data[framePartOffset])
	if size > len(data) || part < partFull || part > partLast {
		return nil, false
	}
	if binary.LittleEndian.Uint32(data) != frameChecksum(epoch, offset, data[frameLengthOffset:size]) {
		return nil, false
	}
	return data[:size], true
}

// assembler joins the frames of one record.
type assembler struct {
	started bool   // a record has begun, and its last frame has not come
	number  uint32 // low bits of the record's number
	offset  int64  // of its first frame
	record  []byte
}

// accepts reports whether a frame continues the record that has begun, or begins a record where none is open under its
// number.
func (a *assembler) accepts(f frame) bool {
	continues := a.started && f.recordNumber() == a.number
	return continues == f.isContinuation()
}

// discard gives up the record that has begun.
func (a *assembler) discard() { a.started = false }

// add takes the frame at an offset and reports whether its record is complete. A continuation of no record is skipped.
func (a *assembler) add(offset int64, f frame) bool {
	if !f.isContinuation() {
		a.started = true
		a.number = f.recordNumber()
		a.offset = offset
		a.record = a.record[:0]
	}
	if !a.started {
		return false
	}
	a.record = append(a.record, f.payload()...)
	if f.isFinal() {
		a.started = false
		return true
	}
	return false
}

// Range is a range of a segment's bytes, from its first to behind its last.
type Range struct{ From, To int64 }

// Scan reads the records of a segment, whose header data begin with, and passes each to found, with the low bits of its
// number and the offset of its first frame; record is valid until found returns. Behind damage it goes on at the next
// block, and never looks for a frame where none can begin. end is the end of the last complete record; damaged are the
// ranges before that which could not be read. What stands behind end is torn, and was never acknowledged as written.
func Scan(h Header, data []byte, found func(number uint32, offset int64, record []byte)) (end int64, damaged []Range) {
	const none = -1
	end = HeaderSize
	unreadFrom := int64(none) // where the bytes begin that could not be read since the last complete record
	var a assembler
	markUnread := func(offset int64) {
		if unreadFrom == none {
			unreadFrom = offset
			if a.started {
				unreadFrom = a.offset
			}
		}
		a.discard()
	}
	for offset := int64(HeaderSize); offset < int64(len(data)); {
		if blockRemaining(offset) < frameHeaderSize {
			offset = blockEnd(offset)
			continue
		}
		f, ok := readFrame(h.Epoch, offset, data[offset:min(blockEnd(offset), int64(len(data)))])
		if !ok {
			markUnread(offset)
			offset = blockEnd(offset)
			continue
		}
		if !a.accepts(f) {
			markUnread(offset) // other parts of its record are missing, or of the record before it
		}
		complete := a.add(offset, f)
		offset += int64(len(f))
		if !complete {
			continue
		}
		if unreadFrom != none {
			damaged = append(damaged, Range{unreadFrom, a.offset})
			unreadFrom = none
		}
		found(a.number, a.offset, a.record)
		end = offset
	}
	return end, damaged
}

// joinFrames returns the record whose frames data are, from an offset of its segment on.
func joinFrames(epoch uint64, offset int64, data []byte) ([]byte, error) {
	var record []byte
	for len(data) > 0 {
		if remaining := blockRemaining(offset); remaining < frameHeaderSize {
			if int64(len(data)) < remaining {
				return nil, ErrDamaged
			}
			offset += remaining
			data = data[remaining:]
			continue
		}
		f, ok := readFrame(epoch, offset, data[:min(int64(len(data)), blockRemaining(offset))])
		if !ok {
			return nil, ErrDamaged
		}
		record = append(record, f.payload()...)
		offset += int64(len(f))
		data = data[len(f):]
	}
	return record, nil
}
