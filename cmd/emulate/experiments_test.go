package main

import (
	"path/filepath"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// The experiments that are kept beside the documents load, and a run of each day of many relays breaks no rule. The
// mutant that ignores drains breaks one of the herd day: the judge is at work.
func TestTheExperimentsOfTheDocuments(t *testing.T) {
	paths, err := filepath.Glob("../../docs/experiments/*.toml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d files, %v", len(paths), err)
	}
	many := 0
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "fleet-") {
			continue // scenarios of the others
		}
		p, err := parsePlan(path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if !strings.HasPrefix(p.Name, "many-") {
			continue
		}
		many++
		least := 0.8
		if p.Name == "many-split" {
			least = 0.65 // a zone is away for a fifth of it
		}
		for _, r := range p.Runs() {
			if r.Cell[0].Value != "20" || r.Seed > 1 {
				continue
			}
			if res := p.Play(r); res.Error != "" || res.Measures["broken"] > 0 || res.Measures["fell"] > 0 ||
				res.Measures["service"] < least {
				t.Errorf(
					"%s, %s: %s, service %.2f, broken %v",
					p.Name,
					r.Key(),
					res.Error,
					res.Measures["service"],
					res.ViolatedRules,
				)
			}
			if p.Name != "many-herd" {
				continue
			}
			if p.Overrides["emulator.mutant"] = "drains-ignored"; !brokenDrains(t, p, r.Key()) {
				t.Error("a relay that ignores drains keeps all rules")
			}
		}
	}
	if many != 5 {
		t.Errorf("%d days of many relays, want 5", many)
	}
}

func brokenDrains(t *testing.T, p experiment.Plan, key string) bool {
	t.Helper()
	for _, r := range p.Runs() {
		if r.Key() == key {
			return p.Play(r).ViolatedRules[string(checker.DrainRespected)] > 0
		}
	}
	return false
}
