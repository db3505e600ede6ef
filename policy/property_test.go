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
// that it can fail, TestCheckerDetectsDisabledGuards blinds a Sender for one guard at a time.

// disabledGuard changes what the Sender is told, as if one of its guards were taken out.
type disabledGuard struct {
	name     string
	rule     int
	settings func(*Settings)
	event    func(*Event)
	replace     func(*Engine) *Engine                                         // after each step
	step     func(engine *Engine, now time.Duration, evs []Event) []Action // in place of the Sender's
	// clients send as often; 0: every fourth time, and waits are told with refusals alone
	acceptInterval int
}

type sentAttempt struct {
	endpoint string
	sentAt  time.Duration
	inFlight   bool // no outcome yet
	mayHaveRun   bool // may have run
}

type clientMessage struct {
	id       uint32
	class    Class
	key      string
	destination     int
	deadline time.Duration
	attempts    []sentAttempt
	ended    bool
}

type pendingEvent struct {
	at time.Duration
	event Event
	call  *simulatedCall
}

// simulatedCall is one call of the world: messages to one route in one reply.
type simulatedCall struct{ pending int }

// simulation is the clients, the routes and the checker.
type simulation struct {
	rng      *rand.Rand
	settings      Settings
	now      time.Duration
	endpoints   []Endpoint
	listed   map[string]Endpoint // as told
	messages     map[uint32]*clientMessage
	byKey     map[string][]*clientMessage
	pausedUntil     map[string]time.Duration
	retryAfterUntil    map[string]time.Duration   // by scope
	outages   map[int][2]time.Duration   // by destination: from, to
	consecutiveFailures     map[string]int             // failures told in a row, by scope
	callsSinceRecovery    map[string][]time.Duration // by scope, since the return
	pending  []pendingEvent
	nextID   uint32
	callsInFlight    int
	violations   map[int]string
	delivered int
	actionCounts     [3]int // sends, refusals, failures
	acceptInterval    int
	retryAfterOnAny bool // with other answers than refusals
}

func (w *simulation) violate(rule int, format string, args ...any) {
	if w.violations[rule] == "" {
		w.violations[rule] = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *simulation) scopeKey(l Endpoint) string {
	if w.settings.DestinationKinds[l.Kind].LimitPerEndpoint {
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

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{rng: rng, settings: randomSettings(rng), now: time.Minute, violations: map[int]string{}, nextID: 1}
	w.outages = map[int][2]time.Duration{}
	for d := range 4 {
		for i := range 1 + rng.IntN(3) {
			w.endpoints = append(w.endpoints, Endpoint{
				ID: fmt.Sprintf("r%d-%d", d, i), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 6, InService: true,
			})
		}
		from := w.now + time.Duration(5+rng.IntN(20))*time.Second
		w.outages[d] = [2]time.Duration{from, from + time.Duration(6+rng.IntN(8))*time.Second}
	}
	w.reset()
	return w
}

// reset starts the books anew, as for a fresh Sender.
func (w *simulation) reset() {
	w.listed, w.messages, w.byKey = map[string]Endpoint{}, map[uint32]*clientMessage{}, map[string][]*clientMessage{}
	w.pausedUntil, w.retryAfterUntil, w.consecutiveFailures = map[string]time.Duration{}, map[string]time.Duration{}, map[string]int{}
	w.callsSinceRecovery, w.pending, w.callsInFlight = map[string][]time.Duration{}, nil, 0
}

// due events up to now, and new ones by chance.
func (w *simulation) nextEvents(quiet bool) []Event {
	var evs []Event
	slices.SortStableFunc(w.pending, func(a, b pendingEvent) int { return int(a.at - b.at) })
	for len(w.pending) > 0 && w.pending[0].at <= w.now {
		p := w.pending[0]
		w.pending = w.pending[1:]
		if p.call != nil {
			if p.call.pending--; p.call.pending == 0 {
				w.callsInFlight--
			}
		}
		if p.event.Kind == AttemptFinished {
			w.recordOutcome(&p.event)
		}
		evs = append(evs, p.event)
	}
	if quiet {
		return evs
	}
	for w.rng.IntN(w.acceptInterval) == 0 {
		c := w.rng.IntN(len(w.settings.Classes))
		key := ""
		if w.settings.Classes[c].Ordered {
			key = fmt.Sprint("k", w.rng.IntN(5))
		}
		m := &clientMessage{id: w.nextID, class: w.settings.Classes[c], key: key, destination: w.rng.IntN(5)}
		left := m.class.Deadline - time.Duration(w.rng.IntN(2000))*time.Millisecond
		m.deadline = w.now + left
		w.nextID++
		w.messages[m.id] = m
		if key != "" {
			w.byKey[key] = append(w.byKey[key], m)
		}
		evs = append(evs, Event{
			Kind: MessageAccepted, MessageID: m.id, Key: key, Class: c, Tenant: w.rng.IntN(2),
			Destination: m.destination, TimeLeft: left,
		})
	}
	switch w.rng.IntN(400) {
	case 0: // a route drains, or comes back
		l := &w.endpoints[w.rng.IntN(len(w.endpoints))]
		l.InService = !l.InService
		w.listed[l.ID] = *l
		evs = append(evs, Event{Kind: EndpointDelta, Endpoints: []Endpoint{*l}})
	case 1: // a route goes for good and another takes its place
		i := w.rng.IntN(len(w.endpoints))
		old := w.endpoints[i]
		old.Removed, old.InService = true, false
		w.listed[old.ID] = old
		w.endpoints[i].ID += "n"
		w.endpoints[i].InService = true
		w.listed[w.endpoints[i].ID] = w.endpoints[i]
		evs = append(evs, Event{Kind: EndpointDelta, Endpoints: []Endpoint{old, w.endpoints[i]}})
	case 2: // a client goes
		for id := uint32(1); id < w.nextID; id++ {
			if m := w.messages[id]; m != nil && !m.ended {
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

// recordOutcome books an outcome before the Sender hears of it.
func (w *simulation) recordOutcome(event *Event) {
	m := w.messages[event.MessageID]
	if m == nil {
		return
	}
	t := &m.attempts[event.Attempt]
	t.inFlight = false
	t.mayHaveRun = event.Outcome != Overloaded && event.Outcome != ConnectFailed && event.Outcome != NotSent
	if event.Outcome == OK {
		m.ended = true
		w.delivered++
	}
	event.MessageEnded = m.ended
	if event.Outcome == Timeout || event.Outcome == Reset || event.Outcome == Cancelled {
		w.pausedUntil[m.key] = max(w.pausedUntil[m.key], w.now+w.settings.OrderingPause)
	}
	l := w.listed[event.Endpoint]
	if event.RetryAfter > 0 {
		w.retryAfterUntil[w.scopeKey(l)] = max(w.retryAfterUntil[w.scopeKey(l)], w.now+event.RetryAfter)
	}
	switch event.Outcome {
	case OK:
		w.consecutiveFailures[w.scopeKey(l)] = 0
	case Timeout, ConnectFailed, Error, Reset:
		if span := w.outages[m.destination]; w.now-event.Latency >= span[0] && w.now < span[1] {
			w.consecutiveFailures[w.scopeKey(l)]++
		}
	}
}

func (w *simulation) apply(acts []Action) {
	calls := map[string]*simulatedCall{}
	for _, a := range acts {
		m := w.messages[a.MessageID]
		if (a.Kind == Send || a.Kind == Reject || a.Kind == Fail) && m == nil {
			w.violate(1, "an action for unknown message %d", a.MessageID)
			continue
		}
		switch a.Kind {
		case Send:
			w.actionCounts[0]++
			w.checkSend(m, a)
			w.simulateCall(m, a, calls)
		case Reject:
			w.actionCounts[1]++
			free := m.class.Effect == Idempotent || m.class.Effect == IdempotentByKey && m.class.DedupAllZones
			for _, t := range m.attempts {
				if (t.mayHaveRun || t.inFlight) && !free {
					w.violate(2, "message %d refused though it may have run", m.id)
				}
			}
			m.ended = true
		case Fail:
			w.actionCounts[2]++
			m.ended = true
		case SetTimer:
			w.pending = append(w.pending, pendingEvent{at: w.now + a.Delay, event: Event{Kind: TimerFired}})
		}
	}
}

func (w *simulation) checkSend(m *clientMessage, a Action) {
	l, known := w.listed[a.Endpoint]
	if m.ended || w.now >= m.deadline || len(m.attempts) >= w.settings.MaxAttempts {
		w.violate(1, "message %d sent after its end", m.id)
	}
	for _, t := range m.attempts {
		if t.inFlight {
			w.violate(2, "message %d sent twice at once", m.id)
		}
	}
	if i := slices.IndexFunc(m.attempts, func(t sentAttempt) bool { return t.mayHaveRun }); i >= 0 {
		first := m.attempts[i]
		switch {
		case m.class.Effect == NonIdempotent:
			w.violate(2, "unsafe message %d sent again", m.id)
		case m.class.Effect == IdempotentByKey && w.now >= first.sentAt+m.class.DedupWindow:
			w.violate(2, "keyed message %d sent after its window", m.id)
		case m.class.Effect == IdempotentByKey && !m.class.DedupAllZones && w.listed[first.endpoint].Zone != l.Zone:
			w.violate(2, "keyed message %d sent outside its group", m.id)
		}
	}
	if !known || !l.InService || l.Removed || l.Destination != m.destination {
		w.violate(3, "message %d sent to %s, which is not in service", m.id, a.Endpoint)
	}
	if w.retryAfterUntil[w.scopeKey(l)] > w.now {
		w.violate(5, "message %d sent to %s during a wait", m.id, a.Endpoint)
	}
	if m.key != "" {
		for _, o := range w.byKey[m.key] {
			if o == m {
				break
			}
			if !o.ended || slices.ContainsFunc(o.attempts, func(t sentAttempt) bool { return t.inFlight }) {
				w.violate(6, "message %d sent before %d", m.id, o.id)
			}
		}
		if len(m.attempts) == 0 && w.pausedUntil[m.key] > w.now {
			w.violate(6, "message %d sent while its key rests", m.id)
		}
	}
}

// checkRecovery checks the budget of a destination that came back cold: calls of any window since the
// return, for a Sender told of its failures.
func (w *simulation) checkRecovery(d string, back time.Duration) {
	w.callsSinceRecovery[d] = append(w.callsSinceRecovery[d], w.now)
	n := 0
	for _, at := range w.callsSinceRecovery[d] {
		if at > w.now-w.settings.OverloadWindow {
			n++
		}
	}
	share := w.settings.WarmUpInitialCapacity + (1-w.settings.WarmUpInitialCapacity)*float64(
		w.now-back,
	)/float64(
		w.settings.WarmUpDuration,
	)
	if share >= 1 {
		return
	}
	most := w.settings.OverloadFactor*share*6*w.settings.OverloadWindow.Seconds() + 1.5 // 6: the listed weight
	if float64(n) > most {
		w.violate(4, "%d calls to %s in %v, %.1f at most", n, d, w.settings.OverloadWindow, most)
	}
}

// simulateCall plays an attempt: its outcome comes later, at its cut at the latest.
func (w *simulation) simulateCall(m *clientMessage, a Action, calls map[string]*simulatedCall) {
	l := w.listed[a.Endpoint]
	event := Event{Kind: AttemptFinished, MessageID: m.id, Attempt: len(m.attempts), Endpoint: a.Endpoint}
	m.attempts = append(m.attempts, sentAttempt{endpoint: a.Endpoint, sentAt: w.now, inFlight: true})
	c := calls[a.Endpoint]
	if c == nil || c.pending >= w.settings.DestinationKinds[l.Kind].MaxBatch {
		c = &simulatedCall{}
		calls[a.Endpoint] = c
		if w.callsInFlight++; w.callsInFlight > w.settings.MaxInFlightCalls {
			w.violate(1, "%d calls out, %d at most", w.callsInFlight, w.settings.MaxInFlightCalls)
		}
		span := w.outages[m.destination]
		sc := w.scopeKey(l)
		if w.now >= span[1] && w.now < span[1]+w.settings.WarmUpDuration && (w.consecutiveFailures[sc] >= 3 || w.callsSinceRecovery[sc] != nil) {
			w.checkRecovery(sc, span[1])
		}
	}
	c.pending++
	latency := time.Duration(20+w.rng.IntN(400)) * time.Millisecond
	down := w.now >= w.outages[m.destination][0] && w.now < w.outages[m.destination][1]
	switch n := w.rng.IntN(40); {
	case down && m.destination%3 == 0:
		latency = time.Hour // silent
	case down && m.destination%3 == 1:
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
	case n < 12 && w.retryAfterOnAny:
		event.RetryAfter = time.Duration(200+w.rng.IntN(3000)) * time.Millisecond
	}
	if m.destination%3 == 2 && w.now >= w.outages[m.destination][0]-time.Second {
		latency = min(latency, 300*time.Millisecond)
	}
	at := w.now + latency
	if timeoutAt := min(a.TimeoutAt, m.deadline); at > timeoutAt {
		at, event.Outcome, event.RetryAfter = max(timeoutAt, w.now+time.Millisecond), Timeout, 0
	}
	event.Latency = at - w.now
	w.pending = append(w.pending, pendingEvent{at: at, event: event, call: c})
}

// simulate runs one world and returns the rules broken.
func simulate(t *testing.T, seed uint64, b disabledGuard) *simulation {
	t.Helper()
	w := newSimulation(seed)
	w.acceptInterval, w.retryAfterOnAny = cmp.Or(b.acceptInterval, 4), b.acceptInterval > 0
	step := (*Engine).Step
	if b.step != nil {
		step = b.step
	}
	start := func() (*Engine, []Event) {
		set := w.settings
		set.Classes = slices.Clone(set.Classes)
		if b.settings != nil {
			b.settings(&set)
		}
		engine, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		w.reset()
		for _, l := range w.endpoints {
			w.listed[l.ID] = l
		}
		return engine, []Event{{Kind: EndpointSnapshot, Endpoints: slices.Clone(w.endpoints)}}
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
		evs := append(first, w.nextEvents(w.now > expiresAt-15*time.Second)...)
		first = nil
		if b.event != nil {
			for i := range evs {
				b.event(&evs[i])
			}
		}
		if len(evs) > 0 {
			w.apply(step(engine, w.now, evs))
			if b.replace != nil {
				engine = b.replace(engine)
			}
		}
		for id, m := range w.messages {
			over := m.ended && !slices.ContainsFunc(m.attempts, func(t sentAttempt) bool { return t.inFlight })
			if !m.ended && w.now > m.deadline+20*time.Millisecond {
				w.violate(1, "message %d has no answer at its deadline", id)
				m.ended = true
			}
			if over && m.key == "" {
				delete(w.messages, id)
			}
		}
	}
	return w
}

func TestSixRules(t *testing.T) {
	for seed := range uint64(60) {
		w := simulate(t, seed, disabledGuard{})
		for rule := 1; rule <= 6; rule++ {
			if w.violations[rule] != "" {
				t.Errorf("seed %d, rule %d: %s", seed, rule, w.violations[rule])
			}
		}
		if w.delivered < 150 || w.actionCounts[1] == 0 || w.actionCounts[2] == 0 {
			t.Errorf("seed %d: %d answered, %v sends, refusals, failures: the run shows too little",
				seed, w.delivered, w.actionCounts)
		}
	}
}

func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for _, b := range []disabledGuard{
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
				if simulate(t, seed, b).violations[b.rule] != "" {
					return
				}
			}
			t.Errorf("rule %d was broken by no run without its guard", b.rule)
		})
	}
}

// Equal events give equal actions.
func TestDeterminism(t *testing.T) {
	a, b := simulate(t, 3, disabledGuard{}), simulate(t, 3, disabledGuard{})
	if a.actionCounts != b.actionCounts || a.delivered != b.delivered || a.nextID != b.nextID {
		t.Errorf("two runs differ: %v %d, %v %d", a.actionCounts, a.delivered, b.actionCounts, b.delivered)
	}
}
