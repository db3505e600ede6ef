// Package flightrecorder is the relay's flight recorder: it keeps the events that the decision module got and the
// actions that it returned, in a bounded ring in memory and, where asked for, in files or in the log, so that a part of
// a relay's run can be replayed. It decides nothing and delays no step. docs/design/flight-recorder.md has the format.
//
// A recording is a sequence of chunks, each readable by itself: it begins with a header frame and, unless it is the
// first of a process, with the module's state. Every frame carries a CRC-32C over its length, its payload and its
// position, so that a truncation or a flipped bit is reported and never read as something else.
package flightrecorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// Format is the newest version of the format that this package reads.
	Format = 2
	// formatWithoutFleet has no frames of the fleet's state. It is written unless RecordFleet was called, so that
	// earlier versions read it.
	formatWithoutFleet = 1
)

// Sizes of the format, in bytes.
const (
	magic           = "CTFLIGHT"
	idSize          = 8
	preambleSize    = len(magic) + idSize + 4 // and the chunk's number
	frameHeaderSize = 8                       // length and checksum
	// MaxFrameSize bounds a frame's payload. A step that does not fit is reported as lost, and a new chunk begins.
	MaxFrameSize = 64 << 20
	// maxEntries bounds the events, and the actions, of a step.
	maxEntries = 1 << 20
	// positionSize is that of what a frame's checksum covers beside its payload: recording, chunk, offset and length.
	positionSize = 20
	float64Size  = 8
)

// The kinds of frame, the first byte of a payload.
const (
	frameChunkHeader byte = 'H'
	frameState       byte = 'K'
	frameStep        byte = 'S'
	frameSendChecked byte = 'C'
	frameLabel       byte = 'L'
	frameNote        byte = 'N'
	frameFleetState  byte = 'G' // behind the module's state in each chunk
	frameFleetStep   byte = 'F' // what the fleet's agent got and returned in a step
)

// The bits of an event that say which of its fields follow.
const (
	hasMessageEnded byte = 1 << iota
	hasRetryAfter
	hasLimitReport
	hasMayHaveRun
	hasRecovered
	hasKey
)

// The bits of an endpoint.
const (
	endpointInService byte = 1 << iota
	endpointRemoved
	endpointRelisted
)

// Errors of reading.
var (
	ErrNoRecording    = errors.New("flightrecorder: not a recording")
	ErrNewerFormat    = errors.New("flightrecorder: written by a newer version")
	errMalformedFrame = errors.New("flightrecorder: malformed frame")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum is a frame's checksum: of its length, payload and position within a chunk of one recording. buf is
// scratch: a variable of its own would be an allocation with each frame.
func frameChecksum(buf *[positionSize]byte, id uint64, chunk uint32, offset int, payload []byte) uint32 {
	binary.LittleEndian.PutUint64(buf[:], id)
	binary.LittleEndian.PutUint32(buf[8:], chunk)
	binary.LittleEndian.PutUint32(buf[12:], uint32(offset))
	binary.LittleEndian.PutUint32(buf[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(buf[:], castagnoli), castagnoli, payload)
}

// readFrame reads the frame at an offset of a chunk's bytes.
func readFrame(id uint64, chunk uint32, data []byte, offset int) (payload []byte, next int, err error) {
	rest := data[offset:]
	if len(rest) < frameHeaderSize {
		return nil, offset, errors.New("truncated in a frame's header")
	}
	n := binary.LittleEndian.Uint32(rest)
	switch {
	case n == 0 || n > MaxFrameSize:
		return nil, offset, fmt.Errorf("a frame of %d bytes", n)
	case int(n) > len(rest)-frameHeaderSize:
		return nil, offset, fmt.Errorf("truncated in a frame: %d of %d bytes", len(rest)-frameHeaderSize, n)
	}
	payload = rest[frameHeaderSize : frameHeaderSize+int(n)]
	if frameChecksum(new([positionSize]byte), id, chunk, offset, payload) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, offset, fmt.Errorf("checksum of a frame of %d bytes does not match", n)
	}
	return payload, offset + frameHeaderSize + int(n), nil
}
