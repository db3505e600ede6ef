package experiment

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// TestSearch searches for faults for a relay that ignores drains. The scenario found is small, reads back, and makes
// that relay violate a rule, but not the relay as it is. One worker finds the same as several.
func TestSearch(t *testing.T) {
	base, err := scenario.Load("quiet-day")
	if err != nil {
		t.Fatal(err)
	}
	search := Search{Base: base, Candidates: 12, Seed: 3, Mutant: emulate.FindMutant("drains-ignored")}
	found, err := search.Run(t.Context())
	if err != nil || len(found.ViolatedRules) == 0 || found.ViolatedRules[0] != checker.DrainRespected {
		t.Fatalf("%+v, %v", found.ViolatedRules, err)
	}
	t.Run("one worker", func(t *testing.T) {
		single := search
		single.Workers = 1
		other, err := single.Run(t.Context())
		if err != nil || other.Seed != found.Seed || other.Service != found.Service ||
			len(other.Scenario.Faults) != len(found.Scenario.Faults) {
			t.Errorf("one worker found another: %v", err)
		}
	})
	t.Run("read back", func(t *testing.T) { checkReadBack(t, search, found) })
}

// checkReadBack encodes a scenario that was found, and plays what it reads back.
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
		t.Errorf("%d faults in %v", len(file.Faults), file.Length.AsDuration())
	}
	again, err := search.play(file, found.Seed)
	if err != nil || len(again.ViolatedRules) == 0 {
		t.Errorf("the mutant: %v, %v", again.ViolatedRules, err)
	}
	search.Mutant = nil
	again, err = search.play(file, found.Seed)
	if err != nil || len(again.ViolatedRules) > 0 {
		t.Errorf("the relay as it is: %v, %v", again.ViolatedRules, err)
	}
}
