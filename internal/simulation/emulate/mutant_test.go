package emulate

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// TestMutantsBreakTheirRule: each mutant breaks its rule in one of the shipped scenarios. Mutants that break no rule
// make the same decisions as a correct relay.
func TestMutantsBreakTheirRule(t *testing.T) {
	scenarios := map[checker.Rule][]string{
		checker.NoMessageLost:         {"first-run", "rolling-restarts", "partner-cold"},
		checker.NoDuplicateEffect:     {"first-run", "partner-cold"},
		checker.DrainRespected:        {"half-draining"},
		checker.RecoveryNotOverloaded: {"partner-cold"},
		checker.OrderKept:             {"dinner-rush"},
		checker.RetryAfterRespected:   {"dinner-rush", "partner-cold"},
	}
	// The model checks of package modelcheck detect these mutants; see the table in docs/emulator.md.
	detectedByModelChecks := []string{
		"notices-lost-over-restarts",
		"budget-three-times",
		"budget-for-itself",
		"budget-twice",
		"no-pause",
		"half-a-pause",
		"pause-too-short",
	}
	for _, m := range Mutants() {
		if slices.Contains(detectedByModelChecks, m.Name) {
			continue
		}
		t.Run(m.Name, func(t *testing.T) {
			if m.Rule == "" {
				checkEquivalent(t, &m)
			} else if !breaksRule(t, &m, scenarios[m.Rule]) {
				t.Errorf("%s does not break the rule %q in any scenario", m.Name, m.Rule)
			}
		})
	}
}

// breaksRule reports whether a mutant breaks its rule in one of the scenarios, with one of three seeds.
func breaksRule(t *testing.T, m *Mutant, scenarios []string) bool {
	t.Helper()
	for _, name := range scenarios {
		for seed := range uint64(3) {
			_, rules := playAndCheck(t, loadScenario(t, name).Draw(seed+1), Options{Mutant: m})
			if slices.Contains(rules, m.Rule) {
				return true
			}
		}
	}
	return false
}

// checkEquivalent checks that the record of a mutant equals that of a correct relay.
func checkEquivalent(t *testing.T, m *Mutant) {
	t.Helper()
	plan := loadScenario(t, "metastable").Draw(1)
	correct := marshalEvents(t, playPlan(t, plan, Options{Record: true}))
	if mutated := marshalEvents(t, playPlan(t, plan, Options{Record: true, Mutant: m})); mutated != correct {
		t.Errorf("%s has another record than a correct relay", m.Name)
	}
}

func marshalEvents(t *testing.T, w *World) string {
	t.Helper()
	data, err := json.Marshal(w.events)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestCrashBeforeJournalRecord: a relay that accepts messages and sends calls before the journal records of them are
// written, and is killed in between, loses these messages and repeats these calls. A relay that writes the journal
// first does not.
func TestCrashBeforeJournalRecord(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond} {
		file := loadScenario(t, "quiet-day")
		file.Classes = []scenario.Class{{
			Name:             "payment",
			TrafficShare:     1,
			Effect:           eventlog.NonIdempotent,
			LatencyObjective: file.Classes[0].LatencyObjective,
			Deadline:         file.Classes[0].Deadline,
			Weight:           1,
		}}
		file.Faults = nil
		for at := 5 * time.Second; at < 30*time.Second; at += 4 * time.Second {
			file.Faults = append(file.Faults, scenario.Fault{Kind: scenario.FaultKill, Start: scenario.Duration(at)})
		}
		file.SetDefaults()
		_, rules := playAndCheck(t, file.Draw(1), Options{Mutant: &Mutant{JournalDelay: delay}})
		if slices.Contains(rules, checker.NoMessageLost) != (delay > 0) {
			t.Errorf("journal delay %v: violated %v", delay, rules)
		}
	}
}
