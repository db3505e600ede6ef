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

// forgetfulEviction is a Resting that overlooks something: it is asked of a copy in which that was never so.
type forgetfulEviction struct {
	name string
	forgetScope func(*limitScope)
	forgetDestination func(*destination)
}

// evictable asks Resting, or what a forgetful one would say; nil overlooks nothing.
func (f *forgetfulEviction) evictable(t fataler, engine *Engine, dest int) bool {
	if f == nil {
		return engine.Evictable(dest)
	}
	copied, err := Restore(engine.settings, engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	if d := copied.destinations[dest]; d != nil {
		if f.forgetDestination != nil {
			f.forgetDestination(d)
		}
		for _, scope := range d.scopes {
			if f.forgetScope != nil {
				f.forgetScope(scope)
			}
		}
	}
	return copied.Evictable(dest)
}

type fataler interface{ Fatal(args ...any) }

func forEachEndpoint(set func(*endpoint)) func(*limitScope) {
	return func(scope *limitScope) {
		for _, ep := range scope.endpoints {
			set(ep)
		}
	}
}

// forgetfulEvictions are those that must be convicted by the random streams. TestSharedQuotaPreventsEviction has one more.
var forgetfulEvictions = []forgetfulEviction{
	{name: "messages", forgetDestination: func(d *destination) { d.messageCount = 0 }},
	{name: "told waits", forgetScope: func(scope *limitScope) { scope.retryAfterUntil = 0 }},
	{name: "skips", forgetScope: forEachEndpoint(func(ep *endpoint) { ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false })},
	{name: "cold routes", forgetScope: forEachEndpoint(func(ep *endpoint) { ep.warmingUp = false })},
	{name: "warm-ups", forgetScope: forEachEndpoint(func(ep *endpoint) {
		if ep.recoveredAt > 0 {
			ep.warmingUp = false
		}
	})},
	{name: "routes replaced in doubt", forgetScope: func(scope *limitScope) { scope.suspectRemovedAt = math.MinInt64 / 2 }},
	{name: "failures over routes", forgetScope: func(scope *limitScope) { scope.consecutiveFailures = 0 }},
	{name: "paces", forgetScope: func(scope *limitScope) { scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 1, 0, 0 }},
}

// eventStream is a Sender under random events, and a book of what it was told: waits and outages by scope, messages by
// destination.
type eventStream struct {
	t      *rapid.T
	engine      *Engine
	now    time.Duration
	endpoints   []Endpoint
	calls    []streamCall
	retryAfterUntil  map[string]time.Duration
	consecutiveErrors map[string]int           // in a row, by scope
	recoveredAt   map[string]time.Duration // first delivery after three of them
	pending   map[uint32]int           // destination of what is held
	attempts  map[uint32]int
	nextID uint32
	timerAt   time.Duration
}

type streamCall struct {
	id    uint32
	attempt     int
	endpoint string
	sentAt  time.Duration
	timeoutAt   time.Duration
}

func newEventStream(t *rapid.T) *eventStream {
	set := testSettings()
	set.FleetSize = rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "senders")
	set.MaxInFlightCalls, set.MaxPendingMessages, set.WarmUpDuration = 20, 100, 20*time.Second
	engine, err := New(set, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	w := &eventStream{
		t: t, engine: engine, now: time.Minute, retryAfterUntil: map[string]time.Duration{}, consecutiveErrors: map[string]int{}, recoveredAt: map[string]time.Duration{},
		pending: map[uint32]int{}, attempts: map[uint32]int{}, nextID: 1,
	}
	for i := range 8 {
		w.endpoints = append(
			w.endpoints,
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
	w.step(Event{Kind: EndpointSnapshot, Endpoints: slices.Clone(w.endpoints)})
	return w
}

// scopeKey names what shares a told wait.
func (w *eventStream) scopeKey(route string) string {
	i := slices.IndexFunc(w.endpoints, func(l Endpoint) bool { return l.ID == route })
	if i < 0 || w.engine.settings.DestinationKinds[w.endpoints[i].Kind].LimitPerEndpoint {
		return route
	}
	return fmt.Sprint(w.endpoints[i].Destination)
}

func (w *eventStream) step(evs ...Event) {
	for _, a := range w.engine.Step(w.now, evs) {
		switch a.Kind {
		case Send:
			w.calls = append(w.calls, streamCall{a.MessageID, w.attempts[a.MessageID], a.Endpoint, w.now, a.TimeoutAt})
			w.attempts[a.MessageID]++
		case Reject, Fail:
			delete(w.pending, a.MessageID)
		case SetTimer:
			w.timerAt = w.now + a.Delay
		}
	}
}

// advance lets time go by, with the wakes and time-outs that fall due.
func (w *eventStream) advance(by time.Duration) {
	for expiresAt := w.now + by; w.now < expiresAt; {
		next := expiresAt
		if w.timerAt > w.now {
			next = min(next, w.timerAt)
		}
		for _, c := range w.calls {
			next = min(next, max(c.timeoutAt, w.now))
		}
		w.now = next
		if w.timerAt > 0 && w.timerAt <= w.now {
			w.timerAt = 0
			w.step(Event{Kind: TimerFired})
		}
		for i := 0; i < len(w.calls); {
			if w.calls[i].timeoutAt <= w.now {
				w.finish(i, Timeout, 0)
			} else {
				i++
			}
		}
	}
}

func (w *eventStream) finish(i int, outcome Outcome, wait time.Duration) {
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if wait > 0 {
		k := w.scopeKey(c.endpoint)
		w.retryAfterUntil[k] = max(w.retryAfterUntil[k], w.now+wait)
	}
	switch k := w.scopeKey(c.endpoint); outcome {
	case OK:
		delete(w.pending, c.id)
		if w.consecutiveErrors[k] >= 3 {
			w.recoveredAt[k] = w.now
		}
		w.consecutiveErrors[k] = 0
	case Error:
		w.consecutiveErrors[k]++
	}
	w.step(
		Event{
			Kind:         AttemptFinished,
			MessageID:    c.id,
			Attempt:      c.attempt,
			Endpoint:     c.endpoint,
			Outcome:      outcome,
			Latency:      w.now - c.sentAt,
			MessageEnded: outcome == OK,
			RetryAfter:   wait,
		},
	)
}

// bindingState says what a destination has in force that would be forgotten; "" if nothing. It asks the books, and a copy of
// the sender what would keep a message from each of its routes.
func (w *eventStream) bindingState(dest int) string {
	for id, d := range w.pending {
		if d == dest {
			return fmt.Sprintf("message %d", id)
		}
	}
	for _, c := range w.calls {
		if slices.ContainsFunc(w.endpoints, func(l Endpoint) bool { return l.ID == c.endpoint && l.Destination == dest }) {
			return "a call to " + c.endpoint
		}
	}
	for _, l := range w.endpoints {
		switch k := w.scopeKey(l.ID); {
		case l.Destination != dest:
		case w.retryAfterUntil[k] > w.now:
			return "a told wait of " + l.ID
		case w.consecutiveErrors[k] >= 3:
			return "an outage of " + l.ID
		case w.recoveredAt[k] > 0 && w.now < w.recoveredAt[k]+w.engine.settings.WarmUpDuration:
			return "a warm-up of " + l.ID
		}
	}
	engine, err := Restore(w.engine.settings, w.engine.Snapshot(nil))
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

// run runs a random stream, and says what a Resting would have had forgotten; how often something could be is counted.
func (w *eventStream) run(f *forgetfulEviction, rested *int) (wrong string) {
	look := func() {
		was := w.engine.Snapshot(nil)
		for d := range 3 {
			if wrong == "" && f.evictable(w.t, w.engine, d) {
				*rested++
				if binds := w.bindingState(d); binds != "" {
					wrong = fmt.Sprintf("at %v destination %d may rest, with %s", w.now, d, binds)
				}
			}
		}
		if !bytes.Equal(w.engine.Snapshot(nil), was) {
			w.t.Fatal("asking changed the sender")
		}
	}
	w.t.Repeat(map[string]func(*rapid.T){
		"take": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "n") {
				d := rapid.IntRange(0, 2).Draw(t, "destination")
				w.pending[w.nextID] = d
				w.nextID++
				w.step(Event{Kind: MessageAccepted, MessageID: w.nextID - 1, Destination: d, TimeLeft: 9 * time.Second})
			}
		},
		"answer": func(t *rapid.T) {
			if len(w.calls) > 0 {
				outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, NotSent}).
					Draw(t, "outcome")
				wait := rapid.SampledFrom([]time.Duration{0, 0, 0, 300 * ms, 50 * time.Second}).Draw(t, "wait")
				w.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms)
				if len(w.calls) > 0 {
					w.finish(rapid.IntRange(0, len(w.calls)-1).Draw(t, "call"), outcome, wait)
				}
			}
		},
		"fail in a row": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				if w.advance(20 * ms); len(w.calls) > 0 {
					w.finish(0, Error, 0)
				}
			}
		},
		"all is well": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				for len(w.calls) > 0 {
					w.finish(0, OK, 0)
				}
				w.advance(200 * ms)
			}
		},
		"list": func(t *rapid.T) {
			l := &w.endpoints[rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "route")]
			if rapid.Bool().Draw(t, "replace") {
				gone := *l
				gone.Removed, gone.InService = true, false
				delete(w.consecutiveErrors, w.scopeKey(l.ID)) // what became of those is asked of the copy alone
				delete(w.recoveredAt, w.scopeKey(l.ID))
				l.ID += "'"
				w.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{gone, *l}})
				return
			}
			l.InService = !l.InService
			w.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{*l}})
		},
		"a while":      func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms) },
		"a long while": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(3, 40).Draw(t, "s")) * time.Second) },
		"":             func(*rapid.T) { look() },
	})
	return wrong
}

// Whatever happened, what may rest has nothing in force: no message, call, told wait, skip, doubt, warm-up or pace.
func TestEvictableDestinationsHoldNoBindingState(t *testing.T) {
	rested, looks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		looks++
		if wrong := newEventStream(t).run(nil, &rested); wrong != "" {
			t.Fatal(wrong)
		}
	})
	if rested < looks {
		t.Errorf("%d times something could rest in %d streams: they show too little", rested, looks)
	}
}

func TestForgetfulEvictionsAreDetected(t *testing.T) {
	for _, f := range forgetfulEvictions {
		t.Run(f.name, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) string {
				rested := 0
				return newEventStream(t).run(&f, &rested)
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
