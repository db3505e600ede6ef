package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetCase is one run of a fleet of relays against a single endpoint, which fails or rejects calls for a while and
// then warms up. The checker counts the calls that reach the endpoint from relays that saw a failure or a rejection
// during the outage, and compares each overload window since the recovery with the budget. The relays share nothing
// but the endpoint.
type fleetCase struct {
	relays        int
	limit         float64 // calls a second
	demand        float64 // messages a second, as a multiple of the limit
	failRatio     float64 // fraction of the calls in the outage that fail
	limitListed   bool    // the endpoint's weight is the limit
	limitReported bool    // answers report the limit
}

func (config fleetCase) String() string {
	return fmt.Sprintf("%d relays, limit %v, demand %v, fail ratio %v, listed %v, reported %v",
		config.relays, config.limit, config.demand, config.failRatio, config.limitListed, config.limitReported)
}

const (
	fleetTick       = 10 * time.Millisecond
	fleetStartsAt   = time.Minute
	fleetFailsAt    = fleetStartsAt + 20*time.Second
	fleetRestartsAt = fleetFailsAt + 7*time.Second // a third of the relays restart
	fleetRecoversAt = fleetStartsAt + 35*time.Second
	fleetEndsAt     = fleetRecoversAt + 8*time.Second
)

func fleetSettings(config fleetCase) Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 4 * time.Second, Deadline: 28 * time.Second, Weight: 1},
		},
		DestinationKinds:      []DestinationKind{{LimitPerEndpoint: true, MaxBatch: 1}},
		FleetSize:             config.relays,
		MaxInFlightCalls:      8,
		IgnoreWeights:         !config.limitListed,
		WarmUpInitialCapacity: 0.25,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        1.5,
		OverloadWindow:        3 * time.Second,
	}
}

// fleetSimulation holds the endpoint, the relays with their messages, and the records of the checker.
type fleetSimulation struct {
	config        fleetCase
	rng           *rand.Rand
	now           time.Duration
	engines       []*Engine
	inbox         [][]Event // events for the next step, by relay
	scheduled     map[time.Duration][]fleetEvent
	tokens        float64        // calls that the limit still allows
	sawFailure    []bool         // by relay: it saw a failure or rejection in the outage
	recoveryCalls []recoveryCall // since the recovery
	nextID        MessageID
	attempts      map[MessageID]int // by message
	delivered     int
}

// fleetEvent is an event for one relay.
type fleetEvent struct {
	relay int
	event Event
}

// recoveryCall is a call after the recovery.
type recoveryCall struct {
	at         time.Duration
	sawFailure bool // the relay that made the call saw one
}

// start starts a relay, or restarts it.
func (sim *fleetSimulation) start(t *testing.T, relay int) {
	t.Helper()
	engine, err := New(fleetSettings(sim.config), sim.rng.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []Endpoint{{ID: "a", Weight: sim.config.limit, InService: true}}
	sim.engines[relay] = engine
	sim.inbox[relay] = []Event{{Kind: EndpointSnapshot, Endpoints: endpoints}}
}

// call simulates one call at the endpoint. Its outcome comes two ticks later.
func (sim *fleetSimulation) call(relay int, a Action) {
	failing := sim.now >= fleetFailsAt && sim.now < fleetRecoversAt
	if sim.now >= fleetRecoversAt {
		sim.recoveryCalls = append(sim.recoveryCalls, recoveryCall{sim.now, sim.sawFailure[relay]})
	}
	event := Event{
		Kind:      AttemptFinished,
		MessageID: a.MessageID,
		Attempt:   sim.attempts[a.MessageID],
		Endpoint:  "a",
		Latency:   2 * fleetTick,
	}
	sim.attempts[a.MessageID]++
	if sim.tokens < 1 {
		event.Outcome = Overloaded
	} else {
		sim.tokens--
		if failing && sim.rng.Float64() < sim.config.failRatio {
			event.Outcome = Error
		}
	}
	if sim.config.limitReported {
		event.LimitReport = LimitReport{Present: true, Limit: sim.config.limit}
	}
	event.MessageEnded = event.Outcome == OK
	if event.MessageEnded {
		sim.delivered++
	} else if failing {
		sim.sawFailure[relay] = true
	}
	sim.schedule(relay, 2*fleetTick, event)
}

// schedule schedules an event for a relay, at the first tick after the given time.
func (sim *fleetSimulation) schedule(relay int, after time.Duration, event Event) {
	at := (sim.now + after + fleetTick - 1) / fleetTick * fleetTick
	sim.scheduled[at] = append(sim.scheduled[at], fleetEvent{relay, event})
}

// acceptMessages submits the messages of a tick. Half of the relays carry most of the traffic.
func (sim *fleetSimulation) acceptMessages() {
	relays := sim.config.relays
	for n := sim.config.limit * sim.config.demand * fleetTick.Seconds(); n > sim.rng.Float64(); n-- {
		relay := sim.rng.IntN(relays)
		if sim.rng.IntN(2) == 0 {
			relay = sim.rng.IntN((relays + 1) / 2)
		}
		sim.nextID++
		sim.schedule(relay, 0, Event{Kind: MessageAccepted, MessageID: sim.nextID, TimeLeft: 28 * time.Second})
	}
}

// step steps all relays that have events.
func (sim *fleetSimulation) step() {
	for _, scheduled := range sim.scheduled[sim.now] {
		sim.inbox[scheduled.relay] = append(sim.inbox[scheduled.relay], scheduled.event)
	}
	delete(sim.scheduled, sim.now)
	for relay, events := range sim.inbox {
		if len(events) == 0 {
			continue
		}
		sim.inbox[relay] = nil
		for _, a := range sim.engines[relay].Step(sim.now, events) {
			switch a.Kind {
			case Send:
				sim.call(relay, a)
			case SetTimer:
				sim.schedule(relay, max(a.Delay, fleetTick), Event{Kind: TimerFired})
			}
		}
	}
}

// simulateFleet runs a fleet through an outage. A third of the relays restart inside it.
func simulateFleet(t *testing.T, config fleetCase, seed uint64) *fleetSimulation {
	t.Helper()
	sim := &fleetSimulation{
		config:     config,
		rng:        rand.New(rand.NewPCG(seed, 3)),
		now:        fleetStartsAt,
		engines:    make([]*Engine, config.relays),
		inbox:      make([][]Event, config.relays),
		scheduled:  map[time.Duration][]fleetEvent{},
		sawFailure: make([]bool, config.relays),
		attempts:   map[MessageID]int{},
	}
	for relay := range sim.engines {
		sim.start(t, relay)
	}
	for ; sim.now < fleetEndsAt; sim.now += fleetTick {
		sim.tokens = math.Min(1+0.5*config.limit, sim.tokens+config.limit*fleetTick.Seconds())
		if sim.now == fleetRestartsAt {
			for relay := 0; relay < config.relays; relay += 3 {
				sim.start(t, relay)
			}
		}
		sim.acceptMessages()
		sim.step()
	}
	return sim
}

// overloaded reports whether any window since the recovery overloaded the endpoint. A window does so if it has more
// calls than its budget plus two standard deviations, and at least two thirds of them come from relays that saw a
// failure. It also returns the fraction used of the calls allowed to these relays, the maximum of all windows.
func (sim *fleetSimulation) overloaded() (overloaded bool, used float64) {
	settings := fleetSettings(sim.config)
	initial := settings.WarmUpInitialCapacity
	for i, last := range sim.recoveryCalls {
		fraction := initial + (1-initial)*float64(last.at-fleetRecoversAt)/float64(settings.WarmUpDuration)
		budget := settings.OverloadFactor * fraction * sim.config.limit * settings.OverloadWindow.Seconds()
		allowed := budget + 2*math.Sqrt(budget)
		all, afterFailure := 0.0, 0.0
		for _, c := range sim.recoveryCalls[:i+1] {
			if c.at <= last.at-settings.OverloadWindow {
				continue
			}
			all++
			if c.sawFailure {
				afterFailure++
			}
		}
		overloaded = overloaded || all > allowed && afterFailure >= all*2/3
		used = math.Max(used, afterFailure/(2.0/3*allowed))
	}
	return overloaded, used
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
				overloaded, used := sim.overloaded()
				if overloaded {
					t.Errorf("%v, seed %d: overloaded: relays that saw a failure used %.2f of their allowed calls",
						config, seed, used)
				}
				if sim.delivered == 0 {
					t.Errorf("%v, seed %d: nothing delivered", config, seed)
				}
			}
		}
	}
}
