package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetCase is one such day.
type fleetCase struct {
	relays        int
	limit         float64 // calls a second
	demand        float64 // messages, as a multiple of the limit
	failRatio     float64 // share of the calls that fail in the outage
	limitListed   bool    // the limit is listed; else no relay ever knows it
	limitReported bool    // the limit is told in answers
}

func (config fleetCase) String() string {
	return fmt.Sprintf("%d relays, limit %v, demand %v, fails %v, listed %v, told %v",
		config.relays, config.limit, config.demand, config.failRatio, config.limitListed, config.limitReported)
}

const (
	fleetTick       = 10 * time.Millisecond
	fleetRecoversAt = time.Minute + 35*time.Second
	fleetFailsAt    = time.Minute + 20*time.Second
	fleetEndsAt     = fleetRecoversAt + 8*time.Second
)

func fleetSettings(config fleetCase) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 4 * time.Second, Deadline: 28 * time.Second, Weight: 1},
		},
		DestinationKinds: []DestinationKind{
			{LimitPerEndpoint: true, MaxBatch: 1},
		}, FleetSize: config.relays, MaxInFlightCalls: 8, IgnoreWeights: !config.limitListed,
		WarmUpInitialCapacity: 0.25, WarmUpDuration: 14 * time.Second, OverloadFactor: 1.5, OverloadWindow: 3 * time.Second,
	}
}

// fleetSimulation is the endpoint, the relays' messages and the books of the judge.
type fleetSimulation struct {
	config        fleetCase
	rng           *rand.Rand
	now           time.Duration
	engines       []*Engine
	inbox         [][]Event
	scheduled     map[time.Duration][]fleetEvent
	tokens        float64        // calls that the limit leaves
	sawFailure    []bool         // by relay: of a failure or rejection in the outage
	recoveryCalls []recoveryCall // since the return
	attempts      map[uint32]int // of each message
	delivered     int            // in the whole day
}

type fleetEvent struct {
	relay int
	event Event
}

type recoveryCall struct {
	at         time.Duration
	sawFailure bool
}

func (sim *fleetSimulation) start(i int, seed uint64) error {
	engine, err := New(fleetSettings(sim.config), seed)
	if err != nil {
		return err
	}
	sim.engines[i] = engine
	sim.inbox[i] = []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: sim.config.limit, InService: true}}}}
	return nil
}

// call plays one call at the endpoint: its outcome comes a tick or two later.
func (sim *fleetSimulation) call(i int, a Action) {
	failing := sim.now >= fleetFailsAt && sim.now < fleetRecoversAt
	if sim.now >= fleetRecoversAt {
		sim.recoveryCalls = append(sim.recoveryCalls, recoveryCall{sim.now, sim.sawFailure[i]})
	}
	event := Event{
		Kind:      AttemptFinished,
		MessageID: a.MessageID,
		Attempt:   sim.attempts[a.MessageID],
		Endpoint:  "a",
		Latency:   2 * fleetTick,
	}
	sim.attempts[a.MessageID]++
	switch {
	case sim.tokens < 1:
		event.Outcome = Overloaded
	default:
		sim.tokens--
		if failing && sim.rng.Float64() < sim.config.failRatio {
			event.Outcome = Error
		}
	}
	if sim.config.limitReported {
		event.LimitReport = LimitReport{Present: true, Limit: sim.config.limit}
	}
	if event.MessageEnded = event.Outcome == OK; event.MessageEnded {
		sim.delivered++
	} else if failing {
		sim.sawFailure[i] = true
	}
	sim.schedule(i, 2*fleetTick, event)
}

func (sim *fleetSimulation) schedule(i int, after time.Duration, event Event) {
	at := (sim.now + after + fleetTick - 1) / fleetTick * fleetTick
	sim.scheduled[at] = append(sim.scheduled[at], fleetEvent{i, event})
}

// simulateFleet runs a day. Half of the relays carry most of the traffic, a third restart inside the outage.
func simulateFleet(t *testing.T, config fleetCase, seed uint64) *fleetSimulation {
	t.Helper()
	sim := &fleetSimulation{
		config: config, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Minute, engines: make([]*Engine, config.relays),
		inbox: make([][]Event, config.relays), scheduled: map[time.Duration][]fleetEvent{}, sawFailure: make([]bool, config.relays),
		attempts: map[uint32]int{},
	}
	restarts := fleetFailsAt + 7*time.Second
	for i := range sim.engines {
		if err := sim.start(i, sim.rng.Uint64()); err != nil {
			t.Fatal(err)
		}
	}
	id := uint32(0)
	for ; sim.now < fleetEndsAt; sim.now += fleetTick {
		sim.tokens = math.Min(1+0.5*config.limit, sim.tokens+config.limit*fleetTick.Seconds())
		if sim.now == restarts {
			for i := 0; i < config.relays; i += 3 {
				if err := sim.start(i, sim.rng.Uint64()); err != nil {
					t.Fatal(err)
				}
			}
		}
		for n := config.limit * config.demand * fleetTick.Seconds(); n > sim.rng.Float64(); n-- {
			i := sim.rng.IntN(config.relays)
			if sim.rng.IntN(2) == 0 {
				i = sim.rng.IntN((config.relays + 1) / 2)
			}
			id++
			sim.schedule(i, 0, Event{Kind: MessageAccepted, MessageID: id, TimeLeft: 28 * time.Second})
		}
		for _, e := range sim.scheduled[sim.now] {
			sim.inbox[e.relay] = append(sim.inbox[e.relay], e.event)
		}
		delete(sim.scheduled, sim.now)
		for i, events := range sim.inbox {
			if len(events) == 0 {
				continue
			}
			sim.inbox[i] = nil
			for _, a := range sim.engines[i].Step(sim.now, events) {
				switch a.Kind {
				case Send:
					sim.call(i, a)
				case SetTimer:
					sim.schedule(i, max(a.Delay, fleetTick), Event{Kind: TimerFired})
				}
			}
		}
	}
	return sim
}

// overloaded tells whether a window since the return broke failback: more calls than the budget of its length, two
// standard deviations of it allowed for chance, two thirds of them from relays told. Beside it stands the
// greatest share of the part of relays told that a window used.
func (sim *fleetSimulation) overloaded() (broken bool, used float64) {
	settings := fleetSettings(sim.config)
	for i, last := range sim.recoveryCalls {
		share := settings.WarmUpInitialCapacity + (1-settings.WarmUpInitialCapacity)*float64(
			last.at-fleetRecoversAt,
		)/float64(
			settings.WarmUpDuration,
		)
		budget := settings.OverloadFactor * share * sim.config.limit * settings.OverloadWindow.Seconds()
		all, told := 0.0, 0.0
		for _, p := range sim.recoveryCalls[:i+1] {
			if p.at > last.at-settings.OverloadWindow {
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
	for _, relays := range []int{3, 80, 400, 700} {
		for _, config := range []fleetCase{
			{relays, 30, 0.9, 1, true, false},
			{relays, 30, 0.9, 1, false, true},
			{relays, 30, 0.9, 1, false, false},
			{relays, 30, 2, 1, true, false},
			{relays, 30, 2, 1, false, true},
			{relays, 30, 0.9, 0.8, false, true},
			{relays, 30, 2, 0.8, false, true},
			{relays, 3, 0.9, 1, false, true},
			{relays, 3, 2, 0.8, true, false},
			{relays, 3, 2, 1, false, false},
		} {
			for seed := range uint64(3) {
				sim := simulateFleet(t, config, seed)
				broken, used := sim.overloaded()
				if broken {
					t.Errorf("%v, seed %d: pushed over, %.2f of the part of relays told used", config, seed, used)
				}
				if sim.delivered == 0 {
					t.Errorf("%v, seed %d: nothing served", config, seed)
				}
			}
		}
	}
}
