package flightrecorder

import (
	"encoding/binary"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// decoder decodes the frames of one chunk, one payload at a time. Values that it returns after the first error have no
// meaning.
type decoder struct {
	data    []byte   // what is left of the payload
	err     error    // the first error
	names   []string // the chunk's numbered strings; number n is at index n-1
	lastNow time.Duration
	lastID  policy.MessageID
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = errMalformedFrame
	}
	d.data = nil
}

func (d *decoder) uint() uint64 {
	value, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) int() int64 {
	value, n := binary.Varint(d.data)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) byte() byte {
	if len(d.data) == 0 {
		d.fail()
		return 0
	}
	value := d.data[0]
	d.data = d.data[1:]
	return value
}

func (d *decoder) bool() bool { return d.byte() != 0 }

func (d *decoder) float() float64 {
	if len(d.data) < float64Size {
		d.fail()
		return 0
	}
	value := math.Float64frombits(binary.LittleEndian.Uint64(d.data))
	d.data = d.data[float64Size:]
	return value
}

func (d *decoder) bytes() []byte {
	n := d.uint()
	if n > uint64(len(d.data)) {
		d.fail()
		return nil
	}
	value := d.data[:n]
	d.data = d.data[n:]
	return value
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

// now reads a time, which is encoded as the difference from the previous one.
func (d *decoder) now() time.Duration {
	d.lastNow += d.duration()
	return d.lastNow
}

func (d *decoder) duration() time.Duration { return time.Duration(d.int()) }

func (d *decoder) messageID() policy.MessageID {
	d.lastID = policy.MessageID(int64(d.lastID) + d.int())
	return d.lastID
}

// count reads the number of entries of a list. An entry takes at least one byte, so a count above the number of bytes
// left is malformed. This bounds the memory that a malformed count can claim.
func (d *decoder) count() int {
	n := d.uint()
	if n > uint64(len(d.data)) || n > maxEntries {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *decoder) event(event *policy.Event) {
	*event = policy.Event{Kind: policy.EventKind(d.byte())}
	switch event.Kind {
	case policy.MessageAccepted:
		d.messageAccepted(event)
	case policy.AttemptFinished, policy.HealthChecked:
		d.attemptFinished(event)
	case policy.MessageCancelled:
		event.MessageID = d.messageID()
	case policy.QuotaGranted:
		event.Destination = policy.DestinationID(d.int())
		event.Endpoint = d.name()
		event.ReservedFraction = d.float()
		event.GrantedCalls = int(d.int())
		event.TimeLeft = d.duration()
	case policy.EndpointSnapshot, policy.EndpointDelta:
		event.Endpoints = d.endpoints()
	case policy.WatchFailed, policy.TimerFired:
	default:
		d.fail()
	}
}

func (d *decoder) messageAccepted(event *policy.Event) {
	flags := d.byte()
	event.MessageID = d.messageID()
	event.Class = int(d.int())
	event.Tenant = int(d.int())
	event.Destination = policy.DestinationID(d.int())
	event.TimeLeft = d.duration()
	if flags&hasKey != 0 {
		event.Key = string(d.bytes())
	}
	if flags&hasRecovered == 0 {
		return
	}
	event.Recovered = &policy.RecoveredMessage{Attempts: int(d.int())}
	if flags&hasMayHaveRun != 0 {
		event.Recovered.MayHaveRun = true
		event.Recovered.SinceFirstRun = d.duration()
		event.Recovered.FirstRunZone = int(d.int())
	}
	if flags&hasTerms != 0 {
		event.Recovered.Terms = d.terms()
	}
}

// terms reads the terms of a recovered message.
func (d *decoder) terms() *policy.MessageTerms {
	flags := d.byte()
	return &policy.MessageTerms{
		Class: policy.Class{ // The fields are read in this order, which must be the encoder's.
			Ordered:          flags&termsOrdered != 0,
			DedupAllZones:    flags&termsDedupAllZones != 0,
			Effect:           policy.Effect(d.byte()),
			DedupWindow:      d.duration(),
			LatencyObjective: d.duration(),
			Deadline:         d.duration(),
			Weight:           d.float(),
		},
		MaxAttempts: int(d.int()),
	}
}

func (d *decoder) attemptFinished(event *policy.Event) {
	flags := d.byte()
	event.MessageID = d.messageID()
	event.Attempt = int(d.int())
	event.Endpoint = d.name()
	event.Outcome = policy.Outcome(d.byte())
	event.Latency = d.duration()
	event.MessageEnded = flags&hasMessageEnded != 0
	if flags&hasRetryAfter != 0 {
		event.RetryAfter = d.duration()
	}
	if flags&hasLimitReport != 0 {
		event.LimitReport.Present = d.bool()
		event.LimitReport.Remaining = d.float()
		event.LimitReport.Limit = d.float()
	}
}

func (d *decoder) endpoints() []policy.Endpoint {
	// An endpoint is larger in memory than in a frame: the limit bounds the memory that a malformed count can claim.
	const maxPreallocated = 1 << 16
	n := d.count()
	endpoints := make([]policy.Endpoint, 0, min(n, maxPreallocated))
	for range n {
		endpoints = append(endpoints, d.endpoint())
		if d.err != nil {
			break
		}
	}
	return endpoints
}

func (d *decoder) endpoint() policy.Endpoint {
	flags := d.byte()
	return policy.Endpoint{ // The fields are read in this order, which must be the encoder's.
		ID:          d.name(),
		Destination: policy.DestinationID(d.int()),
		Kind:        int(d.int()),
		Zone:        int(d.int()),
		Weight:      d.float(),
		InService:   flags&endpointInService != 0,
		Removed:     flags&endpointRemoved != 0,
		Relisted:    flags&endpointRelisted != 0,
	}
}

func (d *decoder) action(action *policy.Action) {
	*action = policy.Action{Kind: policy.ActionKind(d.byte())}
	switch action.Kind {
	case policy.Send:
		action.MessageID = d.messageID()
		action.Endpoint = d.name()
		action.TimeoutAt = d.duration()
	case policy.Reject, policy.Fail:
		action.MessageID = d.messageID()
		action.Delay = d.duration()
	case policy.SetTimer:
		action.Delay = d.duration()
	case policy.CloseIdle:
		action.Endpoint = d.name()
	case policy.RequestQuota:
		action.Endpoint = d.name()
		action.Calls = int(d.int())
	case policy.WatchEndpoints:
	default:
		d.fail()
	}
}

// step reads the time, events and actions of a step.
func (d *decoder) step(e *Entry) {
	e.Now = d.now()
	e.Events = readList(d, d.event)
	e.Actions = readList(d, d.action)
}

// readList reads a count and that many entries. It stops at the first malformed entry.
func readList[T any](d *decoder, read func(*T)) []T {
	n := d.count()
	if n == 0 {
		return nil
	}
	list := make([]T, n)
	for i := range list {
		read(&list[i])
		if d.err != nil {
			break
		}
	}
	return list
}

// rest returns the bytes of the payload that were not read yet.
func (d *decoder) rest() []byte {
	rest := d.data
	d.data = nil
	return rest
}
