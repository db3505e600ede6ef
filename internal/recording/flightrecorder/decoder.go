package flightrecorder

import (
	"encoding/binary"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// decoder reads one frame's payload. The first error is kept; whatever it returns after one is zero.
type decoder struct {
	data    []byte
	err     error
	names   []string
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
	if len(d.data) < float64Size {
		d.fail()
		return 0
	}
	x := math.Float64frombits(binary.LittleEndian.Uint64(d.data))
	d.data = d.data[float64Size:]
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

// now reads a time, which is written as its difference to the last one.
func (d *decoder) now() time.Duration {
	d.lastNow += d.duration()
	return d.lastNow
}

func (d *decoder) duration() time.Duration { return time.Duration(d.int()) }

func (d *decoder) messageID() policy.MessageID {
	d.lastID = policy.MessageID(int64(d.lastID) + d.int())
	return d.lastID
}

// count reads how many entries follow. Each takes at least a byte, so that no length asks for more memory than the
// frame could fill.
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
		d.messageAccepted(x)
	case policy.AttemptFinished, policy.HealthChecked:
		d.attemptFinished(x)
	case policy.MessageCancelled:
		x.MessageID = d.messageID()
	case policy.QuotaGranted:
		x.Destination = policy.DestinationID(d.int())
		x.Endpoint = d.name()
		x.ReservedFraction = d.float()
		x.GrantedCalls = int(d.int())
		x.TimeLeft = d.duration()
	case policy.EndpointSnapshot, policy.EndpointDelta:
		x.Endpoints = d.endpoints()
	case policy.WatchFailed, policy.TimerFired:
	default:
		d.fail()
	}
}

func (d *decoder) messageAccepted(x *policy.Event) {
	flags := d.byte()
	x.MessageID = d.messageID()
	x.Class = int(d.int())
	x.Tenant = int(d.int())
	x.Destination = policy.DestinationID(d.int())
	x.TimeLeft = d.duration()
	if flags&hasKey != 0 {
		x.Key = string(d.bytes())
	}
	if flags&hasRecovered == 0 {
		return
	}
	x.Recovered = &policy.RecoveredMessage{Attempts: int(d.int())}
	if flags&hasMayHaveRun != 0 {
		x.Recovered.MayHaveRun = true
		x.Recovered.SinceFirstRun = d.duration()
		x.Recovered.FirstRunZone = int(d.int())
	}
}

func (d *decoder) attemptFinished(x *policy.Event) {
	flags := d.byte()
	x.MessageID = d.messageID()
	x.Attempt = int(d.int())
	x.Endpoint = d.name()
	x.Outcome = policy.Outcome(d.byte())
	x.Latency = d.duration()
	x.MessageEnded = flags&hasMessageEnded != 0
	if flags&hasRetryAfter != 0 {
		x.RetryAfter = d.duration()
	}
	if flags&hasLimitReport != 0 {
		x.LimitReport.Present = d.bool()
		x.LimitReport.Remaining = d.float()
		x.LimitReport.Limit = d.float()
	}
}

func (d *decoder) endpoints() []policy.Endpoint {
	const maxPreallocated = 1 << 16 // entries are larger in memory than in a frame: a false count must not cost much
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
	var ep policy.Endpoint
	ep.InService = flags&endpointInService != 0
	ep.Removed = flags&endpointRemoved != 0
	ep.Relisted = flags&endpointRelisted != 0
	ep.ID = d.name()
	ep.Destination = policy.DestinationID(d.int())
	ep.Kind = int(d.int())
	ep.Zone = int(d.int())
	ep.Weight = d.float()
	return ep
}

func (d *decoder) action(a *policy.Action) {
	*a = policy.Action{Kind: policy.ActionKind(d.byte())}
	switch a.Kind {
	case policy.Send:
		a.MessageID = d.messageID()
		a.Endpoint = d.name()
		a.TimeoutAt = d.duration()
	case policy.Reject, policy.Fail:
		a.MessageID = d.messageID()
		a.Delay = d.duration()
	case policy.SetTimer:
		a.Delay = d.duration()
	case policy.CloseIdle:
		a.Endpoint = d.name()
	case policy.RequestQuota:
		a.Endpoint = d.name()
		a.Calls = int(d.int())
	case policy.WatchEndpoints:
	default:
		d.fail()
	}
}

// step reads the time, events and actions of a step.
func (d *decoder) step(e *Entry) {
	e.Now = d.now()
	if n := d.count(); n > 0 {
		e.Events = make([]policy.Event, n)
	}
	for i := range e.Events {
		d.event(&e.Events[i])
		if d.err != nil {
			return
		}
	}
	if n := d.count(); n > 0 {
		e.Actions = make([]policy.Action, n)
	}
	for i := range e.Actions {
		d.action(&e.Actions[i])
		if d.err != nil {
			return
		}
	}
}

// rest returns all that is left of the payload.
func (d *decoder) rest() []byte {
	rest := d.data
	d.data = nil
	return rest
}
