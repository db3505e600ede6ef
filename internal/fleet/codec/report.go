package codec

import (
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// report is a loadreport.Report on the wire.
type report struct {
	Name       string      `cbor:"1,keyasint"`
	Generation uint64      `cbor:"2,keyasint"`
	Boot       uint32      `cbor:"3,keyasint"`
	Number     int         `cbor:"4,keyasint,omitempty"`
	Sequence   uint64      `cbor:"5,keyasint"`
	Age        uint64      `cbor:"6,keyasint,omitempty"` // milliseconds
	Scopes     []scopeLoad `cbor:"7,keyasint,omitempty"`
}

// scopeLoad is a loadreport.ScopeLoad on the wire.
type scopeLoad struct {
	Destination int     `cbor:"1,keyasint"`
	Endpoint    string  `cbor:"2,keyasint,omitempty"`
	Demand      float64 `cbor:"3,keyasint,omitempty"`
	Calls       float64 `cbor:"4,keyasint,omitempty"`
	Rejections  float64 `cbor:"5,keyasint,omitempty"`
	Deliveries  float64 `cbor:"6,keyasint,omitempty"`
	Failures    float64 `cbor:"7,keyasint,omitempty"`
	Backlog     int     `cbor:"8,keyasint,omitempty"`
	RetryAfter  uint64  `cbor:"9,keyasint,omitempty"` // milliseconds
	WarmingUp   bool    `cbor:"10,keyasint,omitempty"`
}

// memberVersions is one member of a loadreport.Digest on the wire.
type memberVersions struct {
	Name       string         `cbor:"1,keyasint"`
	Generation uint64         `cbor:"2,keyasint"`
	Boot       uint32         `cbor:"3,keyasint"`
	Sequences  map[int]uint64 `cbor:"4,keyasint,omitempty"` // by report number
}

// SetReports puts reports into the message.
func (m *Message) SetReports(reports ...loadreport.Report) {
	m.EncodedReports = convertEach(reports, encodeReport)
}

// Reports returns the message's reports.
func (m Message) Reports() []loadreport.Report {
	return convertEach(m.EncodedReports, report.decode)
}

func encodeReport(r loadreport.Report) report {
	return report{
		Name:       r.Name,
		Generation: r.Generation,
		Boot:       r.Boot,
		Number:     r.Number,
		Sequence:   r.Sequence,
		Age:        toMilliseconds(r.Age),
		Scopes:     convertEach(r.Scopes, encodeScopeLoad),
	}
}

func (r report) decode() loadreport.Report {
	return loadreport.Report{
		Name:        r.Name,
		Incarnation: loadreport.Incarnation{Generation: r.Generation, Boot: r.Boot},
		Number:      r.Number,
		Sequence:    r.Sequence,
		Age:         fromMilliseconds(r.Age),
		Scopes:      convertEach(r.Scopes, scopeLoad.decode),
	}
}

func encodeScopeLoad(load loadreport.ScopeLoad) scopeLoad {
	return scopeLoad{
		Destination: int(load.Destination),
		Endpoint:    load.Endpoint,
		Demand:      load.Demand,
		Calls:       load.Calls,
		Rejections:  load.Rejections,
		Deliveries:  load.Deliveries,
		Failures:    load.Failures,
		Backlog:     load.Backlog,
		RetryAfter:  toMilliseconds(load.RetryAfter),
		WarmingUp:   load.WarmingUp,
	}
}

func (l scopeLoad) decode() loadreport.ScopeLoad {
	return loadreport.ScopeLoad{
		Destination: policy.DestinationID(l.Destination),
		Endpoint:    l.Endpoint,
		Demand:      l.Demand,
		Calls:       l.Calls,
		Rejections:  l.Rejections,
		Deliveries:  l.Deliveries,
		Failures:    l.Failures,
		Backlog:     l.Backlog,
		RetryAfter:  fromMilliseconds(l.RetryAfter),
		WarmingUp:   l.WarmingUp,
	}
}

// SetDigest puts a digest into the message.
func (m *Message) SetDigest(digest loadreport.Digest) {
	for name, versions := range digest {
		m.Digest = append(m.Digest, memberVersions{name, versions.Generation, versions.Boot, versions.Sequences})
	}
}

// ReportDigest returns the message's digest.
func (m Message) ReportDigest() loadreport.Digest {
	digest := loadreport.Digest{}
	for _, versions := range m.Digest {
		digest[versions.Name] = loadreport.MemberVersions{
			Incarnation: loadreport.Incarnation{Generation: versions.Generation, Boot: versions.Boot},
			Sequences:   versions.Sequences,
		}
	}
	return digest
}

// toMilliseconds rounds up, so that a received age or Retry-After is never shorter than the one that was sent.
func toMilliseconds(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// fromMilliseconds returns -1 for a value that a duration cannot hold. The checks of received reports reject any
// negative duration.
func fromMilliseconds(ms uint64) time.Duration {
	if ms > math.MaxInt64/uint64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}
