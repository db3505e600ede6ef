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

// forgetfulEvictions are those that must be convicted by the random streams. TestSharedQuotaPreventsEviction has one more.
var forgetfulEvictions = []forgetfulEviction{
	{name: "messages", forgetDestination: func(dest *destination) { dest.messageCount = 0 }},
	{name: "Retry-Afters", forgetScope: func(scope *limitScope) { scope.retryAfterUntil = 0 }},
	{name: "skips", forgetScope: forEachEndpoint(func(ep *endpoint) { ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false })},
	{name: "suspect endpoints", forgetScope: forEachEndpoint(func(ep *endpoint) { ep.warmingUp = false })},
	{name: "warm-ups", forgetScope: forEachEndpoint(func(ep *endpoint) {
		if ep.recoveredAt > 0 {
			ep.warmingUp = false
		}
	})},
	{name: "endpoints replaced suspect", forgetScope: func(scope *limitScope) { scope.suspectRemovedAt = math.MinInt64 / 2 }},
	{name: "failures over endpoints", forgetScope: func(scope *limitScope) { scope.consecutiveFailures = 0 }},
	{name: "paces", forgetScope: func(scope *limitScope) { scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 1, 0, 0 }},
}

// eventStream is an Engine under random events, and a book of what it was told: waits and outages by scope, messages by
// destination.
type eventStream struct {
	t                 *rapid.T
	engine            *Engine
	now               time.Duration
	endpoints         []Endpoint
	calls             []streamCall
	retryAfterUntil   map[string]time.Duration
	consecutiveErrors map[string]int           // in a row, by scope
	recoveredAt       map[string]time.Duration // first delivery after three of them
	pending           map[uint32]int           // destination of what is held
	attempts          map[uint32]int
	nextID            uint32
	timerAt           time.Duration
}

type streamCall struct {
	id        uint32
	attempt   int
	endpoint  string
	sentAt    time.Duration
	timeoutAt time.Duration
}

func newEventStream(t *rapid.T) *eventStream {
	settings := testSettings()
	settings.FleetSize = rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "relays")
	settings.MaxInFlightCalls, settings.MaxPendingMessages, settings.WarmUpDuration = 20, 100, 20*time.Second
	engine, err := New(settings, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	stream := &eventStream{
		t: t, engine: engine, now: time.Minute, retryAfterUntil: map[string]time.Duration{}, consecutiveErrors: map[string]int{}, recoveredAt: map[string]time.Duration{},
		pending: map[uint32]int{}, attempts: map[uint32]int{}, nextID: 1,
	}
	for i := range 8 {
		stream.endpoints = append(
			stream.endpoints,
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
	stream.step(Event{Kind: EndpointSnapshot, Endpoints: slices.Clone(stream.endpoints)})
	return stream
}

// scopeKey names what shares a Retry-After.
func (stream *eventStream) scopeKey(endpointID string) string {
	i := slices.IndexFunc(stream.endpoints, func(entry Endpoint) bool { return entry.ID == endpointID })
	if i < 0 || stream.engine.settings.DestinationKinds[stream.endpoints[i].Kind].LimitPerEndpoint {
		return endpointID
	}
	return fmt.Sprint(stream.endpoints[i].Destination)
}

func (stream *eventStream) step(events ...Event) {
	for _, a := range stream.engine.Step(stream.now, events) {
		switch a.Kind {
		case Send:
			stream.calls = append(stream.calls, streamCall{a.MessageID, stream.attempts[a.MessageID], a.Endpoint, stream.now, a.TimeoutAt})
			stream.attempts[a.MessageID]++
		case Reject, Fail:
			delete(stream.pending, a.MessageID)
		case SetTimer:
			stream.timerAt = stream.now + a.Delay
		}
	}
}

// advance lets time go by, with the timers and timeouts that fall due.
func (stream *eventStream) advance(by time.Duration) {
	for expiresAt := stream.now + by; stream.now < expiresAt; {
		next := expiresAt
		if stream.timerAt > stream.now {
			next = min(next, stream.timerAt)
		}
		for _, c := range stream.calls {
			next = min(next, max(c.timeoutAt, stream.now))
		}
		stream.now = next
		if stream.timerAt > 0 && stream.timerAt <= stream.now {
			stream.timerAt = 0
			stream.step(Event{Kind: TimerFired})
		}
		for i := 0; i < len(stream.calls); {
			if stream.calls[i].timeoutAt <= stream.now {
				stream.finish(i, Timeout, 0)
			} else {
				i++
			}
		}
	}
}

func (stream *eventStream) finish(i int, outcome Outcome, wait time.Duration) {
	c := stream.calls[i]
	stream.calls = slices.Delete(stream.calls, i, i+1)
	if wait > 0 {
		k := stream.scopeKey(c.endpoint)
		stream.retryAfterUntil[k] = max(stream.retryAfterUntil[k], stream.now+wait)
	}
	switch k := stream.scopeKey(c.endpoint); outcome {
	case OK:
		delete(stream.pending, c.id)
		if stream.consecutiveErrors[k] >= 3 {
			stream.recoveredAt[k] = stream.now
		}
		stream.consecutiveErrors[k] = 0
	case Error:
		stream.consecutiveErrors[k]++
	}
	stream.step(
		Event{
			Kind:         AttemptFinished,
			MessageID:    c.id,
			Attempt:      c.attempt,
			Endpoint:     c.endpoint,
			Outcome:      outcome,
			Latency:      stream.now - c.sentAt,
			MessageEnded: outcome == OK,
			RetryAfter:   wait,
		},
	)
}

// bindingState says what a destination has in force that would be forgotten; "" if nothing. It asks the books, and a copy of
// the relay what would keep a message from each of its endpoints.
func (stream *eventStream) bindingState(destinationID int) string {
	for id, d := range stream.pending {
		if d == destinationID {
			return fmt.Sprintf("message %d", id)
		}
	}
	for _, c := range stream.calls {
		if slices.ContainsFunc(stream.endpoints, func(entry Endpoint) bool { return entry.ID == c.endpoint && entry.Destination == destinationID }) {
			return "a call to " + c.endpoint
		}
	}
	for _, entry := range stream.endpoints {
		switch k := stream.scopeKey(entry.ID); {
		case entry.Destination != destinationID:
		case stream.retryAfterUntil[k] > stream.now:
			return "a Retry-After of " + entry.ID
		case stream.consecutiveErrors[k] >= 3:
			return "an outage of " + entry.ID
		case stream.recoveredAt[k] > 0 && stream.now < stream.recoveredAt[k]+stream.engine.settings.WarmUpDuration:
			return "a warm-up of " + entry.ID
		}
	}
	engine, err := Restore(stream.engine.settings, stream.engine.Snapshot(nil))
	if err != nil {
		stream.t.Fatal(err)
	}
	engine.callsInFlight = engine.settings.MaxInFlightCalls // so that the probe waits, whatever would let it go
	fresh := map[string]bool{}
	if dest := engine.destinations[destinationID]; dest != nil {
		for _, scope := range dest.scopes {
			for _, ep := range scope.endpoints {
				fresh[ep.ID] = scope.pacingRate == 0
			}
		}
	}
	engine.Step(stream.now, []Event{{Kind: MessageAccepted, MessageID: math.MaxUint32, Destination: destinationID, TimeLeft: time.Minute}})
	for _, h := range engine.Blockers() {
		if h.MessageID != math.MaxUint32 {
			continue
		}
		switch h.Cause {
		case RetryAfterPending, EndpointEjected, WarmUpBudget, TrialInFlight, EndpointSaturated:
			return fmt.Sprintf("cause %d until %v at %s", h.Cause, h.Until-stream.now, h.Endpoint)
		case Paced:
			if !fresh[h.Endpoint] {
				return "a pacing rate at " + h.Endpoint
			}
		}
	}
	return ""
}

// run runs a random stream, and says what a Resting would have had forgotten; how often something could be is counted.
func (stream *eventStream) run(eviction *forgetfulEviction, evictable *int) (wrong string) {
	look := func() {
		was := stream.engine.Snapshot(nil)
		for d := range 3 {
			if wrong == "" && eviction.evictable(stream.t, stream.engine, d) {
				*evictable++
				if binds := stream.bindingState(d); binds != "" {
					wrong = fmt.Sprintf("at %v destination %d may rest, with %s", stream.now, d, binds)
				}
			}
		}
		if !bytes.Equal(stream.engine.Snapshot(nil), was) {
			stream.t.Fatal("asking changed the relay")
		}
	}
	stream.t.Repeat(map[string]func(*rapid.T){
		"take": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "n") {
				d := rapid.IntRange(0, 2).Draw(t, "destination")
				stream.pending[stream.nextID] = d
				stream.nextID++
				stream.step(Event{Kind: MessageAccepted, MessageID: stream.nextID - 1, Destination: d, TimeLeft: 9 * time.Second})
			}
		},
		"answer": func(t *rapid.T) {
			if len(stream.calls) > 0 {
				outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, NotSent}).
					Draw(t, "outcome")
				wait := rapid.SampledFrom([]time.Duration{0, 0, 0, 300 * ms, 50 * time.Second}).Draw(t, "wait")
				stream.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms)
				if len(stream.calls) > 0 {
					stream.finish(rapid.IntRange(0, len(stream.calls)-1).Draw(t, "call"), outcome, wait)
				}
			}
		},
		"fail in a row": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				if stream.advance(20 * ms); len(stream.calls) > 0 {
					stream.finish(0, Error, 0)
				}
			}
		},
		"all is well": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				for len(stream.calls) > 0 {
					stream.finish(0, OK, 0)
				}
				stream.advance(200 * ms)
			}
		},
		"list": func(t *rapid.T) {
			entry := &stream.endpoints[rapid.IntRange(0, len(stream.endpoints)-1).Draw(t, "route")]
			if rapid.Bool().Draw(t, "replace") {
				gone := *entry
				gone.Removed, gone.InService = true, false
				delete(stream.consecutiveErrors, stream.scopeKey(entry.ID)) // what became of those is asked of the copy alone
				delete(stream.recoveredAt, stream.scopeKey(entry.ID))
				entry.ID += "'"
				stream.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{gone, *entry}})
				return
			}
			entry.InService = !entry.InService
			stream.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{*entry}})
		},
		"a while":      func(t *rapid.T) { stream.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms) },
		"a long while": func(t *rapid.T) { stream.advance(time.Duration(rapid.IntRange(3, 40).Draw(t, "s")) * time.Second) },
		"":             func(*rapid.T) { look() },
	})
	return wrong
}

// Whatever happened, what may rest has nothing in force: no message, call, Retry-After, ejection, doubt, warm-up or pacing rate.
func TestEvictableDestinationsHoldNoBindingState(t *testing.T) {
	evictable, looks := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		looks++
		if wrong := newEventStream(t).run(nil, &evictable); wrong != "" {
			t.Fatal(wrong)
		}
	})
	if evictable < looks {
		t.Errorf("%d times something could rest in %d streams: they show too little", evictable, looks)
	}
}

func TestForgetfulEvictionsAreDetected(t *testing.T) {
	for _, eviction := range forgetfulEvictions {
		t.Run(eviction.name, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) string {
				evictable := 0
				return newEventStream(t).run(&eviction, &evictable)
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
