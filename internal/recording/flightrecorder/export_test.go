package flightrecorder

import (
	"bytes"
	"encoding/binary"
)

// Reseal corrects the checksums of the frames in data, so that tests reach the code after the checksum check.
func Reseal(data []byte) {
	start := bytes.Index(data, []byte(magic))
	for start >= 0 && len(data)-start >= preambleSize {
		end := start + resealChunk(data[start:])
		next := bytes.Index(data[end:], []byte(magic))
		if next < 0 {
			return
		}
		start = end + next
	}
}

// resealChunk corrects the frame checksums of the chunk at the start of data. It returns the offset after the last
// frame.
func resealChunk(data []byte) int {
	id := binary.LittleEndian.Uint64(data[len(magic):])
	number := binary.LittleEndian.Uint32(data[len(magic)+idSize:])
	offset := preambleSize
	for len(data)-offset >= frameHeaderSize && !bytes.HasPrefix(data[offset:], []byte(magic)) {
		n := int(binary.LittleEndian.Uint32(data[offset:]))
		if n <= 0 || n > len(data)-offset-frameHeaderSize {
			break
		}
		payload := data[offset+frameHeaderSize : offset+frameHeaderSize+n]
		checksum := frameChecksum(new([positionSize]byte), id, number, offset, payload)
		binary.LittleEndian.PutUint32(data[offset+4:], checksum)
		offset += frameHeaderSize + n
	}
	return offset
}

// OpenChunkSize returns the number of bytes in the open chunk.
func (r *Recorder) OpenChunkSize() int { return len(r.enc.buf) }

// NewRecorderWithID is NewRecorder with a fixed recording id, which makes the recording's bytes reproducible.
func NewRecorderWithID(id uint64, meta Meta, ringSize int, state func([]byte) []byte) *Recorder {
	r := newRecorder(meta, ringSize, state)
	r.id = id
	r.beginChunk(true)
	return r
}

// ChunkHeader is the header of a chunk.
type ChunkHeader = chunkHeader
