package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// Each seed gives a valid scenario, always the same one, with faults on the wire and a restart.
func TestDrawnScenariosAreValidAndRepeatable(t *testing.T) {
	kinds := map[scenario.FaultKind]int{}
	for seed := uint64(1); seed <= 300; seed++ {
		first, err := Draw(seed)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		second, err := Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		one, two := encode(t, first), encode(t, second)
		if !bytes.Equal(one, two) {
			t.Errorf("seed %d gives two scenarios", seed)
		}
		onWire, restarts := 0, 0
		for _, fault := range first.Faults {
			kinds[fault.Kind]++
			if slices.Contains(wireFaults, fault.Kind) {
				onWire++
			}
			if fault.Kind == scenario.FaultKill || fault.Kind == scenario.FaultTerminate {
				restarts++
			}
		}
		if onWire < minWireFaults || restarts == 0 {
			t.Errorf("seed %d: %d faults on the wire, %d restarts", seed, onWire, restarts)
		}
	}
	for _, kind := range slices.Concat(wireFaults, listFaults, otherFaults) {
		if kinds[kind] == 0 {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

func encode(t *testing.T, file scenario.File) []byte {
	t.Helper()
	data, err := file.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// buildRelay builds the relay's program.
func buildRelay(t *testing.T) (binary string) {
	t.Helper()
	binary = filepath.Join(t.TempDir(), "cherrytrestle")
	const program = "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle"
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, program).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// TestShortSoakKeepsEveryRule plays the scenarios of a few seeds with real relays.
func TestShortSoakKeepsEveryRule(t *testing.T) {
	results := Run(context.Background(), Options{
		Seeds:    Seeds{1, 4},
		Binary:   buildRelay(t),
		Dir:      t.TempDir(),
		Parallel: 2,
		Finished: func(result SeedResult) {
			t.Logf("seed %d: %s, %d faults", result.Seed, result.State(), len(result.File.Faults))
		},
	})
	if len(results) != 4 {
		t.Errorf("%d seeds were played, want 4", len(results))
	}
	for _, result := range results {
		if result.Err != nil {
			t.Errorf("seed %d: %v", result.Seed, result.Err)
		}
		for _, rule := range result.Verdict.Rules {
			for _, violation := range rule.Violations {
				t.Errorf("seed %d, %s: %s", result.Seed, rule.Rule, violation.Text)
			}
		}
		for _, violation := range result.Verdict.RunErrors {
			t.Errorf("seed %d: %s", result.Seed, violation.Text)
		}
		for _, event := range result.History {
			t.Log(event)
		}
	}
}

// A relay that exits at once fails its seed. The scenario is made smaller: it needs none of its faults to fail.
func TestFailingScenarioIsMadeSmaller(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "broken")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	drawn, err := Draw(1)
	if err != nil {
		t.Fatal(err)
	}
	finished := 0
	results := Run(context.Background(), Options{
		Seeds:      Seeds{1, 1},
		Binary:     binary,
		Dir:        t.TempDir(),
		ShrinkRuns: len(drawn.Faults),
		Finished:   func(SeedResult) { finished++ },
	})
	if len(results) != 1 || finished != 1 || results[0].State() != checker.Violated {
		t.Fatalf("%d results, %d finished: %+v", len(results), finished, results)
	}
	if left := results[0].File.Faults; len(left) != 0 {
		t.Errorf("%d faults left", len(left))
	}
	if _, err := scenario.Load(filepath.Join(results[0].Dir, ScenarioName)); err != nil {
		t.Error(err)
	}
}

// A soak that is interrupted returns at once, without the seed in progress.
func TestInterruptedSoakEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	results := Run(ctx, Options{
		Seeds:    Seeds{1, 1000},
		Binary:   "/none",
		Dir:      t.TempDir(),
		Finished: func(SeedResult) {},
	})
	if len(results) != 0 {
		t.Errorf("%d results", len(results))
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Error(fmt.Sprint("the soak ended after ", took))
	}
}
