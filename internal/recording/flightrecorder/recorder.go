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
	// DefaultRingSize is the size of a ring if none is set, in bytes.
	DefaultRingSize = 4 << 20
	// MinRingSize is the smallest size of a ring, in bytes. It holds a few of the smallest chunks.
	MinRingSize = 256 << 10

	// chunksPerRing is the approximate number of chunks in a ring. The ring drops whole chunks, the oldest first.
	chunksPerRing = 8
	// minChunkToStateRatio limits the share of a recording that states take: a chunk is not full before it is this many
	// times as long as its header and states.
	minChunkToStateRatio = 4
	// maxNames limits the number of distinct strings in a chunk, and so the memory of the encoder's string table. A
	// chunk that exceeds it ends.
	maxNames = 1 << 16
)

// Meta describes the process that made a recording. Each chunk stores it as JSON.
type Meta struct {
	Format   int             `json:"format"`
	Name     string          `json:"name"`     // the relay's
	Revision string          `json:"revision"` // of the decision engine: policy.Revision
	Program  string          `json:"program"`  // version of the program, if known
	Seed     uint64          `json:"seed,string"`
	Settings policy.Settings `json:"settings"`
	Started  time.Time       `json:"started"` // wall-clock time at engine time 0
}

// chunkHeader is the payload of a chunk's first frame, as JSON.
type chunkHeader struct {
	Meta
	Chunk uint32        `json:"chunk"`
	At    time.Duration `json:"at"`    // engine time at the start of the chunk, in ns
	Fresh bool          `json:"fresh"` // the engine had received no event yet, and no state follows
}

// Recorder records the steps of an engine, and holds the last chunks of the recording in a ring. Its methods may be
// called from any goroutine. A nil Recorder records nothing.
type Recorder struct {
	mu         sync.Mutex
	meta       Meta
	state      func([]byte) []byte // appends the engine's state
	fleetState func([]byte) []byte // appends the state of the fleet agent; nil: there is none
	now        time.Duration       // engine time of the last step

	id           uint64
	enc          encoder
	chunkLimit   int // size at which the open chunk, in enc, is full; in bytes
	minChunkSize int // lower bound of chunkLimit, in bytes

	ringSize     int     // bytes
	closedChunks []chunk // oldest first
	closedSize   int     // bytes in closedChunks
	spare        []byte  // buffer of a dropped chunk, for reuse

	followed bool          // a sink follows the recording
	appended chan struct{} // notifies the sink that the recording has grown
}

// chunk is the number of a chunk and its encoded data.
type chunk struct {
	number uint32
	data   []byte
}

// NewRecorder returns a Recorder of an engine that has received no event yet. The ring has ringSize bytes, but at least
// MinRingSize; 0 selects DefaultRingSize. state appends the engine's state, as policy.Engine.Snapshot does. It is
// called whenever a chunk begins: mostly from Step, after the engine's own Step.
func NewRecorder(meta Meta, ringSize int, state func([]byte) []byte) *Recorder {
	r := newRecorder(meta, ringSize, state)
	r.beginChunk(true)
	return r
}

// ResumeRecorder is NewRecorder for an engine that was restored at engine time now. The recording begins with the
// engine's state.
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

// RecordFleet adds the fleet agent to the recording. state appends the agent's state, as agent.Agent.Snapshot does.
// RecordFleet must be called before the first step and before a sink follows the recording, since it replaces the open
// chunk. Each step must then be recorded with StepWithFleet.
func (r *Recorder) RecordFleet(state func([]byte) []byte) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetState = state
	r.meta.Format = formatWithFleet
	r.beginChunk(len(r.closedChunks) == 0 && r.now == 0)
}

// beginChunk opens a chunk. A fresh chunk has no engine state, since the engine has received no event yet.
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
	if err != nil { // a setting is NaN or infinite: the engine rejects such settings
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

// endChunk closes the open chunk and drops the oldest chunks, so that a chunk of chunkLimit bytes fits into the ring.
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

// PrepareStep must be called with the events of a step before the engine's own Step. If the format of the open chunk
// cannot hold the events, it begins a chunk of a newer format.
func (r *Recorder) PrepareStep(events []policy.Event) {
	if r == nil || !slices.ContainsFunc(events, hasRecoveredTerms) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meta.Format >= Format {
		return
	}
	r.meta.Format = Format
	r.nextChunk()
}

func hasRecoveredTerms(event policy.Event) bool {
	return event.Recovered != nil && event.Recovered.Terms != nil
}

// Step records a step: the events that the engine received at engine time now, and its actions. It must be called
// after the engine's own Step.
func (r *Recorder) Step(now time.Duration, events []policy.Event, actions []policy.Action) {
	r.StepWithFleet(now, events, actions, nil)
}

// StepWithFleet records a step as Step does, and the fleet agent's step that belongs to it. fleet is the encoded
// agent.Record of that step, with what the agent received and returned. It is empty if the agent did neither.
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
		e.dropFrame() // the next chunk begins with the state after the step
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

// rollIfFull begins a new chunk if the open one is full, and notifies the sink that the recording has grown.
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

// nextChunk closes the open chunk and begins one with the engine's state.
func (r *Recorder) nextChunk() {
	r.endChunk()
	r.beginChunk(false)
}

// Reconfigured records a change of settings by beginning a chunk with the new ones. It must be called after the engine
// has applied them.
func (r *Recorder) Reconfigured(settings policy.Settings) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meta.Settings = settings
	r.nextChunk()
}

// SendChecked records a result of policy.Engine.StillAllowed.
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

// Label records the trace id that identifies a message for clients and endpoints. It must be called before the step
// that accepts the message.
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

// Note records a remark, for example a signal, a crash, or the reason for a dump.
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

// WriteTo writes the contents of the ring: the closed chunks, oldest first, and the open one. Writing to w does not
// block recording.
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

// Size returns the number of bytes in the ring.
func (r *Recorder) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedSize + len(r.enc.buf)
}
