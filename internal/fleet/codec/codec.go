// Package codec writes what relays tell each other as CBOR (RFC 8949), and reads it with bounds. It is pure.
//
// How the form is extended: every struct is a map with whole numbers as keys. A new field gets a new key, which older programs pass
// over; a key is never used for anything else. What older programs must not pass over raises Needs: they refuse such a message, count
// it, and go on with the others.
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

// Form is the newest form that this program reads in full.
const Form = 1

const (
	// MessageMost bounds a message, in bytes, PagesMost its pages.
	MessageMost = 1 << 20
	PagesMost   = 1 << 14
)

// ErrNewer tells that a message cannot be understood without a newer program.
var ErrNewer = errors.New("codec: the message needs a newer program")

// Message is what one relay sends another. Clock is the sender's own monotonic time when it was written.
type Message struct {
	Needs  int           `cbor:"0,keyasint,omitempty"` // 0: form 1
	From   string        `cbor:"1,keyasint"`
	Boot   uint32        `cbor:"2,keyasint"`
	Clock  int64         `cbor:"3,keyasint"` // microseconds
	Pages  []page        `cbor:"4,keyasint,omitempty"`
	Digest []memberPages `cbor:"5,keyasint,omitempty"`
	Asks   bool          `cbor:"6,keyasint,omitempty"` // to be sent what Digest lacks, which may be empty
	Ping   bool          `cbor:"7,keyasint,omitempty"` // asks for an answer at once
	Pong   *Pong         `cbor:"8,keyasint,omitempty"` // is one
	Rights *rightsNote   `cbor:"9,keyasint,omitempty"` // for the receiver alone; Clock is then when it was decided
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
		MaxNestedLevels: 8, MaxArrayElements: PagesMost, MaxMapPairs: PagesMost,
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
	if len(data) > MessageMost {
		return Message{}, fmt.Errorf("codec: a message of %d bytes, %d at most", len(data), MessageMost)
	}
	var m Message
	if err := c.dec.Unmarshal(data, &m); err != nil {
		return Message{}, fmt.Errorf("codec: %w", err)
	}
	if m.Needs > Form {
		return Message{}, fmt.Errorf("%w: form %d, this one reads %d", ErrNewer, m.Needs, Form)
	}
	return m, nil
}

// SetPages puts pages into a message.
func (m *Message) SetPages(pages ...loadreport.Page) {
	m.Pages = make([]page, 0, len(pages))
	for _, p := range pages {
		q := page{p.Name, p.Incarnation, p.Boot, p.Number, p.Sequence, millis(p.Age), make([]cell, 0, len(p.Cells))}
		for _, c := range p.Cells {
			q.Cells = append(q.Cells, cell{
				c.Dest, c.Route, c.Demand, c.Calls, c.Refusals, c.Deliveries, c.Failures, c.Backlog, millis(c.Wait), c.Cold,
			})
		}
		m.Pages = append(m.Pages, q)
	}
}

// LedgerPages are the pages of a message.
func (m Message) LedgerPages() []loadreport.Page {
	pages := make([]loadreport.Page, 0, len(m.Pages))
	for _, p := range m.Pages {
		q := loadreport.Page{
			Name: p.Name, Life: loadreport.Life{Incarnation: p.Incarnation, Boot: p.Boot}, Number: p.Number, Sequence: p.Sequence, Age: duration(p.Age),
		}
		for _, c := range p.Cells {
			q.Cells = append(q.Cells, loadreport.Cell{
				Dest: c.Dest, Route: c.Route, Demand: c.Demand, Calls: c.Calls, Refusals: c.Refusals, Deliveries: c.Deliveries,
				Failures: c.Failures, Backlog: c.Backlog, Wait: duration(c.Wait), Cold: c.Cold,
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
		m.Digest = append(m.Digest, memberPages{name, v.Incarnation, v.Boot, v.Pages})
	}
}

// LedgerDigest is the digest of a message.
func (m Message) LedgerDigest() loadreport.Digest {
	d := loadreport.Digest{}
	for _, v := range m.Digest {
		d[v.Name] = loadreport.Versions{Life: loadreport.Life{Incarnation: v.Incarnation, Boot: v.Boot}, Pages: v.Pages}
	}
	return d
}

// SetRights puts what one member tells another of rights into a message.
func (m *Message) SetRights(r quota.Message) {
	n := &rightsNote{Incarnation: r.Incarnation, Seq: r.Seq, Seen: r.Seen, OfInc: r.Of.Incarnation, OfBoot: r.Of.Boot, Ping: r.Ping, New: r.New, None: r.None}
	for _, l := range r.Loans {
		n.Loans = append(n.Loans, loan{l.Scope.Dest, l.Scope.Route, l.Rate, l.Done, l.Refused})
	}
	for _, q := range r.Asks {
		n.Asks = append(n.Asks, ask{q.Scope.Dest, q.Scope.Route, q.ID, q.N, q.Done, q.Refused})
	}
	for _, g := range r.Gives {
		n.Gives = append(n.Gives, give{g.Scope.Dest, g.Scope.Route, g.ID, g.N})
	}
	m.Rights = n
}

// RightsMessage is what a message tells of rights; what it tells is checked by package rights.
func (m Message) RightsMessage() quota.Message {
	n := m.Rights
	r := quota.Message{
		Member: m.From, Life: loadreport.Life{Incarnation: n.Incarnation, Boot: m.Boot}, Seq: n.Seq, Seen: n.Seen,
		Of: loadreport.Life{Incarnation: n.OfInc, Boot: n.OfBoot}, Ping: n.Ping, New: n.New, None: n.None,
	}
	for _, l := range n.Loans {
		r.Loans = append(r.Loans, quota.Loan{Scope: quota.Scope{Dest: l.Dest, Route: l.Route}, Rate: l.Rate, Done: l.Done, Refused: l.Refused})
	}
	for _, q := range n.Asks {
		r.Asks = append(r.Asks, quota.Ask{Scope: quota.Scope{Dest: q.Dest, Route: q.Route}, ID: q.ID, N: q.N, Done: q.Done, Refused: q.Refused})
	}
	for _, g := range n.Gives {
		r.Gives = append(r.Gives, quota.Give{Scope: quota.Scope{Dest: g.Dest, Route: g.Route}, ID: g.ID, N: g.N})
	}
	return r
}
