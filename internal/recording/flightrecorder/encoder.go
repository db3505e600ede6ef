package flightrecorder

import (
	"encoding/binary"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// encoder appends one chunk's frames to a buffer. A string that is likely to recur is written in full once per chunk
// and as a number after that.
type encoder struct {
	buf         []byte
	id          uint64            // of the recording
	chunk       uint32            // number of the chunk
	frameStart  int               // offset of the open frame in buf
	names       map[string]uint32 // numbers of the strings written so far, from 1
	lastNow     time.Duration
	lastID      policy.MessageID
	checksumBuf [positionSize]byte // scratch space of frameChecksum
}

// begin starts a chunk in buf and overwrites buf's contents.
func (e *encoder) begin(id uint64, chunk uint32, buf []byte) {
	buf = append(buf[:0], magic...)
	buf = binary.LittleEndian.AppendUint64(buf, id)
	e.buf = binary.LittleEndian.AppendUint32(buf, chunk)
	e.id = id
	e.chunk = chunk
	e.lastNow = 0
	e.lastID = 0
	clear(e.names)
}

// openFrame starts a frame. closeFrame fills in its length and checksum.
func (e *encoder) openFrame(kind byte) {
	e.frameStart = len(e.buf)
	e.buf = append(e.buf, 0, 0, 0, 0, 0, 0, 0, 0, kind)
}

// frameSize returns the size of the open frame's payload.
func (e *encoder) frameSize() int { return len(e.buf) - e.frameStart - frameHeaderSize }

// dropFrame discards the open frame.
func (e *encoder) dropFrame() { e.buf = e.buf[:e.frameStart] }

func (e *encoder) closeFrame() {
	payload := e.buf[e.frameStart+frameHeaderSize:]
	binary.LittleEndian.PutUint32(e.buf[e.frameStart:], uint32(len(payload)))
	checksum := frameChecksum(&e.checksumBuf, e.id, e.chunk, e.frameStart, payload)
	binary.LittleEndian.PutUint32(e.buf[e.frameStart+4:], checksum)
}

// frame appends a frame with a payload.
func (e *encoder) frame(kind byte, payload []byte) {
	e.openFrame(kind)
	e.buf = append(e.buf, payload...)
	e.closeFrame()
}

// appendFrame appends a frame whose payload is written by appendPayload.
func (e *encoder) appendFrame(kind byte, appendPayload func([]byte) []byte) {
	e.openFrame(kind)
	e.buf = appendPayload(e.buf)
	e.closeFrame()
}

func (e *encoder) uint(x uint64) { e.buf = binary.AppendUvarint(e.buf, x) }
func (e *encoder) int(x int64)   { e.buf = binary.AppendVarint(e.buf, x) }
func (e *encoder) byte(x byte)   { e.buf = append(e.buf, x) }

func (e *encoder) bool(x bool) {
	if x {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

func (e *encoder) float(x float64) {
	e.buf = binary.LittleEndian.AppendUint64(e.buf, math.Float64bits(x))
}

func (e *encoder) text(s string) {
	e.uint(uint64(len(s)))
	e.buf = append(e.buf, s...)
}

// now writes a time as the difference from the previous one.
func (e *encoder) now(now time.Duration) {
	e.int(int64(now - e.lastNow))
	e.lastNow = now
}

// name writes a string that is likely to recur: the first time as 0 and the text, after that as its number.
func (e *encoder) name(s string) {
	if n, ok := e.names[s]; ok {
		e.uint(uint64(n))
		return
	}
	e.byte(0)
	e.text(s)
	e.names[s] = uint32(len(e.names) + 1)
}

// messageID writes a message id as the difference from the previous one, which mostly takes one or two bytes.
func (e *encoder) messageID(id policy.MessageID) {
	e.int(int64(id) - int64(e.lastID))
	e.lastID = id
}

func (e *encoder) event(event *policy.Event) {
	e.byte(byte(event.Kind))
	switch event.Kind {
	case policy.MessageAccepted:
		e.messageAccepted(event)
	case policy.AttemptFinished, policy.HealthChecked:
		e.attemptFinished(event)
	case policy.MessageCancelled:
		e.messageID(event.MessageID)
	case policy.QuotaGranted:
		e.int(int64(event.Destination))
		e.name(event.Endpoint)
		e.float(event.ReservedFraction)
		e.int(int64(event.GrantedCalls))
		e.int(int64(event.TimeLeft))
	case policy.EndpointSnapshot, policy.EndpointDelta:
		e.uint(uint64(len(event.Endpoints)))
		for i := range event.Endpoints {
			e.endpoint(&event.Endpoints[i])
		}
	}
}

func (e *encoder) messageAccepted(event *policy.Event) {
	var flags byte
	if event.Recovered != nil {
		flags |= hasRecovered
		if event.Recovered.MayHaveRun {
			flags |= hasMayHaveRun
		}
		if event.Recovered.Terms != nil {
			flags |= hasTerms
		}
	}
	if event.Key != "" {
		flags |= hasKey
	}
	e.byte(flags)
	e.messageID(event.MessageID)
	e.int(int64(event.Class))
	e.int(int64(event.Tenant))
	e.int(int64(event.Destination))
	e.int(int64(event.TimeLeft))
	if flags&hasKey != 0 {
		e.text(event.Key)
	}
	if flags&hasRecovered != 0 {
		e.int(int64(event.Recovered.Attempts))
	}
	if flags&hasMayHaveRun != 0 {
		e.int(int64(event.Recovered.SinceFirstRun))
		e.int(int64(event.Recovered.FirstRunZone))
	}
	if flags&hasTerms != 0 {
		e.terms(event.Recovered.Terms)
	}
}

// terms writes the terms of a recovered message.
func (e *encoder) terms(terms *policy.MessageTerms) {
	class := &terms.Class
	var flags byte
	if class.Ordered {
		flags |= termsOrdered
	}
	if class.DedupAllZones {
		flags |= termsDedupAllZones
	}
	e.byte(flags)
	e.byte(byte(class.Effect))
	e.int(int64(class.DedupWindow))
	e.int(int64(class.LatencyObjective))
	e.int(int64(class.Deadline))
	e.float(class.Weight)
	e.int(int64(terms.MaxAttempts))
}

func (e *encoder) attemptFinished(event *policy.Event) {
	var flags byte
	if event.MessageEnded {
		flags |= hasMessageEnded
	}
	if event.RetryAfter != 0 {
		flags |= hasRetryAfter
	}
	if event.LimitReport != (policy.LimitReport{}) {
		flags |= hasLimitReport
	}
	e.byte(flags)
	e.messageID(event.MessageID)
	e.int(int64(event.Attempt))
	e.name(event.Endpoint)
	e.byte(byte(event.Outcome))
	e.int(int64(event.Latency))
	if flags&hasRetryAfter != 0 {
		e.int(int64(event.RetryAfter))
	}
	if flags&hasLimitReport != 0 {
		e.bool(event.LimitReport.Present)
		e.float(event.LimitReport.Remaining)
		e.float(event.LimitReport.Limit)
	}
}

func (e *encoder) endpoint(ep *policy.Endpoint) {
	var flags byte
	if ep.InService {
		flags |= endpointInService
	}
	if ep.Removed {
		flags |= endpointRemoved
	}
	if ep.Relisted {
		flags |= endpointRelisted
	}
	e.byte(flags)
	e.name(ep.ID)
	e.int(int64(ep.Destination))
	e.int(int64(ep.Kind))
	e.int(int64(ep.Zone))
	e.float(ep.Weight)
}

func (e *encoder) action(action *policy.Action) {
	e.byte(byte(action.Kind))
	switch action.Kind {
	case policy.Send:
		e.messageID(action.MessageID)
		e.name(action.Endpoint)
		e.int(int64(action.TimeoutAt))
	case policy.Reject, policy.Fail:
		e.messageID(action.MessageID)
		e.int(int64(action.Delay))
	case policy.SetTimer:
		e.int(int64(action.Delay))
	case policy.CloseIdle:
		e.name(action.Endpoint)
	case policy.RequestQuota:
		e.name(action.Endpoint)
		e.int(int64(action.Calls))
	}
}
