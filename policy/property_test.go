package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The property test plays long random but legal event sequences against a Sender and judges its actions
// by the six rules. The checker keeps its own books and shares nothing with the module's guards. To show
// that it can fail, TestCheckerSeesMissingGuards blinds a Sender for one guard at a time.

// blind changes what the Sender is told, as if one of its guards were taken out.
type blind struct {
	name     string
	rule     int
	settings func(*Settings)
	event    func(*Event)
	swap     func(*Engine) *Engine                                         // after each step
	step     func(engine *Engine, now time.Duration, evs []Event) []Action // in place of the Sender's
	// clients send as often; 0: every fourth time, and waits are told with refusals alone
	every int
}

type trial struct {
	route string
	sent  time.Duration
	out   bool // no outcome yet
	ran   bool // may have run
}

type held struct {
	id       uint32
	class    Class
	key      string
	dest     int
	deadline time.Duration
	tries    []trial
	ended    bool
}

type due struct {
	at time.Duration
	ev Event
	c  *callOut
}

// callOut is one call of the world: messages to one route in one reply.
type callOut struct{ left int }

// world is the clients, the routes and the checker.
type world struct {
	rng      *rand.Rand
	set      Settings
	now      time.Duration
	routes   []Endpoint
	listed   map[string]Endpoint // as told
	msgs     map[uint32]*held
	keys     map[string][]*held
	rest     map[string]time.Duration
	waits    map[string]time.Duration   // by scope
	outage   map[int][2]time.Duration   // by destination: from, to
	told     map[string]int             // failures told in a row, by scope
	sends    map[string][]time.Duration // by scope, since the return
	pending  []due
	nextID   uint32
	slots    int
	broken   map[int]string
	answered int
	ends     [3]int // sends, refusals, failures
	every    int
	waitsToo bool // with other answers than refusals
}

func (w *world) fail(rule int, format string, args ...any) {
	if w.broken[rule] == "" {
		w.broken[rule] = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) scope(l Endpoint) string {
	if w.set.DestinationKinds[l.Kind].LimitPerEndpoint {
		return l.ID
	}
	return fmt.Sprint(l.Destination)
}

func randomSettings(rng *rand.Rand) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
			{
				Effect:           IdempotentByKey,
				DedupWindow:      4 * time.Second,
				LatencyObjective: 2 * time.Second,
				Deadline:         9 * time.Second,
				Weight:           2,
			},
			{
				Effect:           IdempotentByKey,
				DedupAllZones:    true,
				DedupWindow:      5 * time.Second,
				LatencyObjective: time.Second,
				Deadline:         6 * time.Second,
			},
			{
				Effect:           NonIdempotent,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         10 * time.Second,
				Weight:           4,
			},
			{Effect: Idempotent, Ordered: true, LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 1},
		},
		DestinationKinds: []DestinationKind{
			{LimitPerEndpoint: false, MaxBatch: 1 + 3*rng.IntN(2)},
			{LimitPerEndpoint: true, MaxBatch: 1},
		},
		Tenants:   []Tenant{{Quota: 5}, {}},
		FleetSize: 1, MaxInFlightCalls: 3 + rng.IntN(12), MaxPendingMessages: 30 + rng.IntN(200), MaxAttempts: 4 + rng.IntN(8),
		MaxRetryAfter:         2 * time.Second,
		WarmUpInitialCapacity: 0.05, WarmUpDuration: 20 * time.Second, OverloadFactor: 1, OverloadWindow: 3 * time.Second,
		OrderingPause: 150 * time.Millisecond,
	}
}

func newWorld(seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{rng: rng, set: randomSettings(rng), now: time.Minute, broken: map[int]string{}, nextID: 1}
	w.outage = map[int][2]time.Duration{}
	for d := range 4 {
		for i := range 1 + rng.IntN(3) {
			w.routes = append(w.routes, Endpoint{
				ID: fmt.Sprintf("r%d-%d", d, i), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 6, InService: true,
			})
		}
		from := w.now + time.Duration(5+rng.IntN(20))*time.Second
		w.outage[d] = [2]time.Duration{from, from + time.Duration(6+rng.IntN(8))*time.Second}
	}
	w.forget()
	return w
}

// forget starts the books anew, as for a fresh Sender.
func (w *world) forget() {
	w.listed, w.msgs, w.keys = map[string]Endpoint{}, map[uint32]*held{}, map[string][]*held{}
	w.rest, w.waits, w.told = map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
	w.sends, w.pending, w.slots = map[string][]time.Duration{}, nil, 0
}

// due events up to now, and new ones by chance.
func (w *world) events(quiet bool) []Event {
	var evs []Event
	slices.SortStableFunc(w.pending, func(a, b due) int { return int(a.at - b.at) })
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		p := w.pending[0]
		w.pending = w.pending[1:]
		if p.c != nil {
			if p.c.left--; p.c.left == 0 {
				w.slots--
			}
		}
		if p.ev.Kind == AttemptFinished {
			w.note(&p.ev)
		}
		evs = append(evs, p.ev)
	}
	if quiet {
		return evs
	}
	for w.rng.IntN(w.every) == 0 {
		c := w.rng.IntN(len(w.set.Classes))
		key := ""
		if w.set.Classes[c].Ordered {
			key = fmt.Sprint("k", w.rng.IntN(5))
		}
		m := &held{id: w.nextID, class: w.set.Classes[c], key: key, dest: w.rng.IntN(5)}
		left := m.class.Deadline - time.Duration(w.rng.IntN(2000))*time.Millisecond
		m.deadline = w.now + left
		w.nextID++
		w.msgs[m.id] = m
		if key != "" {
			w.keys[key] = append(w.keys[key], m)
		}
		evs = append(evs, Event{
			Kind: MessageAccepted, MessageID: m.id, Key: key, Class: c, Tenant: w.rng.IntN(2),
			Destination: m.dest, TimeLeft: left,
		})
	}
	switch w.rng.IntN(400) {
	case 0: // a route drains, or comes back
		l := &w.routes[w.rng.IntN(len(w.routes))]
		l.InService = !l.InService
		w.listed[l.ID] = *l
		evs = append(evs, Event{Kind: EndpointDelta, Endpoints: []Endpoint{*l}})
	case 1: // a route goes for good and another takes its place
		i := w.rng.IntN(len(w.routes))
		old := w.routes[i]
		old.Removed, old.InService = true, false
		w.listed[old.ID] = old
		w.routes[i].ID += "n"
		w.routes[i].InService = true
		w.listed[w.routes[i].ID] = w.routes[i]
		evs = append(evs, Event{Kind: EndpointDelta, Endpoints: []Endpoint{old, w.routes[i]}})
	case 2: // a client goes
		for id := uint32(1); id < w.nextID; id++ {
			if m := w.msgs[id]; m != nil && !m.ended {
				m.ended = true
				evs = append(evs, Event{Kind: MessageCancelled, MessageID: id})
				break
			}
		}
	case 3: // events of messages never held
		evs = append(evs, Event{Kind: AttemptFinished, MessageID: 4e9, Endpoint: "nowhere", Outcome: Timeout},
			Event{Kind: MessageCancelled, MessageID: 4e9 + 1}, Event{Kind: TimerFired})
	}
	return evs
}

// note books an outcome before the Sender hears of it.
func (w *world) note(event *Event) {
	m := w.msgs[event.MessageID]
	if m == nil {
		return
	}
	t := &m.tries[event.Attempt]
	t.out = false
	t.ran = event.Outcome != Overloaded && event.Outcome != ConnectFailed && event.Outcome != NotSent
	if event.Outcome == OK {
		m.ended = true
		w.answered++
	}
	event.MessageEnded = m.ended
	if event.Outcome == Timeout || event.Outcome == Reset || event.Outcome == Cancelled {
		w.rest[m.key] = max(w.rest[m.key], w.now+w.set.OrderingPause)
	}
	l := w.listed[event.Endpoint]
	if event.RetryAfter > 0 {
		w.waits[w.scope(l)] = max(w.waits[w.scope(l)], w.now+event.RetryAfter)
	}
	switch event.Outcome {
	case OK:
		w.told[w.scope(l)] = 0
	case Timeout, ConnectFailed, Error, Reset:
		if span := w.outage[m.dest]; w.now-event.Latency >= span[0] && w.now < span[1] {
			w.told[w.scope(l)]++
		}
	}
}

func (w *world) act(acts []Action) {
	calls := map[string]*callOut{}
	for _, a := range acts {
		m := w.msgs[a.MessageID]
		if (a.Kind == Send || a.Kind == Reject || a.Kind == Fail) && m == nil {
			w.fail(1, "an action for unknown message %d", a.MessageID)
			continue
		}
		switch a.Kind {
		case Send:
			w.ends[0]++
			w.judgeSend(m, a)
			w.call(m, a, calls)
		case Reject:
			w.ends[1]++
			free := m.class.Effect == Idempotent || m.class.Effect == IdempotentByKey && m.class.DedupAllZones
			for _, t := range m.tries {
				if (t.ran || t.out) && !free {
					w.fail(2, "message %d refused though it may have run", m.id)
				}
			}
			m.ended = true
		case Fail:
			w.ends[2]++
			m.ended = true
		case SetTimer:
			w.pending = append(w.pending, due{at: w.now + a.Delay, ev: Event{Kind: TimerFired}})
		}
	}
}

func (w *world) judgeSend(m *held, a Action) {
	l, known := w.listed[a.Endpoint]
	if m.ended || w.now >= m.deadline || len(m.tries) >= w.set.MaxAttempts {
		w.fail(1, "message %d sent after its end", m.id)
	}
	for _, t := range m.tries {
		if t.out {
			w.fail(2, "message %d sent twice at once", m.id)
		}
	}
	if i := slices.IndexFunc(m.tries, func(t trial) bool { return t.ran }); i >= 0 {
		first := m.tries[i]
		switch {
		case m.class.Effect == NonIdempotent:
			w.fail(2, "unsafe message %d sent again", m.id)
		case m.class.Effect == IdempotentByKey && w.now >= first.sent+m.class.DedupWindow:
			w.fail(2, "keyed message %d sent after its window", m.id)
		case m.class.Effect == IdempotentByKey && !m.class.DedupAllZones && w.listed[first.route].Zone != l.Zone:
			w.fail(2, "keyed message %d sent outside its group", m.id)
		}
	}
	if !known || !l.InService || l.Removed || l.Destination != m.dest {
		w.fail(3, "message %d sent to %s, which is not in service", m.id, a.Endpoint)
	}
	if w.waits[w.scope(l)] > w.now {
		w.fail(5, "message %d sent to %s during a wait", m.id, a.Endpoint)
	}
	if m.key != "" {
		for _, o := range w.keys[m.key] {
			if o == m {
				break
			}
			if !o.ended || slices.ContainsFunc(o.tries, func(t trial) bool { return t.out }) {
				w.fail(6, "message %d sent before %d", m.id, o.id)
			}
		}
		if len(m.tries) == 0 && w.rest[m.key] > w.now {
			w.fail(6, "message %d sent while its key rests", m.id)
		}
	}
}

// judgeReturn checks the budget of a destination that came back cold: calls of any window since the
// return, for a Sender told of its failures.
func (w *world) judgeReturn(d string, back time.Duration) {
	w.sends[d] = append(w.sends[d], w.now)
	n := 0
	for _, at := range w.sends[d] {
		if at > w.now-w.set.OverloadWindow {
			n++
		}
	}
	share := w.set.WarmUpInitialCapacity + (1-w.set.WarmUpInitialCapacity)*float64(
		w.now-back,
	)/float64(
		w.set.WarmUpDuration,
	)
	if share >= 1 {
		return
	}
	most := w.set.OverloadFactor*share*6*w.set.OverloadWindow.Seconds() + 1.5 // 6: the listed weight
	if float64(n) > most {
		w.fail(4, "%d calls to %s in %v, %.1f at most", n, d, w.set.OverloadWindow, most)
	}
}

// call plays an attempt: its outcome comes later, at its cut at the latest.
func (w *world) call(m *held, a Action, calls map[string]*callOut) {
	l := w.listed[a.Endpoint]
	event := Event{Kind: AttemptFinished, MessageID: m.id, Attempt: len(m.tries), Endpoint: a.Endpoint}
	m.tries = append(m.tries, trial{route: a.Endpoint, sent: w.now, out: true})
	c := calls[a.Endpoint]
	if c == nil || c.left >= w.set.DestinationKinds[l.Kind].MaxBatch {
		c = &callOut{}
		calls[a.Endpoint] = c
		if w.slots++; w.slots > w.set.MaxInFlightCalls {
			w.fail(1, "%d calls out, %d at most", w.slots, w.set.MaxInFlightCalls)
		}
		span := w.outage[m.dest]
		sc := w.scope(l)
		if w.now >= span[1] && w.now < span[1]+w.set.WarmUpDuration && (w.told[sc] >= 3 || w.sends[sc] != nil) {
			w.judgeReturn(sc, span[1])
		}
	}
	c.left++
	latency := time.Duration(20+w.rng.IntN(400)) * time.Millisecond
	down := w.now >= w.outage[m.dest][0] && w.now < w.outage[m.dest][1]
	switch n := w.rng.IntN(40); {
	case down && m.dest%3 == 0:
		latency = time.Hour // silent
	case down && m.dest%3 == 1:
		event.Outcome = ConnectFailed
	case down:
		event.Outcome = Error
	case n < 4:
		event.Outcome = Overloaded
		if n < 2 {
			event.RetryAfter = time.Duration(200+w.rng.IntN(900)) * time.Millisecond
		}
	case n == 4:
		event.Outcome = []Outcome{Error, Reset, Cancelled, NotSent}[w.rng.IntN(4)]
	case n == 5:
		latency = time.Hour
	case n < 12 && w.waitsToo:
		event.RetryAfter = time.Duration(200+w.rng.IntN(3000)) * time.Millisecond
	}
	if m.dest%3 == 2 && w.now >= w.outage[m.dest][0]-time.Second {
		latency = min(latency, 300*time.Millisecond)
	}
	at := w.now + latency
	if timeoutAt := min(a.TimeoutAt, m.deadline); at > timeoutAt {
		at, event.Outcome, event.RetryAfter = max(timeoutAt, w.now+time.Millisecond), Timeout, 0
	}
	event.Latency = at - w.now
	w.pending = append(w.pending, due{at: at, ev: event, c: c})
}

// play runs one world and returns the rules broken.
func play(t *testing.T, seed uint64, b blind) *world {
	t.Helper()
	w := newWorld(seed)
	w.every, w.waitsToo = cmp.Or(b.every, 4), b.every > 0
	step := (*Engine).Step
	if b.step != nil {
		step = b.step
	}
	start := func() (*Engine, []Event) {
		set := w.set
		set.Classes = slices.Clone(set.Classes)
		if b.settings != nil {
			b.settings(&set)
		}
		engine, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		w.forget()
		for _, l := range w.routes {
			w.listed[l.ID] = l
		}
		return engine, []Event{{Kind: EndpointSnapshot, Endpoints: slices.Clone(w.routes)}}
	}
	engine, first := start()
	restart := w.now + time.Duration(30+w.rng.IntN(10))*time.Second
	expiresAt := w.now + time.Minute
	for w.now < expiresAt {
		w.now += 5 * time.Millisecond
		if restart > 0 && w.now >= restart {
			engine, first = start()
			restart = 0
		}
		evs := append(first, w.events(w.now > expiresAt-15*time.Second)...)
		first = nil
		if b.event != nil {
			for i := range evs {
				b.event(&evs[i])
			}
		}
		if len(evs) > 0 {
			w.act(step(engine, w.now, evs))
			if b.swap != nil {
				engine = b.swap(engine)
			}
		}
		for id, m := range w.msgs {
			over := m.ended && !slices.ContainsFunc(m.tries, func(t trial) bool { return t.out })
			if !m.ended && w.now > m.deadline+20*time.Millisecond {
				w.fail(1, "message %d has no answer at its deadline", id)
				m.ended = true
			}
			if over && m.key == "" {
				delete(w.msgs, id)
			}
		}
	}
	return w
}

func TestSixRules(t *testing.T) {
	for seed := range uint64(60) {
		w := play(t, seed, blind{})
		for rule := 1; rule <= 6; rule++ {
			if w.broken[rule] != "" {
				t.Errorf("seed %d, rule %d: %s", seed, rule, w.broken[rule])
			}
		}
		if w.answered < 150 || w.ends[1] == 0 || w.ends[2] == 0 {
			t.Errorf("seed %d: %d answered, %v sends, refusals, failures: the run shows too little",
				seed, w.answered, w.ends)
		}
	}
}

func TestCheckerSeesMissingGuards(t *testing.T) {
	for _, b := range []blind{
		{name: "deadline", rule: 1, event: func(event *Event) { event.TimeLeft += time.Second }},
		{name: "unsafe", rule: 2, settings: func(s *Settings) { s.Classes[3].Effect = Idempotent }},
		{name: "group", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupAllZones = true }},
		{name: "window", rule: 2, settings: func(s *Settings) { s.Classes[1].DedupWindow = time.Hour }},
		{name: "drain", rule: 3, event: func(event *Event) {
			if event.Kind == EndpointDelta {
				event.Endpoints = nil
			}
		}},
		{name: "recovery", rule: 4, settings: func(s *Settings) { s.OverloadFactor = 1000 }},
		{name: "wait", rule: 5, event: func(event *Event) { event.RetryAfter = 0 }},
		{name: "turn", rule: 6, settings: func(s *Settings) { s.Classes[3].Ordered, s.Classes[4].Ordered = false, false }},
		{name: "rest", rule: 6, settings: func(s *Settings) { s.OrderingPause = 0 }},
	} {
		t.Run(b.name, func(t *testing.T) {
			for seed := range uint64(12) {
				if play(t, seed, b).broken[b.rule] != "" {
					return
				}
			}
			t.Errorf("rule %d was broken by no run without its guard", b.rule)
		})
	}
}

// Equal events give equal actions.
func TestDeterminism(t *testing.T) {
	a, b := play(t, 3, blind{}), play(t, 3, blind{})
	if a.ends != b.ends || a.answered != b.answered || a.nextID != b.nextID {
		t.Errorf("two runs differ: %v %d, %v %d", a.ends, a.answered, b.ends, b.answered)
	}
}
