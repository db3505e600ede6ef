package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// Engine decides for one relay. It is a pure state machine: equal events give equal actions.
type Engine struct {
	settings             Settings
	pcg                  *rand.PCG // of rng
	rng                  *rand.Rand
	now                  time.Duration
	endpoints            map[string]*endpoint // looked up, never iterated
	destinations         map[int]*destination // looked up, never iterated
	sortedDestinations   []*destination       // by number
	active               []*destination       // with messages waiting
	ready                []*destination       // scratch of dispatch
	emptyDestinations    emptyDestinationList // destinations without routes, until they are forgotten
	expiringKeyQueues    []*keyQueue          // in the order of their rests
	messages             map[uint32]*message
	keyQueues            map[string]*keyQueue
	lowestReportedLimit  map[int]float64       // by kind: the least limit told
	connectShortageUntil map[int]time.Duration // by kind: a failed connection may be a full table's until then
	closeIdleUntil       map[int]time.Duration // by kind: tables were full: connections are closed after use until then
	pendingMessages      int
	callsInFlight        int // used
	tenantTraffic        []trafficMeter
	acceptedTraffic      trafficMeter  // messages handed in, fading over trafficWindow
	startedAt            time.Duration // of the first step
	deadlines            deadlineHeap
	timerAt              time.Duration // earliest wake asked for; 0: none
	requestedTimerAt     time.Duration
	actions              []Action
}

// New returns a Sender that knows nothing but its settings.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.FleetSize = max(1, settings.FleetSize)
	settings.WarmUpInitialCapacity = cmp.Or(max(0, settings.WarmUpInitialCapacity), 0.1)
	settings.WarmUpDuration = cmp.Or(max(0, settings.WarmUpDuration), 30*time.Second)
	settings.OverloadWindow = cmp.Or(settings.OverloadWindow, 3*time.Second)
	settings.OverloadFactor = cmp.Or(max(0, settings.OverloadFactor), 1)
	pcg := rand.NewPCG(seed, 0x6f6e7978)
	return &Engine{
		settings: settings, pcg: pcg, rng: rand.New(pcg),
		endpoints: map[string]*endpoint{}, lowestReportedLimit: map[int]float64{}, destinations: map[int]*destination{},
		connectShortageUntil: map[int]time.Duration{}, closeIdleUntil: map[int]time.Duration{},
		messages: map[uint32]*message{}, keyQueues: map[string]*keyQueue{},
		tenantTraffic: make([]trafficMeter, len(settings.Tenants)),
	}, nil
}

// Reconfigure has other settings hold from here on. Open messages keep their class and number of attempts.
func (e *Engine) Reconfigure(settings Settings) error {
	validated, err := New(settings, 0)
	if err == nil {
		e.settings, e.tenantTraffic = validated.settings, validated.tenantTraffic
	}
	return err
}

// Step takes what has come in at now and returns what to do, in order.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.now, e.actions = now, e.actions[:0]
	e.startedAt = cmp.Or(e.startedAt, now)
	// A wake may come a little early, for a clock coarser than ours: one so near does not count as asked for.
	if e.timerAt <= now+time.Millisecond {
		e.timerAt = 0
	}
	for i := range events {
		e.observe(&events[i])
	}
	e.expireKeyQueues()
	e.handleDeadlines()
	e.dispatch()
	if n := len(e.deadlines); n > 0 {
		e.requestTimer(e.deadlines[0].at)
	}
	if e.requestedTimerAt > 0 && (e.timerAt == 0 || e.requestedTimerAt < e.timerAt) {
		e.timerAt = max(e.requestedTimerAt, now+time.Millisecond)
		e.emit(Action{Kind: SetTimer, Delay: e.timerAt - now})
	}
	e.requestedTimerAt = 0
	return e.actions
}

func (e *Engine) observe(event *Event) {
	switch event.Kind {
	case MessageAccepted:
		e.acceptMessage(event)
	case AttemptFinished:
		e.attemptFinished(event)
	case HealthChecked:
		if ep := e.endpoints[event.Endpoint]; ep != nil {
			e.recordLimit(ep, event.LimitReport)
			ep.scope.retryAfterUntil = max(ep.scope.retryAfterUntil, e.now+event.RetryAfter)
			e.observeOutcome(ep, observation{outcome: event.Outcome, retryAfter: event.RetryAfter, sentAt: e.now - event.Latency}, event.Latency)
			e.recheck(ep.scope.destination)
		}
	case MessageCancelled:
		if msg := e.messages[event.MessageID]; msg != nil {
			e.finishMessage(msg)
		}
	case EndpointSnapshot, EndpointDelta:
		e.updateEndpoints(event.Endpoints, event.Kind == EndpointSnapshot)
	case QuotaGranted:
		e.applyGrant(event)
	case WatchFailed:
		if e.settings.WatchRequired {
			e.emit(Action{Kind: WatchEndpoints})
		}
	}
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// requestTimer asks to be woken at t, if nothing earlier is asked for.
func (e *Engine) requestTimer(t time.Duration) {
	if t < math.MaxInt64 && (e.requestedTimerAt == 0 || t < e.requestedTimerAt) {
		e.requestedTimerAt = t
	}
}
