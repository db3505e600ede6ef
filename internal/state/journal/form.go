package journal

import (
	"encoding/binary"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

// The form of what is in the store. A value is a message: a version, then its fields as zigzag varints and strings with
// their lengths, then the body as the rest. A delta is a kind and its fields.

const (
	version         = 1
	standingVersion = 0x81 // the first byte of what Journal.Standing keeps
	anchorVersion   = 0x82 // and of an anchor of the journal's time
)

// The kinds of delta.
const (
	deltaSend byte = iota + 1
	deltaNeverRan
	deltaFinal
	deltaWithdrawn
)

func appendInt(b []byte, x int64) []byte { return binary.AppendVarint(b, x) }

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendAttempt writes an attempt.
func appendAttempt(b []byte, a *Attempt, x clock.Timeline) []byte {
	b = appendInt(b, int64(a.Number))
	b = appendText(b, a.Endpoint)
	b = appendInt(b, int64(a.Zone))
	b = appendInt(b, x.Stamp(a.SentAt))
	if a.Undated {
		return appendInt(b, 0)
	}
	return appendInt(b, x.Epoch)
}

func appendFinal(b []byte, f *FinalAnswer) []byte {
	deferred := int64(0)
	if f.Retryable {
		deferred = 1
	}
	return appendInt(appendInt(b, deferred), int64(f.RetryAfter))
}

// encode appends all of a message but its body.
func (m *Message) encode(b []byte, x clock.Timeline) []byte {
	b = append(b, version)
	for _, x := range []int64{int64(m.ID), int64(m.Class), int64(m.Tenant), int64(m.Destination)} {
		b = appendInt(b, x)
	}
	b = appendInt(b, x.Stamp(m.Deadline))
	b = appendText(appendText(appendText(appendText(b, m.TraceID), m.IdempotencyKey), m.OrderingKey), m.ClassName)
	b = appendInt(b, int64(m.Attempts))
	b = appendInt(b, int64(len(m.UncertainAttempts)))
	for i := range m.UncertainAttempts {
		b = appendAttempt(b, &m.UncertainAttempts[i], x)
	}
	return b
}

// reader reads fields; the first that is not there makes all behind it zero and bad true.
type reader struct {
	data []byte
	axis clock.Timeline
	bad  bool
}

func (r *reader) int() int64 {
	x, n := binary.Varint(r.data)
	if n <= 0 {
		r.bad, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return x
}

func (r *reader) text() string {
	n, k := binary.Uvarint(r.data)
	if k <= 0 || n > uint64(len(r.data)-k) {
		r.bad, r.data = true, nil
		return ""
	}
	s := string(r.data[k : k+int(n)])
	r.data = r.data[k+int(n):]
	return s
}

func (r *reader) time() time.Time { return r.axis.Time(r.int()) }

func (r *reader) attempt() Attempt {
	a := Attempt{Number: int(r.int()), Endpoint: r.text(), Zone: int(r.int()), SentAt: r.time()}
	epoch := r.int()
	a.Undated = epoch == 0 || epoch != r.axis.Epoch
	return a
}

// decode reads a message; false if the value is none of this form.
func decode(value []byte, x clock.Timeline) (*Message, bool) {
	if len(value) == 0 || value[0] != version {
		return nil, false
	}
	r := &reader{data: value[1:], axis: x}
	m := &Message{
		ID:          uint32(r.int()),
		Class:       int(r.int()),
		Tenant:      int(r.int()),
		Destination: int(r.int()),
		Deadline:    r.time(),
	}
	m.TraceID, m.IdempotencyKey, m.OrderingKey, m.ClassName = r.text(), r.text(), r.text(), r.text()
	m.Attempts = int(r.int())
	n := r.int()
	if n < 0 || n > int64(len(r.data)) {
		return nil, false
	}
	for range n {
		m.UncertainAttempts = append(m.UncertainAttempts, r.attempt())
	}
	if r.bad {
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
	r := &reader{data: delta[1:], axis: x}
	switch delta[0] {
	case deltaSend:
		a := r.attempt()
		if !r.bad {
			m.sent(a)
		}
	case deltaNeverRan:
		if n := r.int(); !r.bad {
			m.neverRan(int(n))
		}
	case deltaFinal:
		f := FinalAnswer{Retryable: r.int() == 1, RetryAfter: time.Duration(r.int())}
		if !r.bad {
			m.Final = &f
		}
	case deltaWithdrawn:
		m.Cancelled = true
	default:
		return false
	}
	return !r.bad && len(r.data) == 0
}

// encodeAnchor writes an anchor.
func encodeAnchor(a *clock.Anchor, b []byte) []byte {
	b = appendInt(appendText(append(b, anchorVersion), a.BootID), int64(a.Uptime))
	return appendInt(appendInt(appendInt(b, a.At), int64(a.WallOffset)), a.Epoch)
}

// decodeAnchor reads an anchor; nil if the value is none of this form.
func decodeAnchor(value []byte) *clock.Anchor {
	r := &reader{data: value[1:]}
	a := &clock.Anchor{
		BootID:     r.text(),
		Uptime:     time.Duration(r.int()),
		At:         r.int(),
		WallOffset: time.Duration(r.int()),
		Epoch:      r.int(),
	}
	if r.bad || len(r.data) > 0 {
		return nil
	}
	return a
}
