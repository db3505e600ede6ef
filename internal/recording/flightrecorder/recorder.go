package flightrecorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Bounds of a Recorder, in bytes.
const (
	DefaultRingSize = 4 << 20
	// MinRingSize holds a few chunks of the least size.
	MinRingSize   = 256 << 10
	chunksPerRing = 8 // a ring holds about so many chunks
	// minChunkToStateRatio bounds what states add: a chunk is at least so many times as long as the state that it begins with.
	minChunkToStateRatio = 4
	maxNames             = 1 << 16 // a chunk that names more strings ends
)

// Meta is what a recording's chunks say of the process that made it.
type Meta struct {
	Format   int             `json:"format"`
	Name     string          `json:"name"`     // the relay's
	Revision string          `json:"revision"` // of the decision module: policy.Revision
	Program  string          `json:"program"`  // version of the program, if it is known
	Seed     uint64          `json:"seed,string"`
	Settings policy.Settings `json:"settings"`
	Started  time.Time       `json:"started"` // wall time at the module's time 0
}

// chunkHeader is the payload of a chunk's first frame.
type chunkHeader struct {
	Meta
	Chunk uint32        `json:"chunk"`
	At    time.Duration `json:"at"`    // the module's time at the chunk's begin, in ns
	Fresh bool          `json:"fresh"` // the module had been told nothing: no state follows
}

// Recorder keeps a recording's last chunks. Its methods may be called from any goroutine, on a nil Recorder too, which
// records nothing.
type Recorder struct {
	mu           sync.Mutex
	meta         Meta
	state        func([]byte) []byte
	fleetState   func([]byte) []byte // state of what stands beside the module; nil: nothing does
	ringSize     int                 // bytes
	minChunkSize int                 // bytes of a chunk
	id           uint64
	enc          encoder
	closedChunks []chunk // full ones, oldest first; the open one is enc's
	spare        []byte  // room of a chunk that was dropped
	closedSize   int     // bytes of chunks
	chunkLimit   int     // the open chunk ends beyond this
	now          time.Duration
	followed     bool          // a sink follows the recording
	appended     chan struct{} // tells the sink that there is something
}

type chunk struct {
	number uint32
	data   []byte
}

// NewRecorder returns a Recorder of a module that has been told nothing yet, with a ring of so many bytes (0:
// DefaultRingSize, MinRingSize at least). state appends the module's state as policy.Engine.Snapshot does; it is called
// from Step, after the module has taken it.
func NewRecorder(meta Meta, ring int, state func([]byte) []byte) *Recorder {
	r := newRecorder(meta, ring, state)
	r.beginChunk(true)
	return r
}

// ResumeRecorder is NewRecorder for a module that was restored in mid-life, at now: the recording begins with its
// state.
func ResumeRecorder(meta Meta, ring int, state func([]byte) []byte, now time.Duration) *Recorder {
	r := newRecorder(meta, ring, state)
	r.now = now
	r.beginChunk(false)
	return r
}

func newRecorder(meta Meta, ring int, state func([]byte) []byte) *Recorder {
	if ring == 0 {
		ring = DefaultRingSize
	}
	ring = max(ring, MinRingSize)
	meta.Format = formatWithoutFleet
	return &Recorder{
		meta: meta, state: state, ringSize: ring, minChunkSize: ring / chunksPerRing, id: rand.Uint64(),
		enc: encoder{names: map[string]uint32{}}, appended: make(chan struct{}, 1),
	}
}

// RecordFleet has something that stands beside the module recorded with it: state appends its state as Snapshot does.
// It is called before the first step, on a recorder that nobody follows yet; each step is then StepWithFleet.
func (r *Recorder) RecordFleet(state func([]byte) []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetState, r.meta.Format = state, Format
	r.beginChunk(len(r.closedChunks) == 0 && r.now == 0)
}

// beginChunk opens a chunk.
func (r *Recorder) beginChunk(fresh bool) {
	number := r.enc.chunk
	if !fresh {
		number++
	}
	room := r.spare
	if r.spare = nil; room == nil {
		room = make([]byte, 0, r.minChunkSize+r.minChunkSize/4)
	}
	r.enc.begin(r.id, number, room)
	data, err := json.Marshal(chunkHeader{Meta: r.meta, Chunk: number, At: r.now, Fresh: fresh})
	if err != nil { // a figure of the settings that is not a number: the module refuses those
		data = []byte("{}")
	}
	r.enc.openFrame(frameChunkHeader)
	r.enc.buf = append(r.enc.buf, data...)
	r.enc.closeFrame()
	if !fresh {
		r.enc.openFrame(frameState)
		r.enc.buf = r.state(r.enc.buf)
		r.enc.closeFrame()
	}
	if r.fleetState != nil {
		r.enc.openFrame(frameFleetState)
		r.enc.buf = r.fleetState(r.enc.buf)
		r.enc.closeFrame()
	}
	r.chunkLimit = max(r.minChunkSize, minChunkToStateRatio*len(r.enc.buf))
}

// endChunk closes the open chunk and drops the oldest ones that no longer fit.
func (r *Recorder) endChunk() {
	r.closedChunks = append(r.closedChunks, chunk{r.enc.chunk, r.enc.buf})
	r.closedSize += len(r.enc.buf)
	drop := 0
	for drop < len(r.closedChunks) && r.closedSize > r.ringSize-r.chunkLimit {
		r.closedSize -= len(r.closedChunks[drop].data)
		r.spare = r.closedChunks[drop].data
		drop++
	}
	if drop > 0 {
		r.closedChunks = append(r.closedChunks[:0], r.closedChunks[drop:]...)
	}
}

// Step records a step: what the module was told at now, and what it decided. It is called after the module's own Step.
func (r *Recorder) Step(now time.Duration, events []policy.Event, actions []policy.Action) {
	r.StepWithFleet(now, events, actions, nil)
}

// StepWithFleet is Step, with what stands beside the module was told and told in the same step; empty: nothing.
func (r *Recorder) StepWithFleet(now time.Duration, events []policy.Event, actions []policy.Action, beside []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.enc
	e.openFrame(frameStep)
	e.int(int64(now - e.lastNow))
	e.lastNow, r.now = now, now
	e.uint(uint64(len(events)))
	for i := range events {
		e.event(&events[i])
	}
	e.uint(uint64(len(actions)))
	for i := range actions {
		e.action(&actions[i])
	}
	if len(e.buf)-e.frameStart-frameHeaderSize > MaxFrameSize || max(len(events), len(actions)) > maxEntries {
		e.buf = e.buf[:e.frameStart] // the chunk that begins here holds the state behind it
		r.nextChunk()
		r.appendNote("a step was too large for a frame, and is missing before this")
		return
	}
	e.closeFrame()
	if r.fleetState != nil {
		e.openFrame(frameFleetStep)
		e.buf = append(e.buf, beside...)
		e.closeFrame()
	}
	r.rollIfFull()
}

func (r *Recorder) rollIfFull() {
	if len(r.enc.buf) >= r.chunkLimit || len(r.enc.names) > maxNames {
		r.nextChunk()
	}
	if r.followed {
		select {
		case r.appended <- struct{}{}:
		default:
		}
	}
}

func (r *Recorder) nextChunk() {
	r.endChunk()
	r.beginChunk(false)
}

// Reconfigured records that other settings hold: a chunk with them begins. It is called after the module has taken
// them.
func (r *Recorder) Reconfigured(set policy.Settings) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meta.Settings = set
	r.nextChunk()
}

// SendChecked records an answer of policy.Engine.StillAllowed.
func (r *Recorder) SendChecked(now time.Duration, route string, ids []uint32, may bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.enc
	e.openFrame(frameSendChecked)
	e.int(int64(now - e.lastNow))
	e.lastNow = now
	e.bool(may)
	e.name(route)
	e.uint(uint64(len(ids)))
	for _, id := range ids {
		e.messageID(id)
	}
	e.closeFrame()
}

// Label records the trace id under which clients and hosts know a message. It is called before the step that takes it.
func (r *Recorder) Label(id uint32, trace string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.enc
	e.openFrame(frameLabel)
	e.messageID(id)
	e.text(trace)
	e.closeFrame()
}

// Note records a remark: a signal, a crash, a reason why the recording was kept.
func (r *Recorder) Note(text string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendNote(text)
}

func (r *Recorder) appendNote(text string) {
	r.enc.openFrame(frameNote)
	r.enc.text(text)
	r.enc.closeFrame()
	r.rollIfFull()
}

// WriteTo writes what the ring holds: whole chunks, oldest first, and the open one. The ring goes on meanwhile.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	if r == nil {
		return 0, nil
	}
	r.mu.Lock()
	data := make([]byte, 0, r.closedSize+len(r.enc.buf))
	for _, c := range r.closedChunks {
		data = append(data, c.data...)
	}
	data = append(data, r.enc.buf...)
	r.mu.Unlock()
	n, err := w.Write(data)
	if err != nil {
		err = fmt.Errorf("flight: keep the ring: %w", err)
	}
	return int64(n), err
}

// position is how far a sink has followed a recording.
type position struct {
	chunk  uint32
	offset int
}

// piece is a part of a chunk that a sink has not had yet.
type piece struct {
	chunk  uint32
	offset int // 0: the chunk begins here
	data   []byte
}

// readFrom copies what came after a place, and returns the place behind it. lost counts the chunks that left the ring
// before they were followed to their ends; at most one of them had been followed all the way.
func (r *Recorder) readFrom(p position) (pieces []piece, to position, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	follow := func(c chunk) {
		if c.number < p.chunk {
			return
		}
		if c.number > p.chunk {
			lost += int(c.number - p.chunk)
			p = position{chunk: c.number}
		}
		if p.offset < len(c.data) {
			pieces = append(pieces, piece{c.number, p.offset, bytes.Clone(c.data[p.offset:])})
		}
		p.offset = len(c.data)
	}
	for _, c := range r.closedChunks {
		if follow(c); c.number == p.chunk {
			p = position{chunk: c.number + 1}
		}
	}
	follow(chunk{r.enc.chunk, r.enc.buf})
	return pieces, p, lost
}

// startFollowing has the recording told on the channel that it returns.
func (r *Recorder) startFollowing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed = true
	return r.appended
}

// Size is how many bytes the ring holds.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedSize + len(r.enc.buf)
}
