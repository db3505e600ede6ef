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
	Mutants   []string       `help:"Mutants; default: all, and the sound relay."`
	Scenarios []scenarioName `help:"Scenarios; default: all that come with the kit."`
	Seeds     int            `help:"Seeds of each scenario." default:"2"`
	UseModels bool           `name:"check" help:"Play the tiny worlds, too." default:"true" negatable:""`
	MaxDepth  int            `name:"depth" help:"Moves on a path of a tiny world at most; 0: the world's."`
}

// detector is a scenario or a model that may detect mutants.
type detector struct {
	name     string
	allRules bool           // it may violate any rule
	rules    []checker.Rule // else: those that it tests enough to detect a mutant by
	run      func(context.Context, *emulate.Mutant) detection
}

// covers tells whether it is worth running the detector on a mutant. nil is the relay as it is.
func (d detector) covers(mutant *emulate.Mutant) bool {
	return mutant == nil || mutant.Rule == "" || d.allRules || slices.Contains(d.rules, mutant.Rule)
}

// detection is what a detector found about a mutant.
type detection struct {
	violated []checker.Rule
	err      error
}

// Run runs all detectors on all mutants and on the relay as it is. It fails if no detector detects a mutant, or if one
// detects the relay as it is or an equivalent mutant.
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

// mutants returns nil, which is the relay as it is, and the mutants.
func (c *powerCommand) mutants() []*emulate.Mutant {
	mutants := []*emulate.Mutant{nil}
	for _, mutant := range emulate.Mutants() {
		if len(c.Mutants) == 0 || slices.Contains(c.Mutants, mutant.Name) {
			mutants = append(mutants, &mutant)
		}
	}
	return mutants
}

// detectors returns the scenarios, and behind them the models.
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

// detectByScenario plays a scenario with several seeds.
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

// detectByModel checks a model.
func detectByModel(ctx context.Context, model *modelcheck.Model, mutant *emulate.Mutant, depth int) detection {
	options := modelcheck.Options{Mutant: mutant, MaxDepth: depth, Workers: 1}
	result, err := modelcheck.Check(ctx, model, options)
	if err != nil || result.Violation == nil {
		return detection{err: err}
	}
	return detection{violated: []checker.Rule{result.Violation.Rule}}
}

// powerRow is what the detectors found about one mutant.
type powerRow struct {
	name       string
	rule       checker.Rule // that the mutant violates; "": none
	detectedBy []string
	otherRules []string // detectors by which it violates another rule only
}

func newPowerRow(mutant *emulate.Mutant, detectors []detector, detections []detection) (powerRow, error) {
	row := powerRow{name: "(sound)"}
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

// verdict describes the row. ok is false where a mutant is not detected, or a relay that violates no rule is.
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
			out.Printf("; of another rule: %s", strings.Join(row.otherRules, " "))
		}
		out.Printf("\n")
	}
	out.Printf("%d mutants, %d scenarios and worlds, %d wrong verdicts\n", len(mutants)-1, len(detectors), wrong)
	return finish(out, ruleStatus(wrong == 0))
}
