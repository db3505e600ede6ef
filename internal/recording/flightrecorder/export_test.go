package flightrecorder

import (
	"bytes"
	"encoding/binary"
)

// Reseal sets the checksums of the frames in data right, so that tests reach what stands behind them.
func Reseal(data []byte) {
	for start := bytes.Index(data, []byte(magic)); start >= 0 && len(data)-start >= preambleSize; {
		id, number := binary.LittleEndian.Uint64(
			data[start+len(magic):],
		), binary.LittleEndian.Uint32(
			data[start+len(magic)+idSize:],
		)
		at := preambleSize
		for rest := data[start:]; len(rest)-at >= frameHeaderSize && !bytes.HasPrefix(rest[at:], []byte(magic)); {
			n := int(binary.LittleEndian.Uint32(rest[at:]))
			if n <= 0 || n > len(rest)-at-frameHeaderSize {
				break
			}
			binary.LittleEndian.PutUint32(
				rest[at+4:],
				frameChecksum(new([20]byte), id, number, at, rest[at+frameHeaderSize:at+frameHeaderSize+n]),
			)
			at += frameHeaderSize + n
		}
		next := bytes.Index(data[start+at:], []byte(magic))
		if next < 0 {
			return
		}
		start += at + next
	}
}

// Written is how many bytes the open chunk holds.
func (r *Recorder) Written() int { return len(r.enc.buf) }

// NewRecorderWithID is NewRecorder for a recording with a known id, so that its bytes are known.
func NewRecorderWithID(id uint64, meta Meta, ring int, state func([]byte) []byte) *Recorder {
	r := newRecorder(meta, ring, state)
	r.id = id
	r.beginChunk(true)
	return r
}

// Head is what a chunk begins with.
type Head = chunkHeader
