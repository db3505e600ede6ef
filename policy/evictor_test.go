package policy

import (
	"slices"
	"testing"
	"time"
)

// evictor stands before an Engine as a relay with a long list does: it keeps the list, tells of a destination when it is
// first needed, and has it forgotten once it may rest. It does so without waiting for a destination to be idle, which
// is harder on what is forgotten.
type evictor struct {
	t         *testing.T
	forgetful *forgetfulEviction
	idleTime  time.Duration // least time without an event
	engine    *Engine
	endpoints []Endpoint
	lastUsed  map[int]time.Duration
	evictions int
}

func (ev *evictor) step(engine *Engine, now time.Duration, events []Event) []Action {
	if ev.engine != engine {
		ev.engine, ev.endpoints, ev.lastUsed = engine, nil, map[int]time.Duration{}
	}
	var told []Event
	for _, event := range events {
		switch event.Kind {
		case EndpointSnapshot:
			ev.endpoints = slices.Clone(event.Endpoints)
			continue
		case EndpointDelta:
			event.Endpoints = slices.DeleteFunc(slices.Clone(event.Endpoints), ev.update)
		case MessageAccepted:
			if _, is := ev.lastUsed[event.Destination]; !is {
				told = append(told, ev.listing(event.Destination, false))
			}
			ev.lastUsed[event.Destination] = now
		case AttemptFinished:
			if i := ev.index(event.Endpoint); i >= 0 {
				ev.lastUsed[ev.endpoints[i].Destination] = now
			}
		}
		told = append(told, event)
	}
	actions := slices.Clone(engine.Step(now, told))
	for d := range 5 {
		if at, is := ev.lastUsed[d]; is && now >= at+ev.idleTime && ev.forgetful.evictable(ev.t, engine, d) {
			actions = append(actions, engine.Step(now, []Event{ev.listing(d, true)})...)
			delete(ev.lastUsed, d)
			ev.evictions++
		}
	}
	return actions
}

func (ev *evictor) index(endpointID string) int {
	return slices.IndexFunc(ev.endpoints, func(entry Endpoint) bool { return entry.ID == endpointID })
}

// update takes on an entry, and tells whether it is of a destination at rest.
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
	_, is := ev.lastUsed[entry.Destination]
	return !is
}

func (ev *evictor) listing(destinationID int, removed bool) Event {
	event := Event{Kind: EndpointDelta}
	for _, entry := range ev.endpoints {
		if entry.Destination == destinationID {
			entry.Removed = removed
			event.Endpoints = append(event.Endpoints, entry)
		}
	}
	return event
}

// simulateWithEvictor plays a world whose clients send less, so that destinations come to rest, and whose endpoints tell waits with
// whatever answer.
func simulateWithEvictor(t *testing.T, seed uint64, every int, forgetful *forgetfulEviction) (*simulation, *evictor) {
	ev := &evictor{t: t, forgetful: forgetful}
	return simulate(t, seed, disabledGuard{acceptInterval: every, step: ev.step}), ev
}

// An Engine behind a front keeps the six rules by the books of the property test.
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
		t.Errorf("%d rests in 40 plays: they show too little", evictions)
	}
}

// forgetPacing overlooks what a rejection, calls and failures left behind.
func forgetPacing(scope *limitScope) {
	scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt, scope.pacingRate, scope.consecutiveFailures, scope.connectExhaustions = 1, 0, 0, 0, 0, 0
}

func TestForgettingRetryAfterBreaksItsRule(t *testing.T) {
	forgetful := &forgetfulEviction{forgetScope: func(scope *limitScope) {
		forgetPacing(scope)
		scope.retryAfterUntil = 0
	}}
	for seed := range uint64(60) {
		if sim, _ := simulateWithEvictor(t, seed, 80, forgetful); sim.violations[5] != "" {
			t.Logf("seed %d: %s", seed, sim.violations[5])
			return
		}
	}
	t.Error("no play of 60 broke it")
}

// sendBurst hands n messages to destination 1 and counts the calls of the next span, each answered after 20 ms.
func sendBurst(
	step func(time.Duration, []Event) []Action,
	now *time.Duration,
	id *uint32,
	n int,
	outcome Outcome,
	span time.Duration,
) (calls int) {
	var events []Event
	for range n {
		*id++
		events = append(events, Event{Kind: MessageAccepted, MessageID: *id, Destination: 1, TimeLeft: span - 500*ms})
	}
	attempts := map[uint32]int{}
	for expiresAt := *now + span; *now < expiresAt; *now += 20 * ms {
		actions := slices.Clone(step(*now, events))
		events = nil
		for _, a := range actions {
			if a.Kind == Send {
				calls++
				events = append(
					events,
					Event{
						Kind:         AttemptFinished,
						MessageID:    a.MessageID,
						Attempt:      attempts[a.MessageID],
						Endpoint:     a.Endpoint,
						Outcome:      outcome,
						Latency:      20 * ms,
						MessageEnded: outcome == OK,
					},
				)
				attempts[a.MessageID]++
			}
		}
	}
	step(*now, events)
	return calls
}

// newTwoEndpointEvictor is a front before a fresh relay, with destination 1 of two endpoints.
func newTwoEndpointEvictor(
	t *testing.T,
	seed uint64,
	relays int,
	forgetful *forgetfulEviction,
	idle time.Duration,
) (ev *evictor, step func(time.Duration, []Event) []Action) {
	settings := testSettings()
	settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages = relays, 20, 1000
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	ev = &evictor{t: t, forgetful: forgetful, idleTime: idle}
	step = func(now time.Duration, events []Event) []Action { return ev.step(engine, now, events) }
	// Separate endpoints: of others the scope outlasts its endpoints for a warm-up, whatever is put to rest.
	step(time.Minute, []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{
		{ID: "a", Destination: 1, Kind: 1, Weight: 6, InService: true},
		{ID: "b", Destination: 1, Kind: 1, Weight: 6, InService: true},
	}}})
	return ev, step
}

const forever = 1000 * time.Hour

// A destination that comes back from an outage takes no more calls, whether it may be put to rest meanwhile or not. A
// front that forgets outages pours its backlog out.
func TestEvictionOverloadsNoRecoveringDestination(t *testing.T) {
	play := func(forgetful *forgetfulEviction, idle time.Duration) (calls, evictions int) {
		for seed := range uint64(20) {
			ev, step := newTwoEndpointEvictor(t, seed, 1, forgetful, idle)
			now, id := time.Minute, uint32(0)
			sendBurst(step, &now, &id, 5, Error, 4*time.Second)
			sendBurst(step, &now, &id, 1, OK, 8*time.Second)
			was := ev.evictions
			calls += sendBurst(step, &now, &id, 30, OK, testSettings().OverloadWindow)
			evictions += was
		}
		return calls, evictions
	}
	told, _ := play(nil, forever)
	fronted, _ := play(nil, 0)
	forgot, evictions := play(&forgetfulEviction{forgetScope: func(scope *limitScope) {
		forgetPacing(scope)
		scope.suspectRemovedAt = -time.Hour
		forEachEndpoint(func(ep *endpoint) { ep.ejectedUntil, ep.ejected, ep.warmingUp = 0, false, false })(scope)
	}}, 0)
	t.Logf(
		"%d calls where all is told, %d behind a front, %d behind one that forgets outages, after %d rests",
		told,
		fronted,
		forgot,
		evictions,
	)
	if fronted > told+told/20 {
		t.Errorf("%d calls behind a front, %d where all is told", fronted, told)
	}
	if forgot < 2*told || evictions == 0 {
		t.Error("a front that forgets outages is not seen")
	}
}

// Messages with rests between take no more calls of one of 3,000 relays than where nothing is ever put to rest, and
// those after a rest no more than the first at a relay that has just started; where a call's worth is not waited for
// they do.
func TestEvictionDoesNotCircumventPacing(t *testing.T) {
	const later = 20
	const seeds = 60
	freshCalls := 0 // calls of so many relays that have just started
	for seed := range uint64(seeds * later) {
		_, step := newTwoEndpointEvictor(t, seeds+seed, 3000, nil, forever)
		now, id := time.Minute, uint32(0)
		freshCalls += sendBurst(step, &now, &id, 1, OK, 3*time.Second)
	}
	play := func(forgetful *forgetfulEviction, idle, pause time.Duration) (after, evictions int) {
		for seed := range uint64(seeds) {
			ev, step := newTwoEndpointEvictor(t, seed, 3000, forgetful, idle)
			now, id := time.Minute, uint32(0)
			sendBurst(step, &now, &id, 1, OK, 3*time.Second)
			for range later {
				now += pause
				step(now, []Event{{Kind: TimerFired}})
				after += sendBurst(step, &now, &id, 1, OK, 3*time.Second)
			}
			evictions += ev.evictions
		}
		return after, evictions
	}
	warmUp := testSettings().WarmUpDuration
	for _, pause := range []time.Duration{warmUp + 2*time.Second, 90 * time.Second, 600 * time.Second} {
		told, _ := play(nil, forever, pause)
		fronted, evictions := play(nil, warmUp, pause)
		forgot, _ := play(&forgetfulEviction{forgetScope: forgetPacing}, warmUp, pause)
		t.Logf(
			"a message each %v: %d calls where all is told, %d with %d rests, %d where pacing rates are forgotten; %d at fresh relays",
			pause,
			told,
			fronted,
			evictions,
			forgot,
			freshCalls,
		)
		if fronted > told+told/20 || fronted > freshCalls+freshCalls/20 || evictions == 0 {
			t.Errorf(
				"a message each %v: %d calls behind a front, %d where all is told, %d at fresh relays, %d rests",
				pause,
				fronted,
				told,
				freshCalls,
				evictions,
			)
		}
		if pause < time.Minute && forgot < told+told/3 {
			t.Error("rests that forget pacing rates are not seen")
		}
	}
}
