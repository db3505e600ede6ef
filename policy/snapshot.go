package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/statecodec"
)

// The state of a Sender as bytes, for recordings that begin in mid-life: one description for both directions.

// snapshotForm is raised with every change of what follows: one of another form is refused.
const snapshotForm = 7

// Snapshot appends the Sender's state, between two steps, to buf. Equal states give equal bytes.
func (s *Engine) Snapshot(buf []byte) []byte {
	c := statecodec.Writer(buf)
	s.code(c)
	return c.Bytes()
}

// Restore returns a Sender of these settings as Snapshot found it: equal events give equal actions from there on.
func Restore(set Settings, data []byte) (*Engine, error) {
	s, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	c := statecodec.Reader(data)
	s.code(c)
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("policy: snapshot: %w", err)
	}
	for _, d := range s.order {
		s.dests[d.id] = d
		for _, g := range d.gates {
			for _, r := range g.routes {
				s.routes[r.ID] = r
			}
		}
	}
	return s, nil
}

func (s *Engine) code(c *statecodec.Coder) {
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
	c.Times(&s.now, &s.wakeAt, &s.began, &s.taken.at)
	c.Floats(&s.taken.level)
	c.Ints(&s.held, &s.slots)
	msgs := func(m **message) { s.codeMessage(c, m) }
	statecodec.List(c, &s.order, func(d **dest) { s.codeDest(c, d) })
	statecodec.List(c, &s.active, func(d **dest) { s.codeDest(c, d) })
	var bare []*dest
	for d := s.bare.first; d != nil; d = d.bareAfter {
		bare = append(bare, d)
	}
	statecodec.List(c, &bare, func(d **dest) { s.codeDest(c, d) })
	for _, d := range bare {
		if c.Reading() && s.bare.has(d) {
			c.Fail()
		} else if c.Reading() {
			s.bare.add(d)
		}
	}
	statecodec.Map(c, s.msgs, func(id *uint32, m **message) { statecodec.Uint(c, id); msgs(m) })
	for _, d := range s.active { // apart from the destinations, so that messages do not nest
		statecodec.List(c, &d.queue, msgs)
	}
	turns := func(t **turn) { s.codeTurn(c, t) }
	statecodec.Map(c, s.turns, func(key *string, t **turn) { c.Text(key); turns(t) })
	statecodec.List(c, &s.parked, turns)
	statecodec.Map(c, s.least, func(k *int, v *float64) { c.Ints(k); c.Floats(v) })
	for _, until := range []map[int]time.Duration{s.scarce, s.short} {
		statecodec.Map(c, until, func(k *int, v *time.Duration) { c.Ints(k); c.Times(v) })
	}
	statecodec.List(c, &s.shares, func(b *bucket) { c.Floats(&b.level); c.Times(&b.at) })
	if len(s.shares) != len(s.set.Tenants) {
		c.Fail()
	}
	statecodec.List(c, (*[]end)(&s.ends), func(e *end) { c.Times(&e.at); msgs(&e.m) })
}

func (s *Engine) codeDest(c *statecodec.Coder, p **dest) {
	statecodec.Must(c, p, func(d *dest) {
		c.Ints(&d.id, &d.held, &d.at)
		c.Times(&d.opens, &d.bareAt)
		statecodec.List(c, &d.gates, func(g **gate) { s.codeGate(c, g) })
	})
}

func (s *Engine) codeGate(c *statecodec.Coder, p **gate) {
	statecodec.Must(c, p, func(g *gate) {
		s.codeDest(c, &g.dest)
		statecodec.List(c, &g.routes, func(r **route) { statecodec.Must(c, r, func(r *route) { s.codeRoute(c, r) }) })
		c.Bools(&g.separate, &g.shared)
		c.Ints(&g.kind, &g.out, &g.streak, &g.tights, &g.rights)
		c.Floats(&g.pace, &g.ceiling, &g.tokens, &g.credit, &g.limit, &g.got, &g.share)
		c.Times(
			&g.wait,
			&g.halvedAt,
			&g.creptAt,
			&g.tokensAt,
			&g.coldAt,
			&g.coldLeft,
			&g.failSent,
			&g.gotAt,
			&g.rightsEnd,
			&g.askedAt,
		)
		statecodec.List(c, &g.sent, func(at *time.Duration) { c.Times(at) })
	})
}

func (s *Engine) codeRoute(c *statecodec.Coder, r *route) {
	c.Text(&r.ID)
	c.Ints(&r.Destination, &r.Kind, &r.Zone, &r.run, &r.streak, &r.refusals)
	c.Floats(&r.Weight)
	c.Bools(&r.InService, &r.Removed, &r.down, &r.cold, &r.slight, &r.lost)
	c.Times(&r.skipUntil, &r.skipLen, &r.failSent, &r.back, &r.refusedAt, &r.okAt, &r.okSent, &r.mean, &r.dev)
	statecodec.Uint(c, &r.lot)
	statecodec.Uint(c, &r.recent)
	s.codeGate(c, &r.gate)
	statecodec.List(c, &r.calls, func(x **call) { s.codeCall(c, x) })
}

func (s *Engine) codeCall(c *statecodec.Coder, p **call) {
	statecodec.Must(c, p, func(x *call) {
		statecodec.Must(c, &x.r, func(r *route) { s.codeRoute(c, r) })
		c.Ints(&x.left)
		c.Bools(&x.ok)
		c.Times(&x.sent, &x.expect, &x.cut)
	})
}

func (s *Engine) codeMessage(c *statecodec.Coder, p **message) {
	statecodec.Must(c, p, func(m *message) {
		statecodec.Uint(c, &m.id)
		if c.Reading() {
			m.class = new(Class)
		}
		class := slices.Index(s.set.Classes, *m.class) // by its value; the settings may no longer name it
		if c.Ints(&class); class >= 0 && class < len(s.set.Classes) {
			m.class = &s.set.Classes[class]
		} else {
			statecodec.Int(c, &m.class.Effect)
			c.Bools(&m.class.DedupAllZones, &m.class.Ordered)
			c.Times(&m.class.DedupWindow, &m.class.LatencyObjective, &m.class.Deadline)
			c.Floats(&m.class.Weight)
		}
		s.codeDest(c, &m.dest)
		s.codeTurn(c, &m.turn)
		c.Times(&m.due, &m.deadline, &m.rank, &m.ranAt)
		c.Ints(&m.sends, &m.most, &m.ranZone, &m.timeouts)
		c.Bools(&m.ran, &m.ended, &m.queued, &m.resumed)
		statecodec.Ref(c, &m.avoid, func(r *route) { s.codeRoute(c, r) })
		statecodec.List(c, &m.out, func(a *attempt) { c.Ints(&a.n); s.codeCall(c, &a.call) })
	})
}

func (s *Engine) codeTurn(c *statecodec.Coder, p **turn) {
	statecodec.Ref(c, p, func(t *turn) {
		c.Text(&t.key)
		c.Bools(&t.parked)
		c.Times(&t.rest)
		statecodec.List(c, &t.line, func(m **message) { s.codeMessage(c, m) })
	})
}
