package emulate

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// clockStepScenario is a small fleet whose services fall silent, so that calls are in flight when its relays are
// killed. The wall clocks of the relays are stepped just before; 0: they are not.
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

// TestClockSteps: the wall clocks of relays are stepped, forwards and backwards, by seconds and hours, before the
// relays are killed with calls in flight. No rule is violated, and the decisions are those without steps. A relay whose
// journal goes by the wall clock violates a rule.
func TestClockSteps(t *testing.T) {
	figures := func(w *World) [4]int { return [4]int{w.Submitted, w.CallsServed, w.Deferred, w.Failed} }
	for seed := range uint64(3) {
		without, rules := playAndCheck(t, clockStepScenario(t, 0).Draw(seed+1), Options{})
		if len(rules) > 0 {
			t.Errorf("seed %d: violated: %v", seed+1, rules)
		}
		steps := []time.Duration{-time.Hour, -7 * time.Second, -2 * time.Second, 7 * time.Second, time.Hour}
		for _, step := range steps {
			w, rules := playAndCheck(t, clockStepScenario(t, step).Draw(seed+1), Options{})
			if len(rules) > 0 {
				t.Errorf("seed %d, clocks stepped by %v: violated: %v", seed+1, step, rules)
			}
			if figures(w) != figures(without) {
				t.Errorf("seed %d, set by %v: %v, %v where no clock was set",
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
		t.Error("a relay whose journal goes by the wall clock keeps the rules")
	}
}

// TestRebootMakesAttemptAgesUnknown: after a reboot the time of earlier attempts is unknown, and they are not retried
// whatever the clock shows. If the clock was stepped back and the machine crashed before a process noticed, final
// answers are late by as much, up to the deadline of a class: nothing on disk tells.
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
			t.Errorf("clocks stepped by %v: violated: %v", step, rules)
		}
	}
}
