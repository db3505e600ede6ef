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
	data  []byte
	at    int // of the next frame, or of the next chunk's preamble
	id    uint64
	known bool // id is
	start int  // of the open chunk; -1: none is open
	chunk uint32
	last  uint32 // number of the last chunk that was read
	some  bool   // one was
	dec   decoder
	told  bool // the place at hand was told as lost
	any   bool // chunks of any recording are read
	scan  bool // damage was met: what comes next may lie inside a payload
}

// NewReader returns a Reader of a recording, or ErrNoRecording if no chunk begins anywhere in it.
func NewReader(data []byte) (*Reader, error) {
	if i := bytes.Index(data, []byte(magic)); i < 0 || len(data)-i < preamble {
		return nil, ErrNoRecording
	}
	return &Reader{data: data, start: -1}, nil
}

// Next returns the next entry; ok is false at the end of the recording. The error is ErrNewer for a chunk of a newer
// form, of which nothing can be told.
func (r *Reader) Next() (e Entry, ok bool, err error) {
	for {
		if r.start < 0 {
			e, ok, err := r.begin()
			if ok || err != nil || r.start < 0 {
				return e, ok, err
			}
			continue
		}
		if r.at == len(r.data) {
			return Entry{}, false, nil
		}
		if r.preambleAt(r.at) {
			r.start = -1
			continue
		}
		at := r.at
		payload, next, err := readFrame(r.id, r.chunk, r.data[r.start:], r.at-r.start)
		if err == nil {
			e, err = r.entry(payload)
		}
		if err != nil {
			// Frames behind it depend on what it held: the chunk ends here.
			r.start, r.at, r.scan = -1, at+1, true
			return Entry{Kind: Lost, At: int64(at), Text: err.Error()}, true, nil
		}
		r.at = r.start + next
		e.At = int64(at)
		return e, true, nil
	}
}

// preambleAt tells whether a chunk of this recording begins at an offset. Frames begin with their lengths: the magic
// as one would be longer than any frame.
func (r *Reader) preambleAt(at int) bool {
	rest := r.data[at:]
	return len(rest) >= preamble && string(rest[:len(magic)]) == magic &&
		(!r.known || r.any || binary.LittleEndian.Uint64(rest[len(magic):]) == r.id)
}

// begin finds the next chunk from r.at on. Bytes that a client sent may look like one, also like one of an older
// recording: it must carry this recording's id, and its header's checksum must match.
func (r *Reader) begin() (Entry, bool, error) {
	from := r.at
	for {
		i := bytes.Index(r.data[r.at:], []byte(magic))
		if i < 0 || len(r.data)-r.at-i < preamble {
			r.at = len(r.data)
			if lost := r.at - from; lost > 1 && !r.told {
				r.told = true
				return Entry{
					Kind: Lost,
					At:   int64(from),
					Text: fmt.Sprintf("%d bytes that belong to no chunk", lost),
				}, true, nil
			}
			return Entry{}, false, nil
		}
		r.at += i
		if !r.preambleAt(r.at) {
			r.at++
			continue
		}
		id := binary.LittleEndian.Uint64(r.data[r.at+len(magic):])
		number := binary.LittleEndian.Uint32(r.data[r.at+len(magic)+idSize:])
		e, next, err := r.header(r.at, id, number)
		if err == ErrNewer {
			return Entry{}, false, fmt.Errorf("%w: format %d, this one reads %d", err, e.Meta.Format, Format)
		}
		// A payload may hold an earlier chunk of this recording, if someone could read that: chunks only go forward.
		if err != nil || r.scan && r.some && id == r.id && number <= r.last {
			r.at++
			continue
		}
		if r.some && !r.any && number != r.last+1 && !r.told {
			r.told = true
			return Entry{
				Kind: Lost,
				At:   int64(r.at),
				Text: fmt.Sprintf("chunks between %d and %d are missing", r.last, number),
			}, true, nil
		}
		r.told, r.scan = false, false
		r.id, r.known, r.chunk, r.last, r.some = id, true, number, number, true
		r.start, r.at = r.at, next
		r.dec = decoder{}
		return e, true, nil
	}
}

// header reads a chunk's header, and its state.
func (r *Reader) header(start int, id uint64, number uint32) (Entry, int, error) {
	data := r.data[start:]
	payload, at, err := readFrame(id, number, data, preamble)
	if err != nil {
		return Entry{}, 0, err
	}
	var h head
	if payload[0] != frameHead {
		return Entry{}, 0, errFrame
	}
	if err := json.Unmarshal(payload[1:], &h); err != nil {
		return Entry{}, 0, fmt.Errorf("flight: header: %w", err)
	}
	e := Entry{Kind: Begin, At: int64(start), ID: id, Chunk: number, Meta: h.Meta, Fresh: h.Fresh, Now: h.At}
	if h.Format > Format {
		return e, 0, ErrNewer
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

// entry reads a frame's payload.
func (r *Reader) entry(payload []byte) (Entry, error) {
	d := &r.dec
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
	case frameClear:
		e.Kind = SendChecked
		d.lastNow += time.Duration(d.int())
		e.Now, e.Allowed, e.Endpoint = d.lastNow, d.bool(), d.name()
		for range d.count() {
			e.MessageIDs = append(e.MessageIDs, d.message())
		}
	case frameLabel:
		e.Kind, e.MessageID = Label, d.message()
		e.Text = string(d.bytes())
	case frameBesideState, frameBeside:
		e.Kind = FleetState
		if payload[0] == frameBeside {
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
