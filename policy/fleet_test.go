package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A fleet of senders plays in front of one route that fails calls, or refuses them, and comes back cold. The
// judge counts what reaches it from senders told of a failure or a refusal there during the outage, and holds
// each window since the return against the budget. The senders share nothing but the route.

// fleetCase is one such day.
type fleetCase struct {
	relays int
	limit   float64 // calls a second
	demand  float64 // messages, as a multiple of the limit
	failRatio   float64 // share of the calls that fail in the outage
	limitListed  bool    // the limit is listed; else no sender ever knows it
	limitReported    bool    // the limit is told in answers
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, limit %v, demand %v, fails %v, listed %v, told %v",
		c.relays, c.limit, c.demand, c.failRatio, c.limitListed, c.limitReported)
}

const (
	fleetTick    = 10 * time.Millisecond
	fleetRecoversAt  = time.Minute + 35*time.Second
	fleetFailsAt = time.Minute + 20*time.Second
	fleetEndsAt     = fleetRecoversAt + 8*time.Second
)

func fleetSettings(c fleetCase) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 4 * time.Second, Deadline: 28 * time.Second, Weight: 1},
		},
		DestinationKinds: []DestinationKind{
			{LimitPerEndpoint: true, MaxBatch: 1},
		}, FleetSize: c.relays, MaxInFlightCalls: 8, IgnoreWeights: !c.limitListed,
		WarmUpInitialCapacity: 0.25, WarmUpDuration: 14 * time.Second, OverloadFactor: 1.5, OverloadWindow: 3 * time.Second,
	}
}

// fleetSimulation is the route, the senders' messages and the books of the judge.
type fleetSimulation struct {
	config      fleetCase
	rng    *rand.Rand
	now    time.Duration
	engines  []*Engine
	inbox  [][]Event
	scheduled    map[time.Duration][]fleetEvent
	tokens   float64        // calls that the limit leaves
	sawFailure   []bool         // by sender: of a failure or refusal in the outage
	recoveryCalls []recoveryCall    // since the return
	attempts  map[uint32]int // of each message
	delivered int            // in the whole day
}

type fleetEvent struct {
	relay int
	event     Event
}

type recoveryCall struct {
	at   time.Duration
	sawFailure bool
}

func (w *fleetSimulation) start(i int, seed uint64) error {
	engine, err := New(fleetSettings(w.config), seed)
	if err != nil {
		return err
	}
	w.engines[i] = engine
	w.inbox[i] = []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: w.config.limit, InService: true}}}}
	return nil
}

// call plays one call at the route: its outcome comes a tick or two later.
func (w *fleetSimulation) call(i int, a Action) {
	failing := w.now >= fleetFailsAt && w.now < fleetRecoversAt
	if w.now >= fleetRecoversAt {
		w.recoveryCalls = append(w.recoveryCalls, recoveryCall{w.now, w.sawFailure[i]})
	}
	event := Event{
		Kind:      AttemptFinished,
		MessageID: a.MessageID,
		Attempt:   w.attempts[a.MessageID],
		Endpoint:  "a",
		Latency:   2 * fleetTick,
	}
	w.attempts[a.MessageID]++
	switch {
	case w.tokens < 1:
		event.Outcome = Overloaded
	default:
		w.tokens--
		if failing && w.rng.Float64() < w.config.failRatio {
			event.Outcome = Error
		}
	}
	if w.config.limitReported {
		event.LimitReport = LimitReport{Present: true, Limit: w.config.limit}
	}
	if event.MessageEnded = event.Outcome == OK; event.MessageEnded {
		w.delivered++
	} else if failing {
		w.sawFailure[i] = true
	}
	w.schedule(i, 2*fleetTick, event)
}

func (w *fleetSimulation) schedule(i int, after time.Duration, event Event) {
	at := (w.now + after + fleetTick - 1) / fleetTick * fleetTick
	w.scheduled[at] = append(w.scheduled[at], fleetEvent{i, event})
}

// simulateFleet runs a day. Half of the senders carry most of the traffic, a third restart inside the outage.
func simulateFleet(t *testing.T, c fleetCase, seed uint64) *fleetSimulation {
	t.Helper()
	w := &fleetSimulation{
		config: c, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Minute, engines: make([]*Engine, c.relays),
		inbox: make([][]Event, c.relays), scheduled: map[time.Duration][]fleetEvent{}, sawFailure: make([]bool, c.relays),
		attempts: map[uint32]int{},
	}
	restarts := fleetFailsAt + 7*time.Second
	for i := range w.engines {
		if err := w.start(i, w.rng.Uint64()); err != nil {
			t.Fatal(err)
		}
	}
	id := uint32(0)
	for ; w.now < fleetEndsAt; w.now += fleetTick {
		w.tokens = math.Min(1+0.5*c.limit, w.tokens+c.limit*fleetTick.Seconds())
		if w.now == restarts {
			for i := 0; i < c.relays; i += 3 {
				if err := w.start(i, w.rng.Uint64()); err != nil {
					t.Fatal(err)
				}
			}
		}
		for n := c.limit * c.demand * fleetTick.Seconds(); n > w.rng.Float64(); n-- {
			i := w.rng.IntN(c.relays)
			if w.rng.IntN(2) == 0 {
				i = w.rng.IntN((c.relays + 1) / 2)
			}
			id++
			w.schedule(i, 0, Event{Kind: MessageAccepted, MessageID: id, TimeLeft: 28 * time.Second})
		}
		for _, e := range w.scheduled[w.now] {
			w.inbox[e.relay] = append(w.inbox[e.relay], e.event)
		}
		delete(w.scheduled, w.now)
		for i, evs := range w.inbox {
			if len(evs) == 0 {
				continue
			}
			w.inbox[i] = nil
			for _, a := range w.engines[i].Step(w.now, evs) {
				switch a.Kind {
				case Send:
					w.call(i, a)
				case SetTimer:
					w.schedule(i, max(a.Delay, fleetTick), Event{Kind: TimerFired})
				}
			}
		}
	}
	return w
}

// overloaded tells whether a window since the return broke failback: more calls than the budget of its length, two
// standard deviations of it allowed for chance, two thirds of them from senders told. Beside it stands the
// greatest share of the part of senders told that a window used.
func (w *fleetSimulation) overloaded() (broken bool, used float64) {
	set := fleetSettings(w.config)
	for i, last := range w.recoveryCalls {
		share := set.WarmUpInitialCapacity + (1-set.WarmUpInitialCapacity)*float64(
			last.at-fleetRecoversAt,
		)/float64(
			set.WarmUpDuration,
		)
		budget := set.OverloadFactor * share * w.config.limit * set.OverloadWindow.Seconds()
		all, told := 0.0, 0.0
		for _, p := range w.recoveryCalls[:i+1] {
			if p.at > last.at-set.OverloadWindow {
				all++
				if p.sawFailure {
					told++
				}
			}
		}
		broken = broken || all > budget+2*math.Sqrt(budget) && told >= all*2/3
		used = math.Max(used, told/(2.0/3*(budget+2*math.Sqrt(budget))))
	}
	return broken, used
}

func TestFleetKeepsRecoveryBudget(t *testing.T) {
	for _, senders := range []int{3, 80, 400, 700} {
		for _, c := range []fleetCase{
			{senders, 30, 0.9, 1, true, false},
			{senders, 30, 0.9, 1, false, true},
			{senders, 30, 0.9, 1, false, false},
			{senders, 30, 2, 1, true, false},
			{senders, 30, 2, 1, false, true},
			{senders, 30, 0.9, 0.8, false, true},
			{senders, 30, 2, 0.8, false, true},
			{senders, 3, 0.9, 1, false, true},
			{senders, 3, 2, 0.8, true, false},
			{senders, 3, 2, 1, false, false},
		} {
			for seed := range uint64(3) {
				w := simulateFleet(t, c, seed)
				broken, used := w.overloaded()
				if broken {
					t.Errorf("%v, seed %d: pushed over, %.2f of the part of senders told used", c, seed, used)
				}
				if w.delivered == 0 {
					t.Errorf("%v, seed %d: nothing served", c, seed)
				}
			}
		}
	}
}
