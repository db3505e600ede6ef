package main

import (
	"bytes"
	"context"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// TestDocumentedExperiments loads the plans in docs/experiments. Of the plans about many relays, it plays the runs with
// twenty relays and seed 1, which must violate no rule. In many-herd, the mutant that ignores drains must violate one:
// this shows that the runs are checked.
func TestDocumentedExperiments(t *testing.T) {
	paths, err := filepath.Glob("../../docs/experiments/*.toml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("found %d files in docs/experiments, want at least 8: %v", len(paths), err)
	}
	manyRelays := 0
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "fleet-") {
			continue // a scenario that plans refer to, not a plan
		}
		plan, err := loadPlan(path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if strings.HasPrefix(plan.Name, "many-") {
			manyRelays++
			t.Run(plan.Name, func(t *testing.T) { checkManyRelays(t, plan) })
		}
	}
	if manyRelays != 5 {
		t.Errorf("%d experiments about many relays, want 5", manyRelays)
	}
}

// checkManyRelays plays the runs of a plan with twenty relays and seed 1, and checks their service and the rules.
func checkManyRelays(t *testing.T, plan experiment.Plan) {
	minService := 0.8
	if plan.Name == "many-split" {
		minService = 0.65 // a zone is unavailable for a fifth of the run
	}
	for i, run := range plan.Runs() {
		if run.Cell[0].Value != "20" || run.Seed > 1 {
			continue
		}
		result := plan.Play(run)
		service := result.Measures[experiment.MeasureService]
		if result.Error != "" || result.Measures[experiment.MeasureViolatedRules] > 0 ||
			result.Measures[experiment.MeasureOverloads] > 0 || service < minService {
			t.Errorf("%s: %s, service %.2f, violated %v", run.Key(), result.Error, service, result.ViolatedRules)
		}
		if plan.Name != "many-herd" {
			continue
		}
		mutated := plan
		mutated.Overrides = maps.Clone(plan.Overrides)
		mutated.Overrides["emulator.mutant"] = "drains-ignored"
		result = mutated.Play(mutated.Runs()[i])
		if result.ViolatedRules[string(checker.DrainRespected)] == 0 {
			t.Errorf("%s: the mutant that ignores drains does not violate %q", run.Key(), checker.DrainRespected)
		}
	}
}

// TestResumedExperiment resumes an experiment that was cancelled, and then one whose last result was cut off. The
// results must be complete each time.
func TestResumedExperiment(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(plan, []byte(testPlan), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var stdout, stderr bytes.Buffer
	status := run(ctx, []string{"experiment", "-q", plan}, &stdout, &stderr)
	if status != exitFailed || !strings.Contains(stderr.String(), "run the same command to resume") {
		t.Errorf("cancelled: status %d, %s", status, stderr.String())
	}
	results := strings.TrimSuffix(plan, "toml") + "jsonl"
	for _, name := range []string{"resumed", "cut off"} {
		t.Run(name, func(t *testing.T) {
			if status, out := runArgs(t, "experiment", "-q", plan); status != exitHeld {
				t.Fatalf("status %d: %s", status, out)
			}
			data, err := os.ReadFile(results)
			if err != nil {
				t.Fatal(err)
			}
			if all, err := experiment.ReadResults(bytes.NewReader(data)); err != nil || len(all) != 6 {
				t.Errorf("%d results, %v", len(all), err)
			}
			if err := os.Truncate(results, int64(len(data)-10)); err != nil {
				t.Fatal(err)
			}
		})
	}
}
