package emulate

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// clockDay is a small fleet whose partners fall silent, so that calls are in doubt when its relays are killed, with
// their wall clocks set by so much just before; 0: they are not.
func clockStepScenario(t *testing.T, by time.Duration) scenario.File {
	t.Helper()
	const s = scenario.Duration(time.Second)
	f := loadScenario(t, "partner-silent")
	f.Length = 40 * s
	f.Classes[0].DedupWindow, f.Classes[0].Deadline = 4*s, 12*s
	f.Faults = []scenario.Fault{
		{Kind: scenario.FaultSilence, Start: 6 * s, Duration: 9 * s, Share: 0.5},
		{Kind: scenario.FaultClockStep, Start: 13 * s, ClockOffset: scenario.Duration(by)},
		{Kind: scenario.FaultKill, Start: 14 * s, Stagger: s / 2},
	}
	if by == 0 {
		f.Faults = slices.Delete(f.Faults, 1, 2)
	}
	f.SetDefaults()
	if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(err)
	}
	return f
}

// The wall clocks of relays are set, forth and back, by moments and hours, before they are killed with calls in doubt:
// no rule breaks, and the decisions are those of a day on which no clock was set. A relay whose journal goes by the
// wall clock is convicted.
func TestClockSteps(t *testing.T) {
	offered := func(w *World) [4]int { return [4]int{w.Submitted, w.CallsServed, w.Deferred, w.Failed} }
	for seed := range uint64(3) {
		play := func(by time.Duration, wrong *Mutant) (*World, []checker.Rule) {
			w := playPlan(t, clockStepScenario(t, by).Draw(seed+1), Options{Record: true, Mutant: wrong})
			return w, violatedRules(checkRecord(t, w))
		}
		calm, rules := play(0, nil)
		if len(rules) > 0 {
			t.Errorf("seed %d: broken: %v", seed+1, rules)
		}
		for _, by := range []time.Duration{-time.Hour, -7 * time.Second, -2 * time.Second, 7 * time.Second, time.Hour} {
			w, rules := play(by, nil)
			if len(rules) > 0 {
				t.Errorf("seed %d, set by %v: broken: %v", seed+1, by, rules)
			}
			if offered(w) != offered(calm) {
				t.Errorf("seed %d, set by %v: %v, %v where no clock was set", seed+1, by, offered(w), offered(calm))
			}
		}
	}
	convicted := false
	for seed := range uint64(5) {
		for _, by := range []time.Duration{-6 * time.Second, -3 * time.Second} {
			w := playPlan(t, clockStepScenario(t, by).Draw(seed+1), Options{Record: true, Mutant: &Mutant{UsesWallClock: true}})
			convicted = convicted || slices.Contains(violatedRules(checkRecord(t, w)), checker.NoDuplicateEffect)
		}
	}
	if !convicted {
		t.Error("a relay whose journal goes by the wall clock keeps the rules")
	}
}

// A new boot makes the time of an attempt unknown: it is not repeated, whatever the clock says then. Where the clock
// was set back and nobody had looked before the machine died, final answers come late by as much, a class's time at
// most: nothing there tells.
func TestRebootMakesAttemptAgesUnknown(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -5 * time.Second, time.Millisecond, 5 * time.Second} {
		f := clockStepScenario(t, by)
		f.Faults = f.Faults[:2]
		w, err := New(f.Draw(1), Options{Record: true, MachineCrashes: true, JournalSync: SyncAlways})
		if err != nil {
			t.Fatal(err)
		}
		for i := range f.Relays {
			w.Schedule(14*time.Second, func() { w.Kill(i, true) })
		}
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		rules := violatedRules(checkRecord(t, w))
		if by < 0 {
			rules = slices.DeleteFunc(rules, func(r checker.Rule) bool { return r == checker.NoMessageLost })
		}
		if len(rules) > 0 {
			t.Errorf("set by %v: broken: %v", by, rules)
		}
	}
}
