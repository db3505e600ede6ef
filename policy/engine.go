package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// randomStream is the second half of the generator's seed. It never changes: recordings replay its draws.
const randomStream = 0x6f6e7978

// timerSlack is the resolution of timers: a clock coarser than the caller's may fire one that much early.
const timerSlack = time.Millisecond

// Engine decides for one relay. It is a pure state machine: equal events give equal actions. It is not safe for
// concurrent use.
type Engine struct {
	settings Settings
	pcg      *rand.PCG // source of rng, kept apart since snapshots hold its state
	rng      *rand.Rand
	now      time.Duration // of the current step
	// startedAt is the time of the first step.
	startedAt time.Duration

	endpoints          map[string]*endpoint           // looked up, never iterated: the order of a map is random
	destinations       map[DestinationID]*destination // looked up, never iterated
	sortedDestinations []*destination                 // by id
	active             []*destination                 // with queued messages
	ready              []*destination                 // scratch space of dispatch
	emptyDestinations  emptyDestinationList           // without endpoints, until they are removed

	messages          map[MessageID]*message
	pendingMessages   int // messages without a final answer
	deadlines         deadlineHeap
	keyQueues         map[string]*keyQueue
	expiringKeyQueues []*keyQueue // empty ones, in the order in which their pauses end
	callsInFlight     int

	// lowestReportedLimit is the lowest limit reported by any endpoint of a kind.
	lowestReportedLimit map[int]float64
	// connectShortageUntil is the time until which a connection that fails at once, to an endpoint of a kind, counts as
	// an exhausted connection table.
	connectShortageUntil map[int]time.Duration
	// closeIdleUntil is the time until which connections to a kind are closed after use, since its tables were full.
	closeIdleUntil map[int]time.Duration

	tenantTraffic   []trafficMeter
	acceptedTraffic trafficMeter // accepted messages, decaying over trafficWindow

	timerAt          time.Duration // earliest timer that was set; 0: none
	requestedTimerAt time.Duration // earliest timer that this step needs; 0: none
	actions          []Action      // of the current step
}

// New returns an Engine that knows nothing but its settings. The seed determines all its random choices.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	pcg := rand.NewPCG(seed, randomStream)
	return &Engine{
		settings:             settings,
		pcg:                  pcg,
		rng:                  rand.New(pcg),
		endpoints:            map[string]*endpoint{},
		destinations:         map[DestinationID]*destination{},
		messages:             map[MessageID]*message{},
		keyQueues:            map[string]*keyQueue{},
		lowestReportedLimit:  map[int]float64{},
		connectShortageUntil: map[int]time.Duration{},
		closeIdleUntil:       map[int]time.Duration{},
		tenantTraffic:        make([]trafficMeter, len(settings.Tenants)),
	}, nil
}

// Reconfigure applies other settings from here on. Pending messages keep their class and their number of attempts.
func (e *Engine) Reconfigure(settings Settings) error {
	validated, err := New(settings, 0)
	if err != nil {
		return err
	}
	e.settings = validated.settings
	e.tenantTraffic = validated.tenantTraffic
	return nil
}

// Step takes the events that were observed up to now and returns the actions to take, in order. The slice is valid
// until the next step.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.now = now
	e.actions = e.actions[:0]
	e.startedAt = cmp.Or(e.startedAt, now)
	// A timer may fire a little early: one this close counts as fired.
	if e.timerAt <= now+timerSlack {
		e.timerAt = 0
	}
	for i := range events {
		e.observe(&events[i])
	}
	e.expireKeyQueues()
	e.handleDeadlines()
	e.dispatch()
	e.setTimer()
	return e.actions
}

// observe applies one event to the state.
func (e *Engine) observe(event *Event) {
	switch event.Kind {
	case MessageAccepted:
		e.acceptMessage(event)
	case AttemptFinished:
		e.attemptFinished(event)
	case HealthChecked:
		e.healthChecked(event)
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
	case TimerFired: // the step alone is what was asked for
	}
}

// emit adds an action to those of the current step.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// requestTimer asks for a step at t, unless an earlier one is asked for.
func (e *Engine) requestTimer(t time.Duration) {
	if t < math.MaxInt64 && (e.requestedTimerAt == 0 || t < e.requestedTimerAt) {
		e.requestedTimerAt = t
	}
}

// setTimer sets a timer for the earliest time that needs a step, unless one is set that fires no later.
func (e *Engine) setTimer() {
	if len(e.deadlines) > 0 {
		e.requestTimer(e.deadlines[0].at)
	}
	if e.requestedTimerAt > 0 && (e.timerAt == 0 || e.requestedTimerAt < e.timerAt) {
		e.timerAt = max(e.requestedTimerAt, e.now+timerSlack)
		e.emit(Action{Kind: SetTimer, Delay: e.timerAt - e.now})
	}
	e.requestedTimerAt = 0
}
