package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation runs an Engine with long random but valid event sequences of clients, endpoints, outages and a
// restart. A checker checks the Engine's actions against the six rules, see rules_test.go. The checker keeps its
// own records and shares no code with the guards of the package.
type simulation struct {
	rng       *rand.Rand
	settings  Settings
	now       time.Duration
	endpoints []Endpoint
	outages   map[DestinationID]outage // by destination
	pending   []pendingEvent
	nextID    MessageID
	delivered int
	counts    actionCounts
	// In each step, messages are accepted while a draw with a probability of 1/acceptInterval succeeds.
	acceptInterval int
	// retryAfterOnAny lets any answer carry a Retry-After, not only rejections.
	retryAfterOnAny bool

	// Records of the checker.
	violations          map[int]string      // the first violation of each rule
	listed              map[string]Endpoint // last reported state, by endpoint
	messages            map[MessageID]*clientMessage
	byKey               map[string][]*clientMessage
	pausedUntil         map[string]time.Duration   // by ordering key
	retryAfterUntil     map[string]time.Duration   // by scope
	consecutiveFailures map[string]int             // during the outage, by scope
	callsSinceRecovery  map[string][]time.Duration // by scope
	callsInFlight       int
}

// outage is the time in which a destination fails all calls.
type outage struct{ from, to time.Duration }

func (o outage) contains(at time.Duration) bool { return at >= o.from && at < o.to }

// actionCounts counts actions by kind.
type actionCounts struct{ sends, rejections, failures int }

// sentAttempt is an attempt as the checker records it.
type sentAttempt struct {
	endpoint   string
	sentAt     time.Duration
	inFlight   bool
	mayHaveRun bool
}

// clientMessage is a message as the checker records it.
type clientMessage struct {
	id          MessageID
	class       Class
	key         string
	destination DestinationID
	deadline    time.Duration
	attempts    []sentAttempt
	ended       bool
}

func (msg *clientMessage) hasAttemptInFlight() bool {
	return slices.ContainsFunc(msg.attempts, func(a sentAttempt) bool { return a.inFlight })
}

// pendingEvent is an event that the Engine receives later.
type pendingEvent struct {
	at    time.Duration
	event Event
	call  *simulatedCall // the call of the ended attempt; nil for other events
}

// simulatedCall is one call: messages to one endpoint from one step.
type simulatedCall struct{ pending int }

// violate records a violation of a rule.
func (sim *simulation) violate(rule int, format string, args ...any) {
	if sim.violations[rule] == "" {
		sim.violations[rule] = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

// scopeKey identifies the limit scope of an endpoint.
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
		Tenants:               []Tenant{{Quota: 5}, {}},
		FleetSize:             1,
		MaxInFlightCalls:      3 + rng.IntN(12),
		MaxPendingMessages:    30 + rng.IntN(200),
		MaxAttempts:           4 + rng.IntN(8),
		MaxRetryAfter:         2 * time.Second,
		WarmUpInitialCapacity: 0.05,
		WarmUpDuration:        20 * time.Second,
		OverloadFactor:        1,
		OverloadWindow:        3 * time.Second,
		OrderingPause:         150 * time.Millisecond,
	}
}

// listedWeight is the capacity of each endpoint of a simulation, in calls a second.
const listedWeight = 6

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{
		rng:        rng,
		settings:   randomSettings(rng),
		now:        time.Minute,
		outages:    map[DestinationID]outage{},
		violations: map[int]string{},
		nextID:     1,
	}
	for destinationID := range DestinationID(4) {
		for i := range 1 + rng.IntN(3) {
			sim.endpoints = append(sim.endpoints, Endpoint{
				ID:          fmt.Sprintf("r%d-%d", destinationID, i),
				Destination: destinationID,
				Kind:        int(destinationID % 2),
				Zone:        i % 2,
				Weight:      listedWeight,
				InService:   true,
			})
		}
		from := sim.now + time.Duration(5+rng.IntN(20))*time.Second
		sim.outages[destinationID] = outage{from: from, to: from + time.Duration(6+rng.IntN(8))*time.Second}
	}
	sim.reset()
	return sim
}

// reset clears the records, as for a new Engine.
func (sim *simulation) reset() {
	sim.listed = map[string]Endpoint{}
	sim.messages = map[MessageID]*clientMessage{}
	sim.byKey = map[string][]*clientMessage{}
	sim.pausedUntil = map[string]time.Duration{}
	sim.retryAfterUntil = map[string]time.Duration{}
	sim.consecutiveFailures = map[string]int{}
	sim.callsSinceRecovery = map[string][]time.Duration{}
	sim.pending = nil
	sim.callsInFlight = 0
}

// nextEvents returns the events that are due and, unless the simulation is quiet, random new ones.
func (sim *simulation) nextEvents(quiet bool) []Event {
	events := sim.dueEvents()
	if quiet {
		return events
	}
	for sim.rng.IntN(sim.acceptInterval) == 0 {
		events = append(events, sim.acceptMessage())
	}
	return append(events, sim.rareEvents()...)
}

// dueEvents returns the pending events up to now.
func (sim *simulation) dueEvents() (events []Event) {
	slices.SortStableFunc(sim.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
	for len(sim.pending) > 0 && sim.pending[0].at <= sim.now {
		due := sim.pending[0]
		sim.pending = sim.pending[1:]
		if due.call != nil {
			due.call.pending--
			if due.call.pending == 0 {
				sim.callsInFlight--
			}
		}
		if due.event.Kind == AttemptFinished {
			sim.recordOutcome(&due.event)
		}
		events = append(events, due.event)
	}
	return events
}

// acceptMessage submits a random message.
func (sim *simulation) acceptMessage() Event {
	classIndex := sim.rng.IntN(len(sim.settings.Classes))
	class := sim.settings.Classes[classIndex]
	key := ""
	if class.Ordered {
		key = fmt.Sprint("k", sim.rng.IntN(5))
	}
	msg := &clientMessage{id: sim.nextID, class: class, key: key, destination: DestinationID(sim.rng.IntN(5))}
	left := class.Deadline - time.Duration(sim.rng.IntN(2000))*time.Millisecond
	msg.deadline = sim.now + left
	sim.nextID++
	sim.messages[msg.id] = msg
	if key != "" {
		sim.byKey[key] = append(sim.byKey[key], msg)
	}
	return Event{
		Kind:        MessageAccepted,
		MessageID:   msg.id,
		Key:         key,
		Class:       classIndex,
		Tenant:      sim.rng.IntN(2),
		Destination: msg.destination,
		TimeLeft:    left,
	}
}

// rareEvents returns, once in a hundred calls, changes of the endpoint list, a cancelled message or unknown
// messages.
func (sim *simulation) rareEvents() []Event {
	switch sim.rng.IntN(400) {
	case 0: // an endpoint drains, or comes back
		entry := &sim.endpoints[sim.rng.IntN(len(sim.endpoints))]
		entry.InService = !entry.InService
		sim.listed[entry.ID] = *entry
		return []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{*entry}}}
	case 1: // another endpoint replaces one permanently
		i := sim.rng.IntN(len(sim.endpoints))
		old := sim.endpoints[i]
		old.Removed = true
		old.InService = false
		sim.listed[old.ID] = old
		sim.endpoints[i].ID += "n"
		sim.endpoints[i].InService = true
		sim.listed[sim.endpoints[i].ID] = sim.endpoints[i]
		return []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{old, sim.endpoints[i]}}}
	case 2: // a client goes away
		for id := MessageID(1); id < sim.nextID; id++ {
			if msg := sim.messages[id]; msg != nil && !msg.ended {
				msg.ended = true
				return []Event{{Kind: MessageCancelled, MessageID: id}}
			}
		}
	case 3: // events of messages that were never accepted
		return []Event{
			{Kind: AttemptFinished, MessageID: 4e9, Endpoint: "nowhere", Outcome: Timeout},
			{Kind: MessageCancelled, MessageID: 4e9 + 1},
			{Kind: TimerFired},
		}
	}
	return nil
}

// recordOutcome records the outcome of an attempt before the Engine receives it.
func (sim *simulation) recordOutcome(event *Event) {
	msg := sim.messages[event.MessageID]
	if msg == nil {
		return
	}
	attempt := &msg.attempts[event.Attempt]
	attempt.inFlight = false
	attempt.mayHaveRun = event.Outcome != Overloaded && event.Outcome != ConnectFailed && event.Outcome != NotSent
	if event.Outcome == OK {
		msg.ended = true
		sim.delivered++
	}
	event.MessageEnded = msg.ended
	if event.Outcome == Timeout || event.Outcome == Reset || event.Outcome == Cancelled {
		sim.pausedUntil[msg.key] = max(sim.pausedUntil[msg.key], sim.now+sim.settings.OrderingPause)
	}
	scope := sim.scopeKey(sim.listed[event.Endpoint])
	if event.RetryAfter > 0 {
		sim.retryAfterUntil[scope] = max(sim.retryAfterUntil[scope], sim.now+event.RetryAfter)
	}
	switch event.Outcome {
	case OK:
		sim.consecutiveFailures[scope] = 0
	case Timeout, ConnectFailed, Error, Reset:
		out := sim.outages[msg.destination]
		if sim.now-event.Latency >= out.from && sim.now < out.to {
			sim.consecutiveFailures[scope]++
		}
	}
}

// apply carries out the actions of a step and checks them.
func (sim *simulation) apply(actions []Action) {
	calls := map[string]*simulatedCall{} // of this step, by endpoint
	for _, a := range actions {
		if a.Kind == SetTimer {
			timer := pendingEvent{at: sim.now + a.Delay, event: Event{Kind: TimerFired}}
			sim.pending = append(sim.pending, timer)
			continue
		}
		if a.Kind != Send && a.Kind != Reject && a.Kind != Fail {
			continue
		}
		msg := sim.messages[a.MessageID]
		if msg == nil {
			sim.violate(1, "an action for unknown message %d", a.MessageID)
			continue
		}
		switch a.Kind {
		case Send:
			sim.counts.sends++
			sim.checkSend(msg, a)
			sim.simulateAttempt(msg, a, calls)
		case Reject:
			sim.counts.rejections++
			sim.checkRejection(msg)
			msg.ended = true
		case Fail:
			sim.counts.failures++
			msg.ended = true
		}
	}
}

// simulateAttempt adds an attempt to a call. Its outcome follows later, no later than its timeout.
func (sim *simulation) simulateAttempt(msg *clientMessage, a Action, calls map[string]*simulatedCall) {
	entry := sim.listed[a.Endpoint]
	event := Event{Kind: AttemptFinished, MessageID: msg.id, Attempt: len(msg.attempts), Endpoint: a.Endpoint}
	msg.attempts = append(msg.attempts, sentAttempt{endpoint: a.Endpoint, sentAt: sim.now, inFlight: true})
	call := calls[a.Endpoint]
	if call == nil || call.pending >= sim.settings.DestinationKinds[entry.Kind].MaxBatch {
		call = &simulatedCall{}
		calls[a.Endpoint] = call
		sim.checkCall(msg, entry)
	}
	call.pending++
	latency := sim.drawOutcome(msg, &event)
	at := sim.now + latency
	if timeoutAt := min(a.TimeoutAt, msg.deadline); at > timeoutAt {
		at = max(timeoutAt, sim.now+time.Millisecond)
		event.Outcome = Timeout
		event.RetryAfter = 0
	}
	event.Latency = at - sim.now
	sim.pending = append(sim.pending, pendingEvent{at: at, event: event, call: call})
}

// drawOutcome draws the outcome of an attempt, without its timeout, and returns its latency.
func (sim *simulation) drawOutcome(msg *clientMessage, event *Event) time.Duration {
	const noAnswer = time.Hour
	latency := time.Duration(20+sim.rng.IntN(400)) * time.Millisecond
	out := sim.outages[msg.destination]
	failing := out.contains(sim.now)
	switch n := sim.rng.IntN(40); {
	case failing && msg.destination%3 == 0:
		latency = noAnswer
	case failing && msg.destination%3 == 1:
		event.Outcome = ConnectFailed
	case failing:
		event.Outcome = Error
	case n < 4:
		event.Outcome = Overloaded
		if n < 2 {
			event.RetryAfter = time.Duration(200+sim.rng.IntN(900)) * time.Millisecond
		}
	case n == 4:
		event.Outcome = []Outcome{Error, Reset, Cancelled, NotSent}[sim.rng.IntN(4)]
	case n == 5:
		latency = noAnswer
	case n < 12 && sim.retryAfterOnAny:
		event.RetryAfter = time.Duration(200+sim.rng.IntN(3000)) * time.Millisecond
	}
	if msg.destination%3 == 2 && sim.now >= out.from-time.Second {
		latency = min(latency, 300*time.Millisecond)
	}
	return latency
}

// start returns a new Engine for the simulation and the events of its first step.
func (sim *simulation) start(t *testing.T, seed uint64, guard disabledGuard) (*Engine, []Event) {
	t.Helper()
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

// simulate runs a simulation of a minute, with a restart, and returns it with the rules that were violated. The
// last quarter of the minute has no new messages.
func simulate(t *testing.T, seed uint64, guard disabledGuard) *simulation {
	t.Helper()
	sim := newSimulation(seed)
	sim.acceptInterval = cmp.Or(guard.acceptInterval, 4)
	sim.retryAfterOnAny = guard.acceptInterval > 0
	step := (*Engine).Step
	if guard.step != nil {
		step = guard.step
	}
	engine, initial := sim.start(t, seed, guard)
	restartAt := sim.now + time.Duration(30+sim.rng.IntN(10))*time.Second
	endAt := sim.now + time.Minute
	for sim.now < endAt {
		sim.now += 5 * time.Millisecond
		if restartAt > 0 && sim.now >= restartAt {
			engine, initial = sim.start(t, seed, guard)
			restartAt = 0
		}
		events := slices.Concat(initial, sim.nextEvents(sim.now > endAt-15*time.Second))
		initial = nil
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
		sim.checkDeadlines()
	}
	return sim
}
