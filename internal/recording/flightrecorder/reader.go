package flightrecorder

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// EntryKind names what an Entry of a recording is.
type EntryKind int

// The kinds of entry.
const (
	Begin       EntryKind = iota // a chunk begins: Meta, Fresh and State tell of the module there
	Step                         // a step: Now, Events, Actions
	SendChecked                  // an answer of policy.Engine.StillAllowed: Now, Route, IDs, May
	Label                        // the trace id of a message: Message, Text
	Note                         // a remark: Text
	FleetState                   // the state of what stands beside the module: State
	FleetStep                    // what that was told and told in the step before: State
	Lost                         // something could not be read, or is missing: Text tells what
)

// Entry is one thing that a recording holds.
type Entry struct {
	Kind EntryKind
	At   int64 // offset in the recording's bytes

	ID    uint64 // Begin: of the recording
	Chunk uint32 // Begin
	Meta  Meta   // Begin
	Fresh bool   // Begin: the module had been told nothing
	State []byte // Begin, unless Fresh; FleetState, Beside

	Now        time.Duration // the module's time: Begin, Step, Cleared
	Events     []policy.Event
	Actions    []policy.Action
	Endpoint   string
	MessageIDs []uint32
	Allowed    bool
	MessageID  uint32
	Text       string
}

// Reader reads a recording, entry by entry. What is damaged or cut is passed over and told as Lost entries; reading
// goes on with the next chunk of the same recording. Its bytes may have been written by anyone: no length in them makes
// it use more memory than a small multiple of the recording's own size.
type Reader struct {
	data          []byte
	offset        int // of the next frame, or of the next chunk's preamble
	id            uint64
	idKnown       bool // id is
	chunkStart    int  // of the open chunk; -1: none is open
	chunk         uint32
	lastChunk     uint32 // number of the last chunk that was read
	chunkRead     bool   // one was
	decoder       decoder
	lossReported  bool // the place at hand was told as lost
	allRecordings bool // chunks of any recording are read
	afterDamage   bool // damage was met: what comes next may lie inside a payload
}

// NewReader returns a Reader of a recording, or ErrNoRecording if no chunk begins anywhere in it.
func NewReader(data []byte) (*Reader, error) {
	if i := bytes.Index(data, []byte(magic)); i < 0 || len(data)-i < preambleSize {
		return nil, ErrNoRecording
	}
	return &Reader{data: data, chunkStart: -1}, nil
}

// Next returns the next entry; ok is false at the end of the recording. The error is ErrNewerFormat for a chunk of a newer
// form, of which nothing can be told.
func (r *Reader) Next() (e Entry, ok bool, err error) {
	for {
		if r.chunkStart < 0 {
			e, ok, err := r.beginChunk()
			if ok || err != nil || r.chunkStart < 0 {
				return e, ok, err
			}
			continue
		}
		if r.offset == len(r.data) {
			return Entry{}, false, nil
		}
		if r.isPreamble(r.offset) {
			r.chunkStart = -1
			continue
		}
		at := r.offset
		payload, next, err := readFrame(r.id, r.chunk, r.data[r.chunkStart:], r.offset-r.chunkStart)
		if err == nil {
			e, err = r.readEntry(payload)
		}
		if err != nil {
			// Frames behind it depend on what it held: the chunk ends here.
			r.chunkStart, r.offset, r.afterDamage = -1, at+1, true
			return Entry{Kind: Lost, At: int64(at), Text: err.Error()}, true, nil
		}
		r.offset = r.chunkStart + next
		e.At = int64(at)
		return e, true, nil
	}
}

// isPreamble tells whether a chunk of this recording begins at an offset. Frames begin with their lengths: the magic
// as one would be longer than any frame.
func (r *Reader) isPreamble(at int) bool {
	rest := r.data[at:]
	return len(rest) >= preambleSize && string(rest[:len(magic)]) == magic &&
		(!r.idKnown || r.allRecordings || binary.LittleEndian.Uint64(rest[len(magic):]) == r.id)
}

// beginChunk finds the next chunk from r.at on. Bytes that a client sent may look like one, also like one of an older
// recording: it must carry this recording's id, and its header's checksum must match.
func (r *Reader) beginChunk() (Entry, bool, error) {
	from := r.offset
	for {
		i := bytes.Index(r.data[r.offset:], []byte(magic))
		if i < 0 || len(r.data)-r.offset-i < preambleSize {
			r.offset = len(r.data)
			if lost := r.offset - from; lost > 1 && !r.lossReported {
				r.lossReported = true
				return Entry{
					Kind: Lost,
					At:   int64(from),
					Text: fmt.Sprintf("%d bytes that belong to no chunk", lost),
				}, true, nil
			}
			return Entry{}, false, nil
		}
		r.offset += i
		if !r.isPreamble(r.offset) {
			r.offset++
			continue
		}
		id := binary.LittleEndian.Uint64(r.data[r.offset+len(magic):])
		number := binary.LittleEndian.Uint32(r.data[r.offset+len(magic)+idSize:])
		e, next, err := r.readHeader(r.offset, id, number)
		if err == ErrNewerFormat {
			return Entry{}, false, fmt.Errorf("%w: format %d, this one reads %d", err, e.Meta.Format, Format)
		}
		// A payload may hold an earlier chunk of this recording, if someone could read that: chunks only go forward.
		if err != nil || r.afterDamage && r.chunkRead && id == r.id && number <= r.lastChunk {
			r.offset++
			continue
		}
		if r.chunkRead && !r.allRecordings && number != r.lastChunk+1 && !r.lossReported {
			r.lossReported = true
			return Entry{
				Kind: Lost,
				At:   int64(r.offset),
				Text: fmt.Sprintf("chunks between %d and %d are missing", r.lastChunk, number),
			}, true, nil
		}
		r.lossReported, r.afterDamage = false, false
		r.id, r.idKnown, r.chunk, r.lastChunk, r.chunkRead = id, true, number, number, true
		r.chunkStart, r.offset = r.offset, next
		r.decoder = decoder{}
		return e, true, nil
	}
}

// readHeader reads a chunk's header, and its state.
func (r *Reader) readHeader(start int, id uint64, number uint32) (Entry, int, error) {
	data := r.data[start:]
	payload, at, err := readFrame(id, number, data, preambleSize)
	if err != nil {
		return Entry{}, 0, err
	}
	var h chunkHeader
	if payload[0] != frameChunkHeader {
		return Entry{}, 0, errFrame
	}
	if err := json.Unmarshal(payload[1:], &h); err != nil {
		return Entry{}, 0, fmt.Errorf("flight: header: %w", err)
	}
	e := Entry{Kind: Begin, At: int64(start), ID: id, Chunk: number, Meta: h.Meta, Fresh: h.Fresh, Now: h.At}
	if h.Format > Format {
		return e, 0, ErrNewerFormat
	}
	if !h.Fresh {
		payload, next, err := readFrame(id, number, data, at)
		if err != nil {
			return Entry{}, 0, err
		}
		if payload[0] != frameState {
			return Entry{}, 0, errFrame
		}
		e.State, at = payload[1:], next
	}
	return e, start + at, nil
}

// readEntry reads a frame's payload.
func (r *Reader) readEntry(payload []byte) (Entry, error) {
	d := &r.decoder
	d.data, d.err = payload[1:], nil
	var e Entry
	switch payload[0] {
	case frameStep:
		e.Kind = Step
		d.lastNow += time.Duration(d.int())
		e.Now = d.lastNow
		if n := d.count(); n > 0 {
			e.Events = make([]policy.Event, n)
		}
		for i := range e.Events {
			if d.event(&e.Events[i]); d.err != nil {
				return e, d.err
			}
		}
		if n := d.count(); n > 0 {
			e.Actions = make([]policy.Action, n)
		}
		for i := range e.Actions {
			if d.action(&e.Actions[i]); d.err != nil {
				return e, d.err
			}
		}
	case frameSendChecked:
		e.Kind = SendChecked
		d.lastNow += time.Duration(d.int())
		e.Now, e.Allowed, e.Endpoint = d.lastNow, d.bool(), d.name()
		for range d.count() {
			e.MessageIDs = append(e.MessageIDs, d.messageID())
		}
	case frameLabel:
		e.Kind, e.MessageID = Label, d.messageID()
		e.Text = string(d.bytes())
	case frameFleetState, frameFleetStep:
		e.Kind = FleetState
		if payload[0] == frameFleetStep {
			e.Kind = FleetStep
		}
		e.State, d.data = d.data, nil
	case frameNote:
		e.Kind, e.Text = Note, string(d.bytes())
	default:
		return e, fmt.Errorf("flight: unknown frame %q", payload[0])
	}
	if d.err == nil && len(d.data) > 0 {
		d.fail()
	}
	return e, d.err
}
