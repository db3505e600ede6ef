package policy

import (
	"slices"
	"testing"
	"time"
)

// evictor passes events to an Engine as a relay with a long endpoint list does: it keeps the list, adds a
// destination to the Engine when a message first needs it, and evicts the destination once Evictable allows that.
// An idleTime of 0 evicts destinations without waiting until they are idle, which is a stricter test of what an
// eviction loses.
type evictor struct {
	t         *testing.T
	faulty    *faultyEviction // decides on evictions; nil: Evictable itself
	idleTime  time.Duration   // minimum time between the last use of a destination and its eviction
	engine    *Engine
	endpoints []Endpoint
	lastUsed  map[DestinationID]time.Duration
	evictions int
}

// step replaces Engine.Step in simulations: it adds and evicts destinations as needed.
func (ev *evictor) step(engine *Engine, now time.Duration, events []Event) []Action {
	if ev.engine != engine {
		ev.engine = engine
		ev.endpoints = nil
		ev.lastUsed = map[DestinationID]time.Duration{}
	}
	var forwarded []Event
	for _, event := range events {
		switch event.Kind {
		case EndpointSnapshot:
			ev.endpoints = slices.Clone(event.Endpoints)
			continue
		case EndpointDelta:
			event.Endpoints = slices.DeleteFunc(slices.Clone(event.Endpoints), ev.update)
		case MessageAccepted:
			if _, listed := ev.lastUsed[event.Destination]; !listed {
				forwarded = append(forwarded, ev.listing(event.Destination, false))
			}
			ev.lastUsed[event.Destination] = now
		case AttemptFinished:
			if i := ev.index(event.Endpoint); i >= 0 {
				ev.lastUsed[ev.endpoints[i].Destination] = now
			}
		}
		forwarded = append(forwarded, event)
	}
	actions := slices.Clone(engine.Step(now, forwarded))
	for destinationID := range DestinationID(5) {
		usedAt, listed := ev.lastUsed[destinationID]
		if listed && now >= usedAt+ev.idleTime && ev.faulty.evictable(ev.t, engine, destinationID) {
			actions = append(actions, engine.Step(now, []Event{ev.listing(destinationID, true)})...)
			delete(ev.lastUsed, destinationID)
			ev.evictions++
		}
	}
	return actions
}

// index returns the index of an endpoint in the list; -1 if it is not there.
func (ev *evictor) index(endpointID string) int {
	return slices.IndexFunc(ev.endpoints, func(entry Endpoint) bool { return entry.ID == endpointID })
}

// update applies an entry to the list, and reports whether its destination is not in the Engine.
func (ev *evictor) update(entry Endpoint) bool {
	i := ev.index(entry.ID)
	switch {
	case entry.Removed && i >= 0:
		ev.endpoints = slices.Delete(ev.endpoints, i, i+1)
	case i >= 0:
		ev.endpoints[i] = entry
	case !entry.Removed:
		ev.endpoints = append(ev.endpoints, entry)
	}
	_, listed := ev.lastUsed[entry.Destination]
	return !listed
}

// listing returns the event that adds all endpoints of a destination, or removes them.
func (ev *evictor) listing(destinationID DestinationID, removed bool) Event {
	event := Event{Kind: EndpointDelta}
	for _, entry := range ev.endpoints {
		if entry.Destination == destinationID {
			entry.Removed = removed
			event.Endpoints = append(event.Endpoints, entry)
		}
	}
	return event
}

// simulateWithEvictor runs a simulation with an evictor. There are fewer messages, so that destinations become
// evictable, and any answer may carry a Retry-After.
func simulateWithEvictor(
	t *testing.T,
	seed uint64,
	acceptInterval int,
	faulty *faultyEviction,
) (*simulation, *evictor) {
	t.Helper()
	ev := &evictor{t: t, faulty: faulty}
	return simulate(t, seed, disabledGuard{acceptInterval: acceptInterval, step: ev.step}), ev
}

// An Engine whose destinations are evicted keeps the six rules, according to the simulation's checker.
func TestSixRulesWithEviction(t *testing.T) {
	evictions := 0
	for seed := range uint64(40) {
		sim, ev := simulateWithEvictor(t, seed, 20+int(seed%4)*20, nil)
		evictions += ev.evictions
		for rule := 1; rule <= 6; rule++ {
			if sim.violations[rule] != "" {
				t.Errorf("seed %d, rule %d: %s", seed, rule, sim.violations[rule])
			}
		}
	}
	if evictions < 40*10 {
		t.Errorf("%d evictions in 40 runs, want at least 400", evictions)
	}
}

// clearPacing clears the state that rejections, calls and failures have left in a scope.
func clearPacing(scope *limitScope) {
	scope.pacingRate = 0
	scope.tokens = 1
	scope.tokensUpdatedAt = 0
	scope.decreasedAt = 0
	scope.consecutiveFailures = 0
	scope.connectExhaustions = 0
}

func TestForgettingRetryAfterBreaksItsRule(t *testing.T) {
	faulty := &faultyEviction{clearScope: func(scope *limitScope) {
		clearPacing(scope)
		scope.retryAfterUntil = 0
	}}
	for seed := range uint64(60) {
		if sim, _ := simulateWithEvictor(t, seed, 80, faulty); sim.violations[5] != "" {
			t.Logf("seed %d: %s", seed, sim.violations[5])
			return
		}
	}
	t.Error("none of 60 runs violated rule 5")
}

// evictingRelay is an Engine with an evictor. Its endpoint list has destination 1 only, with two endpoints.
type evictingRelay struct {
	*evictor
	relay  *Engine
	now    time.Duration
	nextID MessageID
}

func newEvictingRelay(
	t *testing.T,
	seed uint64,
	fleetSize int,
	faulty *faultyEviction,
	idleTime time.Duration,
) *evictingRelay {
	t.Helper()
	settings := testSettings()
	settings.FleetSize = fleetSize
	settings.MaxInFlightCalls = 20
	settings.MaxPendingMessages = 1000
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &evictingRelay{
		evictor: &evictor{t: t, faulty: faulty, idleTime: idleTime},
		relay:   engine,
		now:     time.Minute,
		nextID:  1,
	}
	// Each endpoint has its own scope, since a shared one stays for WarmUpDuration after an eviction of its
	// endpoints.
	r.events(Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{
		{ID: "a", Destination: 1, Kind: 1, Weight: 6, InService: true},
		{ID: "b", Destination: 1, Kind: 1, Weight: 6, InService: true},
	}})
	return r
}

// events passes events to the evictor at the current time.
func (r *evictingRelay) events(events ...Event) []Action {
	return slices.Clone(r.step(r.relay, r.now, events))
}

// burst submits n messages and counts the calls within the given length of time. Each call ends after 20 ms with
// the given outcome.
func (r *evictingRelay) burst(n int, outcome Outcome, length time.Duration) (calls int) {
	const latency = 20 * ms
	var events []Event
	for range n {
		accepted := Event{Kind: MessageAccepted, MessageID: r.nextID, Destination: 1, TimeLeft: length - 500*ms}
		events = append(events, accepted)
		r.nextID++
	}
	attempts := map[MessageID]int{}
	for end := r.now + length; r.now < end; r.now += latency {
		actions := r.events(events...)
		events = nil
		for _, a := range actions {
			if a.Kind != Send {
				continue
			}
			calls++
			events = append(events, Event{
				Kind:         AttemptFinished,
				MessageID:    a.MessageID,
				Attempt:      attempts[a.MessageID],
				Endpoint:     a.Endpoint,
				Outcome:      outcome,
				Latency:      latency,
				MessageEnded: outcome == OK,
			})
			attempts[a.MessageID]++
		}
	}
	r.events(events...)
	return calls
}

const forever = 1000 * time.Hour

// A destination that recovers from an outage gets no more calls with evictions than without. Evictions that lose
// the state of an outage would overload the destination with the backlog.
func TestEvictionOverloadsNoRecoveringDestination(t *testing.T) {
	run := func(faulty *faultyEviction, idleTime time.Duration) (calls, evictions int) {
		for seed := range uint64(20) {
			r := newEvictingRelay(t, seed, 1, faulty, idleTime)
			r.burst(5, Error, 4*time.Second)
			r.burst(1, OK, 8*time.Second)
			evictions += r.evictions
			calls += r.burst(30, OK, testSettings().OverloadWindow)
		}
		return calls, evictions
	}
	without, _ := run(nil, forever)
	with, _ := run(nil, 0)
	faultyCalls, evictions := run(&faultyEviction{clearScope: func(scope *limitScope) {
		clearPacing(scope)
		scope.suspectRemovedAt = -time.Hour
		forEachEndpoint(func(ep *endpoint) { ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false })(scope)
	}}, 0)
	t.Logf("%d calls without evictions, %d with them, %d with %d evictions that lose outages",
		without, with, faultyCalls, evictions)
	if with > without+without/20 {
		t.Errorf("%d calls with evictions, want at most 5%% more than the %d without", with, without)
	}
	if faultyCalls < 2*without || evictions == 0 {
		t.Error("evictions that lose outages are not detected")
	}
}

// A relay of a fleet of 3,000 makes no more calls with evictions between its messages than without, and no more
// than relays that have just started. Evictions that do not wait until the token for the next call is earned would
// allow more calls.
func TestEvictionDoesNotCircumventPacing(t *testing.T) {
	const fleetSize = 3000
	const messages = 20 // after the first
	const seeds = 60
	const length = 3 * time.Second
	started := 0 // calls of seeds * messages relays that have just started
	for seed := range uint64(seeds * messages) {
		started += newEvictingRelay(t, seeds+seed, fleetSize, nil, forever).burst(1, OK, length)
	}
	run := func(faulty *faultyEviction, idleTime, pause time.Duration) (calls, evictions int) {
		for seed := range uint64(seeds) {
			r := newEvictingRelay(t, seed, fleetSize, faulty, idleTime)
			r.burst(1, OK, length)
			for range messages {
				r.now += pause
				r.events(Event{Kind: TimerFired})
				calls += r.burst(1, OK, length)
			}
			evictions += r.evictions
		}
		return calls, evictions
	}
	warmUp := testSettings().WarmUpDuration
	for _, pause := range []time.Duration{warmUp + 2*time.Second, 90 * time.Second, 600 * time.Second} {
		without, _ := run(nil, forever, pause)
		with, evictions := run(nil, warmUp, pause)
		faultyCalls, _ := run(&faultyEviction{clearScope: clearPacing}, warmUp, pause)
		t.Logf("a message every %v: %d calls without evictions, %d with %d evictions, %d with evictions that lose "+
			"pacing state, %d of relays that have just started", pause, without, with, evictions, faultyCalls, started)
		if with > without+without/20 || with > started+started/20 || evictions == 0 {
			t.Errorf("a message every %v: %d calls with %d evictions, %d without, %d of relays that have just started",
				pause, with, evictions, without, started)
		}
		if pause < time.Minute && faultyCalls < without+without/3 {
			t.Error("evictions that lose pacing state are not detected")
		}
	}
}
