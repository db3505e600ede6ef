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

// TestIdlePairsCostNoMemory: a pair of a relay and a destination without traffic takes no memory, unless the engine
// holds the whole list.
func TestIdlePairsCostNoMemory(t *testing.T) {
	const few, many = 3000, 6000 // destinations
	for _, c := range []struct {
		relays            int
		maxEagerEndpoints int
		free              bool
	}{
		{200, 0, true},
		{20, 1_000_000, false},
	} {
		// The memory that additional destinations take with many relays, without the memory that they take with one.
		growth := heapGrowth(t, c.relays, many, c.maxEagerEndpoints) - heapGrowth(t, c.relays, few, c.maxEagerEndpoints)
		ofOne := heapGrowth(t, 1, many, c.maxEagerEndpoints) - heapGrowth(t, 1, few, c.maxEagerEndpoints)
		perPair := (growth - ofOne) / float64(c.relays-1) / (many - few)
		if (perPair < 1) != c.free {
			t.Errorf("%d relays, whole lists of up to %d entries: %.2f bytes a pair",
				c.relays, c.maxEagerEndpoints, perPair)
		}
	}
}

// heapGrowth returns how many bytes of heap a world without traffic takes.
func heapGrowth(t *testing.T, relays, destinations, maxEagerEndpoints int) float64 {
	t.Helper()
	file := loadScenario(t, "quiet-day")
	file.Relays, file.Faults = relays, nil
	file.Destinations = []scenario.Destination{{
		Kind:          file.Destinations[0].Kind,
		LimitRate:     file.Destinations[0].LimitRate,
		TrafficWeight: 1,
		Count:         destinations,
		Endpoints:     2,
		Zones:         file.Zones,
	}}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	w, err := New(file.DrawWithoutArrivals(1), Options{MaxEagerEndpoints: maxEagerEndpoints})
	if err != nil {
		t.Fatal(err)
	}
	grown := heap() - before
	runtime.KeepAlive(w)
	return grown
}

// TestWorkingSetsKeepTheRules: engines with a working set violate no rule in the shipped scenarios, and deliver
// nearly as much weight as engines with the whole list. An engine with a working set that ignores drains violates a
// rule.
func TestWorkingSetsKeepTheRules(t *testing.T) {
	for _, name := range scenario.Shipped() {
		plan := loadScenario(t, name).Draw(1)
		wholeList := playPlan(t, plan, Options{})
		workingSet, rules := playAndCheck(t, plan, Options{MaxEagerEndpoints: 1})
		if len(rules) > 0 {
			t.Errorf("%s: violated: %v", name, rules)
		}
		want, got := wholeList.Overall(), workingSet.Overall()
		if got < want-0.02 || workingSet.Activations == 0 {
			t.Errorf("%s: %.4f of the weight delivered, with whole lists %.4f; %d activations",
				name, got, want, workingSet.Activations)
		}
	}
	w := playPlan(t, loadScenario(t, "half-draining").Draw(1), Options{
		Record:            true,
		MaxEagerEndpoints: 1,
		Mutant:            FindMutant("drains-ignored"),
	})
	if result := checkRecord(t, w).ForRule(checker.DrainRespected); result.State != checker.Violated {
		t.Errorf("drains ignored, rule %q: %+v", checker.DrainRespected, result)
	}
}

// alwaysEvictableEngine allows the eviction of destinations whose state it still needs.
type alwaysEvictableEngine struct{ *policy.Engine }

func (alwaysEvictableEngine) Evictable(policy.DestinationID) bool { return true }

// TestRetryAfterSurvivesEviction: the engine keeps a destination that sent a Retry-After until the end of the
// Retry-After, however long the destination is idle. An engine that allows the eviction before violates the rule.
func TestRetryAfterSurvivesEviction(t *testing.T) {
	for _, alwaysEvictable := range []bool{false, true} {
		options := Options{Record: true, MaxEagerEndpoints: 1}
		if alwaysEvictable {
			options.NewEngine = func(settings policy.Settings, seed uint64) DecisionEngine {
				e, err := policy.New(settings, seed)
				if err != nil {
					t.Fatal(err)
				}
				return alwaysEvictableEngine{e}
			}
		}
		w := worldSpec{
			relays:      1,
			seed:        1,
			maxMessages: 200,
			kind: scenario.DestinationKind{
				ServiceTime:        scenario.Duration(100 * time.Millisecond),
				MaxConcurrentCalls: 20,
				RetryAfterRatio:    1,
			},
			destination: scenario.Destination{Count: 40},
			options:     options,
		}.start(t)
		suspended := w.Services(1)[0].Name
		w.Schedule(10*time.Second, func() { w.BeginOutage(suspended, scenario.OpSuspend, 0, 60*time.Second) })
		w.Schedule(70*time.Second, func() { w.EndOutage(suspended) })
		for _, at := range []time.Duration{12 * time.Second, 66 * time.Second, 72 * time.Second} {
			w.Schedule(at, func() { w.Submit(scenario.Arrival{Destination: 1}) })
		}
		n := 0
		w.ScheduleRandomly(0, 80*time.Second, 1, func() {
			n++
			w.Submit(scenario.Arrival{Destination: 2 + n%39})
		})
		w.run(t, 100*time.Second)
		w.record(eventlog.Event{Kind: eventlog.RunEnded})
		result := checkRecord(t, w.World).ForRule(checker.RetryAfterRespected)
		if (result.State == checker.Violated) != alwaysEvictable || result.Exercised == 0 {
			t.Errorf("eviction always allowed %v, rule %q: %+v", alwaysEvictable, checker.RetryAfterRespected, result)
		}
	}
}

// TestActivatedEndpointsMatchList: a destination that becomes active has the endpoints of the relay's list at that
// time. An endpoint that drains is not called, an endpoint that was removed is absent, and an endpoint that was added
// is present.
func TestActivatedEndpointsMatchList(t *testing.T) {
	var given []policy.Endpoint
	sent := map[string]int{}
	w := worldSpec{
		relays:      1,
		seed:        1,
		maxMessages: 200,
		kind: scenario.DestinationKind{
			ServiceTime:        scenario.Duration(100 * time.Millisecond),
			MaxConcurrentCalls: 20,
		},
		destination: scenario.Destination{Count: 2, Endpoints: 3},
		options: Options{
			MaxEagerEndpoints: 1,
			OnStep: func(_ int, _ time.Duration, events []policy.Event, actions []policy.Action) {
				for _, e := range events {
					given = append(given, e.Endpoints...)
				}
				for _, a := range actions {
					if a.Kind == policy.Send {
						sent[a.Endpoint]++
					}
				}
			},
		},
	}.start(t)
	const added = "s-new"
	endpoints := w.Services(1)[0].endpoints
	draining, removed, unchanged := endpoints[0].ID, endpoints[1].ID, endpoints[2].ID
	w.Schedule(3*time.Second, func() { w.ChangeEndpoint(draining, eventlog.StateDraining) })
	w.Schedule(3*time.Second, func() { w.ChangeEndpoint(removed, eventlog.StateGone) })
	w.Schedule(4*time.Second, func() {
		e := endpoints[2].Endpoint
		e.ID = added
		w.AddEndpoint(e)
	})
	submitRandomly(w, 10*time.Second, 12*time.Second, 50)
	w.run(t, 13*time.Second)
	if len(given) != 3 ||
		given[0].ID != draining || given[0].InService ||
		given[1].ID != unchanged ||
		given[2].ID != added || !given[2].InService {
		t.Errorf("endpoints passed to the engine: %+v", given)
	}
	if len(sent) != 2 || sent[unchanged] == 0 || sent[added] == 0 {
		t.Errorf("calls by endpoint: %v", sent)
	}
	w.run(t, time.Minute)
	if active := w.relays[0].workingSet.Len(); active != 0 {
		t.Errorf("%d destinations active long after the last message", active)
	}
}

// TestActivationIsNotLate: the first message for an idle destination is delivered as soon as if the engine held the
// whole list. Large fleets spread the first calls to new endpoints over seconds, which must not apply to the
// endpoints of a destination that becomes active.
func TestActivationIsNotLate(t *testing.T) {
	file := loadScenario(t, "quiet-day")
	file.Relays, file.Faults = 40, nil
	file.Destinations = []scenario.Destination{{
		Kind:          file.Destinations[0].Kind,
		LimitRate:     20,
		TrafficWeight: 1,
		Count:         500,
		Endpoints:     2,
		Zones:         file.Zones,
	}}
	plan := file.DrawWithoutArrivals(1)
	want := playPlan(t, plan, Options{}).LatencyPercentile(50)
	got := playPlan(t, plan, Options{MaxEagerEndpoints: 1}).LatencyPercentile(50)
	if got > want+want/10 {
		t.Errorf("half of the messages are delivered within %v, with whole lists within %v", got, want)
	}
}
