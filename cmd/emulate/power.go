package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/simulation/modelcheck"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

type powerCommand struct {
	Mutants   []string       `help:"Mutants to play, besides the unmodified relay; default: all."`
	Scenarios []scenarioName `help:"Scenarios to play; default: all shipped scenarios."`
	Seeds     int            `help:"Number of seeds of each scenario." default:"2"`
	UseModels bool           `name:"check" help:"Check the small models, too." default:"true" negatable:""`
	MaxDepth  int            `name:"depth" help:"Maximum number of moves on a path of a model; 0: each model's own."`
}

// detector is a scenario or a model that may detect mutants.
type detector struct {
	name     string
	allRules bool           // can detect mutants of any rule
	rules    []checker.Rule // the rules whose mutants it can detect, if allRules is false
	run      func(context.Context, *emulate.Mutant) detection
}

// covers reports whether to run the detector on a mutant. It always runs on the unmodified relay, which is nil, and on
// mutants that violate no rule, because no detector may detect these.
func (d detector) covers(mutant *emulate.Mutant) bool {
	return mutant == nil || mutant.Rule == "" || d.allRules || slices.Contains(d.rules, mutant.Rule)
}

// detection is the outcome of a detector for a mutant.
type detection struct {
	violated []checker.Rule
	err      error
}

// Run runs all detectors on all mutants and on the unmodified relay. The exit status is exitViolated if some mutant is
// detected by no detector, or if a detector detects the unmodified relay or an equivalent mutant.
func (c *powerCommand) Run(ctx context.Context, s *cli.Streams) error {
	detectors, err := c.detectors()
	if err != nil {
		return err
	}
	mutants := c.mutants()
	detections := make([][]detection, len(mutants)) // by mutant and detector
	for i := range detections {
		detections[i] = make([]detection, len(detectors))
	}
	experiment.ForEach(ctx, 0, len(mutants)*len(detectors), func(i int) {
		m, d := i/len(detectors), i%len(detectors)
		if detectors[d].covers(mutants[m]) {
			detections[m][d] = detectors[d].run(ctx, mutants[m])
		}
	})
	if err := ctx.Err(); err != nil {
		return err
	}
	return printPower(s, mutants, detectors, detections)
}

// mutants returns the mutants to play, after nil for the unmodified relay.
func (c *powerCommand) mutants() []*emulate.Mutant {
	mutants := []*emulate.Mutant{nil}
	for _, mutant := range emulate.Mutants() {
		if len(c.Mutants) == 0 || slices.Contains(c.Mutants, mutant.Name) {
			mutants = append(mutants, &mutant)
		}
	}
	return mutants
}

// detectors returns a detector for each scenario, followed by one for each model.
func (c *powerCommand) detectors() (detectors []detector, err error) {
	names := c.Scenarios
	if len(names) == 0 {
		for _, name := range scenario.Shipped() {
			names = append(names, scenarioName(name))
		}
	}
	for _, name := range names {
		file, err := name.load()
		if err != nil {
			return nil, err
		}
		run := func(_ context.Context, m *emulate.Mutant) detection { return detectByScenario(file, m, c.Seeds) }
		detectors = append(detectors, detector{name: string(name), allRules: true, run: run})
	}
	if !c.UseModels {
		return detectors, nil
	}
	for _, model := range modelcheck.Models() {
		detectors = append(detectors, detector{
			name:  "check:" + model.Name,
			rules: model.Rules,
			run: func(ctx context.Context, m *emulate.Mutant) detection {
				return detectByModel(ctx, &model, m, c.MaxDepth)
			},
		})
	}
	return detectors, nil
}

// detectByScenario plays a scenario with the seeds from 1, and returns the rules that are violated.
func detectByScenario(file scenario.File, mutant *emulate.Mutant, seeds int) (found detection) {
	for seed := range seeds {
		world, err := experiment.Simulate(file.Draw(uint64(seed+1)), emulate.Options{Record: true, Mutant: mutant})
		if err != nil {
			return detection{err: err}
		}
		for _, rule := range checker.Check(world.Result()).Rules {
			if rule.State == checker.Violated && !slices.Contains(found.violated, rule.Rule) {
				found.violated = append(found.violated, rule.Rule)
			}
		}
	}
	return found
}

// detectByModel checks a model, and returns the first violated rule.
func detectByModel(ctx context.Context, model *modelcheck.Model, mutant *emulate.Mutant, depth int) detection {
	options := modelcheck.Options{Mutant: mutant, MaxDepth: depth, Workers: 1}
	result, err := modelcheck.Check(ctx, model, options)
	if err != nil || result.Violation == nil {
		return detection{err: err}
	}
	return detection{violated: []checker.Rule{result.Violation.Rule}}
}

// powerRow holds the outcomes of all detectors for one mutant.
type powerRow struct {
	name       string
	rule       checker.Rule // the rule that the mutant violates; "": none
	detectedBy []string     // names of the detectors that found a violation of rule
	otherRules []string     // the detectors that found violations of other rules only, with the first such rule
}

func newPowerRow(mutant *emulate.Mutant, detectors []detector, detections []detection) (powerRow, error) {
	row := powerRow{name: "(unmodified)"}
	if mutant != nil {
		row.name, row.rule = mutant.Name, mutant.Rule
	}
	for i, found := range detections {
		name := detectors[i].name
		switch {
		case found.err != nil:
			return row, fmt.Errorf("%s, %s: %w", row.name, name, found.err)
		case slices.Contains(found.violated, row.rule):
			row.detectedBy = append(row.detectedBy, name)
		case len(found.violated) > 0:
			row.otherRules = append(row.otherRules, fmt.Sprintf("%s (%s)", name, found.violated[0]))
		}
	}
	return row, nil
}

// verdict describes whether the mutant was detected. ok is false if a mutant that violates a rule was not detected,
// or if a relay that violates no rule was.
func (r powerRow) verdict() (text string, ok bool) {
	switch {
	case r.rule == "" && len(r.detectedBy)+len(r.otherRules) == 0:
		return "acquitted, rightly", true
	case r.rule == "":
		return "CONVICTED, WRONGLY", false
	case len(r.detectedBy) == 0:
		return "NOT CONVICTED", false
	}
	return "convicted", true
}

func printPower(s *cli.Streams, mutants []*emulate.Mutant, detectors []detector, detections [][]detection) error {
	out := cli.NewPrinter(s.Out)
	wrong := 0
	for i, mutant := range mutants {
		row, err := newPowerRow(mutant, detectors, detections[i])
		if err != nil {
			return err
		}
		verdict, ok := row.verdict()
		if !ok {
			wrong++
		}
		out.Printf("%-28s %-42s %-18s %s", row.name, row.rule, verdict, strings.Join(row.detectedBy, " "))
		if len(row.otherRules) > 0 {
			out.Printf("; by another rule: %s", strings.Join(row.otherRules, " "))
		}
		out.Printf("\n")
	}
	out.Printf("%d mutants, %d scenarios and models, %d wrong verdicts\n", len(mutants)-1, len(detectors), wrong)
	return finish(out, ruleStatus(wrong == 0))
}
