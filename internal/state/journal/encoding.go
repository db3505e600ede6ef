package journal

import (
	"encoding/binary"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

// The form of what is in the store. A value is a message: a version, then its fields as zigzag varints and strings with
// their lengths, then the body as the rest. A delta is a kind and its fields.

const (
	messageVersion = 1
	healthVersion  = 0x81 // the first byte of what Journal.Standing keeps
	anchorVersion  = 0x82 // and of an anchor of the journal's time
)

// The kinds of delta.
const (
	deltaSend byte = iota + 1
	deltaNotRun
	deltaFinal
	deltaCancelled
)

func appendVarint(b []byte, x int64) []byte { return binary.AppendVarint(b, x) }

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendAttempt writes an attempt.
func appendAttempt(b []byte, a *Attempt, x clock.Timeline) []byte {
	b = appendVarint(b, int64(a.Number))
	b = appendString(b, a.Endpoint)
	b = appendVarint(b, int64(a.Zone))
	b = appendVarint(b, x.Stamp(a.SentAt))
	if a.Undated {
		return appendVarint(b, 0)
	}
	return appendVarint(b, x.Epoch)
}

func appendFinal(b []byte, f *FinalAnswer) []byte {
	deferred := int64(0)
	if f.Retryable {
		deferred = 1
	}
	return appendVarint(appendVarint(b, deferred), int64(f.RetryAfter))
}

// encode appends all of a message but its body.
func (m *Message) encode(b []byte, x clock.Timeline) []byte {
	b = append(b, messageVersion)
	for _, x := range []int64{int64(m.ID), int64(m.Class), int64(m.Tenant), int64(m.Destination)} {
		b = appendVarint(b, x)
	}
	b = appendVarint(b, x.Stamp(m.Deadline))
	b = appendString(appendString(appendString(appendString(b, m.TraceID), m.IdempotencyKey), m.OrderingKey), m.ClassName)
	b = appendVarint(b, int64(m.Attempts))
	b = appendVarint(b, int64(len(m.UncertainAttempts)))
	for i := range m.UncertainAttempts {
		b = appendAttempt(b, &m.UncertainAttempts[i], x)
	}
	return b
}

// reader reads fields; the first that is not there makes all behind it zero and bad true.
type reader struct {
	data     []byte
	timeline clock.Timeline
	failed   bool
}

func (r *reader) readInt() int64 {
	x, n := binary.Varint(r.data)
	if n <= 0 {
		r.failed, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return x
}

func (r *reader) readString() string {
	n, k := binary.Uvarint(r.data)
	if k <= 0 || n > uint64(len(r.data)-k) {
		r.failed, r.data = true, nil
		return ""
	}
	s := string(r.data[k : k+int(n)])
	r.data = r.data[k+int(n):]
	return s
}

func (r *reader) readTime() time.Time { return r.timeline.Time(r.readInt()) }

func (r *reader) readAttempt() Attempt {
	a := Attempt{Number: int(r.readInt()), Endpoint: r.readString(), Zone: int(r.readInt()), SentAt: r.readTime()}
	epoch := r.readInt()
	a.Undated = epoch == 0 || epoch != r.timeline.Epoch
	return a
}

// decode reads a message; false if the value is none of this form.
func decode(value []byte, x clock.Timeline) (*Message, bool) {
	if len(value) == 0 || value[0] != messageVersion {
		return nil, false
	}
	r := &reader{data: value[1:], timeline: x}
	m := &Message{
		ID:          uint32(r.readInt()),
		Class:       int(r.readInt()),
		Tenant:      int(r.readInt()),
		Destination: int(r.readInt()),
		Deadline:    r.readTime(),
	}
	m.TraceID, m.IdempotencyKey, m.OrderingKey, m.ClassName = r.readString(), r.readString(), r.readString(), r.readString()
	m.Attempts = int(r.readInt())
	n := r.readInt()
	if n < 0 || n > int64(len(r.data)) {
		return nil, false
	}
	for range n {
		m.UncertainAttempts = append(m.UncertainAttempts, r.readAttempt())
	}
	if r.failed {
		return nil, false
	}
	if len(r.data) > 0 {
		m.Body = append([]byte(nil), r.data...)
	}
	return m, true
}

// apply applies a delta; false if it is none of this form.
func (m *Message) apply(delta []byte, x clock.Timeline) bool {
	if len(delta) == 0 {
		return false
	}
	r := &reader{data: delta[1:], timeline: x}
	switch delta[0] {
	case deltaSend:
		a := r.readAttempt()
		if !r.failed {
			m.addAttempt(a)
		}
	case deltaNotRun:
		if n := r.readInt(); !r.failed {
			m.removeAttempt(int(n))
		}
	case deltaFinal:
		f := FinalAnswer{Retryable: r.readInt() == 1, RetryAfter: time.Duration(r.readInt())}
		if !r.failed {
			m.Final = &f
		}
	case deltaCancelled:
		m.Cancelled = true
	default:
		return false
	}
	return !r.failed && len(r.data) == 0
}

// encodeAnchor writes an anchor.
func encodeAnchor(a *clock.Anchor, b []byte) []byte {
	b = appendVarint(appendString(append(b, anchorVersion), a.BootID), int64(a.Uptime))
	return appendVarint(appendVarint(appendVarint(b, a.Stamp), int64(a.WallOffset)), a.Epoch)
}

// decodeAnchor reads an anchor; nil if the value is none of this form.
func decodeAnchor(value []byte) *clock.Anchor {
	r := &reader{data: value[1:]}
	a := &clock.Anchor{
		BootID:     r.readString(),
		Uptime:     time.Duration(r.readInt()),
		Stamp:      r.readInt(),
		WallOffset: time.Duration(r.readInt()),
		Epoch:      r.readInt(),
	}
	if r.failed || len(r.data) > 0 {
		return nil
	}
	return a
}
