package policy

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// forgetful is a Resting that overlooks something: it is asked of a copy in which that was never so.
type forgetful struct {
	name string
	gate func(*limitScope)
	dest func(*destination)
}

// resting asks Resting, or what a forgetful one would say; nil overlooks nothing.
func (f *forgetful) resting(t fataler, engine *Engine, dest int) bool {
	if f == nil {
		return engine.Evictable(dest)
	}
	copied, err := Restore(engine.settings, engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	if d := copied.destinations[dest]; d != nil {
		if f.dest != nil {
			f.dest(d)
		}
		for _, scope := range d.scopes {
			if f.gate != nil {
				f.gate(scope)
			}
		}
	}
	return copied.Evictable(dest)
}

type fataler interface{ Fatal(args ...any) }

func eachRoute(set func(*endpoint)) func(*limitScope) {
	return func(scope *limitScope) {
		for _, ep := range scope.endpoints {
			set(ep)
		}
	}
}

// forgetfuls are those that must be convicted by the random streams. TestRightsKeepADestinationAwake has one more.
var forgetfuls = []forgetful{
	{name: "messages", dest: func(d *destination) { d.messageCount = 0 }},
	{name: "told waits", gate: func(scope *limitScope) { scope.retryAfterUntil = 0 }},
	{name: "skips", gate: eachRoute(func(ep *endpoint) { ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false })},
	{name: "cold routes", gate: eachRoute(func(ep *endpoint) { ep.warmingUp = false })},
	{name: "warm-ups", gate: eachRoute(func(ep *endpoint) {
		if ep.recoveredAt > 0 {
			ep.warmingUp = false
		}
	})},
	{name: "routes replaced in doubt", gate: func(scope *limitScope) { scope.suspectRemovedAt = math.MinInt64 / 2 }},
	{name: "failures over routes", gate: func(scope *limitScope) { scope.consecutiveFailures = 0 }},
	{name: "paces", gate: func(scope *limitScope) { scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 1, 0, 0 }},
}

// stream is a Sender under random events, and a book of what it was told: waits and outages by scope, messages by
// destination.
type stream struct {
	t      *rapid.T
	s      *Engine
	now    time.Duration
	list   []Endpoint
	out    []streamCall
	waits  map[string]time.Duration
	errors map[string]int           // in a row, by scope
	back   map[string]time.Duration // first delivery after three of them
	held   map[uint32]int           // destination of what is held
	tried  map[uint32]int
	nextID uint32
	wake   time.Duration
}

type streamCall struct {
	id    uint32
	n     int
	route string
	sent  time.Duration
	cut   time.Duration
}

func newStream(t *rapid.T) *stream {
	set := settings()
	set.FleetSize = rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "senders")
	set.MaxInFlightCalls, set.MaxPendingMessages, set.WarmUpDuration = 20, 100, 20*time.Second
	engine, err := New(set, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	w := &stream{
		t: t, s: engine, now: time.Minute, waits: map[string]time.Duration{}, errors: map[string]int{}, back: map[string]time.Duration{},
		held: map[uint32]int{}, tried: map[uint32]int{}, nextID: 1,
	}
	for i := range 8 {
		w.list = append(
			w.list,
			Endpoint{
				ID:          fmt.Sprint("r", i),
				Destination: i % 3,
				Kind:        i % 3 % 2,
				Zone:        i % 2,
				Weight:      50,
				InService:   true,
			},
		)
	}
	w.step(Event{Kind: EndpointSnapshot, Endpoints: slices.Clone(w.list)})
	return w
}

// scope names what shares a told wait.
func (w *stream) scope(route string) string {
	i := slices.IndexFunc(w.list, func(l Endpoint) bool { return l.ID == route })
	if i < 0 || w.s.settings.DestinationKinds[w.list[i].Kind].LimitPerEndpoint {
		return route
	}
	return fmt.Sprint(w.list[i].Destination)
}

func (w *stream) step(evs ...Event) {
	for _, a := range w.s.Step(w.now, evs) {
		switch a.Kind {
		case Send:
			w.out = append(w.out, streamCall{a.MessageID, w.tried[a.MessageID], a.Endpoint, w.now, a.TimeoutAt})
			w.tried[a.MessageID]++
		case Reject, Fail:
			delete(w.held, a.MessageID)
		case SetTimer:
			w.wake = w.now + a.Delay
		}
	}
}

// pass lets time go by, with the wakes and time-outs that fall due.
func (w *stream) pass(by time.Duration) {
	for expiresAt := w.now + by; w.now < expiresAt; {
		next := expiresAt
		if w.wake > w.now {
			next = min(next, w.wake)
		}
		for _, c := range w.out {
			next = min(next, max(c.cut, w.now))
		}
		w.now = next
		if w.wake > 0 && w.wake <= w.now {
			w.wake = 0
			w.step(Event{Kind: TimerFired})
		}
		for i := 0; i < len(w.out); {
			if w.out[i].cut <= w.now {
				w.end(i, Timeout, 0)
			} else {
				i++
			}
		}
	}
}

func (w *stream) end(i int, outcome Outcome, wait time.Duration) {
	c := w.out[i]
	w.out = slices.Delete(w.out, i, i+1)
	if wait > 0 {
		k := w.scope(c.route)
		w.waits[k] = max(w.waits[k], w.now+wait)
	}
	switch k := w.scope(c.route); outcome {
	case OK:
		delete(w.held, c.id)
		if w.errors[k] >= 3 {
			w.back[k] = w.now
		}
		w.errors[k] = 0
	case Error:
		w.errors[k]++
	}
	w.step(
		Event{
			Kind:         AttemptFinished,
			MessageID:    c.id,
			Attempt:      c.n,
			Endpoint:     c.route,
			Outcome:      outcome,
			Latency:      w.now - c.sent,
			MessageEnded: outcome == OK,
			RetryAfter:   wait,
		},
	)
}

// judge says what a destination has in force that would be forgotten; "" if nothing. It asks the books, and a copy of
// the sender what would keep a message from each of its routes.
func (w *stream) judge(dest int) string {
	for id, d := range w.held {
		if d == dest {
			return fmt.Sprintf("message %d", id)
		}
	}
	for _, c := range w.out {
		if slices.ContainsFunc(w.list, func(l Endpoint) bool { return l.ID == c.route && l.Destination == dest }) {
			return "a call to " + c.route
		}
	}
	for _, l := range w.list {
		switch k := w.scope(l.ID); {
		case l.Destination != dest:
		case w.waits[k] > w.now:
			return "a told wait of " + l.ID
		case w.errors[k] >= 3:
			return "an outage of " + l.ID
		case w.back[k] > 0 && w.now < w.back[k]+w.s.settings.WarmUpDuration:
			return "a warm-up of " + l.ID
		}
	}
	engine, err := Restore(w.s.settings, w.s.Snapshot(nil))
	if err != nil {
		w.t.Fatal(err)
	}
	engine.callsInFlight = engine.settings.MaxInFlightCalls // so that the probe waits, whatever would let it go
	fresh := map[string]bool{}
	if d := engine.destinations[dest]; d != nil {
		for _, scope := range d.scopes {
			for _, ep := range scope.endpoints {
				fresh[ep.ID] = scope.pacingRate == 0
			}
		}
	}
	engine.Step(w.now, []Event{{Kind: MessageAccepted, MessageID: math.MaxUint32, Destination: dest, TimeLeft: time.Minute}})
	for _, h := range engine.Blockers() {
		if h.MessageID != math.MaxUint32 {
			continue
		}
		switch h.Cause {
		case RetryAfterPending, EndpointEjected, WarmUpBudget, TrialInFlight, EndpointSaturated:
			return fmt.Sprintf("cause %d until %v at %s", h.Cause, h.Until-w.now, h.Endpoint)
		case Paced:
			if !fresh[h.Endpoint] {
				return "a pace at " + h.Endpoint
			}
		}
	}
	return ""
}

// play runs a random stream, and says what a Resting would have had forgotten; how often something could be is counted.
func (w *stream) play(f *forgetful, rested *int) (wrong string) {
	look := func() {
		was := w.s.Snapshot(nil)
		for d := range 3 {
			if wrong == "" && f.resting(w.t, w.s, d) {
				*rested++
				if binds := w.judge(d); binds != "" {
					wrong = fmt.Sprintf("at %v destination %d may rest, with %s", w.now, d, binds)
				}
			}
		}
		if !bytes.Equal(w.s.Snapshot(nil), was) {
			w.t.Fatal("asking changed the sender")
		}
	}
	w.t.Repeat(map[string]func(*rapid.T){
		"take": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "n") {
				d := rapid.IntRange(0, 2).Draw(t, "destination")
				w.held[w.nextID] = d
				w.nextID++
				w.step(Event{Kind: MessageAccepted, MessageID: w.nextID - 1, Destination: d, TimeLeft: 9 * time.Second})
			}
		},
		"answer": func(t *rapid.T) {
			if len(w.out) > 0 {
				outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, NotSent}).
					Draw(t, "outcome")
				wait := rapid.SampledFrom([]time.Duration{0, 0, 0, 300 * ms, 50 * time.Second}).Draw(t, "wait")
				w.pass(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms)
				if len(w.out) > 0 {
					w.end(rapid.IntRange(0, len(w.out)-1).Draw(t, "call"), outcome, wait)
				}
			}
		},
		"fail in a row": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				if w.pass(20 * ms); len(w.out) > 0 {
					w.end(0, Error, 0)
				}
			}
		},
		"all is well": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				for len(w.out) > 0 {
					w.end(0, OK, 0)
				}
				w.pass(200 * ms)
			}
		},
		"list": func(t *rapid.T) {
			l := &w.list[rapid.IntRange(0, len(w.list)-1).Draw(t, "route")]
			if rapid.Bool().Draw(t, "replace") {
				gone := *l
				gone.Removed, gone.InService = true, false
				delete(w.errors, w.scope(l.ID)) // what became of those is asked of the copy alone
				delete(w.back, w.scope(l.ID))
				l.ID += "'"
				w.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{gone, *l}})
				return
			}
			l.InService = !l.InService
			w.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{*l}})
		},
		"a while":      func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms) },
		"a long while": func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(3, 40).Draw(t, "s")) * time.Second) },
		"":             func(*rapid.T) { look() },
	})
	return wrong
}

// Whatever happened, what may rest has nothing in force: no message, call, told wait, skip, doubt, warm-up or pace.
func TestWhatRestsHasNothingInForce(t *testing.T) {
	rested, looks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		looks++
		if wrong := newStream(t).play(nil, &rested); wrong != "" {
			t.Fatal(wrong)
		}
	})
	if rested < looks {
		t.Errorf("%d times something could rest in %d streams: they show too little", rested, looks)
	}
}

func TestForgetfulRestsAreConvicted(t *testing.T) {
	for _, f := range forgetfuls {
		t.Run(f.name, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) string {
				rested := 0
				return newStream(t).play(&f, &rested)
			})
			for seed := range 600 {
				if wrong := gen.Example(seed); wrong != "" {
					t.Logf("seed %d: %s", seed, wrong)
					return
				}
			}
			t.Error("none of 600 streams convicts it")
		})
	}
}
