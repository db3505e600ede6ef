// Package flight is the relay's flight recorder: it keeps what the decision module was told and what it decided, in a
// bounded ring in memory and, where asked for, in files or in the log, so that a stretch of a relay's life can be
// played again. It decides nothing and holds up no step: see docs/design/flight-recorder.md for the form.
//
// A recording is a run of chunks, each readable by itself: it begins with a header frame and, unless it is the first of
// a process, with the module's state. Every frame carries a CRC-32C over its length, its payload and its place, so that
// a cut or a flipped bit is told and never read as something else.
package flightrecorder

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Format is the newest version of the form that this package reads. It writes the first one, which has no frames of
// what stands beside the module, unless such are asked for.
const (
	Format             = 2
	formatWithoutFleet = 1
)

// Sizes of the form, in bytes.
const (
	magic           = "CTFLIGHT"
	idSize          = 8
	preambleSize    = len(magic) + idSize + 4 // and the chunk's number
	frameHeaderSize = 8
	// MaxFrameSize bounds a frame's payload. A step that does not fit is told as lost, and a new chunk begins.
	MaxFrameSize = 64 << 20
	// maxEntries bounds the events, and the actions, of a step.
	maxEntries = 1 << 20
)

// The kinds of frame, the first byte of a payload.
const (
	frameChunkHeader byte = 'H'
	frameState       byte = 'K'
	frameStep        byte = 'S'
	frameSendChecked byte = 'C'
	frameLabel       byte = 'L'
	frameNote        byte = 'N'
	// What stands beside the module: its state, behind the module's own in each chunk, and what it was told and told in
	// a step.
	frameFleetState byte = 'G'
	frameFleetStep  byte = 'F'
)

// The errors of reading.
var (
	ErrNoRecording = errors.New("flight: not a recording")
	ErrNewerFormat = errors.New("flight: written by a newer version")
	errFrame       = errors.New("flight: malformed frame")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameChecksum is a frame's checksum: its length, payload and place within a chunk of one recording. place is scratch: a
// variable of its own would go to the heap with each frame.
func frameChecksum(place *[20]byte, id uint64, chunk uint32, at int, payload []byte) uint32 {
	binary.LittleEndian.PutUint64(place[:], id)
	binary.LittleEndian.PutUint32(place[8:], chunk)
	binary.LittleEndian.PutUint32(place[12:], uint32(at))
	binary.LittleEndian.PutUint32(place[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

// encoder appends one chunk's frames to a buffer. Strings that come again and again are written once in a chunk and
// named by number from then on.
type encoder struct {
	buf         []byte
	id          uint64
	chunk       uint32
	frameStart  int // where the open frame begins
	names       map[string]uint32
	lastNow     time.Duration
	lastID      uint32
	checksumBuf [20]byte
}

func (e *encoder) begin(id uint64, chunk uint32, buf []byte) {
	e.buf = append(buf[:0], magic...)
	e.buf = binary.LittleEndian.AppendUint64(e.buf, id)
	e.buf = binary.LittleEndian.AppendUint32(e.buf, chunk)
	e.id, e.chunk, e.lastNow, e.lastID = id, chunk, 0, 0
	clear(e.names)
}

func (e *encoder) openFrame(kind byte) {
	e.frameStart = len(e.buf)
	e.buf = append(e.buf, 0, 0, 0, 0, 0, 0, 0, 0, kind)
}

func (e *encoder) closeFrame() {
	payload := e.buf[e.frameStart+frameHeaderSize:]
	binary.LittleEndian.PutUint32(e.buf[e.frameStart:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(e.buf[e.frameStart+4:], frameChecksum(&e.checksumBuf, e.id, e.chunk, e.frameStart, payload))
}

func (e *encoder) uint(x uint64) { e.buf = binary.AppendUvarint(e.buf, x) }
func (e *encoder) int(x int64)   { e.buf = binary.AppendVarint(e.buf, x) }
func (e *encoder) byte(x byte)   { e.buf = append(e.buf, x) }

func (e *encoder) float(x float64) {
	e.buf = binary.LittleEndian.AppendUint64(e.buf, math.Float64bits(x))
}

func (e *encoder) text(s string) {
	e.uint(uint64(len(s)))
	e.buf = append(e.buf, s...)
}

// name writes a string that is likely to come again: 0 and its text the first time, then its number.
func (e *encoder) name(s string) {
	if n, ok := e.names[s]; ok {
		e.uint(uint64(n))
		return
	}
	e.byte(0)
	e.text(s)
	e.names[s] = uint32(len(e.names) + 1)
}

// messageID writes a message's number against the last one: mostly a byte or two.
func (e *encoder) messageID(id uint32) {
	e.int(int64(id) - int64(e.lastID))
	e.lastID = id
}

// The bits of an event that say which of its fields follow.
const (
	hasMessageEnded byte = 1 << iota
	hasRetryAfter
	hasLimitReport
	hasMayHaveRun
	hasRecovered
	hasKey
)

func (e *encoder) event(x *policy.Event) {
	e.byte(byte(x.Kind))
	switch x.Kind {
	case policy.MessageAccepted:
		var has byte
		if x.Recovered != nil {
			has |= hasRecovered
			if x.Recovered.MayHaveRun {
				has |= hasMayHaveRun
			}
		}
		if x.Key != "" {
			has |= hasKey
		}
		e.byte(has)
		e.messageID(x.MessageID)
		e.int(int64(x.Class))
		e.int(int64(x.Tenant))
		e.int(int64(x.Destination))
		e.int(int64(x.TimeLeft))
		if has&hasKey != 0 {
			e.text(x.Key)
		}
		if has&hasRecovered != 0 {
			e.int(int64(x.Recovered.Attempts))
		}
		if has&hasMayHaveRun != 0 {
			e.int(int64(x.Recovered.SinceFirstRun))
			e.int(int64(x.Recovered.FirstRunZone))
		}
	case policy.AttemptFinished, policy.HealthChecked:
		var has byte
		if x.MessageEnded {
			has |= hasMessageEnded
		}
		if x.RetryAfter != 0 {
			has |= hasRetryAfter
		}
		if x.LimitReport != (policy.LimitReport{}) {
			has |= hasLimitReport
		}
		e.byte(has)
		e.messageID(x.MessageID)
		e.int(int64(x.Attempt))
		e.name(x.Endpoint)
		e.byte(byte(x.Outcome))
		e.int(int64(x.Latency))
		if has&hasRetryAfter != 0 {
			e.int(int64(x.RetryAfter))
		}
		if has&hasLimitReport != 0 {
			e.bool(x.LimitReport.Present)
			e.float(x.LimitReport.Remaining)
			e.float(x.LimitReport.Limit)
		}
	case policy.MessageCancelled:
		e.messageID(x.MessageID)
	case policy.QuotaGranted:
		e.int(int64(x.Destination))
		e.name(x.Endpoint)
		e.float(x.ReservedFraction)
		e.int(int64(x.GrantedCalls))
		e.int(int64(x.TimeLeft))
	case policy.EndpointSnapshot, policy.EndpointDelta:
		e.uint(uint64(len(x.Endpoints)))
		for i := range x.Endpoints {
			e.endpoint(&x.Endpoints[i])
		}
	}
}

func (e *encoder) bool(x bool) {
	if x {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

func (e *encoder) endpoint(l *policy.Endpoint) {
	var has byte
	if l.InService {
		has |= 1
	}
	if l.Removed {
		has |= 2
	}
	if l.Relisted {
		has |= 4
	}
	e.byte(has)
	e.name(l.ID)
	e.int(int64(l.Destination))
	e.int(int64(l.Kind))
	e.int(int64(l.Zone))
	e.float(l.Weight)
}

func (e *encoder) action(a *policy.Action) {
	e.byte(byte(a.Kind))
	switch a.Kind {
	case policy.Send:
		e.messageID(a.MessageID)
		e.name(a.Endpoint)
		e.int(int64(a.TimeoutAt))
	case policy.Reject, policy.Fail:
		e.messageID(a.MessageID)
		e.int(int64(a.Delay))
	case policy.SetTimer:
		e.int(int64(a.Delay))
	case policy.CloseIdle:
		e.name(a.Endpoint)
	case policy.RequestQuota:
		e.name(a.Endpoint)
		e.int(int64(a.Calls))
	}
}

// decoder reads one frame's payload. The first error sticks; whatever it returns after one is zero.
type decoder struct {
	data    []byte
	err     error
	names   []string
	lastNow time.Duration
	lastID  uint32
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = errFrame
	}
	d.data = nil
}

func (d *decoder) uint() uint64 {
	x, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return x
}

func (d *decoder) int() int64 {
	x, n := binary.Varint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return x
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.fail()
		return 0
	}
	x := d.data[0]
	d.data = d.data[1:]
	return x
}

func (d *decoder) bool() bool { return d.byte() != 0 }

func (d *decoder) float() float64 {
	if len(d.data) < 8 {
		d.fail()
		return 0
	}
	x := math.Float64frombits(binary.LittleEndian.Uint64(d.data))
	d.data = d.data[8:]
	return x
}

func (d *decoder) bytes() []byte {
	n := d.uint()
	if n > uint64(len(d.data)) {
		d.fail()
		return nil
	}
	x := d.data[:n]
	d.data = d.data[n:]
	return x
}

func (d *decoder) name() string {
	n := d.uint()
	if n == 0 {
		s := string(d.bytes())
		if d.err == nil {
			d.names = append(d.names, s)
		}
		return s
	}
	if n > uint64(len(d.names)) {
		d.fail()
		return ""
	}
	return d.names[n-1]
}

func (d *decoder) messageID() uint32 {
	d.lastID = uint32(int64(d.lastID) + d.int())
	return d.lastID
}

// count reads how many entries follow. Each takes a byte at least, so that no length asks for more room than the frame
// could fill.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.data)) || n > maxEntries {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) event(x *policy.Event) {
	*x = policy.Event{Kind: policy.EventKind(d.byte())}
	switch x.Kind {
	case policy.MessageAccepted:
		has := d.byte()
		x.MessageID = d.messageID()
		x.Class, x.Tenant, x.Destination = int(d.int()), int(d.int()), int(d.int())
		x.TimeLeft = time.Duration(d.int())
		if has&hasKey != 0 {
			x.Key = string(d.bytes())
		}
		if has&hasRecovered != 0 {
			x.Recovered = &policy.RecoveredMessage{Attempts: int(d.int())}
			if has&hasMayHaveRun != 0 {
				x.Recovered.MayHaveRun = true
				x.Recovered.SinceFirstRun, x.Recovered.FirstRunZone = time.Duration(d.int()), int(d.int())
			}
		}
	case policy.AttemptFinished, policy.HealthChecked:
		has := d.byte()
		x.MessageID, x.Attempt, x.Endpoint = d.messageID(), int(d.int()), d.name()
		x.Outcome, x.Latency = policy.Outcome(d.byte()), time.Duration(d.int())
		x.MessageEnded = has&hasMessageEnded != 0
		if has&hasRetryAfter != 0 {
			x.RetryAfter = time.Duration(d.int())
		}
		if has&hasLimitReport != 0 {
			x.LimitReport = policy.LimitReport{Present: d.bool(), Remaining: d.float(), Limit: d.float()}
		}
	case policy.MessageCancelled:
		x.MessageID = d.messageID()
	case policy.QuotaGranted:
		x.Destination, x.Endpoint = int(d.int()), d.name()
		x.ReservedFraction, x.GrantedCalls, x.TimeLeft = d.float(), int(d.int()), time.Duration(d.int())
	case policy.EndpointSnapshot, policy.EndpointDelta:
		n := d.count()
		x.Endpoints = make([]policy.Endpoint, 0, min(n, 1<<16))
		for range n {
			x.Endpoints = append(x.Endpoints, d.endpoint())
			if d.err != nil {
				return
			}
		}
	case policy.WatchFailed, policy.TimerFired:
	default:
		d.fail()
	}
}

func (d *decoder) endpoint() policy.Endpoint {
	has := d.byte()
	l := policy.Endpoint{InService: has&1 != 0, Removed: has&2 != 0, Relisted: has&4 != 0, ID: d.name()}
	l.Destination, l.Kind, l.Zone, l.Weight = int(d.int()), int(d.int()), int(d.int()), d.float()
	return l
}

func (d *decoder) action(a *policy.Action) {
	*a = policy.Action{Kind: policy.ActionKind(d.byte())}
	switch a.Kind {
	case policy.Send:
		a.MessageID, a.Endpoint, a.TimeoutAt = d.messageID(), d.name(), time.Duration(d.int())
	case policy.Reject, policy.Fail:
		a.MessageID, a.Delay = d.messageID(), time.Duration(d.int())
	case policy.SetTimer:
		a.Delay = time.Duration(d.int())
	case policy.CloseIdle:
		a.Endpoint = d.name()
	case policy.RequestQuota:
		a.Endpoint, a.Calls = d.name(), int(d.int())
	case policy.WatchEndpoints:
	default:
		d.fail()
	}
}

// readFrame reads the frame that begins at an offset of a chunk's bytes.
func readFrame(id uint64, chunk uint32, data []byte, at int) (payload []byte, next int, err error) {
	rest := data[at:]
	if len(rest) < frameHeaderSize {
		return nil, at, fmt.Errorf("cut in a frame's header")
	}
	n := binary.LittleEndian.Uint32(rest)
	switch {
	case n == 0 || n > MaxFrameSize:
		return nil, at, fmt.Errorf("a frame of %d bytes", n)
	case int(n) > len(rest)-frameHeaderSize:
		return nil, at, fmt.Errorf("cut in a frame: %d of %d bytes", len(rest)-frameHeaderSize, n)
	}
	payload = rest[frameHeaderSize : frameHeaderSize+int(n)]
	if frameChecksum(new([20]byte), id, chunk, at, payload) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, at, fmt.Errorf("checksum of a frame of %d bytes does not match", n)
	}
	return payload, at + frameHeaderSize + int(n), nil
}
