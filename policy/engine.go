package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"
)

// randomStream is the second half of the random number generator's seed. It must not change: recordings replay the
// numbers drawn from it.
const randomStream = 0x6f6e7978

// timerSlack is the resolution of timers. A timer may fire early by this much if its clock is coarser than the
// clock that Step's times come from.
const timerSlack = time.Millisecond

// Engine makes the delivery decisions of one relay. It is a pure state machine: equal events give equal actions. It
// is not safe for concurrent use.
type Engine struct {
	settings Settings
	pcg      *rand.PCG // source of rng; snapshots save its state
	rng      *rand.Rand
	now      time.Duration // time of the current step
	// startedAt is the time of the first step.
	startedAt time.Duration

	endpoints          map[string]*endpoint           // never iterated: the order would be random
	destinations       map[DestinationID]*destination // never iterated, for the same reason
	sortedDestinations []*destination                 // by id
	active             []*destination                 // with queued messages
	ready              []*destination                 // scratch space of dispatch
	emptyDestinations  emptyDestinationList           // without endpoints, until they are removed

	messages          map[MessageID]*message
	pendingMessages   int // messages without a final answer
	deadlines         deadlineHeap
	keyQueues         map[string]*keyQueue
	expiringKeyQueues []*keyQueue // became empty, in this order; kept until their pauses end
	callsInFlight     int

	// lowestReportedLimit holds the lowest rate limit that any endpoint of a kind has reported, in calls a second.
	lowestReportedLimit map[int]float64
	// connectShortageUntil holds, by kind, the time until which a connection that fails at once is attributed to a
	// full connection table.
	connectShortageUntil map[int]time.Duration
	// closeIdleUntil holds, by kind, the time until which idle connections are closed after each call, because the
	// connection table of an endpoint was full.
	closeIdleUntil map[int]time.Duration

	tenantTraffic   []trafficMeter
	acceptedTraffic trafficMeter // accepted messages, decaying over trafficWindow

	timerAt          time.Duration // earliest timer that was set; 0: none
	requestedTimerAt time.Duration // earliest timer that this step needs; 0: none
	actions          []Action      // of the current step
}

// New returns an Engine without endpoints and messages. The seed determines all its random choices.
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

// Reconfigure replaces the settings for later steps. Pending messages keep their class and their maximum number of
// attempts.
func (e *Engine) Reconfigure(settings Settings) error {
	validated, err := New(settings, 0)
	if err != nil {
		return err
	}
	e.settings = validated.settings
	e.tenantTraffic = validated.tenantTraffic
	return nil
}

// Step takes the events that were observed up to now and returns the actions to take, in order. The returned slice
// is valid until the next step.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.now = now
	e.actions = e.actions[:0]
	e.startedAt = cmp.Or(e.startedAt, now)
	// A timer may fire slightly early, so one that is due within timerSlack counts as fired.
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
	case TimerFired: // changes no state; the timer was set for the step itself
	}
}

// emit adds an action to those of the current step.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// requestTimer requests a step at t, unless an earlier one is already requested.
func (e *Engine) requestTimer(t time.Duration) {
	if t < math.MaxInt64 && (e.requestedTimerAt == 0 || t < e.requestedTimerAt) {
		e.requestedTimerAt = t
	}
}

// setTimer sets a timer for the earliest time at which a step is needed, unless a timer is already set that fires
// no later.
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
