// Package codec writes what relays tell each other as CBOR (RFC 8949), and reads it with bounds. It is pure.
//
// How the form is extended: every struct is a map with whole numbers as keys. A new field gets a new key, which older
// programs pass over; a key is never used for anything else. What older programs must not pass over raises Needs: they
// refuse such a message, count it, and go on with the others.
package codec

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// Version is the newest form that this program reads in full.
const Version = 1

const (
	// MaxMessageSize bounds a message, in bytes, MaxReports its pages.
	MaxMessageSize = 1 << 20
	MaxReports     = 1 << 14
)

// ErrUnsupportedVersion tells that a message cannot be understood without a newer program.
var ErrUnsupportedVersion = errors.New("codec: the message needs a newer program")

// Message is what one relay sends another. Clock is the sender's own monotonic time when it was written.
type Message struct {
	RequiredVersion int              `cbor:"0,keyasint,omitempty"` // 0: form 1
	From            string           `cbor:"1,keyasint"`
	Boot            uint32           `cbor:"2,keyasint"`
	Clock           int64            `cbor:"3,keyasint"` // microseconds
	EncodedReports  []report         `cbor:"4,keyasint,omitempty"`
	Digest          []memberVersions `cbor:"5,keyasint,omitempty"`
	WantsReports    bool             `cbor:"6,keyasint,omitempty"` // to be sent what Digest lacks, which may be empty
	Ping            bool             `cbor:"7,keyasint,omitempty"` // asks for an answer at once
	Pong            *Pong            `cbor:"8,keyasint,omitempty"` // is one
	EncodedQuota    *quotaMessage    `cbor:"9,keyasint,omitempty"` // for the receiver alone; Clock is then when it was decided
}

type quotaMessage struct {
	Generation      uint64         `cbor:"1,keyasint"`
	Seq             uint64         `cbor:"2,keyasint"`
	AckedSeq        uint64         `cbor:"3,keyasint,omitempty"`
	AckedGeneration uint64         `cbor:"4,keyasint,omitempty"`
	AckedBoot       uint32         `cbor:"5,keyasint,omitempty"`
	Ping            bool           `cbor:"6,keyasint,omitempty"`
	Leases          []lease        `cbor:"7,keyasint,omitempty"`
	Requests        []quotaRequest `cbor:"8,keyasint,omitempty"`
	Grants          []grant        `cbor:"9,keyasint,omitempty"`
	AsksForLeases   bool           `cbor:"10,keyasint,omitempty"`
	HoldsNoLease    bool           `cbor:"11,keyasint,omitempty"`
}

type lease struct {
	Destination int     `cbor:"1,keyasint,omitempty"`
	Endpoint    string  `cbor:"2,keyasint,omitempty"`
	Rate        float64 `cbor:"3,keyasint,omitempty"`
	Delivered   uint32  `cbor:"4,keyasint,omitempty"`
	Rejected    uint32  `cbor:"5,keyasint,omitempty"`
}

type quotaRequest struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint,omitempty"`
	Delivered   uint32 `cbor:"5,keyasint,omitempty"`
	Rejected    uint32 `cbor:"6,keyasint,omitempty"`
}

type grant struct {
	Destination int    `cbor:"1,keyasint,omitempty"`
	Endpoint    string `cbor:"2,keyasint,omitempty"`
	ID          uint32 `cbor:"3,keyasint"`
	Calls       int    `cbor:"4,keyasint"`
}

// Pong answers a Ping: with whose it was, and when that was sent by its own clock.
type Pong struct {
	Boot  uint32 `cbor:"1,keyasint"`
	Clock int64  `cbor:"2,keyasint"` // microseconds
}

type report struct {
	Name       string      `cbor:"1,keyasint"`
	Generation uint64      `cbor:"2,keyasint"`
	Boot       uint32      `cbor:"3,keyasint"`
	Number     int         `cbor:"4,keyasint,omitempty"`
	Sequence   uint64      `cbor:"5,keyasint"`
	Age        uint64      `cbor:"6,keyasint,omitempty"` // milliseconds
	Scopes     []scopeLoad `cbor:"7,keyasint,omitempty"`
}

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

type memberVersions struct {
	Name       string         `cbor:"1,keyasint"`
	Generation uint64         `cbor:"2,keyasint"`
	Boot       uint32         `cbor:"3,keyasint"`
	Sequences  map[int]uint64 `cbor:"4,keyasint,omitempty"`
}

// Codec encodes and decodes. It may be used from any goroutine.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// New returns a Codec.
func New() (*Codec, error) {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical, ShortestFloat: cbor.ShortestFloat16, NaNConvert: cbor.NaNConvertReject, InfConvert: cbor.InfConvertReject,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: MaxReports, MaxMapPairs: MaxReports,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return &Codec{enc, dec}, nil
}

// Encode writes a message.
func (c *Codec) Encode(m Message) ([]byte, error) {
	data, err := c.enc.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("codec: %w", err)
	}
	return data, nil
}

// Decode reads a message. What its pages tell is checked by the ledger.
func (c *Codec) Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageSize {
		return Message{}, fmt.Errorf("codec: a message of %d bytes, %d at most", len(data), MaxMessageSize)
	}
	var m Message
	if err := c.dec.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("codec: %w", err)
	}
	if m.RequiredVersion > Version {
		return Message{}, fmt.Errorf("%w: form %d, this one reads %d", ErrUnsupportedVersion, m.RequiredVersion, Version)
	}
	return m, nil
}

// SetReports puts pages into a message.
func (m *Message) SetReports(pages ...loadreport.Report) {
	m.EncodedReports = make([]report, 0, len(pages))
	for _, p := range pages {
		q := report{p.Name, p.Generation, p.Boot, p.Number, p.Sequence, toMilliseconds(p.Age), make([]scopeLoad, 0, len(p.Scopes))}
		for _, c := range p.Scopes {
			q.Scopes = append(q.Scopes, scopeLoad{
				c.Destination, c.Endpoint, c.Demand, c.Calls, c.Rejections, c.Deliveries, c.Failures, c.Backlog, toMilliseconds(c.RetryAfter), c.WarmingUp,
			})
		}
		m.EncodedReports = append(m.EncodedReports, q)
	}
}

// Reports are the pages of a message.
func (m Message) Reports() []loadreport.Report {
	pages := make([]loadreport.Report, 0, len(m.EncodedReports))
	for _, p := range m.EncodedReports {
		q := loadreport.Report{
			Name: p.Name, Incarnation: loadreport.Incarnation{Generation: p.Generation, Boot: p.Boot}, Number: p.Number, Sequence: p.Sequence, Age: fromMilliseconds(p.Age),
		}
		for _, c := range p.Scopes {
			q.Scopes = append(q.Scopes, loadreport.ScopeLoad{
				Destination: c.Destination, Endpoint: c.Endpoint, Demand: c.Demand, Calls: c.Calls, Rejections: c.Rejections, Deliveries: c.Deliveries,
				Failures: c.Failures, Backlog: c.Backlog, RetryAfter: fromMilliseconds(c.RetryAfter), WarmingUp: c.WarmingUp,
			})
		}
		pages = append(pages, q)
	}
	return pages
}

// toMilliseconds rounds up: what is told is rather older, and a wait rather longer.
func toMilliseconds(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// fromMilliseconds is that of so many milliseconds. One that is too long is below zero, which every bound refuses.
func fromMilliseconds(ms uint64) time.Duration {
	if ms > math.MaxInt64/uint64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// SetDigest puts a digest into a message.
func (m *Message) SetDigest(d loadreport.Digest) {
	for name, v := range d {
		m.Digest = append(m.Digest, memberVersions{name, v.Generation, v.Boot, v.Sequences})
	}
}

// ReportDigest is the digest of a message.
func (m Message) ReportDigest() loadreport.Digest {
	d := loadreport.Digest{}
	for _, v := range m.Digest {
		d[v.Name] = loadreport.MemberVersions{
			Incarnation: loadreport.Incarnation{Generation: v.Generation, Boot: v.Boot},
			Sequences:   v.Sequences,
		}
	}
	return d
}

// SetQuotaMessage puts what one member tells another of rights into a message.
func (m *Message) SetQuotaMessage(r quota.Message) {
	n := &quotaMessage{
		Generation:      r.Generation,
		Seq:             r.Seq,
		AckedSeq:        r.AckedSeq,
		AckedGeneration: r.AckedIncarnation.Generation,
		AckedBoot:       r.AckedIncarnation.Boot,
		Ping:            r.Ping,
		AsksForLeases:   r.AsksForLeases,
		HoldsNoLease:    r.HoldsNoLease,
	}
	for _, l := range r.Leases {
		n.Leases = append(n.Leases, lease{l.Scope.Destination, l.Scope.Endpoint, l.Rate, l.Delivered, l.Rejected})
	}
	for _, q := range r.Requests {
		n.Requests = append(n.Requests, quotaRequest{q.Scope.Destination, q.Scope.Endpoint, q.ID, q.Calls, q.Delivered, q.Rejected})
	}
	for _, g := range r.Grants {
		n.Grants = append(n.Grants, grant{g.Scope.Destination, g.Scope.Endpoint, g.ID, g.Calls})
	}
	m.EncodedQuota = n
}

// QuotaMessage is what a message tells of rights; what it tells is checked by package rights.
func (m Message) QuotaMessage() quota.Message {
	n := m.EncodedQuota
	r := quota.Message{
		Member: m.From, Incarnation: loadreport.Incarnation{Generation: n.Generation, Boot: m.Boot}, Seq: n.Seq, AckedSeq: n.AckedSeq,
		AckedIncarnation: loadreport.Incarnation{
			Generation: n.AckedGeneration,
			Boot:       n.AckedBoot,
		}, Ping: n.Ping, AsksForLeases: n.AsksForLeases, HoldsNoLease: n.HoldsNoLease,
	}
	for _, l := range n.Leases {
		r.Leases = append(
			r.Leases,
			quota.Lease{
				Scope:     quota.Scope{Destination: l.Destination, Endpoint: l.Endpoint},
				Rate:      l.Rate,
				Delivered: l.Delivered,
				Rejected:  l.Rejected,
			},
		)
	}
	for _, q := range n.Requests {
		r.Requests = append(
			r.Requests,
			quota.Request{
				Scope:     quota.Scope{Destination: q.Destination, Endpoint: q.Endpoint},
				ID:        q.ID,
				Calls:     q.Calls,
				Delivered: q.Delivered,
				Rejected:  q.Rejected,
			},
		)
	}
	for _, g := range n.Grants {
		r.Grants = append(
			r.Grants,
			quota.Grant{Scope: quota.Scope{Destination: g.Destination, Endpoint: g.Endpoint}, ID: g.ID, Calls: g.Calls},
		)
	}
	return r
}
