package policy

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// The records that the decisions in policy.go are made on, and their upkeep. Nothing is decided here.

// gate is the scope that shares a limit, a pace, told waits and outages: a destination, or one route
// where its kind has separate routes.
type gate struct {
	dest     *dest
	routes   []*route // sorted by rank
	separate bool
	kind     int
	wait     time.Duration // no send before this: a told wait
	pace     float64       // calls a second; 0: free
	ceiling  float64       // rate that was refused last
	halvedAt time.Duration
	creptAt  time.Duration
	tokens   float64
	tokensAt time.Duration
	sent     []time.Duration // sends of the last second
	credit   float64         // calls that routes in doubt may take now, as of coldAt; one at most
	coldAt   time.Duration
	failSent time.Duration // latest send of a call that failed at once
	coldLeft time.Duration // when a route in doubt last left the list; long ago if none
	limit    float64       // reported, calls a second
	got      float64       // own deliveries a second, in the mean, as of gotAt
	gotAt    time.Duration
	out      int // calls out
	streak   int // failures in a row
	tights   int // failed connections that looked like a full table, since the last delivery

	shared    bool          // others may use a part of this sender's, and it of theirs
	share     float64       // of its even part that is its own
	rights    int           // calls beyond it
	rightsEnd time.Duration // until then
	askedAt   time.Duration
}

// route is one way to a destination, with its entry in the skip table.
type route struct {
	Endpoint
	gate      *gate
	lot       uint64        // decides between equal routes
	calls     []*call       // out, in order of sending
	skipUntil time.Duration // skipped by messages before this
	skipLen   time.Duration // length of the last skip; 0 in good standing
	down      bool          // skipped, and nothing delivered since
	cold      bool          // may be in an outage or coming back from one
	lost      bool          // an answer was, and none came since
	slight    bool          // on one failure alone: one delivery clears it
	failSent  time.Duration // gate's, as of the last doubt
	back      time.Duration // first delivery of a call sent since then, while cold; 0: none yet
	run       int           // deliveries in a row since the last doubt
	streak    int           // failures in a row
	recent    uint8         // last 8 deliveries, errors and failed connections, a bit set for a failure
	refusals  int           // refusals since the last other answer
	refusedAt time.Duration // the first of them
	okAt      time.Duration // last delivery
	okSent    time.Duration // latest send that was answered
	mean, dev time.Duration // answer times
}

// dest is a destination with its queue.
type dest struct {
	id     int
	gates  []*gate
	queue  []*message // waiting, first to go first
	cand   *message   // next to go in this dispatch, with its route
	candRt *route
	opens  time.Duration // nothing may go before this unless something touches the destination
	held   int           // messages not forgotten
	at     int           // place among the active, from 1; 0: not active
	bareAt time.Duration // when its last route went

	bareBefore, bareAfter *dest // among those without routes
}

// call is one call out; messages of one destination may share it.
type call struct {
	r      *route
	left   int           // messages whose outcome is missing
	ok     bool          // one was delivered
	sent   time.Duration // when
	expect time.Duration // overdue after this
	cut    time.Duration // the first of its messages times out then
}

// attempt is one message's part in a call.
type attempt struct {
	n    int
	call *call
}

// message is one message held, or ended with attempts still out.
type message struct {
	id       uint32
	class    *Class
	dest     *dest
	turn     *turn // order of its key; nil if none
	due      time.Duration
	deadline time.Duration
	rank     time.Duration // place in the queue
	sends    int
	most     int // of them; 0: no limit
	out      []attempt
	ranAt    time.Duration // send of the first attempt that may have run
	ran      bool          // one may have run
	ranZone  int
	timeouts int
	avoid    *route // failed this message last
	ended    bool
	queued   bool
	resumed  bool // an earlier process took it on
}

// turn is the order of one key.
type turn struct {
	key    string
	line   []*message // in the order taken; the first has the turn
	rest   time.Duration
	parked bool // kept for its rest alone
}

// bucket measures a customer's traffic against its share.
type bucket struct {
	level float64
	at    time.Duration
}

// Engine decides for one relay. It is a pure state machine: equal events give equal actions.
type Engine struct {
	set      Settings
	pcg      *rand.PCG // of rng
	rng      *rand.Rand
	now      time.Duration
	routes   map[string]*route // looked up, never iterated
	dests    map[int]*dest     // looked up, never iterated
	order    []*dest           // by number
	active   []*dest           // with messages waiting
	ready    []*dest           // scratch of dispatch
	bare     bareList          // destinations without routes, until they are forgotten
	parked   []*turn           // in the order of their rests
	msgs     map[uint32]*message
	turns    map[string]*turn
	least    map[int]float64       // by kind: the least limit told
	scarce   map[int]time.Duration // by kind: a failed connection may be a full table's until then
	short    map[int]time.Duration // by kind: tables were full: connections are closed after use until then
	held     int
	slots    int // used
	shares   []bucket
	taken    bucket        // messages handed in, fading over takenSpan
	began    time.Duration // of the first step
	ends     endHeap
	wakeAt   time.Duration // earliest wake asked for; 0: none
	wantWake time.Duration
	acts     []Action
}

// list takes on the list of routes. A route that drains or is gone takes nothing new from here on.
func (s *Engine) list(entries []Endpoint, whole bool) {
	if s.set.WatchRequired && whole && len(s.order) == 0 {
		s.act(Action{Kind: WatchEndpoints})
	}
	if whole {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].ID] = true
		}
		for _, d := range s.order {
			for _, g := range slices.Clone(d.gates) {
				for _, r := range slices.Clone(g.routes) {
					if !keep[r.ID] {
						s.drop(r)
					}
				}
			}
		}
	}
	var changed []*dest
	for _, l := range entries {
		if !(l.Weight > 0) || math.IsInf(l.Weight, 0) {
			l.Weight = 0 // not told
		}
		r := s.routes[l.ID]
		switch {
		case l.Removed:
			if r != nil {
				s.drop(r)
			}
		case r == nil:
			s.add(l)
			changed = append(changed, s.dests[l.Destination])
		default:
			if l.InService && !r.InService {
				r.okAt = 0 // as new: what it answered before it drained tells nothing
			}
			r.Endpoint = l
			changed = append(changed, r.gate.dest)
		}
	}
	for i, d := range changed {
		if i == 0 || d != changed[i-1] {
			s.sortRoutes(d)
			s.touch(d)
		}
	}
	for _, d := range changed {
		if s.bare.has(d) && d.routed() {
			s.bare.remove(d)
			d.bareAt = 0
		}
	}
	s.sweep()
}

// sweep forgets destinations that have had no route for a warm-up and hold no message. It looks at those alone that are
// due.
func (s *Engine) sweep() {
	for d := s.bare.first; d != nil && s.now >= d.bareAt+s.set.WarmUpDuration; {
		next := d.bareAfter
		if d.held == 0 {
			s.bare.remove(d)
			delete(s.dests, d.id)
			i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id >= d.id })
			s.order = slices.Delete(s.order, i, i+1)
		}
		d = next
	}
}

// bareList is the destinations without routes, the one whose last route went first in front: a list through them, as
// they come and go one by one.
type bareList struct{ first, last *dest }

func (l *bareList) has(d *dest) bool { return l.first == d || d.bareBefore != nil }

func (l *bareList) add(d *dest) {
	if d.bareBefore = l.last; l.last == nil {
		l.first = d
	} else {
		l.last.bareAfter = d
	}
	l.last = d
}

func (l *bareList) remove(d *dest) {
	if d.bareBefore == nil {
		l.first = d.bareAfter
	} else {
		d.bareBefore.bareAfter = d.bareAfter
	}
	if d.bareAfter == nil {
		l.last = d.bareBefore
	} else {
		d.bareAfter.bareBefore = d.bareBefore
	}
	d.bareBefore, d.bareAfter = nil, nil
}

// routed tells whether the destination has a route.
func (d *dest) routed() bool {
	return slices.ContainsFunc(d.gates, func(g *gate) bool { return len(g.routes) > 0 })
}

// perCall is how many messages a call to a kind of destination may carry.
func (s *Engine) perCall(kind int) int {
	if kind >= 0 && kind < len(s.set.DestinationKinds) {
		return max(1, s.set.DestinationKinds[kind].MaxBatch)
	}
	return 1
}

// Reconfigure has other settings hold from here on. Open messages keep their class and number of attempts.
func (s *Engine) Reconfigure(set Settings) error {
	fresh, err := New(set, 0)
	if err == nil {
		s.set, s.shares = fresh.set, fresh.shares
	}
	return err
}

// grant takes what others leave this sender of a limit. Rights that were not used yet end with the first of them.
func (s *Engine) grant(e *Event) {
	d := s.dests[e.Destination]
	if d == nil {
		return
	}
	for _, g := range d.gates {
		if len(g.routes) == 0 || !s.many(g) || g.separate && g.routes[0].ID != e.Endpoint {
			continue
		}
		g.shared, g.share = true, math.Min(1, math.Max(0, e.ReservedFraction))
		if e.GrantedCalls > 0 && e.TimeLeft > 0 {
			end := s.now + e.TimeLeft
			if g.righted(s.now) {
				end = min(end, g.rightsEnd)
			} else {
				g.rights = 0
			}
			g.rights, g.rightsEnd = g.rights+e.GrantedCalls, end
		}
		s.touch(d)
	}
}

// righted tells whether a call may be made beyond the sender's own pace.
func (g *gate) righted(now time.Duration) bool { return g.rights > 0 && now < g.rightsEnd }

// own is the pace that a gate's tokens grow with: of a part that is lent, what is left.
func (s *Engine) own(g *gate) float64 {
	if g.shared && g.share < 1 {
		return math.Min(g.pace, s.limit(g)/float64(s.set.FleetSize)) * g.share
	}
	return g.pace
}

// touch has a destination looked at again by the next dispatch.
func (s *Engine) touch(d *dest) { d.opens = 0 }

// doubtful tells whether a route of the gate is in doubt.
func (g *gate) doubtful() bool {
	return slices.ContainsFunc(g.routes, func(x *route) bool { return x.cold })
}

// drop forgets a route. Calls still out keep it alive until their outcomes.
func (s *Engine) drop(r *route) {
	r.Removed = true
	delete(s.routes, r.ID)
	g := r.gate
	if r.cold {
		g.coldLeft = s.now
	}
	g.routes = slices.DeleteFunc(g.routes, func(x *route) bool { return x == r })
	if g.separate {
		g.dest.gates = slices.DeleteFunc(g.dest.gates, func(x *gate) bool { return x == g })
	}
	if d := g.dest; !s.bare.has(d) && !d.routed() {
		d.bareAt = s.now
		s.bare.add(d)
	}
}

func (s *Engine) add(l Endpoint) {
	d := s.destination(l.Destination)
	r := &route{Endpoint: l, lot: s.rng.Uint64()}
	s.routes[l.ID] = r
	separate := l.Kind >= 0 && l.Kind < len(s.set.DestinationKinds) && s.set.DestinationKinds[l.Kind].LimitPerEndpoint
	if separate || len(d.gates) == 0 {
		d.gates = append(d.gates, &gate{
			dest: d, separate: separate, kind: l.Kind, tokens: 1, tokensAt: s.now,
			coldLeft: math.MinInt64 / 2,
		})
		if l.Relisted {
			// As if it had stood here since. Guards against a first message that waits as at a start each time that it
			// is told of again.
			d.gates[len(d.gates)-1].tokensAt = s.began
		}
	}
	r.Relisted = false
	r.gate = d.gates[len(d.gates)-1]
	r.gate.routes = append(r.gate.routes, r)
}

func (s *Engine) destination(id int) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id}
		s.dests[id] = d
		i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id > id })
		s.order = slices.Insert(s.order, i, d)
	}
	return d
}

// span is the time between calls at a rate.
func span(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}

func (s *Engine) enqueue(m *message) {
	d := m.dest
	i := sort.Search(len(d.queue), func(i int) bool { return before(m, d.queue[i]) })
	d.queue = slices.Insert(d.queue, i, m)
	m.queued = true
	s.touch(d)
	if d.at == 0 {
		s.active = append(s.active, d)
		d.at = len(s.active)
	}
}

func (s *Engine) unqueue(m *message) {
	if !m.queued {
		return
	}
	m.queued = false
	d := m.dest
	i := sort.Search(len(d.queue), func(i int) bool { return !before(d.queue[i], m) })
	if len(d.queue) > scanDepth && i < len(d.queue)/2 {
		// Most leave at the front. Guards against a long queue that is moved for each of its messages, as when all miss
		// their aims.
		copy(d.queue[1:i+1], d.queue[:i])
		d.queue[0] = nil
		d.queue = d.queue[1:]
	} else {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	if len(d.queue) == 0 {
		last := s.active[len(s.active)-1]
		s.active[d.at-1], last.at = last, d.at
		s.active, d.at = s.active[:len(s.active)-1], 0
	}
}

// over ends a message that needs no answer of ours.
func (s *Engine) over(m *message) {
	if !m.ended {
		m.ended = true
		s.held--
		s.unqueue(m)
	}
	s.forget(m)
}

// forget drops an ended message once its attempts have their outcomes, and passes its turn on.
func (s *Engine) forget(m *message) {
	if !m.ended || len(m.out) > 0 {
		return
	}
	delete(s.msgs, m.id)
	m.dest.held--
	if t := m.turn; t != nil {
		m.turn = nil
		t.line = slices.DeleteFunc(t.line, func(x *message) bool { return x == m })
		switch {
		case len(t.line) > 0:
			s.touch(t.line[0].dest)
		case !t.parked:
			t.parked = true
			s.parked = append(s.parked, t)
		}
	}
}

// unpark forgets turns whose line is empty and whose rest is over.
func (s *Engine) unpark() {
	for len(s.parked) > 0 && s.parked[0].rest <= s.now {
		t := s.parked[0]
		s.parked = s.parked[1:]
		if t.parked = false; len(t.line) == 0 {
			delete(s.turns, t.key)
		}
	}
}

type end struct {
	at time.Duration
	m  *message
}

func (e *end) before(o *end) bool { return e.at < o.at || e.at == o.at && e.m.id < o.m.id }

// endHeap is a binary heap, the soonest first. It is written out since container/heap makes a copy of each entry on the
// heap of the program, twice for each message.
type endHeap []end

func (h *endHeap) push(e end) {
	*h = append(*h, e)
	a := *h
	i := len(a) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !e.before(&a[up]) {
			break
		}
		a[i], i = a[up], up
	}
	a[i] = e
}

func (h *endHeap) pop() end {
	a := *h
	n := len(a) - 1
	first, e := a[0], a[n]
	a[n] = end{}
	*h = a[:n]
	for i := 0; n > 0; {
		c := 2*i + 1
		if c+1 < n && a[c+1].before(&a[c]) {
			c++
		}
		if c >= n || !a[c].before(&e) {
			a[i] = e
			break
		}
		a[i], i = a[c], c
	}
	return first
}

func (s *Engine) act(a Action) { s.acts = append(s.acts, a) }

// wake asks to be woken at t, if nothing earlier is asked for.
func (s *Engine) wake(t time.Duration) {
	if t < math.MaxInt64 && (s.wantWake == 0 || t < s.wantWake) {
		s.wantWake = t
	}
}

// lastSecond is the rate of calls in the last second.
func (s *Engine) lastSecond(g *gate) float64 {
	i := 0
	for i < len(g.sent) && g.sent[i] <= s.now-time.Second {
		i++
	}
	g.sent = append(g.sent[:0], g.sent[i:]...)
	return float64(len(g.sent))
}

// fade is what is left after a while of a count that fades over a span.
func fade(since, span time.Duration) float64 { return math.Exp(-float64(since) / float64(span)) }

// rate is the mean rate of own deliveries of a gate; while a route of it is in doubt, as of the doubt.
func (s *Engine) rate(g *gate) float64 {
	if g.doubtful() {
		return g.got
	}
	return g.got * fade(s.now-g.gotAt, ownSpan)
}

// count adds a delivery to that rate, which does not fall while a route of the gate is in doubt.
func (s *Engine) count(g *gate) {
	since := (s.now - g.gotAt).Seconds()
	if g.doubtful() && g.got > 0 {
		since = min(since, 1/g.got)
	}
	g.got, g.gotAt = g.got*math.Exp(-since/ownSpan.Seconds())+1/ownSpan.Seconds(), s.now
}

// tally counts a message that was handed in.
func (s *Engine) tally() {
	b := &s.taken
	b.level, b.at = b.level*fade(s.now-b.at, takenSpan)+1, s.now
}

// refill adds to a gate's tokens what its pace has earned, up to one and a burst.
func (s *Engine) refill(g *gate) {
	g.tokens = math.Min(1+s.burst(g), g.tokens+s.own(g)*(s.now-g.tokensAt).Seconds())
	g.tokensAt = s.now
}

// report notes what a route's destination told of its limit.
func (s *Engine) report(r *route, rep LimitReport) {
	if rep.Present && rep.Limit > 0 {
		r.gate.limit = rep.Limit
		if least := s.least[r.Kind]; least == 0 || rep.Limit < least {
			s.least[r.Kind] = rep.Limit
		}
	}
}

// detach takes the attempt of an outcome off its message; nil if it is not known.
func (s *Engine) detach(m *message, n int) *call {
	if m == nil {
		return nil
	}
	for i, a := range m.out {
		if a.n == n {
			m.out = slices.Delete(m.out, i, i+1)
			return a.call
		}
	}
	return nil
}

// join puts a message at the end of its key's line.
func (s *Engine) join(m *message, key string) {
	t := s.turns[key]
	if t == nil {
		t = &turn{key: key}
		s.turns[key] = t
	}
	t.line = append(t.line, m)
	m.turn = t
}

// begin books a call that goes out, and what it takes of its gate's slots, pace and recovery budget.
func (s *Engine) begin(c *call) {
	g := c.r.gate
	s.slots++
	g.out++
	c.r.calls = append(c.r.calls, c)
	s.lastSecond(g)
	g.sent = append(g.sent, s.now)
	if g.pace > 0 && g.righted(s.now) {
		g.rights--
	} else if g.pace > 0 {
		g.tokens--
	}
	if c.r.cold {
		g.credit--
	}
}

// end books a call whose last outcome is in.
func (s *Engine) end(c *call) {
	s.slots--
	c.r.gate.out--
	c.r.calls = slices.DeleteFunc(c.r.calls, func(x *call) bool { return x == c })
}

// sendersMost bounds the told number of senders. Guards against one that was mistyped: no sender's part would let a
// call through within a message's time.
const sendersMost = 1_000_000

// check tells what makes no sense in settings.
func (set *Settings) check() error {
	if len(set.Classes) == 0 {
		return errors.New("policy: settings name no class")
	}
	if min(set.FleetSize, set.MaxInFlightCalls, set.MaxPendingMessages, set.MaxAttempts) < 0 {
		return errors.New("policy: settings hold a negative count")
	}
	if set.FleetSize > sendersMost {
		return fmt.Errorf("policy: settings name %d senders, %d at most", set.FleetSize, sendersMost)
	}
	least := min(set.MaxRetryAfter, set.WarmUpDuration, set.OverloadWindow, set.OrderingPause)
	sum := set.WarmUpInitialCapacity + set.OverloadFactor
	for _, c := range set.Classes {
		least = min(least, c.DedupWindow, c.LatencyObjective, c.Deadline)
		sum += c.Weight
	}
	for _, c := range set.Tenants {
		sum += c.Quota
	}
	if least < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}
