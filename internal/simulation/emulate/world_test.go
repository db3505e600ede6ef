package emulate

import (
	"encoding/json"
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

// All that the rehearsal kit ships is played with the rules held, the same trace for the same seed whatever runs beside
// it, and what the measures count is what the judge counts.
func TestShippedScenarios(t *testing.T) {
	for _, name := range scenario.Shipped() {
		f := loadScenario(t, name)
		traces := make([][]byte, 3)
		var wg sync.WaitGroup
		for i := range traces {
			wg.Go(func() {
				w := playPlan(t, f.Draw(uint64(1+i/2)), Options{Record: true})
				_, events := w.Result()
				traces[i], _ = json.Marshal(events)
				v := checkRecord(t, w)
				if rules := violatedRules(v); len(rules) > 0 {
					t.Errorf("%s: broken: %v", name, rules)
				}
				if s := v.Service; math.Abs(s.Overall-w.Overall()) > 1e-9 || s.Submitted != w.Submitted ||
					s.DeliveredInTime != w.DeliveredInTime ||
					s.CallsRejected != w.CallsRejected ||
					s.Deferred != w.Deferred ||
					s.Rejected != w.Rejected {
					t.Errorf("%s: judged %+v, measured %+v, %v", name, s, w.Metrics, w.Overall())
				}
			})
		}
		wg.Wait()
		if string(traces[0]) != string(traces[1]) || string(traces[0]) == string(traces[2]) {
			t.Errorf("%s: a seed is not one trace", name)
		}
	}
}

// Mutants are convicted of the rule that they break, by what ships; those that break nothing decide as a sound relay
// does.
func TestMutantsBreakTheirRule(t *testing.T) {
	where := map[checker.Rule][]string{
		checker.NoMessageLost: {
			"first-run",
			"rolling-restarts",
			"partner-cold",
		}, checker.NoDuplicateEffect: {"first-run", "partner-cold"}, checker.DrainRespected: {"half-draining"},
		checker.RecoveryNotOverloaded: {"partner-cold"}, checker.OrderKept: {"dinner-rush"}, checker.RetryAfterRespected: {"dinner-rush", "partner-cold"},
	}
	// By the tiny worlds, and not by these: see package explore and the table in docs/emulator.md.
	elsewhere := []string{
		"notices-lost-over-restarts",
		"budget-three-times",
		"budget-for-itself",
		"budget-twice",
		"no-pause",
		"half-a-pause",
		"pause-too-short",
	}
	for _, m := range Mutants() {
		if slices.Contains(elsewhere, m.Name) {
			continue
		}
		found := false
		for _, name := range where[m.Rule] {
			for seed := range uint64(3) {
				if found {
					break
				}
				found = slices.Contains(
					violatedRules(checkRecord(t, playPlan(t, loadScenario(t, name).Draw(seed+1), Options{Record: true, Mutant: &m}))),
					m.Rule,
				)
			}
		}
		if m.Rule != "" && !found {
			t.Errorf("%s is not convicted", m.Name)
		}
		if m.Rule == "" {
			p := loadScenario(t, "metastable").Draw(1)
			a, b := playPlan(t, p, Options{Record: true}), playPlan(t, p, Options{Record: true, Mutant: &m})
			x, _ := json.Marshal(a.events)
			if y, _ := json.Marshal(b.events); string(x) != string(y) {
				t.Errorf("%s is not equivalent", m.Name)
			}
		}
	}
}

// A relay that dies between a call's first byte and its journal record makes the call again; one that logs first does
// not.
func TestCrashBeforeJournalRecord(t *testing.T) {
	for _, lag := range []time.Duration{0, 50 * time.Millisecond} {
		f := loadScenario(t, "quiet-day")
		f.Classes = []scenario.Class{
			{Name: "payment", TrafficShare: 1, Effect: "unsafe", LatencyObjective: f.Classes[0].LatencyObjective, Deadline: f.Classes[0].Deadline, Weight: 1},
		}
		f.Faults = nil
		for at := 5 * time.Second; at < 30*time.Second; at += 4 * time.Second {
			f.Faults = append(f.Faults, scenario.Fault{Kind: scenario.FaultKill, Start: scenario.Duration(at)})
		}
		f.SetDefaults()
		w := playPlan(t, f.Draw(1), Options{Record: true, Mutant: &Mutant{JournalDelay: lag}})
		if rules := violatedRules(checkRecord(t, w)); slices.Contains(rules, checker.NoMessageLost) != (lag > 0) {
			t.Errorf("logged %v late: broken %v", lag, rules)
		}
	}
}

// With the machine goes what was not synced: nothing with a sync for each commit, up to a second with an interval.
func TestMachineCrashes(t *testing.T) {
	for _, sync := range []SyncPolicy{SyncNever, SyncInterval, SyncAlways} {
		w, err := New(loadScenario(t, "quiet-day").Draw(1), Options{Record: true, JournalSync: sync, MachineCrashes: true})
		if err != nil {
			t.Fatal(err)
		}
		for at := 5500 * time.Millisecond; at < 30*time.Second; at += 3700 * time.Millisecond {
			w.Schedule(at, func() { w.Kill(0, true) })
		}
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		if lost := slices.Contains(violatedRules(checkRecord(t, w)), checker.NoMessageLost); lost != (sync != SyncAlways) {
			t.Errorf("sync %d: lost %v", sync, lost)
		}
	}
}

// A partner that was pushed over stays down, three relays with backlogs at it: each message has its end all the same.
func TestOverloadedServiceStaysDown(t *testing.T) {
	f := loadScenario(t, "partner-cold")
	f.Relays = 3
	fell := 0
	for seed := range uint64(8) {
		w := playPlan(t, f.Draw(seed+1), Options{Record: true, Mutant: FindMutant("no-recovery-budget")})
		fell += w.Overloads
		if rules := violatedRules(checkRecord(t, w)); slices.Contains(rules, checker.NoMessageLost) ||
			slices.Contains(rules, checker.NoDuplicateEffect) {
			t.Errorf("seed %d: broken %v", seed+1, rules)
		}
	}
	if fell == 0 {
		t.Error("none was pushed over")
	}
}

// 58 % of the endpoints are replaced with lists seconds apart between relays, and an outage begins and ends between two
// lists.
func TestListsOfRelaysDiffer(t *testing.T) {
	f := loadScenario(t, "replace-58")
	f.Faults = append(f.Faults, scenario.Fault{
		Kind: scenario.FaultCrash, Start: f.Faults[0].Start + scenario.Duration(500*time.Millisecond),
		Duration: scenario.Duration(time.Second), Destinations: []int{1},
	})
	f.SetDefaults()
	w := playPlan(
		t,
		f.Draw(1),
		Options{
			Record:    true,
			ListDelay: func(relay int) time.Duration { return time.Duration(1+3*relay) * time.Second },
		},
	)
	if rules := violatedRules(checkRecord(t, w)); len(rules) > 0 {
		t.Errorf("broken: %v", rules)
	}
}

// Answers get lost while endpoints are replaced: keyed messages are repeated within their allowance and no rule breaks,
// and a relay that takes a reset for a call that never ran is convicted on the same day.
func TestLostAnswers(t *testing.T) {
	f, err := scenario.LoadWithin("../../../docs/experiments/fleet-churn.toml", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	p := f.Draw(1)
	w := playPlan(t, p, Options{Record: true})
	if rules := violatedRules(checkRecord(t, w)); len(rules) > 0 {
		t.Errorf("broken: %v", rules)
	}
	lost := 0
	for _, e := range w.events {
		if e.Kind == eventlog.CallAborted && e.Cause == eventlog.CauseEndpoint {
			lost++
		}
	}
	if calls := w.CallsServed + lost; lost < calls/100 {
		t.Errorf("%d answers lost of %d: the day shows little", lost, calls)
	}
	wrong := playPlan(t, p, Options{Record: true, Mutant: FindMutant("reset-never-ran")})
	if rules := violatedRules(checkRecord(t, wrong)); !slices.Contains(rules, checker.NoDuplicateEffect) {
		t.Errorf("a relay that repeats what was reset breaks %v", rules)
	}
}

// Kept connections that break, zones that are far, and a plan without end.
func TestNetworkFaultsAndEventBound(t *testing.T) {
	p := loadScenario(t, "first-run").Draw(1)
	w := playPlan(
		t,
		p,
		Options{Record: true, IdleResetRatio: 0.2, Latency: 2 * time.Millisecond, ZoneLatency: 40 * time.Millisecond},
	)
	if rules := violatedRules(checkRecord(t, w)); len(rules) > 0 {
		t.Errorf("broken: %v", rules)
	}
	x, err := New(p, Options{MaxEvents: 500})
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Play(); !errors.Is(err, engine.ErrTooManyEvents) {
		t.Errorf("unbounded: %v", err)
	}
}

// Waits in queues are those of theory: M/M/1, M/D/1 and M/M/c, the mean of 30 runs within four standard errors; and a
// token bucket lets its rate through in the long run.
func TestQueueingTheory(t *testing.T) {
	const lambda, mu = 8.0, 10.0
	erlangC := func(c int, a float64) float64 {
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		last := term / (1 - a/float64(c))
		return last / (sum + last)
	}
	for _, c := range []struct {
		name        string
		servers     int
		exponential bool
		wait        float64
	}{
		{"M/M/1", 1, true, lambda / mu / (mu - lambda)},
		{"M/D/1", 1, false, lambda / mu / (2 * (mu - lambda))},
		{"M/M/3", 3, true, erlangC(3, 3*lambda/mu) / (3*mu - 3*lambda)},
	} {
		var means []float64
		for run := range 30 {
			rng := engine.NewRandom(7, c.name, run)
			p := upstream.New(upstream.Spec{
				ServiceTime:            100 * time.Millisecond,
				ExponentialServiceTime: c.exponential,
				MaxConcurrentCalls:     c.servers,
				MaxQueueTime:           time.Hour,
				Limit:                  upstream.NoLimit,
				WarmUpInitialCapacity:  1,
			}, rng.Uint64())
			p.AddEndpoint("e")
			at, sum, n := 0.0, 0.0, 0
			for i := range 30000 {
				at += rng.ExpFloat64() / (lambda * float64(c.servers))
				f := p.HandleCall(time.Duration(at*1e9), "e", 1)
				if i >= 5000 { // warmed up
					sum, n = sum+f.Latency.Seconds()-1/mu, n+1
				}
			}
			means = append(means, sum/float64(n))
		}
		mean, dev := 0.0, 0.0
		for _, m := range means {
			mean += m / float64(len(means))
		}
		for _, m := range means {
			dev += (m - mean) * (m - mean) / float64(len(means)-1)
		}
		if se := math.Sqrt(dev / float64(len(means))); math.Abs(mean-c.wait) > 4*se || se > 0.05*c.wait {
			t.Errorf("%s: mean wait %.4f s, theory %.4f, standard error %.4f", c.name, mean, c.wait, se)
		}
	}
	p := upstream.New(
		upstream.Spec{
			ServiceTime:           time.Millisecond,
			MaxConcurrentCalls:    100,
			MaxQueueTime:          time.Hour,
			Limit:                 upstream.TokenBucket,
			LimitRate:             20,
			WarmUpInitialCapacity: 1,
		},
		1,
	)
	p.AddEndpoint("e")
	ok := 0
	for i := range 60_000 { // 60 a second for 1,000 s
		if p.HandleCall(time.Duration(i)*time.Second/60, "e", 1).Result == upstream.Served {
			ok++
		}
	}
	if rate := float64(ok) / 1000; math.Abs(rate-20) > 0.2 {
		t.Errorf("a bucket of 20 a second lets %.2f through", rate)
	}
}

// The wait of a window's limit ends at its border, and no call comes before it.
func TestRetryAfterEndsAtWindowBoundary(t *testing.T) {
	s := scenario.Duration(time.Second)
	w := worldSpec{
		relays:      2,
		seed:        1,
		maxMessages: 200,
		kind: scenario.DestinationKind{
			ServiceTime:        50 * s / 1000,
			MaxConcurrentCalls: 20,
			Limit:              "window",
			RetryAfterRatio:    1,
			MinRetryAfter:      s / 1000,
		},
		destination: scenario.Destination{LimitRate: 5},
		options:     Options{Record: true},
	}.start(t)
	submitRandomly(w, 0, 20*time.Second, 20)
	w.run(t, 35*time.Second)
	w.record(eventlog.Event{Kind: eventlog.RunEnded})
	v := checkRecord(t, w.World)
	if f := v.ForRule(checker.RetryAfterRespected); f.State != checker.Held || f.Exercised < 10 {
		t.Errorf("%+v", f)
	}
}

func BenchmarkPlay(b *testing.B) {
	for _, relays := range []int{2, 20, 200} {
		b.Run(strconv.Itoa(relays), func(b *testing.B) {
			f := loadScenario(b, "quiet-day")
			f.Relays = relays
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n += playPlan(b, f.DrawWithoutArrivals(1), Options{}).Submitted
			}
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "messages/s")
		})
	}
}

var _ DecisionEngine = (*policy.Engine)(nil)
