package flightrecorder

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// DefaultRingSize is the size of a ring, in bytes, where none is set.
	DefaultRingSize = 4 << 20
	// MinRingSize holds a few chunks of the smallest size.
	MinRingSize = 256 << 10

	// chunksPerRing is about how many chunks a ring holds: it drops the oldest as a whole.
	chunksPerRing = 8
	// minChunkToStateRatio bounds what states add to a recording: a chunk is at least so many times as long as the
	// state that it begins with.
	minChunkToStateRatio = 4
	// maxNames is how many strings a chunk names. The table is memory: a chunk with more of them ends.
	maxNames = 1 << 16
)

// Meta is what a recording's chunks say of the process that made it. Its JSON is stored.
type Meta struct {
	Format   int             `json:"format"`
	Name     string          `json:"name"`     // the relay's
	Revision string          `json:"revision"` // of the decision module: policy.Revision
	Program  string          `json:"program"`  // version of the program, if it is known
	Seed     uint64          `json:"seed,string"`
	Settings policy.Settings `json:"settings"`
	Started  time.Time       `json:"started"` // wall time at the module's time 0
}

// chunkHeader is the payload of a chunk's first frame, as JSON.
type chunkHeader struct {
	Meta
	Chunk uint32        `json:"chunk"`
	At    time.Duration `json:"at"`    // the module's time at the chunk's begin, in ns
	Fresh bool          `json:"fresh"` // the module had got no event yet: no state follows
}

// Recorder holds a recording's last chunks. Its methods may be called from any goroutine, also on a nil Recorder, which
// records nothing.
type Recorder struct {
	mu         sync.Mutex
	meta       Meta
	state      func([]byte) []byte
	fleetState func([]byte) []byte // appends the state of the fleet's agent; nil: there is none
	now        time.Duration

	id           uint64
	enc          encoder
	chunkLimit   int // bytes beyond which the open chunk, which is enc's, ends
	minChunkSize int

	ringSize     int
	closedChunks []chunk // oldest first
	closedSize   int     // bytes of closedChunks
	spare        []byte  // buffer of a chunk that was dropped

	followed bool          // a sink follows the recording
	appended chan struct{} // notifies the sink that there is something new
}

type chunk struct {
	number uint32
	data   []byte
}

// NewRecorder returns a Recorder of a module that has got no event yet, with a ring of ringSize bytes (0:
// DefaultRingSize, at least MinRingSize). state appends the module's state as policy.Engine.Snapshot does; it is called
// from Step, after the module has done its step.
func NewRecorder(meta Meta, ringSize int, state func([]byte) []byte) *Recorder {
	r := newRecorder(meta, ringSize, state)
	r.beginChunk(true)
	return r
}

// ResumeRecorder is NewRecorder for a module that was restored, at now: the recording begins with its state.
func ResumeRecorder(meta Meta, ringSize int, state func([]byte) []byte, now time.Duration) *Recorder {
	r := newRecorder(meta, ringSize, state)
	r.now = now
	r.beginChunk(false)
	return r
}

func newRecorder(meta Meta, ringSize int, state func([]byte) []byte) *Recorder {
	if ringSize == 0 {
		ringSize = DefaultRingSize
	}
	ringSize = max(ringSize, MinRingSize)
	meta.Format = formatWithoutFleet
	return &Recorder{
		meta:         meta,
		state:        state,
		id:           rand.Uint64(),
		enc:          encoder{names: map[string]uint32{}},
		minChunkSize: ringSize / chunksPerRing,
		ringSize:     ringSize,
		appended:     make(chan struct{}, 1),
	}
}

// RecordFleet has the fleet's agent recorded beside the module: state appends the agent's state as Snapshot does. It is
// called before the first step, on a recorder that nobody follows yet; each step is then StepWithFleet.
func (r *Recorder) RecordFleet(state func([]byte) []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetState = state
	r.meta.Format = Format
	r.beginChunk(len(r.closedChunks) == 0 && r.now == 0)
}

// beginChunk opens a chunk. A fresh one has no state: the module has got no event yet.
func (r *Recorder) beginChunk(fresh bool) {
	number := r.enc.chunk
	if !fresh {
		number++
	}
	buf := r.spare
	r.spare = nil
	if buf == nil {
		buf = make([]byte, 0, r.minChunkSize+r.minChunkSize/4)
	}
	r.enc.begin(r.id, number, buf)
	data, err := json.Marshal(chunkHeader{Meta: r.meta, Chunk: number, At: r.now, Fresh: fresh})
	if err != nil { // a setting that is not a number, which the module rejects
		data = []byte("{}")
	}
	r.enc.frame(frameChunkHeader, data)
	if !fresh {
		r.enc.appendFrame(frameState, r.state)
	}
	if r.fleetState != nil {
		r.enc.appendFrame(frameFleetState, r.fleetState)
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
	r.closedChunks = slices.Delete(r.closedChunks, 0, drop)
}

// Step records a step: the events that the module got at now, and its actions. It is called after the module's own
// Step.
func (r *Recorder) Step(now time.Duration, events []policy.Event, actions []policy.Action) {
	r.StepWithFleet(now, events, actions, nil)
}

// StepWithFleet is Step, with what the fleet's agent got and returned in the same step; empty: nothing.
func (r *Recorder) StepWithFleet(now time.Duration, events []policy.Event, actions []policy.Action, fleet []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.enc
	e.openFrame(frameStep)
	e.now(now)
	r.now = now
	e.uint(uint64(len(events)))
	for i := range events {
		e.event(&events[i])
	}
	e.uint(uint64(len(actions)))
	for i := range actions {
		e.action(&actions[i])
	}
	if e.frameSize() > MaxFrameSize || max(len(events), len(actions)) > maxEntries {
		e.dropFrame() // the chunk that begins here holds the state after the step
		r.nextChunk()
		r.appendNote("a step was too large for a frame, and is missing before this")
		return
	}
	e.closeFrame()
	if r.fleetState != nil {
		e.frame(frameFleetStep, fleet)
	}
	r.rollIfFull()
}

// rollIfFull begins a new chunk if the open one is full, and notifies the sink.
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

// Reconfigured records that other settings are in force: a chunk with them begins. It is called after the module has
// applied them.
func (r *Recorder) Reconfigured(settings policy.Settings) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meta.Settings = settings
	r.nextChunk()
}

// SendChecked records an answer of policy.Engine.StillAllowed.
func (r *Recorder) SendChecked(now time.Duration, endpoint string, messageIDs []policy.MessageID, allowed bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &r.enc
	e.openFrame(frameSendChecked)
	e.now(now)
	e.bool(allowed)
	e.name(endpoint)
	e.uint(uint64(len(messageIDs)))
	for _, id := range messageIDs {
		e.messageID(id)
	}
	e.closeFrame()
}

// Label records the trace id by which clients and endpoints know a message. It is called before the step that accepts
// the message.
func (r *Recorder) Label(id policy.MessageID, trace string) {
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

// Note records a remark: a signal, a crash, the reason for a dump.
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

// WriteTo writes what the ring holds: closed chunks, oldest first, and the open one. Recording goes on meanwhile.
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
		err = fmt.Errorf("flightrecorder: write the ring: %w", err)
	}
	return int64(n), err
}

// Size returns how many bytes the ring holds.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedSize + len(r.enc.buf)
}
