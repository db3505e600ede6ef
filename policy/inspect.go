package policy

import (
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/archive"
)

// What a Sender tells of itself, for recordings and explanations. Nothing here decides.

//go:embed api.go policy.go resume.go spent.go state.go
var text embed.FS

// Revision names the text of the decisions as built: equal revisions decide alike.
func Revision() string {
	sum := sha256.New()
	files, _ := text.ReadDir(".") // sorted; cannot fail
	for _, f := range files {
		data, _ := text.ReadFile(f.Name())
		sum.Write(data)
	}
	return hex.EncodeToString(sum.Sum(nil)[:6])
}

// The state of a Sender as bytes, for recordings that begin in mid-life: one description for both directions.

// snapshotForm is raised with every change of what follows: one of another form is refused.
const snapshotForm = 3

// Snapshot appends the Sender's state, between two steps, to buf. Equal states give equal bytes.
func (s *Sender) Snapshot(buf []byte) []byte {
	c := archive.Writer(buf)
	s.code(c)
	return c.Bytes()
}

// Restore returns a Sender of these settings as Snapshot found it: equal events give equal actions from there on.
func Restore(set Settings, data []byte) (*Sender, error) {
	s, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	c := archive.Reader(data)
	s.code(c)
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("policy: snapshot: %w", err)
	}
	for _, d := range s.order {
		s.dests[d.id] = d
		for _, g := range d.gates {
			for _, r := range g.routes {
				s.routes[r.Route] = r
			}
		}
	}
	return s, nil
}

func (s *Sender) code(c *archive.Coder) {
	form := snapshotForm
	if c.Ints(&form); form != snapshotForm {
		c.Fail()
		return
	}
	state, _ := s.pcg.MarshalBinary() // never fails
	text := string(state)
	if c.Text(&text); c.Reading() && s.pcg.UnmarshalBinary([]byte(text)) != nil {
		c.Fail()
	}
	s.rng = rand.New(s.pcg)
	c.Times(&s.now, &s.wakeAt)
	c.Ints(&s.held, &s.slots)
	msgs := func(m **message) { s.codeMessage(c, m) }
	archive.List(c, &s.order, func(d **dest) { s.codeDest(c, d) })
	archive.List(c, &s.active, func(d **dest) { s.codeDest(c, d) })
	archive.List(c, &s.bare, func(d **dest) { s.codeDest(c, d) })
	archive.Map(c, s.msgs, func(id *uint32, m **message) { archive.Uint(c, id); msgs(m) })
	for _, d := range s.active { // apart from the destinations, so that messages do not nest
		archive.List(c, &d.queue, msgs)
	}
	turns := func(t **turn) { s.codeTurn(c, t) }
	archive.Map(c, s.turns, func(key *string, t **turn) { c.Text(key); turns(t) })
	archive.List(c, &s.parked, turns)
	archive.Map(c, s.least, func(k *int, v *float64) { c.Ints(k); c.Floats(v) })
	archive.Map(c, s.scarce, func(k *int, v *time.Duration) { c.Ints(k); c.Times(v) })
	archive.List(c, &s.shares, func(b *bucket) { c.Floats(&b.level); c.Times(&b.at) })
	if len(s.shares) != len(s.set.Customers) {
		c.Fail()
	}
	archive.List(c, (*[]end)(&s.ends), func(e *end) { c.Times(&e.at); msgs(&e.m) })
}

func (s *Sender) codeDest(c *archive.Coder, p **dest) {
	archive.Must(c, p, func(d *dest) {
		c.Ints(&d.id, &d.held, &d.at)
		c.Times(&d.opens, &d.bareAt)
		archive.List(c, &d.gates, func(g **gate) { s.codeGate(c, g) })
	})
}

func (s *Sender) codeGate(c *archive.Coder, p **gate) {
	archive.Must(c, p, func(g *gate) {
		s.codeDest(c, &g.dest)
		archive.List(c, &g.routes, func(r **route) { archive.Must(c, r, func(r *route) { s.codeRoute(c, r) }) })
		c.Bools(&g.separate)
		c.Ints(&g.kind, &g.out, &g.streak, &g.tights)
		c.Floats(&g.pace, &g.ceiling, &g.tokens, &g.credit, &g.limit, &g.got)
		c.Times(&g.wait, &g.halvedAt, &g.creptAt, &g.tokensAt, &g.coldAt, &g.coldLeft, &g.gotAt)
		archive.List(c, &g.sent, func(at *time.Duration) { c.Times(at) })
	})
}

func (s *Sender) codeRoute(c *archive.Coder, r *route) {
	c.Text(&r.Route)
	c.Ints(&r.Destination, &r.Kind, &r.Zone, &r.run, &r.streak, &r.refusals)
	c.Floats(&r.Weight)
	c.Bools(&r.InService, &r.Gone, &r.down, &r.cold, &r.slight, &r.lost)
	c.Times(&r.skipUntil, &r.skipLen, &r.back, &r.refusedAt, &r.okAt, &r.okSent, &r.mean, &r.dev)
	archive.Uint(c, &r.lot)
	archive.Uint(c, &r.recent)
	s.codeGate(c, &r.gate)
	archive.List(c, &r.calls, func(x **call) { s.codeCall(c, x) })
}

func (s *Sender) codeCall(c *archive.Coder, p **call) {
	archive.Must(c, p, func(x *call) {
		archive.Must(c, &x.r, func(r *route) { s.codeRoute(c, r) })
		c.Ints(&x.left)
		c.Bools(&x.ok)
		c.Times(&x.sent, &x.expect, &x.cut)
	})
}

func (s *Sender) codeMessage(c *archive.Coder, p **message) {
	archive.Must(c, p, func(m *message) {
		archive.Uint(c, &m.id)
		if c.Reading() {
			m.class = new(Class)
		}
		class := slices.Index(s.set.Classes, *m.class) // by its value; the settings may no longer name it
		if c.Ints(&class); class >= 0 && class < len(s.set.Classes) {
			m.class = &s.set.Classes[class]
		} else {
			archive.Int(c, &m.class.Effect)
			c.Bools(&m.class.GroupAll, &m.class.Ordered)
			c.Times(&m.class.Window, &m.class.Aim, &m.class.GiveUp)
			c.Floats(&m.class.Value)
		}
		s.codeDest(c, &m.dest)
		s.codeTurn(c, &m.turn)
		c.Times(&m.due, &m.deadline, &m.rank, &m.ranAt)
		c.Ints(&m.sends, &m.most, &m.ranZone, &m.timeouts)
		c.Bools(&m.ran, &m.ended, &m.queued)
		archive.Ref(c, &m.avoid, func(r *route) { s.codeRoute(c, r) })
		archive.List(c, &m.out, func(a *attempt) { c.Ints(&a.n); s.codeCall(c, &a.call) })
	})
}

func (s *Sender) codeTurn(c *archive.Coder, p **turn) {
	archive.Ref(c, p, func(t *turn) {
		c.Text(&t.key)
		c.Bools(&t.parked)
		c.Times(&t.rest)
		archive.List(c, &t.line, func(m **message) { s.codeMessage(c, m) })
	})
}

// Cause is what keeps a message from a route.
type Cause int

// The causes, as they are looked at: the first that holds is told, of those with a time the one that holds longest.
const (
	Free      Cause = iota // nothing: it goes in its turn
	Spent                  // it has no attempt left, or its time is up
	NoService              // the route drains
	Turn                   // an earlier message of its key is not finished
	OtherZone              // it may have run, and its repeat is dropped elsewhere only
	NoTime                 // less time is left than an answer of the route takes
	Trial                  // the route is skipped, and the one trial call is out
	Crammed                // too many slots are at the route, or its oldest calls are overdue
	KeyRest
	ToldWait
	Skip
	Recovery // the budget of a route that may be cold
	Pace
	SlotsFull
	NoRoute
)

// Hold is what keeps a waiting message from a route. Until: math.MaxInt64 where only an outcome or the list ends it.
type Hold struct {
	ID    uint32
	Route string
	Cause Cause
	Until time.Duration
}

// Holds tells what keeps the messages that wait, by destination and in order. It must be asked of a copy (Restore of a
// Snapshot): looking may cast doubt on a route, as dispatch itself does.
func (s *Sender) Holds() (holds []Hold) {
	for _, d := range s.order {
		for _, m := range d.queue {
			if !d.routed() {
				holds = append(holds, Hold{m.id, "", NoRoute, math.MaxInt64})
			}
			for _, g := range d.gates {
				for _, r := range g.routes {
					c, at := s.hold(m, r)
					holds = append(holds, Hold{m.id, r.Route, c, at})
				}
			}
		}
	}
	return holds
}

func (s *Sender) hold(m *message, r *route) (Cause, time.Duration) {
	const never = time.Duration(math.MaxInt64)
	switch {
	case s.spent(m) || s.now >= m.deadline:
		return Spent, never
	case !r.InService || r.Gone:
		return NoService, never
	case m.turn != nil && m.turn.line[0] != m:
		return Turn, never
	case s.mayAttempt(m, r) == never:
		return OtherZone, never
	case m.deadline-s.now < r.mean:
		return NoTime, never
	case r.down && len(r.calls) > 0:
		return Trial, never
	case s.crammed(r):
		return Crammed, never
	}
	cause, until := Free, s.now
	longer := func(c Cause, at time.Duration) {
		if at > until {
			cause, until = c, at
		}
	}
	if m.turn != nil && m.sends == 0 {
		longer(KeyRest, m.turn.rest)
	}
	longer(ToldWait, r.gate.wait)
	longer(Skip, r.skipUntil)
	longer(Recovery, s.coldUntil(r))
	longer(Pace, s.opensAt(r))
	if cause == Free && s.set.Slots > 0 && s.slots >= s.set.Slots {
		return SlotsFull, never
	}
	return cause, until
}

// View is what a Sender holds of a route and of its gate, the scope that shares a limit. Rates are in calls a second.
type View struct {
	Listing
	Pace, Ceiling, Limit, Part    float64 // 0: free, none, not told
	Wait, Halved, SkipUntil, Back time.Duration
	Mean                          time.Duration // of its answers
	Down, Cold                    bool
	Calls, Out, Queued            int // calls of the route, of its gate; messages waiting at the destination
}

// Views tells of all routes, by destination, and how many slots are taken.
func (s *Sender) Views() (views []View, slots int) {
	for _, d := range s.order {
		for _, g := range d.gates {
			for _, r := range g.routes {
				views = append(views, View{r.Listing, g.pace, g.ceiling, s.limit(g), s.part(g), g.wait, g.halvedAt, r.skipUntil,
					r.back, r.mean, r.down, r.cold, len(r.calls), g.out, len(d.queue)})
			}
		}
	}
	return views, s.slots
}
