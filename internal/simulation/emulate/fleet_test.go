package emulate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// fleetLinks loads the scenario with faults of the links between relays.
func fleetLinks(t *testing.T) scenario.File {
	t.Helper()
	file, err := scenario.LoadWithin("fleet-links", scenario.EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// TestFleetMutants: correct relays hold no false report of each other, whatever fails on the links and whatever one
// relay publishes. Each of the LinkFaults leads to the expected kind of violation.
func TestFleetMutants(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  LinkFaults
		options Options
		want    violation // "": none
	}{
		{"correct", LinkFaults{}, Options{}, ""},
		{"correct, one relay reports absurd figures", LinkFaults{}, Options{AbsurdReporter: 1}, ""},
		{"correct, two processes under a name", LinkFaults{}, Options{NameDuplicate: 4}, ""},
		{"correct, two fleets merged by mistake", LinkFaults{}, Options{MergedFleets: 2}, ""},
		{"last received wins", LinkFaults{LastReceivedWins: true}, Options{}, versionRolledBack},
		{"frozen ages", LinkFaults{FrozenAges: true}, Options{}, reportTooYoung},
		{"no limits", LinkFaults{NoLimits: true}, Options{AbsurdReporter: 1}, impossibleFigure},
		{"no transit time", LinkFaults{NoTransitTime: true}, Options{}, reportTooYoung},
		{"strangers accepted", LinkFaults{AcceptsStrangers: true}, Options{MergedFleets: 2}, reportOfStranger},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				options := c.options
				options.Record = true
				options.Mutant = &Mutant{LinkFaults: c.faults}
				w := playPlan(t, fleetLinks(t).Draw(seed), options)
				checkViolations(t, w, seed, c.want)
				if c.want == "" && options.AbsurdReporter+options.NameDuplicate+options.MergedFleets == 0 {
					checkPeerViews(t, w, seed)
				}
				if options.NameDuplicate > 0 {
					checkDuplicateName(t, w, seed)
				}
			}
		})
	}
}

// checkViolations checks that the world found the wanted violation and the checker rejects the record. If want is "",
// it checks that the world found no violation.
func checkViolations(t *testing.T, w *World, seed uint64, want violation) {
	t.Helper()
	found := w.fleet.violations
	if want == "" {
		if len(found) > 0 {
			t.Errorf("seed %d: found violations %v, want none", seed, slices.Compact(found))
		}
		return
	}
	if !slices.Contains(found, want) {
		t.Errorf("seed %d: found violations %v, want %q", seed, slices.Compact(found), want)
	}
	if checker.Check(w.Result()).State() != checker.Violated {
		t.Errorf("seed %d: the checker found no violation in the record", seed)
	}
}

// checkPeerViews checks that the checker accepts the record, and that the scenario exercises the checks of the relays'
// views of each other.
func checkPeerViews(t *testing.T, w *World, seed uint64) {
	t.Helper()
	result := checker.Check(w.Result())
	if result.State() != checker.Held || result.PeerViews.Disconnected == 0 || result.PeerViews.Stale.Exercised == 0 {
		t.Errorf("seed %d: checker result %s, peer views %+v", seed, result.State(), result.PeerViews)
	}
}

// checkDuplicateName checks that, of two processes under the same name, another relay holds a recent report of the
// first one.
func checkDuplicateName(t *testing.T, w *World, seed uint64) {
	t.Helper()
	first, other := w.relays[0].member, w.relays[1].member
	held, ok := other.reports.Get(other.clock(), first.name, 0)
	if want := first.reports.Incarnation(); !ok || held.Boot != want.Boot || held.Age > 10*time.Second {
		t.Errorf("seed %d: another relay holds report %+v, want one of incarnation %v, at most 10 s old",
			seed, held, want)
	}
}

// TestFleetRunsAreReproducible: with a fleet, a plan that is played twice gives the same service figures and the same
// numbers of datagrams and events. With the fleet disabled there is no fleet network.
func TestFleetRunsAreReproducible(t *testing.T) {
	file := fleetLinks(t)
	file.Faults = slices.DeleteFunc(file.Faults, func(f scenario.Fault) bool { return f.Kind != scenario.FaultLinkCut })
	playOnce := func(enabled bool) (service string, w *World) {
		file.Fleet.Enabled = enabled
		plan := file.Draw(1)
		if !enabled {
			plan.Steps = slices.DeleteFunc(plan.Steps, func(s scenario.Step) bool {
				return s.Op == scenario.OpLinkCut || s.Op == scenario.OpLinkRestore
			})
		}
		w = playPlan(t, plan, Options{Record: true})
		return fmt.Sprintf("%+v", checker.Check(w.Result()).Service), w
	}
	service, first := playOnce(true)
	serviceAgain, again := playOnce(true)
	if service != serviceAgain ||
		first.fleet.datagramCount != again.fleet.datagramCount ||
		len(first.events) != len(again.events) ||
		first.fleet.datagramCount == 0 {
		t.Error("a plan that was played twice gave different runs, or no datagrams")
	}
	if service, w := playOnce(false); w.fleet != nil || service == "" {
		t.Error("with the fleet disabled, there is a fleet network or no service figures")
	}
}
