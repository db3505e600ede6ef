package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// disabledGuard changes what the Engine is told, as if one of its guards were taken out.
type disabledGuard struct {
	name     string
	rule     int
	settings func(*Settings)
	event    func(*Event)
	replace  func(*Engine) *Engine                                            // after each step
	step     func(engine *Engine, now time.Duration, events []Event) []Action // in place of the Engine's
	// clients send as often; 0: every fourth time, and waits are told with rejections alone
	acceptInterval int
}

type sentAttempt struct {
	endpoint   string
	sentAt     time.Duration
	inFlight   bool // no outcome yet
	mayHaveRun bool // may have run
}

type clientMessage struct {
	id          uint32
	class       Class
	key         string
	destination int
	deadline    time.Duration
	attempts    []sentAttempt
	ended       bool
}

type pendingEvent struct {
	at    time.Duration
	event Event
	call  *simulatedCall
}

// simulatedCall is one call of the world: messages to one endpoint in one reply.
type simulatedCall struct{ pending int }

// simulation is the clients, the endpoints and the checker.
type simulation struct {
	rng                 *rand.Rand
	settings            Settings
	now                 time.Duration
	endpoints           []Endpoint
	listed              map[string]Endpoint // as told
	messages            map[uint32]*clientMessage
	byKey               map[string][]*clientMessage
	pausedUntil         map[string]time.Duration
	retryAfterUntil     map[string]time.Duration   // by scope
	outages             map[int][2]time.Duration   // by destination: from, to
	consecutiveFailures map[string]int             // failures told in a row, by scope
	callsSinceRecovery  map[string][]time.Duration // by scope, since the return
	pending             []pendingEvent
	nextID              uint32
	callsInFlight       int
	violations          map[int]string
	delivered           int
	actionCounts        [3]int // sends, rejections, failures
	acceptInterval      int
	retryAfterOnAny     bool // with other answers than rejections
}

func (sim *simulation) violate(rule int, format string, args ...any) {
	if sim.violations[rule] == "" {
		sim.violations[rule] = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) scopeKey(entry Endpoint) string {
	if sim.settings.DestinationKinds[entry.Kind].LimitPerEndpoint {
		return entry.ID
	}
	return fmt.Sprint(entry.Destination)
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

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{rng: rng, settings: randomSettings(rng), now: time.Minute, violations: map[int]string{}, nextID: 1}
	sim.outages = map[int][2]time.Duration{}
	for d := range 4 {
		for i := range 1 + rng.IntN(3) {
			sim.endpoints = append(sim.endpoints, Endpoint{
				ID: fmt.Sprintf("r%d-%d", d, i), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 6, InService: true,
			})
		}
		from := sim.now + time.Duration(5+rng.IntN(20))*time.Second
		sim.outages[d] = [2]time.Duration{from, from + time.Duration(6+rng.IntN(8))*time.Second}
	}
	sim.reset()
	return sim
}

// reset starts the books anew, as for a fresh Engine.
func (sim *simulation) reset() {
	sim.listed, sim.messages, sim.byKey = map[string]Endpoint{}, map[uint32]*clientMessage{}, map[string][]*clientMessage{}
	sim.pausedUntil, sim.retryAfterUntil, sim.consecutiveFailures = map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
	sim.callsSinceRecovery, sim.pending, sim.callsInFlight = map[string][]time.Duration{}, nil, 0
}

// due events up to now, and new ones by chance.
func (sim *simulation) nextEvents(quiet bool) []Event {
	var events []Event
	slices.SortStableFunc(sim.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
	for len(sim.pending) > 0 && sim.pending[0].at <= sim.now {
		p := sim.pending[0]
		sim.pending = sim.pending[1:]
		if p.call != nil {
			if p.call.pending--; p.call.pending == 0 {
				sim.callsInFlight--
			}
		}
		if p.event.Kind == AttemptFinished {
			sim.recordOutcome(&p.event)
		}
		events = append(events, p.event)
	}
	if quiet {
		return events
	}
	for sim.rng.IntN(sim.acceptInterval) == 0 {
		c := sim.rng.IntN(len(sim.settings.Classes))
		key := ""
		if sim.settings.Classes[c].Ordered {
			key = fmt.Sprint("k", sim.rng.IntN(5))
		}
		msg := &clientMessage{id: sim.nextID, class: sim.settings.Classes[c], key: key, destination: sim.rng.IntN(5)}
		left := msg.class.Deadline - time.Duration(sim.rng.IntN(2000))*time.Millisecond
		msg.deadline = sim.now + left
		sim.nextID++
		sim.messages[msg.id] = msg
		if key != "" {
			sim.byKey[key] = append(sim.byKey[key], msg)
		}
		events = append(events, Event{
			Kind: MessageAccepted, MessageID: msg.id, Key: key, Class: c, Tenant: sim.rng.IntN(2),
			Destination: msg.destination, TimeLeft: left,
		})
	}
	switch sim.rng.IntN(400) {
	case 0: // an endpoint drains, or comes back
		entry := &sim.endpoints[sim.rng.IntN(len(sim.endpoints))]
		entry.InService = !entry.InService
		sim.listed[entry.ID] = *entry
		events = append(events, Event{Kind: EndpointDelta, Endpoints: []Endpoint{*entry}})
	case 1: // an endpoint goes for good and another takes its place
		i := sim.rng.IntN(len(sim.endpoints))
		old := sim.endpoints[i]
		old.Removed, old.InService = true, false
		sim.listed[old.ID] = old
		sim.endpoints[i].ID += "n"
		sim.endpoints[i].InService = true
		sim.listed[sim.endpoints[i].ID] = sim.endpoints[i]
		events = append(events, Event{Kind: EndpointDelta, Endpoints: []Endpoint{old, sim.endpoints[i]}})
	case 2: // a client goes
		for id := uint32(1); id < sim.nextID; id++ {
			if msg := sim.messages[id]; msg != nil && !msg.ended {
				msg.ended = true
				events = append(events, Event{Kind: MessageCancelled, MessageID: id})
				break
			}
		}
	case 3: // events of messages never held
		events = append(events, Event{Kind: AttemptFinished, MessageID: 4e9, Endpoint: "nowhere", Outcome: Timeout},
			Event{Kind: MessageCancelled, MessageID: 4e9 + 1}, Event{Kind: TimerFired})
	}
	return events
}

// recordOutcome books an outcome before the Engine hears of it.
func (sim *simulation) recordOutcome(event *Event) {
	msg := sim.messages[event.MessageID]
	if msg == nil {
		return
	}
	t := &msg.attempts[event.Attempt]
	t.inFlight = false
	t.mayHaveRun = event.Outcome != Overloaded && event.Outcome != ConnectFailed && event.Outcome != NotSent
	if event.Outcome == OK {
		msg.ended = true
		sim.delivered++
	}
	event.MessageEnded = msg.ended
	if event.Outcome == Timeout || event.Outcome == Reset || event.Outcome == Cancelled {
		sim.pausedUntil[msg.key] = max(sim.pausedUntil[msg.key], sim.now+sim.settings.OrderingPause)
	}
	entry := sim.listed[event.Endpoint]
	if event.RetryAfter > 0 {
		sim.retryAfterUntil[sim.scopeKey(entry)] = max(sim.retryAfterUntil[sim.scopeKey(entry)], sim.now+event.RetryAfter)
	}
	switch event.Outcome {
	case OK:
		sim.consecutiveFailures[sim.scopeKey(entry)] = 0
	case Timeout, ConnectFailed, Error, Reset:
		if span := sim.outages[msg.destination]; sim.now-event.Latency >= span[0] && sim.now < span[1] {
			sim.consecutiveFailures[sim.scopeKey(entry)]++
		}
	}
}

func (sim *simulation) apply(actions []Action) {
	calls := map[string]*simulatedCall{}
	for _, a := range actions {
		msg := sim.messages[a.MessageID]
		if (a.Kind == Send || a.Kind == Reject || a.Kind == Fail) && msg == nil {
			sim.violate(1, "an action for unknown message %d", a.MessageID)
			continue
		}
		switch a.Kind {
		case Send:
			sim.actionCounts[0]++
			sim.checkSend(msg, a)
			sim.simulateCall(msg, a, calls)
		case Reject:
			sim.actionCounts[1]++
			free := msg.class.Effect == Idempotent || msg.class.Effect == IdempotentByKey && msg.class.DedupAllZones
			for _, t := range msg.attempts {
				if (t.mayHaveRun || t.inFlight) && !free {
					sim.violate(2, "message %d rejected though it may have run", msg.id)
				}
			}
			msg.ended = true
		case Fail:
			sim.actionCounts[2]++
			msg.ended = true
		case SetTimer:
			sim.pending = append(sim.pending, pendingEvent{at: sim.now + a.Delay, event: Event{Kind: TimerFired}})
		}
	}
}

// simulateCall plays an attempt: its outcome comes later, at its cut at the latest.
func (sim *simulation) simulateCall(msg *clientMessage, a Action, calls map[string]*simulatedCall) {
	entry := sim.listed[a.Endpoint]
	event := Event{Kind: AttemptFinished, MessageID: msg.id, Attempt: len(msg.attempts), Endpoint: a.Endpoint}
	msg.attempts = append(msg.attempts, sentAttempt{endpoint: a.Endpoint, sentAt: sim.now, inFlight: true})
	c := calls[a.Endpoint]
	if c == nil || c.pending >= sim.settings.DestinationKinds[entry.Kind].MaxBatch {
		c = &simulatedCall{}
		calls[a.Endpoint] = c
		if sim.callsInFlight++; sim.callsInFlight > sim.settings.MaxInFlightCalls {
			sim.violate(1, "%d calls out, %d at most", sim.callsInFlight, sim.settings.MaxInFlightCalls)
		}
		span := sim.outages[msg.destination]
		sc := sim.scopeKey(entry)
		if sim.now >= span[1] && sim.now < span[1]+sim.settings.WarmUpDuration && (sim.consecutiveFailures[sc] >= 3 || sim.callsSinceRecovery[sc] != nil) {
			sim.checkRecovery(sc, span[1])
		}
	}
	c.pending++
	latency := time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
	down := sim.now >= sim.outages[msg.destination][0] && sim.now < sim.outages[msg.destination][1]
	switch n := sim.rng.IntN(40); {
	case down && msg.destination%3 == 0:
		latency = time.Hour // silent
	case down && msg.destination%3 == 1:
		event.Outcome = ConnectFailed
	case down:
		event.Outcome = Error
	case n < 4:
		event.Outcome = Overloaded
		if n < 2 {
			event.RetryAfter = time.Duration(200+sim.rng.IntN(900)) * time.Millisecond
		}
	case n == 4:
		event.Outcome = []Outcome{Error, Reset, Cancelled, NotSent}[sim.rng.IntN(4)]
	case n == 5:
		latency = time.Hour
	case n < 12 && sim.retryAfterOnAny:
		event.RetryAfter = time.Duration(200+sim.rng.IntN(3000)) * time.Millisecond
	}
	if msg.destination%3 == 2 && sim.now >= sim.outages[msg.destination][0]-time.Second {
		latency = min(latency, 300*time.Millisecond)
	}
	at := sim.now + latency
	if timeoutAt := min(a.TimeoutAt, msg.deadline); at > timeoutAt {
		at, event.Outcome, event.RetryAfter = max(timeoutAt, sim.now+time.Millisecond), Timeout, 0
	}
	event.Latency = at - sim.now
	sim.pending = append(sim.pending, pendingEvent{at: at, event: event, call: c})
}

// simulate runs one world and returns the rules broken.
func simulate(t *testing.T, seed uint64, guard disabledGuard) *simulation {
	t.Helper()
	sim := newSimulation(seed)
	sim.acceptInterval, sim.retryAfterOnAny = cmp.Or(guard.acceptInterval, 4), guard.acceptInterval > 0
	step := (*Engine).Step
	if guard.step != nil {
		step = guard.step
	}
	start := func() (*Engine, []Event) {
		settings := sim.settings
		settings.Classes = slices.Clone(settings.Classes)
		if guard.settings != nil {
			guard.settings(&settings)
		}
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		sim.reset()
		for _, entry := range sim.endpoints {
			sim.listed[entry.ID] = entry
		}
		return engine, []Event{{Kind: EndpointSnapshot, Endpoints: slices.Clone(sim.endpoints)}}
	}
	engine, first := start()
	restartAt := sim.now + time.Duration(30+sim.rng.IntN(10))*time.Second
	expiresAt := sim.now + time.Minute
	for sim.now < expiresAt {
		sim.now += 5 * time.Millisecond
		if restartAt > 0 && sim.now >= restartAt {
			engine, first = start()
			restartAt = 0
		}
		events := append(first, sim.nextEvents(sim.now > expiresAt-15*time.Second)...)
		first = nil
		if guard.event != nil {
			for i := range events {
				guard.event(&events[i])
			}
		}
		if len(events) > 0 {
			sim.apply(step(engine, sim.now, events))
			if guard.replace != nil {
				engine = guard.replace(engine)
			}
		}
		for id, msg := range sim.messages {
			over := msg.ended && !slices.ContainsFunc(msg.attempts, func(t sentAttempt) bool { return t.inFlight })
			if !msg.ended && sim.now > msg.deadline+20*time.Millisecond {
				sim.violate(1, "message %d has no answer at its deadline", id)
				msg.ended = true
			}
			if over && msg.key == "" {
				delete(sim.messages, id)
			}
		}
	}
	return sim
}
