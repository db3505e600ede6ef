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

// ErrNewer tells that a message cannot be understood without a newer program.
var ErrNewer = errors.New("codec: the message needs a newer program")

// Message is what one relay sends another. Clock is the sender's own monotonic time when it was written.
type Message struct {
	RequiredVersion int           `cbor:"0,keyasint,omitempty"` // 0: form 1
	From            string        `cbor:"1,keyasint"`
	Boot            uint32        `cbor:"2,keyasint"`
	Clock           int64         `cbor:"3,keyasint"` // microseconds
	EncodedReports  []page        `cbor:"4,keyasint,omitempty"`
	Digest          []memberPages `cbor:"5,keyasint,omitempty"`
	WantsReports    bool          `cbor:"6,keyasint,omitempty"` // to be sent what Digest lacks, which may be empty
	Ping            bool          `cbor:"7,keyasint,omitempty"` // asks for an answer at once
	Pong            *Pong         `cbor:"8,keyasint,omitempty"` // is one
	EncodedQuota    *rightsNote   `cbor:"9,keyasint,omitempty"` // for the receiver alone; Clock is then when it was decided
}

type rightsNote struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Seq         uint64 `cbor:"2,keyasint"`
	Seen        uint64 `cbor:"3,keyasint,omitempty"`
	OfInc       uint64 `cbor:"4,keyasint,omitempty"`
	OfBoot      uint32 `cbor:"5,keyasint,omitempty"`
	Ping        bool   `cbor:"6,keyasint,omitempty"`
	Loans       []loan `cbor:"7,keyasint,omitempty"`
	Asks        []ask  `cbor:"8,keyasint,omitempty"`
	Gives       []give `cbor:"9,keyasint,omitempty"`
	New         bool   `cbor:"10,keyasint,omitempty"`
	None        bool   `cbor:"11,keyasint,omitempty"`
}

type loan struct {
	Dest    int     `cbor:"1,keyasint,omitempty"`
	Route   string  `cbor:"2,keyasint,omitempty"`
	Rate    float64 `cbor:"3,keyasint,omitempty"`
	Done    uint32  `cbor:"4,keyasint,omitempty"`
	Refused uint32  `cbor:"5,keyasint,omitempty"`
}

type ask struct {
	Dest    int    `cbor:"1,keyasint,omitempty"`
	Route   string `cbor:"2,keyasint,omitempty"`
	ID      uint32 `cbor:"3,keyasint"`
	N       int    `cbor:"4,keyasint,omitempty"`
	Done    uint32 `cbor:"5,keyasint,omitempty"`
	Refused uint32 `cbor:"6,keyasint,omitempty"`
}

type give struct {
	Dest  int    `cbor:"1,keyasint,omitempty"`
	Route string `cbor:"2,keyasint,omitempty"`
	ID    uint32 `cbor:"3,keyasint"`
	N     int    `cbor:"4,keyasint"`
}

// Pong answers a Ping: with whose it was, and when that was sent by its own clock.
type Pong struct {
	Boot  uint32 `cbor:"1,keyasint"`
	Clock int64  `cbor:"2,keyasint"` // microseconds
}

type page struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Boot        uint32 `cbor:"3,keyasint"`
	Number      int    `cbor:"4,keyasint,omitempty"`
	Sequence    uint64 `cbor:"5,keyasint"`
	Age         uint64 `cbor:"6,keyasint,omitempty"` // milliseconds
	Cells       []cell `cbor:"7,keyasint,omitempty"`
}

type cell struct {
	Dest       int     `cbor:"1,keyasint"`
	Route      string  `cbor:"2,keyasint,omitempty"`
	Demand     float64 `cbor:"3,keyasint,omitempty"`
	Calls      float64 `cbor:"4,keyasint,omitempty"`
	Refusals   float64 `cbor:"5,keyasint,omitempty"`
	Deliveries float64 `cbor:"6,keyasint,omitempty"`
	Failures   float64 `cbor:"7,keyasint,omitempty"`
	Backlog    int     `cbor:"8,keyasint,omitempty"`
	Wait       uint64  `cbor:"9,keyasint,omitempty"` // milliseconds
	Cold       bool    `cbor:"10,keyasint,omitempty"`
}

type memberPages struct {
	Name        string         `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Boot        uint32         `cbor:"3,keyasint"`
	Pages       map[int]uint64 `cbor:"4,keyasint,omitempty"`
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
		return Message{}, fmt.Errorf("%w: form %d, this one reads %d", ErrNewer, m.RequiredVersion, Version)
	}
	return m, nil
}

// SetReports puts pages into a message.
func (m *Message) SetReports(pages ...loadreport.Report) {
	m.EncodedReports = make([]page, 0, len(pages))
	for _, p := range pages {
		q := page{p.Name, p.Generation, p.Boot, p.Number, p.Sequence, millis(p.Age), make([]cell, 0, len(p.Scopes))}
		for _, c := range p.Scopes {
			q.Cells = append(q.Cells, cell{
				c.Destination, c.Endpoint, c.Demand, c.Calls, c.Rejections, c.Deliveries, c.Failures, c.Backlog, millis(c.RetryAfter), c.WarmingUp,
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
			Name: p.Name, Incarnation: loadreport.Incarnation{Generation: p.Incarnation, Boot: p.Boot}, Number: p.Number, Sequence: p.Sequence, Age: duration(p.Age),
		}
		for _, c := range p.Cells {
			q.Scopes = append(q.Scopes, loadreport.ScopeLoad{
				Destination: c.Dest, Endpoint: c.Route, Demand: c.Demand, Calls: c.Calls, Rejections: c.Refusals, Deliveries: c.Deliveries,
				Failures: c.Failures, Backlog: c.Backlog, RetryAfter: duration(c.Wait), WarmingUp: c.Cold,
			})
		}
		pages = append(pages, q)
	}
	return pages
}

// millis rounds up: what is told is rather older, and a wait rather longer.
func millis(d time.Duration) uint64 {
	return uint64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// duration is that of so many milliseconds. One that is too long is below zero, which every bound refuses.
func duration(ms uint64) time.Duration {
	if ms > math.MaxInt64/uint64(time.Millisecond) {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

// SetDigest puts a digest into a message.
func (m *Message) SetDigest(d loadreport.Digest) {
	for name, v := range d {
		m.Digest = append(m.Digest, memberPages{name, v.Generation, v.Boot, v.Sequences})
	}
}

// ReportDigest is the digest of a message.
func (m Message) ReportDigest() loadreport.Digest {
	d := loadreport.Digest{}
	for _, v := range m.Digest {
		d[v.Name] = loadreport.MemberVersions{
			Incarnation: loadreport.Incarnation{Generation: v.Incarnation, Boot: v.Boot},
			Sequences:   v.Pages,
		}
	}
	return d
}

// SetQuotaMessage puts what one member tells another of rights into a message.
func (m *Message) SetQuotaMessage(r quota.Message) {
	n := &rightsNote{
		Incarnation: r.Generation,
		Seq:         r.Seq,
		Seen:        r.AckedSeq,
		OfInc:       r.AckedIncarnation.Generation,
		OfBoot:      r.AckedIncarnation.Boot,
		Ping:        r.Ping,
		New:         r.AsksForLeases,
		None:        r.HoldsNoLease,
	}
	for _, l := range r.Leases {
		n.Loans = append(n.Loans, loan{l.Scope.Destination, l.Scope.Endpoint, l.Rate, l.Delivered, l.Rejected})
	}
	for _, q := range r.Requests {
		n.Asks = append(n.Asks, ask{q.Scope.Destination, q.Scope.Endpoint, q.ID, q.Calls, q.Delivered, q.Rejected})
	}
	for _, g := range r.Grants {
		n.Gives = append(n.Gives, give{g.Scope.Destination, g.Scope.Endpoint, g.ID, g.Calls})
	}
	m.EncodedQuota = n
}

// QuotaMessage is what a message tells of rights; what it tells is checked by package rights.
func (m Message) QuotaMessage() quota.Message {
	n := m.EncodedQuota
	r := quota.Message{
		Member: m.From, Incarnation: loadreport.Incarnation{Generation: n.Incarnation, Boot: m.Boot}, Seq: n.Seq, AckedSeq: n.Seen,
		AckedIncarnation: loadreport.Incarnation{
			Generation: n.OfInc,
			Boot:       n.OfBoot,
		}, Ping: n.Ping, AsksForLeases: n.New, HoldsNoLease: n.None,
	}
	for _, l := range n.Loans {
		r.Leases = append(
			r.Leases,
			quota.Lease{
				Scope:     quota.Scope{Destination: l.Dest, Endpoint: l.Route},
				Rate:      l.Rate,
				Delivered: l.Done,
				Rejected:  l.Refused,
			},
		)
	}
	for _, q := range n.Asks {
		r.Requests = append(
			r.Requests,
			quota.Request{
				Scope:     quota.Scope{Destination: q.Dest, Endpoint: q.Route},
				ID:        q.ID,
				Calls:     q.N,
				Delivered: q.Done,
				Rejected:  q.Refused,
			},
		)
	}
	for _, g := range n.Gives {
		r.Grants = append(
			r.Grants,
			quota.Grant{Scope: quota.Scope{Destination: g.Dest, Endpoint: g.Route}, ID: g.ID, Calls: g.N},
		)
	}
	return r
}
