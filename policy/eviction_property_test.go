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

// faultyEvictions are variants of Evictable that each ignore one part of the state. Random event streams must
// detect all of them. Shared quota is tested by TestSharedQuotaPreventsEviction.
var faultyEvictions = []faultyEviction{
	{name: "messages", clearDestination: func(dest *destination) { dest.messageCount = 0 }},
	{name: "Retry-Afters", clearScope: func(scope *limitScope) { scope.retryAfterUntil = 0 }},
	{name: "ejections", clearScope: forEachEndpoint(func(ep *endpoint) {
		ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false
	})},
	{name: "suspect endpoints", clearScope: forEachEndpoint(func(ep *endpoint) { ep.warmingUp = false })},
	{name: "warm-ups", clearScope: forEachEndpoint(func(ep *endpoint) {
		if ep.recoveredAt > 0 {
			ep.warmingUp = false
		}
	})},
	{name: "removed suspects", clearScope: func(scope *limitScope) { scope.suspectRemovedAt = math.MinInt64 / 2 }},
	{name: "failures of several endpoints", clearScope: func(scope *limitScope) { scope.consecutiveFailures = 0 }},
	{name: "pacing", clearScope: func(scope *limitScope) {
		scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 1, 0, 0
	}},
}

// eventStream drives an Engine with random events. It keeps records that do not depend on the Engine's state:
// Retry-Afters and outages by scope, and pending messages with their destinations.
type eventStream struct {
	t                 *rapid.T
	engine            *Engine
	now               time.Duration
	endpoints         []Endpoint
	calls             []streamCall
	retryAfterUntil   map[string]time.Duration
	consecutiveErrors map[string]int              // by scope
	recoveredAt       map[string]time.Duration    // first delivery after three consecutive errors, by scope
	pending           map[MessageID]DestinationID // destinations of pending messages
	attempts          map[MessageID]int
	nextID            MessageID
	timerAt           time.Duration
}

// streamCall is a call in flight.
type streamCall struct {
	id        MessageID
	attempt   int
	endpoint  string
	sentAt    time.Duration
	timeoutAt time.Duration
}

func newEventStream(t *rapid.T) *eventStream {
	settings := testSettings()
	settings.FleetSize = rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "relays")
	settings.MaxInFlightCalls = 20
	settings.MaxPendingMessages = 100
	settings.WarmUpDuration = 20 * time.Second
	engine, err := New(settings, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	stream := &eventStream{
		t:                 t,
		engine:            engine,
		now:               time.Minute,
		retryAfterUntil:   map[string]time.Duration{},
		consecutiveErrors: map[string]int{},
		recoveredAt:       map[string]time.Duration{},
		pending:           map[MessageID]DestinationID{},
		attempts:          map[MessageID]int{},
		nextID:            1,
	}
	for i := range 8 {
		stream.endpoints = append(stream.endpoints, Endpoint{
			ID:          fmt.Sprint("r", i),
			Destination: DestinationID(i % 3),
			Kind:        i % 3 % 2,
			Zone:        i % 2,
			Weight:      50,
			InService:   true,
		})
	}
	stream.step(Event{Kind: EndpointSnapshot, Endpoints: slices.Clone(stream.endpoints)})
	return stream
}

// scopeKey identifies the limit scope of an endpoint.
func (stream *eventStream) scopeKey(endpointID string) string {
	i := slices.IndexFunc(stream.endpoints, func(entry Endpoint) bool { return entry.ID == endpointID })
	if i < 0 || stream.engine.settings.DestinationKinds[stream.endpoints[i].Kind].LimitPerEndpoint {
		return endpointID
	}
	return fmt.Sprint(stream.endpoints[i].Destination)
}

// step passes events to the Engine and records the actions that it returns.
func (stream *eventStream) step(events ...Event) {
	for _, a := range stream.engine.Step(stream.now, events) {
		switch a.Kind {
		case Send:
			stream.calls = append(stream.calls, streamCall{
				id:        a.MessageID,
				attempt:   stream.attempts[a.MessageID],
				endpoint:  a.Endpoint,
				sentAt:    stream.now,
				timeoutAt: a.TimeoutAt,
			})
			stream.attempts[a.MessageID]++
		case Reject, Fail:
			delete(stream.pending, a.MessageID)
		case SetTimer:
			stream.timerAt = stream.now + a.Delay
		}
	}
}

// advance moves the clock forward and delivers the timers and timeouts that become due.
func (stream *eventStream) advance(by time.Duration) {
	for end := stream.now + by; stream.now < end; {
		next := end
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

// finish ends a call in flight.
func (stream *eventStream) finish(i int, outcome Outcome, retryAfter time.Duration) {
	c := stream.calls[i]
	stream.calls = slices.Delete(stream.calls, i, i+1)
	scope := stream.scopeKey(c.endpoint)
	if retryAfter > 0 {
		stream.retryAfterUntil[scope] = max(stream.retryAfterUntil[scope], stream.now+retryAfter)
	}
	switch outcome {
	case OK:
		delete(stream.pending, c.id)
		if stream.consecutiveErrors[scope] >= 3 {
			stream.recoveredAt[scope] = stream.now
		}
		stream.consecutiveErrors[scope] = 0
	case Error:
		stream.consecutiveErrors[scope]++
	}
	stream.step(Event{
		Kind:         AttemptFinished,
		MessageID:    c.id,
		Attempt:      c.attempt,
		Endpoint:     c.endpoint,
		Outcome:      outcome,
		Latency:      stream.now - c.sentAt,
		MessageEnded: outcome == OK,
		RetryAfter:   retryAfter,
	})
}

// bindingState describes state of a destination that an eviction must not lose; "" if there is none. It checks the
// records, and what would block a message in a copy of the Engine.
func (stream *eventStream) bindingState(destinationID DestinationID) string {
	for id, pendingAt := range stream.pending {
		if pendingAt == destinationID {
			return fmt.Sprintf("message %d", id)
		}
	}
	for _, entry := range stream.endpoints {
		if entry.Destination != destinationID {
			continue
		}
		if state := stream.endpointState(entry); state != "" {
			return state
		}
	}
	return stream.blockerOf(destinationID)
}

// endpointState describes state of an endpoint that an eviction must not lose, according to the records; "" if
// there is none.
func (stream *eventStream) endpointState(entry Endpoint) string {
	scope := stream.scopeKey(entry.ID)
	switch {
	case slices.ContainsFunc(stream.calls, func(c streamCall) bool { return c.endpoint == entry.ID }):
		return "a call to " + entry.ID
	case stream.retryAfterUntil[scope] > stream.now:
		return "a Retry-After of " + entry.ID
	case stream.consecutiveErrors[scope] >= 3:
		return "an outage of " + entry.ID
	case stream.recoveredAt[scope] == 0:
		return ""
	case stream.now < stream.recoveredAt[scope]+stream.engine.settings.WarmUpDuration:
		return "a warm-up of " + entry.ID
	}
	return ""
}

// blockerOf submits a probe message for a destination to a copy of the Engine. It describes the state that blocks the
// probe, if an eviction would lose that state; "" otherwise.
func (stream *eventStream) blockerOf(destinationID DestinationID) string {
	const probeID = math.MaxUint32
	engine, err := Restore(stream.engine.settings, stream.engine.Snapshot(nil))
	if err != nil {
		stream.t.Fatal(err)
	}
	engine.callsInFlight = engine.settings.MaxInFlightCalls // so that the probe waits even if nothing else blocks it
	paced := map[string]bool{}
	if dest := engine.destinations[destinationID]; dest != nil {
		for _, scope := range dest.scopes {
			for _, ep := range scope.endpoints {
				paced[ep.ID] = scope.pacingRate != 0
			}
		}
	}
	probe := Event{Kind: MessageAccepted, MessageID: probeID, Destination: destinationID, TimeLeft: time.Minute}
	engine.Step(stream.now, []Event{probe})
	for _, blocker := range engine.Blockers() {
		if blocker.MessageID != probeID {
			continue
		}
		switch blocker.Cause {
		case RetryAfterPending, EndpointEjected, WarmUpBudget, TrialInFlight, EndpointSaturated:
			return fmt.Sprintf("%v until %v at %s", blocker.Cause, blocker.Until-stream.now, blocker.Endpoint)
		case Paced:
			if paced[blocker.Endpoint] {
				return "a pacing rate at " + blocker.Endpoint
			}
		}
	}
	return ""
}

// run runs a random stream. It adds the number of times that a destination is evictable to evictable, and describes
// the first eviction that would lose binding state; "" if none would.
func (stream *eventStream) run(eviction *faultyEviction, evictable *int) (violation string) {
	stream.t.Repeat(map[string]func(*rapid.T){
		"accept": stream.acceptRandom,
		"answer": stream.answerRandom,
		"consecutive failures": func(t *rapid.T) {
			for range rapid.IntRange(1, 6).Draw(t, "n") {
				stream.advance(20 * ms)
				if len(stream.calls) > 0 {
					stream.finish(0, Error, 0)
				}
			}
		},
		"deliveries": func(t *rapid.T) {
			for range rapid.IntRange(1, 40).Draw(t, "n") {
				for len(stream.calls) > 0 {
					stream.finish(0, OK, 0)
				}
				stream.advance(200 * ms)
			}
		},
		"list": stream.listRandom,
		"pause": func(t *rapid.T) {
			stream.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms)
		},
		"long pause": func(t *rapid.T) {
			stream.advance(time.Duration(rapid.IntRange(3, 40).Draw(t, "s")) * time.Second)
		},
		"": func(*rapid.T) {
			if violation == "" {
				violation = stream.checkEvictions(eviction, evictable)
			}
		},
	})
	return violation
}

// checkEvictions describes the first destination that is evictable with binding state; "" if there is none.
func (stream *eventStream) checkEvictions(eviction *faultyEviction, evictable *int) (violation string) {
	before := stream.engine.Snapshot(nil)
	for destinationID := range DestinationID(3) {
		if violation != "" || !eviction.evictable(stream.t, stream.engine, destinationID) {
			continue
		}
		*evictable++
		if state := stream.bindingState(destinationID); state != "" {
			violation = fmt.Sprintf("at %v destination %d is evictable, with %s", stream.now, destinationID, state)
		}
	}
	if !bytes.Equal(stream.engine.Snapshot(nil), before) {
		stream.t.Fatal("checking for evictable destinations changed the Engine")
	}
	return violation
}

func (stream *eventStream) acceptRandom(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "n") {
		id := stream.nextID
		destinationID := DestinationID(rapid.IntRange(0, 2).Draw(t, "destination"))
		stream.pending[id] = destinationID
		stream.nextID++
		accepted := Event{Kind: MessageAccepted, MessageID: id, Destination: destinationID, TimeLeft: 9 * time.Second}
		stream.step(accepted)
	}
}

func (stream *eventStream) answerRandom(t *rapid.T) {
	if len(stream.calls) == 0 {
		return
	}
	outcomes := []Outcome{OK, OK, OK, OK, Error, Overloaded, ConnectFailed, Reset, NotSent}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	retryAfter := rapid.SampledFrom([]time.Duration{0, 0, 0, 300 * ms, 50 * time.Second}).Draw(t, "retry-after")
	stream.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms)
	if len(stream.calls) > 0 {
		stream.finish(rapid.IntRange(0, len(stream.calls)-1).Draw(t, "call"), outcome, retryAfter)
	}
}

// listRandom drains an endpoint, returns it to service, or replaces it.
func (stream *eventStream) listRandom(t *rapid.T) {
	entry := &stream.endpoints[rapid.IntRange(0, len(stream.endpoints)-1).Draw(t, "endpoint")]
	if !rapid.Bool().Draw(t, "replace") {
		entry.InService = !entry.InService
		stream.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{*entry}})
		return
	}
	old := *entry
	old.Removed = true
	old.InService = false
	// The records do not cover state that the new endpoint inherits; blockerOf finds it in the copy of the Engine.
	delete(stream.consecutiveErrors, stream.scopeKey(entry.ID))
	delete(stream.recoveredAt, stream.scopeKey(entry.ID))
	entry.ID += "'"
	stream.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{old, *entry}})
}

// After any sequence of events, an evictable destination holds no binding state: no message, call, Retry-After,
// ejection, suspicion, warm-up or pacing rate.
func TestEvictableDestinationsHoldNoBindingState(t *testing.T) {
	evictable, streams := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		streams++
		if violation := newEventStream(t).run(nil, &evictable); violation != "" {
			t.Fatal(violation)
		}
	})
	if evictable < streams {
		t.Errorf("destinations evictable %d times in %d streams, want at least once per stream", evictable, streams)
	}
}

// The random streams detect each faulty variant of Evictable. Guards against streams that never reach the binding
// states, with which TestEvictableDestinationsHoldNoBindingState would always pass.
func TestForgetfulEvictionsAreDetected(t *testing.T) {
	for _, eviction := range faultyEvictions {
		t.Run(eviction.name, func(t *testing.T) {
			gen := rapid.Custom(func(t *rapid.T) string {
				evictable := 0
				return newEventStream(t).run(&eviction, &evictable)
			})
			for seed := range 600 {
				if violation := gen.Example(seed); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("none of 600 streams detects the faulty eviction")
		})
	}
}
