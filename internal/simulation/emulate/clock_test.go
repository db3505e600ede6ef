package emulate

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// clockStepScenario returns a scenario of a small fleet whose services stop answering, so that calls are in flight when
// the relays are killed. One second before the first kill, the wall clocks of the relays are stepped, unless step is 0.
func clockStepScenario(t *testing.T, step time.Duration) scenario.File {
	t.Helper()
	const second = scenario.Duration(time.Second)
	file := loadScenario(t, "partner-silent")
	file.Length = 40 * second
	file.Classes[0].DedupWindow = 4 * second
	file.Classes[0].Deadline = 12 * second
	file.Faults = []scenario.Fault{
		{Kind: scenario.FaultSilence, Start: 6 * second, Duration: 9 * second, Share: 0.5},
		{Kind: scenario.FaultClockStep, Start: 13 * second, ClockOffset: scenario.Duration(step)},
		{Kind: scenario.FaultKill, Start: 14 * second, Stagger: second / 2},
	}
	if step == 0 {
		file.Faults = slices.Delete(file.Faults, 1, 2)
	}
	file.SetDefaults()
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestClockSteps: the wall clocks of relays are stepped, forwards and backwards, by seconds and by an hour, before the
// relays are killed with calls in flight. No rule is violated, and the figures are the same as without a step. Relays
// whose journal follows the wall clock violate NoDuplicateEffect in at least one run.
func TestClockSteps(t *testing.T) {
	figures := func(w *World) [4]int { return [4]int{w.Submitted, w.CallsServed, w.Deferred, w.Failed} }
	for seed := range uint64(3) {
		without, rules := playAndCheck(t, clockStepScenario(t, 0).Draw(seed+1), Options{})
		if len(rules) > 0 {
			t.Errorf("seed %d, clocks not stepped: violated rules %v, want none", seed+1, rules)
		}
		steps := []time.Duration{-time.Hour, -7 * time.Second, -2 * time.Second, 7 * time.Second, time.Hour}
		for _, step := range steps {
			w, rules := playAndCheck(t, clockStepScenario(t, step).Draw(seed+1), Options{})
			if len(rules) > 0 {
				t.Errorf("seed %d, clocks stepped by %v: violated rules %v, want none", seed+1, step, rules)
			}
			if figures(w) != figures(without) {
				t.Errorf("seed %d, clocks stepped by %v: figures %v, want %v as without a step",
					seed+1, step, figures(w), figures(without))
			}
		}
	}
	violated := false
	for seed := range uint64(5) {
		for _, step := range []time.Duration{-6 * time.Second, -3 * time.Second} {
			options := Options{Mutant: &Mutant{UsesWallClock: true}}
			_, rules := playAndCheck(t, clockStepScenario(t, step).Draw(seed+1), options)
			violated = violated || slices.Contains(rules, checker.NoDuplicateEffect)
		}
	}
	if !violated {
		t.Errorf("no run with a journal that follows the wall clock violated %s", checker.NoDuplicateEffect)
	}
}

// TestRebootMakesAttemptAgesUnknown: after a reboot the age of earlier attempts is unknown, so that they are not
// retried, whatever the wall clock shows. If the clock was stepped back and the machine crashed before a process stored
// the step, final answers are late by the size of the step, up to the deadline of a class. Nothing on disk reveals the
// step, so the test allows a violation of NoMessageLost in this case.
func TestRebootMakesAttemptAgesUnknown(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -5 * time.Second, time.Millisecond, 5 * time.Second} {
		file := clockStepScenario(t, step)
		file.Faults = file.Faults[:2]
		w, err := New(file.Draw(1), Options{Record: true, MachineCrashes: true, JournalSync: SyncAlways})
		if err != nil {
			t.Fatal(err)
		}
		for relay := range file.Relays {
			w.Schedule(14*time.Second, func() { w.Kill(relay, true) })
		}
		if err := w.Play(); err != nil {
			t.Fatal(err)
		}
		rules := violatedRules(checkRecord(t, w))
		if step < 0 {
			rules = slices.DeleteFunc(rules, func(r checker.Rule) bool { return r == checker.NoMessageLost })
		}
		if len(rules) > 0 {
			t.Errorf("clocks stepped by %v: violated rules %v, want none", step, rules)
		}
	}
}
