// Package flightrecorder records the events that the decision engine received and the actions that it returned, so
// that a part of a relay's run can be replayed. It keeps them in a bounded ring in memory and optionally writes them to
// files or to the log. It takes no decisions, and no step waits for its I/O. docs/design/flight-recorder.md describes
// the format.
//
// A recording is a sequence of chunks. Each chunk is readable by itself: it begins with a header frame and, unless the
// engine had received no event yet, with the engine's state. Every frame carries a CRC-32C over its length, its payload
// and its position, so that a truncation or a flipped bit is reported and never decoded as other data.
package flightrecorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// Format is the newest version of the format that this package reads.
	Format = 3
	// formatWithFleet is the version with frames of the fleet agent and without the terms of recovered messages. It is
	// written after RecordFleet was called.
	formatWithFleet = 2
	// formatWithoutFleet is the version with neither. Each chunk has the lowest version that can hold it, so that
	// earlier versions of the program can read as much as possible.
	formatWithoutFleet = 1
)

// Sizes of the format, in bytes.
const (
	magic           = "CTFLIGHT"
	idSize          = 8
	preambleSize    = len(magic) + idSize + 4 // magic, recording id and chunk number
	frameHeaderSize = 8                       // length and checksum
	// MaxFrameSize limits a frame's payload. A step that exceeds it is not recorded: a new chunk begins, with a note
	// that the step is missing.
	MaxFrameSize = 64 << 20
	// maxEntries limits the number of events in a step, the number of actions, and the length of any list that is read.
	maxEntries = 1 << 20
	// positionSize is the size of the values that a frame's checksum covers besides the payload: recording id, chunk
	// number, offset and length.
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
	frameFleetState  byte = 'G' // state of the fleet agent, at the start of each chunk
	frameFleetStep   byte = 'F' // what the fleet agent received and returned in a step
)

// The flags of an encoded event. hasMessageEnded is the value of the field MessageEnded. Each other flag states that
// optional fields follow.
const (
	hasMessageEnded byte = 1 << iota
	hasRetryAfter
	hasLimitReport
	hasMayHaveRun
	hasRecovered
	hasKey
	hasTerms
)

// The flags of encoded terms.
const (
	termsOrdered byte = 1 << iota
	termsDedupAllZones
)

// The flags of an encoded endpoint.
const (
	endpointInService byte = 1 << iota
	endpointRemoved
	endpointRelisted
)

// Errors returned when a recording is read.
var (
	ErrNoRecording    = errors.New("flightrecorder: not a recording")
	ErrNewerFormat    = errors.New("flightrecorder: written by a newer version")
	errMalformedFrame = errors.New("flightrecorder: malformed frame")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum returns the checksum of a frame, over its length, its payload and its position: recording id, chunk
// number and offset in the chunk. buf is scratch space: a local variable would be allocated on the heap for each frame.
func frameChecksum(buf *[positionSize]byte, id uint64, chunk uint32, offset int, payload []byte) uint32 {
	binary.LittleEndian.PutUint64(buf[:], id)
	binary.LittleEndian.PutUint32(buf[8:], chunk)
	binary.LittleEndian.PutUint32(buf[12:], uint32(offset))
	binary.LittleEndian.PutUint32(buf[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(buf[:], castagnoli), castagnoli, payload)
}

// readFrame reads the frame at an offset in a chunk's bytes. It returns the payload and the offset of the next frame.
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
