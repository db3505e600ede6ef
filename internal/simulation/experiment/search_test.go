package experiment

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// TestSearch searches for faults that a relay that ignores drains handles badly. The scenario found must be small,
// and must be readable after it is encoded. It must make that relay violate a rule, but not the unmodified relay. One
// worker must find the same scenario as several.
func TestSearch(t *testing.T) {
	base, err := scenario.Load("quiet-day")
	if err != nil {
		t.Fatal(err)
	}
	search := Search{Base: base, Candidates: 12, Seed: 3, Mutant: emulate.FindMutant("drains-ignored")}
	found, err := search.Run(t.Context())
	if err != nil || len(found.ViolatedRules) == 0 || found.ViolatedRules[0] != checker.DrainRespected {
		t.Fatalf("violated rules %v, want %q first: %v", found.ViolatedRules, checker.DrainRespected, err)
	}
	t.Run("one worker", func(t *testing.T) {
		single := search
		single.Workers = 1
		other, err := single.Run(t.Context())
		if err != nil || other.Seed != found.Seed || other.Service != found.Service ||
			len(other.Scenario.Faults) != len(found.Scenario.Faults) {
			t.Errorf("one worker found another candidate than several workers: %v", err)
		}
	})
	t.Run("read back", func(t *testing.T) { checkReadBack(t, search, found) })
}

// checkReadBack encodes the scenario of a candidate, parses the encoded scenario, and plays the parsed one.
func checkReadBack(t *testing.T, search Search, found Candidate) {
	t.Helper()
	data, err := found.Scenario.Encode()
	if err != nil {
		t.Fatal(err)
	}
	file, err := scenario.Parse("hunted", data)
	if err != nil {
		t.Fatalf("%v\n%s", err, data)
	}
	if len(file.Faults) != 1 || file.Length.AsDuration() > 40*time.Second {
		t.Errorf("the scenario has %d faults and lasts %v, want 1 fault and at most 40s",
			len(file.Faults), file.Length.AsDuration())
	}
	again, err := search.play(file, found.Seed)
	if err != nil || len(again.ViolatedRules) == 0 {
		t.Errorf("the mutant violates %v, want a rule: %v", again.ViolatedRules, err)
	}
	search.Mutant = nil
	again, err = search.play(file, found.Seed)
	if err != nil || len(again.ViolatedRules) > 0 {
		t.Errorf("the unmodified relay violates %v, want none: %v", again.ViolatedRules, err)
	}
}
