package emulate

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

var _ DecisionEngine = (*policy.Engine)(nil)

// TestShippedScenarios plays all shipped scenarios. They violate no rule, the same seed gives the same record even if
// other worlds run at the same time, and the metrics equal those of the checker.
func TestShippedScenarios(t *testing.T) {
	for _, name := range scenario.Shipped() {
		t.Run(name, func(t *testing.T) {
			file := loadScenario(t, name)
			seeds := []uint64{1, 1, 2}
			worlds, errs := make([]*World, len(seeds)), make([]error, len(seeds))
			var wg sync.WaitGroup
			for i, seed := range seeds {
				wg.Go(func() { worlds[i], errs[i] = play(file.Draw(seed), Options{Record: true}) })
			}
			wg.Wait()
			if err := errors.Join(errs...); err != nil {
				t.Fatal(err)
			}
			for _, w := range worlds {
				result := checkRecord(t, w)
				if rules := violatedRules(result); len(rules) > 0 {
					t.Errorf("violated: %v", rules)
				}
				compareMetrics(t, w, result.Service)
			}
			first, again, other := marshalEvents(t, worlds[0]), marshalEvents(t, worlds[1]), marshalEvents(t, worlds[2])
			if first != again || first == other {
				t.Error("a seed does not determine the record")
			}
		})
	}
}

// compareMetrics compares the metrics of a world with the checker's.
func compareMetrics(t *testing.T, w *World, want checker.Service) {
	t.Helper()
	if math.Abs(want.Overall-w.Overall()) > 1e-9 ||
		want.Submitted != w.Submitted ||
		want.DeliveredInTime != w.DeliveredInTime ||
		want.CallsRejected != w.CallsRejected ||
		want.Deferred != w.Deferred ||
		want.Rejected != w.Rejected {
		t.Errorf("checker: %+v; world: %+v, overall %v", want, w.Metrics, w.Overall())
	}
}

// TestMachineCrashes: a machine that crashes loses the journal writes that were not synced, which are none if each
// write is synced.
func TestMachineCrashes(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncNever, SyncInterval, SyncAlways} {
		options := Options{Record: true, JournalSync: sync, MachineCrashes: true}
		w, err := New(loadScenario(t, "quiet-day").Draw(1), options)
		if err != nil {
			t.Fatal(err)
		}
		for at := 5500 * time.Millisecond; at < 30*time.Second; at += 3700 * time.Millisecond {
			w.Schedule(at, func() { w.Kill(0, true) })
		}
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		lost := slices.Contains(violatedRules(checkRecord(t, w)), checker.NoMessageLost)
		if lost != (sync != SyncAlways) {
			t.Errorf("journal sync %s: messages lost %v", sync, lost)
		}
	}
}

// TestOverloadedServiceStaysDown: an overloaded service stays out of service while three relays have backlogs for it.
// Each message still gets its final answer.
func TestOverloadedServiceStaysDown(t *testing.T) {
	file := loadScenario(t, "partner-cold")
	file.Relays = 3
	overloads := 0
	for seed := range uint64(8) {
		w, rules := playAndCheck(t, file.Draw(seed+1), Options{Mutant: FindMutant("no-recovery-budget")})
		overloads += w.Overloads
		if slices.Contains(rules, checker.NoMessageLost) || slices.Contains(rules, checker.NoDuplicateEffect) {
			t.Errorf("seed %d: violated %v", seed+1, rules)
		}
	}
	if overloads == 0 {
		t.Error("no service was overloaded with any seed")
	}
}

// TestListsOfRelaysDiffer: 58 % of the endpoints are replaced, and each change of the list reaches the relays seconds
// apart. A short outage begins and ends while changes are on their way to the relays. No rule is violated.
func TestListsOfRelaysDiffer(t *testing.T) {
	file := loadScenario(t, "replace-58")
	file.Faults = append(file.Faults, scenario.Fault{
		Kind:         scenario.FaultCrash,
		Start:        file.Faults[0].Start + scenario.Duration(500*time.Millisecond),
		Duration:     scenario.Duration(time.Second),
		Destinations: []int{1},
	})
	file.SetDefaults()
	_, rules := playAndCheck(t, file.Draw(1), Options{
		ListDelay: func(relay int) time.Duration { return time.Duration(1+3*relay) * time.Second },
	})
	if len(rules) > 0 {
		t.Errorf("violated: %v", rules)
	}
}

// TestLostAnswers: answers are lost while endpoints are replaced. Messages with an idempotency key are retried within
// their window, and no rule is violated. A mutant that takes a reset for a call that never ran violates a rule.
func TestLostAnswers(t *testing.T) {
	plan := loadExperiment(t, "fleet-churn").Draw(1)
	w, rules := playAndCheck(t, plan, Options{})
	if len(rules) > 0 {
		t.Errorf("violated: %v", rules)
	}
	lost := 0
	for _, e := range w.events {
		if e.Kind == eventlog.CallAborted && e.Cause == eventlog.CauseEndpoint {
			lost++
		}
	}
	if calls := w.CallsServed + lost; lost < calls/100 {
		t.Errorf("%d answers lost of %d calls, want at least 1 %%", lost, calls)
	}
	_, rules = playAndCheck(t, plan, Options{Mutant: FindMutant("reset-never-ran")})
	if !slices.Contains(rules, checker.NoDuplicateEffect) {
		t.Errorf("violated by relays that repeat calls after a reset: %v, want %q", rules, checker.NoDuplicateEffect)
	}
}

// TestNetworkFaultsAndEventBound: resets of idle connections and a high latency between zones violate no rule, and a
// run that exceeds Options.MaxEvents ends with an error.
func TestNetworkFaultsAndEventBound(t *testing.T) {
	plan := loadScenario(t, "first-run").Draw(1)
	_, rules := playAndCheck(t, plan, Options{
		IdleResetRatio: 0.2,
		Latency:        2 * time.Millisecond,
		ZoneLatency:    40 * time.Millisecond,
	})
	if len(rules) > 0 {
		t.Errorf("violated: %v", rules)
	}
	if _, err := play(plan, Options{MaxEvents: 500}); !errors.Is(err, engine.ErrTooManyEvents) {
		t.Errorf("with MaxEvents 500: error %v, want %v", err, engine.ErrTooManyEvents)
	}
}

// TestRetryAfterEndsAtWindowBoundary: the Retry-After of a fixed-window limit ends at the end of the window, and
// relays send no call before that.
func TestRetryAfterEndsAtWindowBoundary(t *testing.T) {
	w := worldSpec{
		relays:      2,
		seed:        1,
		maxMessages: 200,
		kind: scenario.DestinationKind{
			ServiceTime:        scenario.Duration(50 * time.Millisecond),
			MaxConcurrentCalls: 20,
			Limit:              upstream.FixedWindow,
			RetryAfterRatio:    1,
			MinRetryAfter:      scenario.Duration(time.Millisecond),
		},
		destination: scenario.Destination{LimitRate: 5},
		options:     Options{Record: true},
	}.start(t)
	submitRandomly(w, 0, 20*time.Second, 20)
	w.run(t, 35*time.Second)
	w.record(eventlog.Event{Kind: eventlog.RunEnded})
	result := checkRecord(t, w.World).ForRule(checker.RetryAfterRespected)
	if result.State != checker.Held || result.Exercised < 10 {
		t.Errorf("rule %q: %+v", checker.RetryAfterRespected, result)
	}
}

func BenchmarkPlay(b *testing.B) {
	for _, relays := range []int{2, 20, 200} {
		b.Run(strconv.Itoa(relays), func(b *testing.B) {
			file := loadScenario(b, "quiet-day")
			file.Relays = relays
			b.ReportAllocs()
			messages := 0
			for b.Loop() {
				messages += playPlan(b, file.DrawWithoutArrivals(1), Options{}).Submitted
			}
			b.ReportMetric(float64(messages)/b.Elapsed().Seconds(), "messages/s")
		})
	}
}
