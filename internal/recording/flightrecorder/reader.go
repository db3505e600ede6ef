package flightrecorder

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// EntryKind is the kind of an Entry.
type EntryKind int

const (
	// Begin is the start of a chunk, with the engine's state at that point: ID, Chunk, Now, Meta, Fresh, State.
	Begin EntryKind = iota
	// Step is a step of the engine: Now, Events, Actions.
	Step
	// SendChecked is a result of policy.Engine.StillAllowed: Now, Endpoint, MessageIDs, Allowed.
	SendChecked
	// Label is the trace id of a message: MessageID, Text.
	Label
	// Note is a remark: Text.
	Note
	// FleetState is the state of the fleet agent: State.
	FleetState
	// FleetStep is the agent.Record of the preceding step, with what the fleet agent received and returned: State.
	FleetStep
	// Lost is a part of the recording that is missing or cannot be read: Text gives the reason.
	Lost
)

var entryKindNames = [...]string{
	Begin:       "begin",
	Step:        "step",
	SendChecked: "send checked",
	Label:       "label",
	Note:        "note",
	FleetState:  "fleet state",
	FleetStep:   "fleet step",
	Lost:        "lost",
}

// String returns the kind's name.
func (k EntryKind) String() string {
	if k < 0 || int(k) >= len(entryKindNames) {
		return fmt.Sprintf("entry(%d)", int(k))
	}
	return entryKindNames[k]
}

// Entry is one entry of a recording. Its kind determines which fields are set.
type Entry struct {
	Kind EntryKind
	At   int64 // offset in the recording, in bytes

	ID    uint64 // Begin: of the recording
	Chunk uint32 // Begin: number of the chunk
	Meta  Meta   // Begin
	Fresh bool   // Begin: the engine had received no event yet
	State []byte // Begin, unless Fresh; FleetState, FleetStep

	Now        time.Duration // engine time: Begin, Step, SendChecked
	Events     []policy.Event
	Actions    []policy.Action
	Endpoint   string
	MessageIDs []policy.MessageID
	Allowed    bool
	MessageID  policy.MessageID
	Text       string
}

// Reader reads a recording, entry by entry. Damaged and truncated parts are skipped and reported as Lost entries.
// Reading then continues with the next chunk of the same recording. The data may come from an untrusted source:
// whatever lengths it states, the Reader uses no more memory than a small multiple of the recording's size.
type Reader struct {
	data          []byte
	offset        int    // of the next frame, or of the next chunk's preamble
	id            uint64 // of the recording
	idKnown       bool
	allRecordings bool   // chunks of any recording are read
	chunkStart    int    // offset of the open chunk; noChunk: none is open
	chunk         uint32 // number of the open chunk
	lastChunk     uint32 // number of the last chunk that was opened
	chunkRead     bool   // a chunk was opened, and lastChunk is set
	decoder       decoder
	lossReported  bool // the gap before the next chunk was reported
	afterDamage   bool // the next preamble may lie inside the payload of a damaged frame
}

// noChunk is the value of Reader.chunkStart if no chunk is open.
const noChunk = -1

// NewReader returns a Reader of a recording. It fails with ErrNoRecording if no chunk begins anywhere in data.
func NewReader(data []byte) (*Reader, error) {
	if i := bytes.Index(data, []byte(magic)); i < 0 || len(data)-i < preambleSize {
		return nil, ErrNoRecording
	}
	return &Reader{data: data, chunkStart: noChunk}, nil
}

// Next returns the next entry; ok is false at the end of the recording. It fails with ErrNewerFormat if a chunk has a
// newer format than this package reads.
func (r *Reader) Next() (e Entry, ok bool, err error) {
	for {
		if r.chunkStart == noChunk {
			e, ok, err := r.beginChunk()
			if ok || err != nil || r.chunkStart == noChunk {
				return e, ok, err
			}
			continue
		}
		if r.offset == len(r.data) {
			return Entry{}, false, nil
		}
		if r.isPreamble(r.offset) {
			r.chunkStart = noChunk
			continue
		}
		return r.readFrame(), true, nil
	}
}

// readFrame reads the frame at the reader's offset.
func (r *Reader) readFrame() Entry {
	offset := r.offset
	payload, next, err := readFrame(r.id, r.chunk, r.data[r.chunkStart:], offset-r.chunkStart)
	var e Entry
	if err == nil {
		e, err = r.readEntry(payload)
	}
	if err != nil {
		// The chunk ends here: decoding its later frames requires the strings and values of this frame.
		r.chunkStart = noChunk
		r.offset = offset + 1
		r.afterDamage = true
		return Entry{Kind: Lost, At: int64(offset), Text: err.Error()}
	}
	r.offset = r.chunkStart + next
	e.At = int64(offset)
	return e
}

// isPreamble reports whether a chunk of this recording begins at an offset. A frame is never taken for a chunk: it
// begins with its length, and the first bytes of the magic are a length above MaxFrameSize.
func (r *Reader) isPreamble(offset int) bool {
	rest := r.data[offset:]
	if len(rest) < preambleSize || string(rest[:len(magic)]) != magic {
		return false
	}
	return !r.idKnown || r.allRecordings || binary.LittleEndian.Uint64(rest[len(magic):]) == r.id
}

// beginChunk finds the next chunk and opens it. A payload may hold bytes from a client that look like a chunk, or that
// are a copy of an older recording. Therefore a chunk must carry this recording's id, and its header's checksum must
// match.
func (r *Reader) beginChunk() (Entry, bool, error) {
	from := r.offset
	for r.findPreamble() {
		id := binary.LittleEndian.Uint64(r.data[r.offset+len(magic):])
		number := binary.LittleEndian.Uint32(r.data[r.offset+len(magic)+idSize:])
		e, next, err := r.readHeader(r.offset, id, number)
		if errors.Is(err, ErrNewerFormat) {
			return Entry{}, false, fmt.Errorf("%w: format %d, this version reads up to %d", err, e.Meta.Format, Format)
		}
		// A client that could read an earlier part of this recording may have sent a copy of a chunk in a payload.
		// Chunk numbers only increase, so a chunk found after damage without a higher number is such a copy.
		repeated := r.afterDamage && r.chunkRead && id == r.id && number <= r.lastChunk
		if err != nil || repeated {
			r.offset++
			continue
		}
		if r.chunkRead && !r.allRecordings && number != r.lastChunk+1 && !r.lossReported {
			r.lossReported = true
			text := fmt.Sprintf("chunks between %d and %d are missing", r.lastChunk, number)
			return Entry{Kind: Lost, At: int64(r.offset), Text: text}, true, nil
		}
		r.openChunk(id, number, next)
		return e, true, nil
	}
	r.offset = len(r.data)
	if lost := r.offset - from; lost > 1 && !r.lossReported {
		r.lossReported = true
		text := fmt.Sprintf("%d bytes that belong to no chunk", lost)
		return Entry{Kind: Lost, At: int64(from), Text: text}, true, nil
	}
	return Entry{}, false, nil
}

// findPreamble advances the offset to the recording's next preamble. It reports whether there is one.
func (r *Reader) findPreamble() bool {
	for {
		i := bytes.Index(r.data[r.offset:], []byte(magic))
		if i < 0 || len(r.data)-r.offset-i < preambleSize {
			return false
		}
		r.offset += i
		if r.isPreamble(r.offset) {
			return true
		}
		r.offset++
	}
}

// openChunk opens the chunk at the reader's offset and advances the offset to next, the first frame after the chunk's
// header and state.
func (r *Reader) openChunk(id uint64, number uint32, next int) {
	r.lossReported = false
	r.afterDamage = false
	r.id = id
	r.idKnown = true
	r.chunk = number
	r.lastChunk = number
	r.chunkRead = true
	r.chunkStart = r.offset
	r.offset = next
	r.decoder = decoder{}
}

// readHeader reads a chunk's header and, unless the chunk is fresh, the engine's state. It returns the offset of the
// next frame.
func (r *Reader) readHeader(start int, id uint64, number uint32) (Entry, int, error) {
	data := r.data[start:]
	payload, offset, err := readFrame(id, number, data, preambleSize)
	if err != nil {
		return Entry{}, 0, err
	}
	if payload[0] != frameChunkHeader {
		return Entry{}, 0, errMalformedFrame
	}
	var h chunkHeader
	if err := json.Unmarshal(payload[1:], &h); err != nil {
		return Entry{}, 0, fmt.Errorf("flightrecorder: header of chunk %d: %w", number, err)
	}
	e := Entry{Kind: Begin, At: int64(start), ID: id, Chunk: number, Meta: h.Meta, Fresh: h.Fresh, Now: h.At}
	if h.Format > Format {
		return e, 0, ErrNewerFormat
	}
	if !h.Fresh {
		payload, next, err := readFrame(id, number, data, offset)
		if err != nil {
			return Entry{}, 0, err
		}
		if payload[0] != frameState {
			return Entry{}, 0, errMalformedFrame
		}
		e.State = payload[1:]
		offset = next
	}
	return e, start + offset, nil
}

// readEntry decodes a frame's payload.
func (r *Reader) readEntry(payload []byte) (Entry, error) {
	d := &r.decoder
	d.data = payload[1:]
	d.err = nil
	var e Entry
	switch payload[0] {
	case frameStep:
		e.Kind = Step
		d.step(&e)
	case frameSendChecked:
		e.Kind = SendChecked
		e.Now = d.now()
		e.Allowed = d.bool()
		e.Endpoint = d.name()
		for range d.count() {
			e.MessageIDs = append(e.MessageIDs, d.messageID())
		}
	case frameLabel:
		e.Kind = Label
		e.MessageID = d.messageID()
		e.Text = string(d.bytes())
	case frameFleetState:
		e.Kind = FleetState
		e.State = d.rest()
	case frameFleetStep:
		e.Kind = FleetStep
		e.State = d.rest()
	case frameNote:
		e.Kind = Note
		e.Text = string(d.bytes())
	default:
		return e, fmt.Errorf("flightrecorder: unknown frame %q", payload[0])
	}
	if d.err == nil && len(d.data) > 0 {
		d.fail()
	}
	return e, d.err
}
