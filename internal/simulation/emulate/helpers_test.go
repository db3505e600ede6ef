package emulate

import (
	"cmp"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

func loadScenario(t testing.TB, name string) scenario.File {
	t.Helper()
	f, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func playPlan(t testing.TB, p scenario.Plan, opts Options) *World {
	t.Helper()
	w, err := New(p, opts)
	if err == nil {
		err = w.Play()
	}
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func checkRecord(t testing.TB, w *World) checker.Result {
	t.Helper()
	v := checker.Check(w.Result())
	if len(v.RunErrors) > 0 {
		t.Errorf("faults: %+v", v.RunErrors)
	}
	return v
}

func violatedRules(v checker.Result) (all []checker.Rule) {
	for _, f := range v.Rules {
		if f.State == checker.Violated {
			all = append(all, f.Rule)
		}
	}
	return all
}

// worldSpec is a world with one kind of destination and a class of messages with idempotency keys. The test submits
// the messages itself.
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

// world is a world in virtual time, with what was delivered in it.
type testWorld struct {
	*World
	deliveries []delivery
	trace      []string
}

type delivery struct {
	destination              int
	submittedAt, deliveredAt time.Duration
}

// start starts the world.
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
		Traffic:          []scenario.Traffic{{Rate: 1}}, // for the validation
		Fleet:            s.fleet,
	}
	file.SetDefaults()
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(err)
	}
	file.Traffic = nil
	file.Clients.RetryRatio = new(float64)

	w := &testWorld{}
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

// rate is how many messages a second were delivered in a span.
func (w *testWorld) deliveryRate(from, to time.Duration) float64 {
	n := 0
	for _, d := range w.deliveries {
		if d.deliveredAt >= from && d.deliveredAt < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
