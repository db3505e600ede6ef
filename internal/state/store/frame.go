package store

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// BlockSize is the size of a block in bytes. Each block starts with a frame header; in the first block the
	// segment's header precedes it. After damage, recovery therefore continues at the next block and never searches
	// for a frame inside a payload.
	BlockSize = 4096

	frameHeaderSize = 11
)

// Offsets of the frame header's fields. The checksum comes first and covers the rest of the frame.
const (
	frameLengthOffset = 4
	framePartOffset   = 6
	frameNumberOffset = 7
)

// framePart states which part of a record a frame holds.
type framePart byte

const (
	partFull framePart = iota + 1
	partFirst
	partMiddle
	partLast
)

// partOf returns the part for a frame that is the first of its record, the last, both or neither.
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

// frame holds the bytes of a frame with a correct checksum: the frame header, then the payload, which is a part of
// a record.
type frame []byte

func (f frame) part() framePart { return framePart(f[framePartOffset]) }

// recordNumber returns the low 32 bits of the record's number.
func (f frame) recordNumber() uint32 { return binary.LittleEndian.Uint32(f[frameNumberOffset:]) }

func (f frame) payload() []byte { return f[frameHeaderSize:] }

// isContinuation reports whether an earlier frame holds the record's first part.
func (f frame) isContinuation() bool { return f.part() == partMiddle || f.part() == partLast }

// isFinal reports whether the record ends with this frame.
func (f frame) isFinal() bool { return f.part() == partFull || f.part() == partLast }

// frameChecksum returns the checksum of a frame that starts at offset in the segment with this epoch. rest is the
// frame after its checksum field. The checksum depends on epoch and offset, so that a copy of a frame at another
// position does not verify there. A value may contain such copies, because it may contain any bytes.
func frameChecksum(epoch uint64, offset int64, rest []byte) uint32 {
	const mixer = 0x9e3779b97f4a7c15 // 2^64 / golden ratio: spreads epoch and offset over all bits
	position := (epoch ^ uint64(offset)) * mixer
	return crc32.Update(uint32(position^position>>32), castagnoli, rest)
}

// blockEnd returns the end offset of the block that contains offset.
func blockEnd(offset int64) int64 { return offset - offset%BlockSize + BlockSize }

// blockRemaining returns the number of bytes from an offset to the end of its block.
func blockRemaining(offset int64) int64 { return BlockSize - offset%BlockSize }

// frameOffset returns the offset of the first frame of a record that is written at offset. No frame starts in the
// last bytes of a block, where its header would not fit.
func frameOffset(offset int64) int64 {
	if remaining := blockRemaining(offset); remaining < frameHeaderSize {
		return offset + remaining
	}
	return offset
}

// framedSize returns the number of bytes that a record of n bytes takes on disk if it is written at offset.
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

// maxFramedSize returns the largest number of bytes that a record of n bytes can take on disk, wherever it begins.
func maxFramedSize(n int64) int64 {
	return n + frameHeaderSize*(2+n/(BlockSize-frameHeaderSize)) + frameHeaderSize
}

// AppendRecord appends a record's frames to b. offset is the position of the appended bytes in the segment that has
// this epoch; the first record of a segment is at HeaderSize. Frames follow one another without gaps, except that
// the last bytes of a block are zero if no frame header fits into them.
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

// readFrame returns the frame at the start of data, or false if there is no valid one. offset is the position of
// data in the segment. data must end no later than the block that contains offset.
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
	started bool   // a record is in progress: its last frame has not been added yet
	number  uint32 // low bits of the record's number
	offset  int64  // offset of the record's first frame
	record  []byte
}

// accepts reports whether a frame may follow the frames added so far. A continuation must have the number of the
// record in progress, and a first frame must not.
func (a *assembler) accepts(f frame) bool {
	continues := a.started && f.recordNumber() == a.number
	return continues == f.isContinuation()
}

// discard drops the record in progress.
func (a *assembler) discard() { a.started = false }

// add appends a frame at offset to the record in progress, or starts a new record with it. It reports whether the
// record is complete. A continuation is ignored if no record is in progress.
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

// Range is a range of bytes of a segment. To is exclusive.
type Range struct{ From, To int64 }

// Scan reads the records in data, which begins with the segment's header h. It calls found for each record with the
// low 32 bits of the record's number and the offset of its first frame; record is valid until found returns. After
// bytes that it cannot read, Scan continues at the next block, and never searches for a frame where none can begin.
// end is the offset after the last complete record. damaged are the ranges before end that could not be read. Bytes
// after end are taken for a torn write, which was never acknowledged.
func Scan(h Header, data []byte, found func(number uint32, offset int64, record []byte)) (end int64, damaged []Range) {
	const none = -1
	end = HeaderSize
	unreadableFrom := int64(none) // offset of the first unreadable byte after the last complete record
	var a assembler
	markUnreadable := func(offset int64) {
		if unreadableFrom == none {
			unreadableFrom = offset
			if a.started {
				unreadableFrom = a.offset
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
			markUnreadable(offset)
			offset = blockEnd(offset)
			continue
		}
		if !a.accepts(f) {
			markUnreadable(offset) // frames of this record or of the one in progress are missing
		}
		complete := a.add(offset, f)
		offset += int64(len(f))
		if !complete {
			continue
		}
		if unreadableFrom != none {
			damaged = append(damaged, Range{unreadableFrom, a.offset})
			unreadableFrom = none
		}
		found(a.number, a.offset, a.record)
		end = offset
	}
	return end, damaged
}

// joinFrames returns the record whose frames are in data, which begins at offset in the segment with this epoch.
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
