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

// EntryKind says what an Entry of a recording is.
type EntryKind int

const (
	// Begin is the begin of a chunk: Meta, Fresh and State describe the module there.
	Begin EntryKind = iota
	// Step is a step of the module: Now, Events, Actions.
	Step
	// SendChecked is an answer of policy.Engine.StillAllowed: Now, Endpoint, MessageIDs, Allowed.
	SendChecked
	// Label is the trace id of a message: MessageID, Text.
	Label
	// Note is a remark: Text.
	Note
	// FleetState is the state of the fleet's agent: State.
	FleetState
	// FleetStep is what the fleet's agent got and returned in the step before: State.
	FleetStep
	// Lost is something that could not be read, or is missing: Text says what.
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

// Entry is one entry of a recording. Its kind says which fields are set.
type Entry struct {
	Kind EntryKind
	At   int64 // offset in the recording's bytes

	ID    uint64 // Begin: of the recording
	Chunk uint32 // Begin
	Meta  Meta   // Begin
	Fresh bool   // Begin: the module had got no event yet
	State []byte // Begin, unless Fresh; FleetState, FleetStep

	Now        time.Duration // the module's time: Begin, Step, SendChecked
	Events     []policy.Event
	Actions    []policy.Action
	Endpoint   string
	MessageIDs []policy.MessageID
	Allowed    bool
	MessageID  policy.MessageID
	Text       string
}

// Reader reads a recording, entry by entry. What is damaged or truncated is skipped and reported as Lost entries;
// reading goes on with the next chunk of the same recording. Its bytes may have been written by anyone: whatever
// lengths they state, it uses no more memory than a small multiple of the recording's own size.
type Reader struct {
	data          []byte
	offset        int // of the next frame, or of the next chunk's preamble
	id            uint64
	idKnown       bool
	allRecordings bool // chunks of any recording are read
	chunkStart    int  // noChunk: none is open
	chunk         uint32
	lastChunk     uint32 // number of the last chunk that was read
	chunkRead     bool   // there is a last chunk
	decoder       decoder
	lossReported  bool // the loss before the next chunk was reported
	afterDamage   bool // what comes next may lie inside a payload
}

// noChunk is Reader.chunkStart where no chunk is open.
const noChunk = -1

// NewReader returns a Reader of a recording, or ErrNoRecording if no chunk begins anywhere in it.
func NewReader(data []byte) (*Reader, error) {
	if i := bytes.Index(data, []byte(magic)); i < 0 || len(data)-i < preambleSize {
		return nil, ErrNoRecording
	}
	return &Reader{data: data, chunkStart: noChunk}, nil
}

// Next returns the next entry; ok is false at the end of the recording. The error is ErrNewerFormat for a chunk of a
// newer format, which cannot be read.
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
		// The frames behind it depend on what it held: the chunk ends here.
		r.chunkStart = noChunk
		r.offset = offset + 1
		r.afterDamage = true
		return Entry{Kind: Lost, At: int64(offset), Text: err.Error()}
	}
	r.offset = r.chunkStart + next
	e.At = int64(offset)
	return e
}

// isPreamble reports whether a chunk of this recording begins at an offset. Frames begin with their lengths: the magic
// as one would be longer than any frame.
func (r *Reader) isPreamble(offset int) bool {
	rest := r.data[offset:]
	if len(rest) < preambleSize || string(rest[:len(magic)]) != magic {
		return false
	}
	return !r.idKnown || r.allRecordings || binary.LittleEndian.Uint64(rest[len(magic):]) == r.id
}

// beginChunk finds the next chunk. Bytes that a client sent may look like one, also like one of an older recording: it
// must carry this recording's id, and its header's checksum must match.
func (r *Reader) beginChunk() (Entry, bool, error) {
	from := r.offset
	for r.findPreamble() {
		id := binary.LittleEndian.Uint64(r.data[r.offset+len(magic):])
		number := binary.LittleEndian.Uint32(r.data[r.offset+len(magic)+idSize:])
		e, next, err := r.readHeader(r.offset, id, number)
		if errors.Is(err, ErrNewerFormat) {
			return Entry{}, false, fmt.Errorf("%w: format %d, this version reads %d", err, e.Meta.Format, Format)
		}
		// A payload may hold an earlier chunk of this recording, if someone could read that: chunks only go forward.
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

// findPreamble moves to the next preamble of the recording. It reports whether there is one.
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

// openChunk goes on reading in the chunk at the reader's offset, whose frames behind the header begin at next.
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

// readHeader reads a chunk's header, and its state. It returns the offset behind them.
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
		return Entry{}, 0, fmt.Errorf("flightrecorder: header: %w", err)
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

// readEntry reads a frame's payload.
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
