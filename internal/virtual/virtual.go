// Package virtual hosts decision modules as they are, each as a relay of its own, beside models of what they deliver to,
// in virtual time: no clock, no socket, and the same plan and seed give the same history. It shows what decisions do
// over minutes in milliseconds. What it leaves out, connections and the journal above all, docs/design says.
package virtual

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/partner"
	"onyxroad.dev/onyxroad/policy"
)

// Route is one endpoint of a destination.
type Route struct {
	Name string
	Zone int
}

// Destination is what messages are for. Where its kind has separate routes each of them is a place of its own, else all
// of them share one.
type Destination struct {
	Kind   int
	Spec   partner.Spec
	Routes []Route
	Weight float64 // as listed, calls a second; 0: Spec.Rate
}

// Config is a world.
type Config struct {
	Settings     policy.Settings // of all relays; Senders is set to Relays
	Relays       int
	Destinations []Destination
	Latency      time.Duration                 // one way between a relay and an endpoint; default 1 ms
	Tick         time.Duration                 // a relay steps no more often; default 5 ms
	ListDelay    func(relay int) time.Duration // how late a relay learns of changes; nil: at once
	Seed         uint64
	Stepped      func(relay int, now time.Duration, events []policy.Event, actions []policy.Action) // nil: not told
}

// Call is a call that ended, as a relay saw it.
type Call struct {
	Relay, Destination int
	Route              string
	Messages           int
	Sent, Ended        time.Duration
	Outcome            policy.Outcome
}

// World is relays and destinations at work.
type World struct {
	cfg    Config
	now    time.Duration
	queue  events
	seq    uint64
	relays []*relay
	places map[string]*Place // by route
	dests  [][]*Place        // by destination
	listed map[string]policy.Listing
	rng    *rand.Rand

	Calls     []Call
	Delivered []Delivery
	Refused   int // final answers
	Failed    int
	Offered   int
	Taken     []time.Duration // when each was offered
}

// Delivery is a message that was delivered.
type Delivery struct {
	Destination int
	Taken, At   time.Duration
}

// Place is a partner.Place with what a network can do to it.
type Place struct {
	*partner.Place
	Dead   bool                    // no connection comes up
	Resets func(relay int) float64 // share of a relay's calls whose connections break under them, and which run; nil: none
	dest   int
}

type event struct {
	at  time.Duration
	seq uint64 // events of one time come in the order in which they were planned
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type relay struct {
	w       *World
	n       int
	s       *policy.Sender
	pending []policy.Event
	last    time.Duration // of the last step
	planned bool          // a step is
	wakeAt  time.Duration
	msgs    map[uint32]*message
	nextID  uint32
}

type message struct {
	id    uint32
	dest  int
	taken time.Duration
	sends int
	over  bool
}

// New returns a world at rest at one second of its time.
func New(cfg Config) (*World, error) {
	if cfg.Latency == 0 {
		cfg.Latency = time.Millisecond
	}
	if cfg.Tick == 0 {
		cfg.Tick = 5 * time.Millisecond
	}
	cfg.Settings.Senders = cfg.Relays
	w := &World{cfg: cfg, now: time.Second, places: map[string]*Place{}, listed: map[string]policy.Listing{}, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	var list []policy.Listing
	for d, x := range cfg.Destinations {
		if err := x.Spec.Validate(); err != nil {
			return nil, fmt.Errorf("virtual: destination %d: %w", d, err)
		}
		separate := cfg.Settings.Kinds[x.Kind].Separate
		w.dests = append(w.dests, nil)
		for i, r := range x.Routes {
			if i == 0 || separate {
				w.dests[d] = append(w.dests[d], &Place{Place: partner.New(x.Spec, cfg.Seed+uint64(len(w.places))), dest: d})
			}
			p := w.dests[d][len(w.dests[d])-1]
			p.Add(r.Name)
			w.places[r.Name] = p
			l := policy.Listing{Route: r.Name, Destination: d, Kind: x.Kind, Zone: r.Zone, Weight: x.Weight, InService: true}
			if l.Weight == 0 {
				l.Weight = x.Spec.Rate
			}
			w.listed[r.Name] = l
			list = append(list, l)
		}
	}
	for n := range cfg.Relays {
		s, err := policy.New(cfg.Settings, cfg.Seed<<8+uint64(n))
		if err != nil {
			return nil, fmt.Errorf("virtual: %w", err)
		}
		r := &relay{w: w, n: n, s: s, msgs: map[uint32]*message{}}
		w.relays = append(w.relays, r)
		r.tell(policy.Event{Kind: policy.ListWhole, List: slices.Clone(list)})
	}
	return w, nil
}

// Now is the world's time.
func (w *World) Now() time.Duration { return w.now }

// Place is that of a route.
func (w *World) Place(route string) *Place { return w.places[route] }

// Sender is a relay's module: to be asked, not stepped.
func (w *World) Sender(relay int) *policy.Sender { return w.relays[relay].s }

// At plans something for a time; what is past comes next.
func (w *World) At(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(at, w.now), w.seq, do})
}

// Every plans something for a span of time, at random with so many a second in the mean.
func (w *World) Every(from, to time.Duration, rate float64, do func()) {
	if rate <= 0 {
		return
	}
	next := from + time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second))
	if next >= to {
		return
	}
	w.At(next, func() { do(); w.Every(next, to, rate, do) })
}

// Run lets time pass.
func (w *World) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// Offer hands a message of a class to a relay.
func (w *World) Offer(n, dest, class int) {
	r := w.relays[n]
	w.Offered++
	w.Taken = append(w.Taken, w.now)
	r.nextID++
	r.msgs[r.nextID] = &message{id: r.nextID, dest: dest, taken: w.now}
	r.tell(policy.Event{Kind: policy.Taken, ID: r.nextID, Class: class, Customer: -1, Destination: dest, Left: w.cfg.Settings.Classes[class].GiveUp})
}

// Change tells all relays of a change of the list, each as late as it is, and has the places follow at once.
func (w *World) Change(entries ...policy.Listing) {
	for _, l := range entries {
		if l.Gone {
			if p := w.places[l.Route]; p != nil {
				p.Remove(l.Route)
			}
			delete(w.listed, l.Route)
			continue
		}
		if w.places[l.Route] == nil {
			p := w.dests[l.Destination][0]
			if w.cfg.Settings.Kinds[l.Kind].Separate {
				p = &Place{Place: partner.New(w.cfg.Destinations[l.Destination].Spec, w.cfg.Seed+uint64(len(w.places))), dest: l.Destination}
				w.dests[l.Destination] = append(w.dests[l.Destination], p)
			}
			p.Add(l.Route)
			w.places[l.Route] = p
		}
		w.listed[l.Route] = l
	}
	for _, r := range w.relays {
		late := time.Duration(0)
		if w.cfg.ListDelay != nil {
			late = w.cfg.ListDelay(r.n)
		}
		w.At(w.now+late, func() { r.tell(policy.Event{Kind: policy.ListChanges, List: slices.Clone(entries)}) })
	}
}

// Listed is a route's entry.
func (w *World) Listed(route string) policy.Listing { return w.listed[route] }

func (r *relay) tell(e policy.Event) {
	r.pending = append(r.pending, e)
	if !r.planned {
		r.planned = true
		r.w.At(max(r.w.now, r.last+r.w.cfg.Tick), r.step)
	}
}

func (r *relay) step() {
	w := r.w
	r.planned, r.last = false, w.now
	evs := r.pending
	r.pending = nil
	acts := r.s.Step(w.now, evs)
	if w.cfg.Stepped != nil {
		w.cfg.Stepped(r.n, w.now, evs, acts)
	}
	type flight struct {
		route string
		msgs  []*message
		tries []int
		cut   time.Duration
	}
	var calls []*flight
	for _, a := range acts {
		m := r.msgs[a.ID]
		switch a.Kind {
		case policy.Send:
			most := max(1, w.cfg.Settings.Kinds[w.listed[a.Route].Kind].PerCall)
			i := slices.IndexFunc(calls, func(c *flight) bool { return c.route == a.Route && len(c.msgs) < most })
			if i < 0 {
				i = len(calls)
				calls = append(calls, &flight{route: a.Route, cut: a.At})
			}
			calls[i].msgs, calls[i].tries = append(calls[i].msgs, m), append(calls[i].tries, m.sends)
			calls[i].cut = max(calls[i].cut, a.At)
			m.sends++
		case policy.Refuse:
			w.Refused++
			delete(r.msgs, a.ID)
		case policy.Fail:
			w.Failed++
			delete(r.msgs, a.ID)
		case policy.Wake:
			at := w.now + a.Delay
			r.wakeAt = at
			w.At(at, func() {
				if r.wakeAt == at { // the module keeps one wake in mind, the last that it asked for
					r.tell(policy.Event{Kind: policy.Woken})
				}
			})
		}
	}
	for _, c := range calls {
		sent := w.now
		w.At(sent+w.cfg.Latency, func() { w.arrive(r, c.route, c.msgs, c.tries, sent, c.cut) })
	}
}

// arrive has a call fare as its place says. A call that is cut off runs on at the place.
func (w *World) arrive(r *relay, route string, msgs []*message, tries []int, sent, cut time.Duration) {
	p := w.places[route]
	outcome, wait, back := policy.Timeout, time.Duration(0), cut
	ends := func(o policy.Outcome, after time.Duration) {
		if at := w.now + after + w.cfg.Latency; at < cut {
			outcome, back = o, at
		}
	}
	if p == nil || p.Dead {
		ends(policy.ConnectFailed, 0)
	} else {
		switch f := p.Arrive(w.now, route, len(msgs)); f.Result {
		case partner.Served:
			if p.Resets != nil && w.rng.Float64() < p.Resets(r.n) {
				ends(policy.Reset, 0)
			} else {
				ends(policy.OK, f.After)
			}
		case partner.Refused:
			if ends(policy.Full, f.After); outcome == policy.Full {
				wait = f.Wait
			}
		case partner.Failed:
			ends(policy.Error, f.After)
		}
	}
	w.At(back, func() {
		w.Calls = append(w.Calls, Call{r.n, msgs[0].dest, route, len(msgs), sent, w.now, outcome})
		for i, m := range msgs {
			ok := outcome == policy.OK
			if ok && !m.over {
				m.over = true
				w.Delivered = append(w.Delivered, Delivery{m.dest, m.taken, w.now})
			}
			r.tell(policy.Event{
				Kind: policy.Finished, ID: m.id, Attempt: tries[i], Route: route, Outcome: outcome, Took: w.now - sent, Ended: ok, Wait: wait,
			})
			if ok {
				delete(r.msgs, m.id)
			}
		}
	})
}

// Rate is how many messages a second of a destination were delivered in a span.
func (w *World) Rate(dest int, from, to time.Duration) float64 {
	n := 0
	for _, d := range w.Delivered {
		if d.Destination == dest && d.At >= from && d.At < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
