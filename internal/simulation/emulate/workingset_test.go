package emulate

import (
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Of a pair of relay and destination without traffic nothing is kept. A module that is told all keeps its part.
func TestIdlePairsCostNoMemory(t *testing.T) {
	held := func(relays, destinations, whole int) float64 {
		f := loadScenario(t, "quiet-day")
		f.Relays, f.Faults = relays, nil
		f.Destinations = []scenario.Destination{
			{
				Kind:          f.Destinations[0].Kind,
				LimitRate:     f.Destinations[0].LimitRate,
				TrafficWeight: 1,
				Count:         destinations,
				Endpoints:     2,
				Zones:         f.Zones,
			},
		}
		heap := func() float64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc)
		}
		before := heap()
		w, err := New(f.DrawWithoutArrivals(1), Options{MaxEagerEndpoints: whole})
		if err != nil {
			t.Fatal(err)
		}
		bytes := heap() - before
		runtime.KeepAlive(w)
		return bytes
	}
	const least, most = 3000, 6000
	for _, c := range []struct {
		relays, whole int
		free          bool
	}{{200, 0, true}, {20, 1_000_000, false}} {
		more := held(
			c.relays,
			most,
			c.whole,
		) - held(
			c.relays,
			least,
			c.whole,
		) - held(
			1,
			most,
			c.whole,
		) + held(
			1,
			least,
			c.whole,
		)
		if perPair := more / float64(c.relays-1) / (most - least); (perPair < 1) != c.free {
			t.Errorf("%d relays, lists told whole up to %d entries: %.2f bytes a pair", c.relays, c.whole, perPair)
		}
	}
}

// Modules that are told of what there is work for keep the rules on all that the kit ships, serve as those that are
// told all, and one that does not heed drains is convicted.
func TestWorkingSetsKeepTheRules(t *testing.T) {
	for _, name := range scenario.Shipped() {
		f := loadScenario(t, name)
		whole, working := playPlan(t, f.Draw(1), Options{}), playPlan(t, f.Draw(1), Options{Record: true, MaxEagerEndpoints: 1})
		if rules := violatedRules(checkRecord(t, working)); len(rules) > 0 {
			t.Errorf("%s: broken: %v", name, rules)
		}
		if a, b := whole.Overall(), working.Overall(); b < a-0.02 || working.Activations == 0 {
			t.Errorf("%s: served %.4f, told all %.4f; %d woken", name, b, a, working.Activations)
		}
	}
	v := checkRecord(
		t,
		playPlan(
			t,
			loadScenario(t, "half-draining").Draw(1),
			Options{Record: true, MaxEagerEndpoints: 1, Mutant: FindMutant("drains-ignored")},
		),
	)
	if v.ForRule(checker.DrainRespected).State != checker.Violated {
		t.Errorf("drains ignored: %+v", v.ForRule(checker.DrainRespected))
	}
}

// careless lets go of what it must remember.
type forgetfulEngine struct{ *policy.Engine }

func (forgetfulEngine) Evictable(policy.DestinationID) bool { return true }

// A destination that told to wait is not forgotten while it lasts, however long it is idle; a module that lets go of it
// is convicted.
func TestRetryAfterSurvivesEviction(t *testing.T) {
	const s = scenario.Duration(time.Second)
	for _, forgets := range []bool{false, true} {
		opts := Options{Record: true, MaxEagerEndpoints: 1}
		if forgets {
			opts.NewEngine = func(set policy.Settings, seed uint64) DecisionEngine {
				x, err := policy.New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				return forgetfulEngine{x}
			}
		}
		w := worldSpec{
			relays:      1,
			seed:        1,
			maxMessages: 200,
			kind:        scenario.DestinationKind{ServiceTime: s / 10, MaxConcurrentCalls: 20, RetryAfterRatio: 1},
			destination: scenario.Destination{Count: 40},
			options:     opts,
		}.start(t)
		shut := w.Services(1)[0].Name
		w.Schedule(10*time.Second, func() { w.BeginOutage(shut, scenario.OpSuspend, 0, 60*time.Second) })
		w.Schedule(70*time.Second, func() { w.EndOutage(shut) })
		for _, at := range []time.Duration{12, 66, 72} {
			w.Schedule(at*time.Second, func() { w.Submit(scenario.Arrival{Destination: 1}) })
		}
		n := 0
		w.ScheduleRandomly(0, 80*time.Second, 1, func() { n++; w.Submit(scenario.Arrival{Destination: 2 + n%39}) })
		w.run(t, 100*time.Second)
		w.record(eventlog.Event{Kind: eventlog.RunEnded})
		if f := checkRecord(t, w.World).ForRule(checker.RetryAfterRespected); (f.State == checker.Violated) != forgets || f.Exercised == 0 {
			t.Errorf("forgets %v: %+v", forgets, f)
		}
	}
}

// A destination that wakes stands as the relay's list has it then: what drains is not called, what has gone is not
// told, and what came is.
func TestActivatedEndpointsMatchList(t *testing.T) {
	const s = scenario.Duration(time.Second)
	var told []policy.Endpoint
	sent := map[string]int{}
	w := worldSpec{
		relays:      1,
		seed:        1,
		maxMessages: 200,
		kind:        scenario.DestinationKind{ServiceTime: s / 10, MaxConcurrentCalls: 20},
		destination: scenario.Destination{Count: 2, Endpoints: 3},
		options: Options{
			MaxEagerEndpoints: 1,
			OnStep: func(_ int, _ time.Duration, events []policy.Event, actions []policy.Action) {
				for _, e := range events {
					told = append(told, e.Endpoints...)
				}
				for _, a := range actions {
					if a.Kind == policy.Send {
						sent[a.Endpoint]++
					}
				}
			},
		},
	}.start(t)
	hosts := w.Services(1)[0].endpoints
	w.Schedule(3*time.Second, func() { w.ChangeEndpoint(hosts[0].ID, eventlog.StateDraining) })
	w.Schedule(3*time.Second, func() { w.ChangeEndpoint(hosts[1].ID, eventlog.StateGone) })
	w.Schedule(4*time.Second, func() {
		e := hosts[2].Endpoint
		e.ID = "s-new"
		w.AddEndpoint(e)
	})
	submitRandomly(w, 10*time.Second, 12*time.Second, 50)
	w.run(t, 13*time.Second)
	if len(told) != 3 || told[0].ID != hosts[0].ID || told[0].InService || told[1].ID != hosts[2].ID ||
		told[2].ID != "s-new" ||
		!told[2].InService {
		t.Errorf("told %+v", told)
	}
	if len(sent) != 2 || sent[hosts[2].ID] == 0 || sent["s-new"] == 0 {
		t.Errorf("sent %v", sent)
	}
	if w.run(t, time.Minute); w.relays[0].workingSet.Len() != 0 {
		t.Errorf("%d destinations awake long after the last message", w.relays[0].workingSet.Len())
	}
}

// The first message for a destination at rest is delivered as soon as where modules are told all: also by one of many
// relays, whose calls spread over the first seconds after a start.
func TestActivationIsNotLate(t *testing.T) {
	f := loadScenario(t, "quiet-day")
	f.Relays, f.Faults = 40, nil
	f.Destinations = []scenario.Destination{
		{Kind: f.Destinations[0].Kind, LimitRate: 20, TrafficWeight: 1, Count: 500, Endpoints: 2, Zones: f.Zones},
	}
	whole, working := playPlan(t, f.DrawWithoutArrivals(1), Options{}), playPlan(t, f.DrawWithoutArrivals(1), Options{MaxEagerEndpoints: 1})
	if a, b := whole.LatencyPercentile(50), working.LatencyPercentile(50); b > a+a/10 {
		t.Errorf("half of the messages are delivered within %v, where modules are told all within %v", b, a)
	}
}
