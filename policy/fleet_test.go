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
	senders int
	limit   float64 // calls a second
	demand  float64 // messages, as a multiple of the limit
	fails   float64 // share of the calls that fail in the outage
	listed  bool    // the limit is listed; else no sender ever knows it
	told    bool    // the limit is told in answers
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, limit %v, demand %v, fails %v, listed %v, told %v",
		c.senders, c.limit, c.demand, c.fails, c.listed, c.told)
}

const (
	fleetTick    = 10 * time.Millisecond
	fleetReturn  = time.Minute + 35*time.Second
	fleetFailing = time.Minute + 20*time.Second
	fleetEnd     = fleetReturn + 8*time.Second
)

func fleetSettings(c fleetCase) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 4 * time.Second, Deadline: 28 * time.Second, Weight: 1},
		},
		DestinationKinds: []DestinationKind{
			{LimitPerEndpoint: true, MaxBatch: 1},
		}, FleetSize: c.senders, MaxInFlightCalls: 8, IgnoreWeights: !c.listed,
		WarmUpInitialCapacity: 0.25, WarmUpDuration: 14 * time.Second, OverloadFactor: 1.5, OverloadWindow: 3 * time.Second,
	}
}

// fleetWorld is the route, the senders' messages and the books of the judge.
type fleetWorld struct {
	c      fleetCase
	rng    *rand.Rand
	now    time.Duration
	fleet  []*Engine
	inbox  [][]Event
	due    map[time.Duration][]fleetEvent
	room   float64        // calls that the limit leaves
	told   []bool         // by sender: of a failure or refusal in the outage
	pushes []fleetPush    // since the return
	tries  map[uint32]int // of each message
	served int            // in the whole day
}

type fleetEvent struct {
	sender int
	ev     Event
}

type fleetPush struct {
	at   time.Duration
	told bool
}

func (w *fleetWorld) start(i int, seed uint64) error {
	engine, err := New(fleetSettings(w.c), seed)
	if err != nil {
		return err
	}
	w.fleet[i] = engine
	w.inbox[i] = []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: w.c.limit, InService: true}}}}
	return nil
}

// call plays one call at the route: its outcome comes a tick or two later.
func (w *fleetWorld) call(i int, a Action) {
	failing := w.now >= fleetFailing && w.now < fleetReturn
	if w.now >= fleetReturn {
		w.pushes = append(w.pushes, fleetPush{w.now, w.told[i]})
	}
	event := Event{
		Kind:      AttemptFinished,
		MessageID: a.MessageID,
		Attempt:   w.tries[a.MessageID],
		Endpoint:  "a",
		Latency:   2 * fleetTick,
	}
	w.tries[a.MessageID]++
	switch {
	case w.room < 1:
		event.Outcome = Overloaded
	default:
		w.room--
		if failing && w.rng.Float64() < w.c.fails {
			event.Outcome = Error
		}
	}
	if w.c.told {
		event.LimitReport = LimitReport{Present: true, Limit: w.c.limit}
	}
	if event.MessageEnded = event.Outcome == OK; event.MessageEnded {
		w.served++
	} else if failing {
		w.told[i] = true
	}
	w.later(i, 2*fleetTick, event)
}

func (w *fleetWorld) later(i int, after time.Duration, event Event) {
	at := (w.now + after + fleetTick - 1) / fleetTick * fleetTick
	w.due[at] = append(w.due[at], fleetEvent{i, event})
}

// playFleet runs a day. Half of the senders carry most of the traffic, a third restart inside the outage.
func playFleet(t *testing.T, c fleetCase, seed uint64) *fleetWorld {
	t.Helper()
	w := &fleetWorld{
		c: c, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Minute, fleet: make([]*Engine, c.senders),
		inbox: make([][]Event, c.senders), due: map[time.Duration][]fleetEvent{}, told: make([]bool, c.senders),
		tries: map[uint32]int{},
	}
	restarts := fleetFailing + 7*time.Second
	for i := range w.fleet {
		if err := w.start(i, w.rng.Uint64()); err != nil {
			t.Fatal(err)
		}
	}
	id := uint32(0)
	for ; w.now < fleetEnd; w.now += fleetTick {
		w.room = math.Min(1+0.5*c.limit, w.room+c.limit*fleetTick.Seconds())
		if w.now == restarts {
			for i := 0; i < c.senders; i += 3 {
				if err := w.start(i, w.rng.Uint64()); err != nil {
					t.Fatal(err)
				}
			}
		}
		for n := c.limit * c.demand * fleetTick.Seconds(); n > w.rng.Float64(); n-- {
			i := w.rng.IntN(c.senders)
			if w.rng.IntN(2) == 0 {
				i = w.rng.IntN((c.senders + 1) / 2)
			}
			id++
			w.later(i, 0, Event{Kind: MessageAccepted, MessageID: id, TimeLeft: 28 * time.Second})
		}
		for _, e := range w.due[w.now] {
			w.inbox[e.sender] = append(w.inbox[e.sender], e.ev)
		}
		delete(w.due, w.now)
		for i, evs := range w.inbox {
			if len(evs) == 0 {
				continue
			}
			w.inbox[i] = nil
			for _, a := range w.fleet[i].Step(w.now, evs) {
				switch a.Kind {
				case Send:
					w.call(i, a)
				case SetTimer:
					w.later(i, max(a.Delay, fleetTick), Event{Kind: TimerFired})
				}
			}
		}
	}
	return w
}

// fell tells whether a window since the return broke failback: more calls than the budget of its length, two
// standard deviations of it allowed for chance, two thirds of them from senders told. Beside it stands the
// greatest share of the part of senders told that a window used.
func (w *fleetWorld) fell() (broken bool, used float64) {
	set := fleetSettings(w.c)
	for i, last := range w.pushes {
		share := set.WarmUpInitialCapacity + (1-set.WarmUpInitialCapacity)*float64(
			last.at-fleetReturn,
		)/float64(
			set.WarmUpDuration,
		)
		budget := set.OverloadFactor * share * w.c.limit * set.OverloadWindow.Seconds()
		all, told := 0.0, 0.0
		for _, p := range w.pushes[:i+1] {
			if p.at > last.at-set.OverloadWindow {
				all++
				if p.told {
					told++
				}
			}
		}
		broken = broken || all > budget+2*math.Sqrt(budget) && told >= all*2/3
		used = math.Max(used, told/(2.0/3*(budget+2*math.Sqrt(budget))))
	}
	return broken, used
}

func TestFleetKeepsTheRecoveryBudget(t *testing.T) {
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
				w := playFleet(t, c, seed)
				broken, used := w.fell()
				if broken {
					t.Errorf("%v, seed %d: pushed over, %.2f of the part of senders told used", c, seed, used)
				}
				if w.served == 0 {
					t.Errorf("%v, seed %d: nothing served", c, seed)
				}
			}
		}
	}
}
