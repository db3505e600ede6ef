package emulate

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// playFleet plays the scenario of links between relays.
func playFleetLinks(t *testing.T, seed uint64, opts Options) (*World, checker.Result) {
	t.Helper()
	f, err := scenario.LoadWithin("fleet-links", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	opts.Record = true
	w, err := New(f.Draw(seed), opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Play(); err != nil {
		t.Fatal(err)
	}
	return w, checker.Check(w.Result())
}

// Sound relays believe nothing that is not so, whatever is between them and whatever one of them tells; those with
// something wrong about their links are convicted, each of its own fault.
func TestFleetMutants(t *testing.T) {
	for _, c := range []struct {
		name  string
		wrong LinkFaults
		opts  Options
		kind  violation // that is found; "": none
	}{
		{"sound", LinkFaults{}, Options{}, ""},
		{"sound, one tells absurd figures", LinkFaults{}, Options{AbsurdReporter: 1}, ""},
		{"sound, a name started twice", LinkFaults{}, Options{NameDuplicate: 4}, ""},
		{"sound, two fleets joined by mistake", LinkFaults{}, Options{MergedFleets: 2}, ""},
		{"a merge that takes the older", LinkFaults{LastReceivedWins: true}, Options{}, versionRolledBack},
		{"ages that do not grow", LinkFaults{FrozenAges: true}, Options{}, reportTooYoung},
		{"a bound left out", LinkFaults{NoLimits: true}, Options{AbsurdReporter: 1}, impossibleFigure},
		{"a stall not noticed", LinkFaults{NoTransitTime: true}, Options{}, reportTooYoung},
		{"strangers heard", LinkFaults{AcceptsStrangers: true}, Options{MergedFleets: 2}, reportOfStranger},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				c.opts.Mutant = &Mutant{LinkFaults: c.wrong}
				w, v := playFleetLinks(t, seed+1, c.opts)
				if got := slices.Contains(w.fleet.violations, c.kind); got != (c.kind != "") ||
					c.kind == "" && len(w.fleet.violations) > 0 {
					t.Errorf("seed %d: found %v, want %q", seed+1, slices.Compact(w.fleet.violations), c.kind)
				}
				if sound := c.kind == "" && c.opts.AbsurdReporter+c.opts.NameDuplicate+c.opts.MergedFleets == 0; sound &&
					(v.State() != checker.Held || v.PeerViews.Disconnected == 0 || v.PeerViews.Stale.Exercised == 0) {
					t.Errorf("seed %d: %s, %+v", seed+1, v.State(), v.PeerViews)
				}
				if c.opts.NameDuplicate > 0 { // the one that the others have in their tables is heard, the other is not
					held, ok := w.relays[1].member.reports.Get(w.relays[1].member.clock(), w.relays[0].name, 0)
					if mine := w.relays[0].member.reports.Incarnation(); !ok || held.Boot != mine.Boot ||
						held.Age > 10*time.Second {
						t.Errorf("seed %d: %v is held to be %+v", seed+1, mine, held)
					}
				}
				if c.kind != "" && v.State() != checker.Violated {
					t.Errorf("seed %d: not convicted", seed+1)
				}
			}
		})
	}
}

// The same plan gives the same beliefs, and a fleet changes no decision: what relays hear reaches the module nowhere
// yet.
func TestFleetRunsAreReproducible(t *testing.T) {
	f, err := scenario.LoadWithin("fleet-links", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	f.Faults = slices.DeleteFunc(f.Faults, func(x scenario.Fault) bool { return x.Kind != scenario.FaultLinkCut })
	play := func(enabled bool) (served string, w *World) {
		f.Fleet.Enabled = enabled
		plan := f.Draw(1)
		if !enabled {
			plan.Steps = slices.DeleteFunc(
				plan.Steps,
				func(s scenario.Step) bool { return s.Op == scenario.OpLinkCut || s.Op == scenario.OpLinkRestore },
			)
		}
		w, err := New(plan, Options{Record: true})
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%+v", checker.Check(w.Result()).Service), w
	}
	on, a := play(true)
	again, b := play(true)
	if on != again || a.fleet.datagramCount != b.fleet.datagramCount || len(a.events) != len(b.events) || a.fleet.datagramCount == 0 {
		t.Error("a plan played twice differs")
	}
	if off, w := play(false); w.fleet != nil || off == "" {
		t.Error("off, there is a fleet")
	}
}

var large = flag.Bool("large", false, "measure fleets of 100 and 300 relays in virtual time, too")

// TestFleetSpread tells how soon all know of what one tells, in virtual time. A fleet of any size knows within a few
// seconds.
func TestReportSpread(t *testing.T) {
	sizes := []int{3, 20}
	if *large {
		sizes = append(sizes, 100, 300)
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.3} {
			half, most, all, bytes := measureSpread(t, n, loss)
			t.Logf(
				"%3d relays, %.0f %% lost: known to half after %v, to 99 %% after %v, to all after %v; %d bytes a second a member",
				n,
				100*loss,
				half,
				most,
				all,
				bytes,
			)
			if all == 0 || all > 5*time.Second && n < 100 {
				t.Errorf("%d relays, %.0f %% lost: all know after %v", n, 100*loss, all)
			}
		}
	}
}

func measureSpread(t *testing.T, n int, loss float64) (half, most, all time.Duration, bytes int) {
	t.Helper()
	length, from := 24*time.Second, 8*time.Second
	if n >= 100 { // the first of all that is told is told at once
		length, from = 56*time.Second, 32*time.Second
	}
	f, err := scenario.LoadWithin("fleet-links", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	f.Relays, f.Length, f.Faults = n, scenario.Duration(length), nil
	f.Traffic = f.Traffic[:1]
	f.Traffic[0].To, f.Traffic[0].Rate = f.Length, float64(n)
	w, err := New(f.Draw(1), Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range w.relays {
		for _, b := range w.relays {
			if loss > 0 {
				w.fleet.linkFaults[scenario.LinkName(a.name, b.name)] = scenario.Step{Op: scenario.OpLinkLoss, Value: loss}
			}
		}
	}
	// Of each change that relay 1 tells after a while: when each other one holds that or a later one.
	type change struct {
		sequence uint64
		at       time.Duration
		number   int
	}
	var changes []change
	when := map[reportVersion]map[int]time.Duration{}
	w.fleet.onUpdate = func(by *relay, v reportVersion) {
		at, ok := w.fleet.publishedAt[v]
		if !ok || v.name != "r1" || at < from || at > length-8*time.Second {
			return
		}
		if when[v] == nil {
			when[v] = map[int]time.Duration{}
			changes = append(changes, change{v.sequence, at, w.fleet.reportNumber[v]})
		}
		if _, before := when[v][by.index]; !before {
			when[v][by.index] = w.Now()
		}
	}
	before := 0
	w.Schedule(from, func() { before = w.fleet.byteCount })
	w.Schedule(length-time.Millisecond, func() { bytes = (w.fleet.byteCount - before) / n / int((length-from)/time.Second) })
	if err := w.Play(); err != nil {
		t.Fatal(err)
	}
	var whole [][]time.Duration
	for _, c := range changes {
		first := map[int]time.Duration{}
		for v, by := range when {
			if v.sequence < c.sequence || w.fleet.reportNumber[v] != c.number {
				continue
			}
			for r, at := range by {
				if was, ok := first[r]; !ok || at < was {
					first[r] = at
				}
			}
		}
		var d []time.Duration
		for _, at := range first {
			d = append(d, at-c.at)
		}
		if slices.Sort(d); len(d) == n-1 {
			whole = append(whole, d)
		}
	}
	if len(whole) == 0 {
		return 0, 0, 0, bytes
	}
	at := func(share float64) time.Duration {
		var d []time.Duration
		for _, x := range whole {
			d = append(d, x[min(n-2, int(share*float64(n-1)))])
		}
		slices.Sort(d)
		return d[len(d)/2].Round(time.Millisecond)
	}
	return at(0.5), at(0.99), at(1), bytes
}
