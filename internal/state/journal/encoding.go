package journal

import (
	"encoding/binary"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/policy"
)

// This file defines the encoding of the values and deltas in the store. A message is stored as a value: a version
// byte, the fields of the message, and the body, which extends to the end of the value. Integers are zigzag varints.
// Strings are preceded by their length as an unsigned varint. Each later change to a message is stored as a delta to
// its value: a kind byte and the fields of that kind.
//
// Fields that were added later are part of an extended string: see appendExtended. Programs of all versions can so read
// the messages of all others.

// Version bytes. Each value begins with one.
const (
	messageVersion = 1
	healthVersion  = 0x81 // endpoint health, as passed to Journal.SaveEndpointHealth
	anchorVersion  = 0x82 // anchor of the timeline (clock.Anchor)
	rulesVersion   = 0x83 // rules for new messages, as passed to Journal.SaveRules
)

// deltaKind is the first byte of a delta and identifies the change to the message.
type deltaKind byte

const (
	// deltaRemove occurs only in pending records and is never stored: a removed message is deleted from the store.
	deltaRemove deltaKind = iota
	deltaSend
	deltaNotRun
	deltaFinal
	deltaCancelled
	// deltaDelivered follows deltaCancelled, which alone makes earlier programs keep the message, too.
	deltaDelivered
)

// valueVersion returns the version byte of a value, or 0, which is not a version, if the value is empty.
func valueVersion(value []byte) byte {
	if len(value) == 0 {
		return 0
	}
	return value[0]
}

func appendVarint(b []byte, x int64) []byte { return binary.AppendVarint(b, x) }

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendAttempt appends the encoding of an attempt. The epoch of an undated attempt is encoded as 0.
func appendAttempt(b []byte, a *Attempt, timeline clock.Timeline) []byte {
	b = appendVarint(b, int64(a.Number))
	b = appendEndpoint(b, a)
	b = appendVarint(b, int64(a.Zone))
	b = appendVarint(b, timeline.Stamp(a.SentAt))
	if a.Undated {
		return appendVarint(b, 0)
	}
	return appendVarint(b, timeline.Epoch)
}

// appendEndpoint appends the id of an attempt's endpoint, extended by the name of its zone if that is known.
func appendEndpoint(b []byte, a *Attempt) []byte {
	if a.ZoneName == "" {
		return appendString(b, a.Endpoint)
	}
	return appendExtended(b, a.Endpoint, appendString(nil, a.ZoneName))
}

// readEndpoint reads the id of an attempt's endpoint, and the name of its zone if that is known.
func (r *reader) readEndpoint() (endpoint, zoneName string) {
	endpoint, fields, extended := r.readExtended()
	if !extended {
		return endpoint, ""
	}
	zoneName = fields.readString()
	if fields.failed {
		r.fail()
	}
	return endpoint, zoneName
}

func appendFinal(b []byte, answer *FinalAnswer) []byte {
	retryable := int64(0)
	if answer.Retryable {
		retryable = 1
	}
	b = appendVarint(b, retryable)
	return appendVarint(b, int64(answer.RetryAfter))
}

// appendHeader appends the encoding of all fields of a message except its body.
func (m *Message) appendHeader(b []byte, timeline clock.Timeline) []byte {
	b = append(b, messageVersion)
	b = appendVarint(b, int64(m.ID))
	b = appendVarint(b, int64(m.Class))
	b = appendVarint(b, int64(m.Tenant))
	b = appendVarint(b, int64(m.Destination))
	b = appendVarint(b, timeline.Stamp(m.Deadline))
	b = appendString(b, m.TraceID)
	b = appendString(b, m.IdempotencyKey)
	b = appendString(b, m.OrderingKey)
	b = appendClass(b, m)
	b = appendVarint(b, int64(m.Attempts))
	b = appendVarint(b, int64(len(m.UncertainAttempts)))
	for i := range m.UncertainAttempts {
		b = appendAttempt(b, &m.UncertainAttempts[i], timeline)
	}
	return b
}

// reader decodes fields in sequence. After a malformed field, failed is set, and that field and all later ones read
// as zero.
type reader struct {
	data     []byte // input that is not decoded yet
	timeline clock.Timeline
	shared   sharedTerms
	failed   bool
}

func (r *reader) fail() {
	r.failed = true
	r.data = nil
}

func (r *reader) readInt() int64 {
	x, size := binary.Varint(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	return x
}

func (r *reader) readString() string { return string(r.readBytes()) }

// readBytes reads a string without copying it.
func (r *reader) readBytes() []byte {
	length, prefix := binary.Uvarint(r.data)
	if prefix <= 0 || length > uint64(len(r.data)-prefix) {
		r.fail()
		return nil
	}
	end := prefix + int(length)
	data := r.data[prefix:end]
	r.data = r.data[end:]
	return data
}

func (r *reader) readTime() time.Time { return r.timeline.Time(r.readInt()) }

// readAttempt reads an attempt. It is marked as undated unless its epoch is known and is the current epoch.
func (r *reader) readAttempt() Attempt {
	a := Attempt{Number: int(r.readInt())}
	a.Endpoint, a.ZoneName = r.readEndpoint()
	a.Zone = int(r.readInt())
	a.SentAt = r.readTime()
	epoch := r.readInt()
	a.Undated = epoch == 0 || epoch != r.timeline.Epoch
	return a
}

// decodeMessage decodes a message. Messages with equal terms get the same pointer, which is kept in shared. It returns
// false if the value is not a message of a known version or is malformed.
func decodeMessage(value []byte, timeline clock.Timeline, shared sharedTerms) (*Message, bool) {
	if valueVersion(value) != messageVersion {
		return nil, false
	}
	r := &reader{data: value[1:], timeline: timeline, shared: shared}
	m := &Message{ // in the order in which appendHeader writes the fields
		ID:             policy.MessageID(r.readInt()),
		Class:          int(r.readInt()),
		Tenant:         int(r.readInt()),
		Destination:    policy.DestinationID(r.readInt()),
		Deadline:       r.readTime(),
		TraceID:        r.readString(),
		IdempotencyKey: r.readString(),
		OrderingKey:    r.readString(),
	}
	r.readClass(m)
	m.Attempts = int(r.readInt())
	count := r.readInt()
	if count < 0 || count > int64(len(r.data)) {
		return nil, false // an attempt takes more than a byte: without this check, damaged data could cause a huge loop
	}
	for range count {
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

// applyDelta decodes a delta and applies it to m. It returns false if the kind is unknown or the delta is malformed.
func (m *Message) applyDelta(delta []byte, timeline clock.Timeline) bool {
	if len(delta) == 0 {
		return false
	}
	r := &reader{data: delta[1:], timeline: timeline}
	switch deltaKind(delta[0]) {
	case deltaSend:
		attempt := r.readAttempt()
		if !r.failed {
			m.addAttempt(attempt)
		}
	case deltaNotRun:
		number := r.readInt()
		if !r.failed {
			m.removeAttempt(int(number))
		}
	case deltaFinal:
		answer := FinalAnswer{Retryable: r.readInt() == 1, RetryAfter: time.Duration(r.readInt())}
		if !r.failed {
			m.Final = &answer
		}
	case deltaCancelled:
		m.Cancelled = true
	case deltaDelivered:
		m.Delivered = true
	default:
		return false
	}
	return !r.failed && len(r.data) == 0
}

// encodeAnchor appends the encoding of an anchor.
func encodeAnchor(a *clock.Anchor, b []byte) []byte {
	b = append(b, anchorVersion)
	b = appendString(b, a.BootID)
	b = appendVarint(b, int64(a.Uptime))
	b = appendVarint(b, a.Stamp)
	b = appendVarint(b, int64(a.WallOffset))
	return appendVarint(b, a.Epoch)
}

// decodeAnchor decodes an anchor. It returns nil if the value is malformed.
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
