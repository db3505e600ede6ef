package emulate

import (
	"cmp"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

func loadScenario(t testing.TB, name string) scenario.File {
	t.Helper()
	file, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// loadExperiment loads a scenario of docs/experiments.
func loadExperiment(t testing.TB, name string) scenario.File {
	t.Helper()
	file, err := scenario.LoadWithin("../../../docs/experiments/"+name+".toml", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// play plays a plan to its end.
func play(plan scenario.Plan, options Options) (*World, error) {
	w, err := New(plan, options)
	if err != nil {
		return nil, err
	}
	return w, w.Play()
}

func playPlan(t testing.TB, plan scenario.Plan, options Options) *World {
	t.Helper()
	w, err := play(plan, options)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// checkRecord runs the checker on the record of a world, and fails the test if the run was invalid.
func checkRecord(t testing.TB, w *World) checker.Result {
	t.Helper()
	result := checker.Check(w.Result())
	if len(result.RunErrors) > 0 {
		t.Errorf("the record has run errors: %+v", result.RunErrors)
	}
	return result
}

func violatedRules(result checker.Result) (rules []checker.Rule) {
	for _, r := range result.Rules {
		if r.State == checker.Violated {
			rules = append(rules, r.Rule)
		}
	}
	return rules
}

// playAndCheck plays a plan with a record, and returns the rules that it violates.
func playAndCheck(t testing.TB, plan scenario.Plan, options Options) (*World, []checker.Rule) {
	t.Helper()
	options.Record = true
	w := playPlan(t, plan, options)
	return w, violatedRules(checkRecord(t, w))
}

// worldSpec describes a world with one kind of destination and one class of messages with idempotency keys. The test
// submits the messages itself.
type worldSpec struct {
	relays             int
	seed               uint64
	maxConcurrentCalls int // of a relay; 0: 20
	maxMessages        int // of a relay; 0: 120
	kind               scenario.DestinationKind
	destination        scenario.Destination
	fleet              scenario.Fleet
	options            Options
}

// testWorld is a world with the deliveries that were made in it.
type testWorld struct {
	*World
	seed       uint64
	deliveries []delivery
	actions    []string // actions of the engines, if the test records them
}

// delivery is the first delivery of a message.
type delivery struct {
	destination int
	submittedAt time.Duration
	deliveredAt time.Duration
}

// start returns the world at time 0, with its relays running.
func (s worldSpec) start(t testing.TB) *testWorld {
	t.Helper()
	const second = scenario.Duration(time.Second)
	kind, destination := s.kind, s.destination
	kind.Name, destination.Kind = "kind", "kind"
	kind.RetryAfterRatio = cmp.Or(kind.RetryAfterRatio, 0.5)
	kind.MinRetryAfter = cmp.Or(kind.MinRetryAfter, 300*second/1000)
	kind.WarmUpInitialCapacity = 0.18
	kind.WarmUpDuration = 14 * second
	kind.MaxQueueTime = second / 2
	kind.ServiceTimeVariation = 0.5
	file := scenario.File{
		Name:   "recovery",
		Length: 100 * second,
		Relays: s.relays,
		Zones:  []string{"north", "south"},
		Settings: scenario.Settings{
			MaxConcurrentCalls: cmp.Or(s.maxConcurrentCalls, 20),
			MaxMessages:        cmp.Or(s.maxMessages, 120),
			OverloadFactor:     2,
			OverloadWindow:     3 * second,
		},
		Classes: []scenario.Class{{
			Name:             "order",
			Effect:           eventlog.IdempotentByKey,
			DedupWindow:      10 * second,
			LatencyObjective: 3 * second,
			Deadline:         12 * second,
			LateWeightRatio:  0.4,
		}},
		DestinationKinds: []scenario.DestinationKind{kind},
		Destinations:     []scenario.Destination{destination},
		Traffic:          []scenario.Traffic{{Rate: 1}}, // required by the validation, and removed after it
		Fleet:            s.fleet,
	}
	file.SetDefaults()
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(err)
	}
	file.Traffic = nil
	file.Clients.RetryRatio = new(float64)

	w := &testWorld{seed: s.seed}
	options := s.options
	options.Latency = 20 * time.Millisecond
	options.OnDelivery = func(destination int, submittedAt, deliveredAt time.Duration) {
		w.deliveries = append(w.deliveries, delivery{destination, submittedAt, deliveredAt})
	}
	var err error
	if w.World, err = New(file.Draw(s.seed+1), options); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *testWorld) run(t testing.TB, until time.Duration) {
	t.Helper()
	if err := w.Run(until); err != nil {
		t.Fatal(err)
	}
}

// deliveryRate returns the messages delivered per second in a time span.
func (w *testWorld) deliveryRate(from, to time.Duration) float64 {
	n := 0
	for _, d := range w.deliveries {
		if d.deliveredAt >= from && d.deliveredAt < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// submitRandomly submits messages for the first destination to the relays in turn, at random times with a mean rate per
// second.
func submitRandomly(w *testWorld, from, to time.Duration, rate float64) {
	n := 0
	w.ScheduleRandomly(from, to, rate, func() {
		w.Submit(scenario.Arrival{Relay: n % len(w.relays), Destination: 1})
		n++
	})
}

// atEachService schedules a change of each service at a time.
func atEachService(w *testWorld, at time.Duration, change func(*Service)) {
	w.Schedule(at, func() {
		for _, s := range w.serviceOrder {
			change(s)
		}
	})
}

// countDeliveriesBy counts the messages that a relay delivers from now on.
func countDeliveriesBy(w *testWorld, relay int) *int {
	count := new(int)
	w.options.OnStep = func(stepped int, _ time.Duration, events []policy.Event, _ []policy.Action) {
		for _, e := range events {
			if stepped == relay && e.Kind == policy.AttemptFinished && e.Outcome == policy.OK {
				*count++
			}
		}
	}
	return count
}
