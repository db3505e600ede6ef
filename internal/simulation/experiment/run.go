package experiment

import (
	"cmp"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Level is the value of a factor in a cell.
type Level struct {
	Path  string `json:"path"`
	Value string `json:"is"`
}

// Run is one run of an experiment: a cell, which is one level of each factor, and a seed.
type Run struct {
	Cell []Level // in the order of the factors
	Seed uint64

	assignments []assignment
}

// Key identifies the run within its experiment.
func (r Run) Key() string { return runKey(r.Cell, r.Seed) }

// with returns the run with one more level. line is the line of the factor's values in the plan's file.
func (r Run) with(path string, value any, line int) Run {
	return Run{
		Cell:        append(slices.Clone(r.Cell), Level{Path: path, Value: formatValue(value)}),
		Seed:        r.Seed,
		assignments: append(slices.Clone(r.assignments), assignment{path: path, value: value, line: line}),
	}
}

func runKey(levels []Level, seed uint64) string {
	return fmt.Sprintf("%s seed=%d", formatLevels(levels), seed)
}

func formatLevels(levels []Level) string {
	var parts []string
	for _, level := range levels {
		parts = append(parts, level.Path+"="+level.Value)
	}
	return strings.Join(parts, " ")
}

// Play plays a run. Equal runs give equal results, byte for byte.
func (p Plan) Play(run Run) Result {
	result := Result{Plan: p.Hash(), Cell: run.Cell, Seed: run.Seed}
	world, err := p.simulate(run)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	result.Measures = Measurements(&world.Metrics)
	if p.Checked {
		result.ViolatedRules = violatedRules(world)
		result.Measures[MeasureViolatedRules] = float64(len(result.ViolatedRules))
	}
	histogram, err := world.Latencies().Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err == nil { // the result is valid without its histogram
		result.LatencyHistogram = base64.StdEncoding.EncodeToString(histogram)
	}
	return result
}

// simulate plays the scenario of a run to its end.
func (p Plan) simulate(run Run) (*emulate.World, error) {
	file, options, err := p.scenarioFor(run)
	if err != nil {
		return nil, err
	}
	draw := file.DrawWithoutArrivals
	if p.Checked {
		draw = file.Draw
	}
	return Simulate(draw(run.Seed), options)
}

// Simulate plays a plan to its end.
func Simulate(plan scenario.Plan, options emulate.Options) (*emulate.World, error) {
	world, err := emulate.New(plan, options)
	if err != nil {
		return nil, err
	}
	return world, world.Play()
}

// violatedRules returns the rules that a recorded run violated, with the number of violations.
func violatedRules(world *emulate.World) map[string]int {
	violations := map[string]int{}
	for _, rule := range checker.Check(world.Result()).Rules {
		if rule.ViolationCount > 0 {
			violations[string(rule.Rule)] = rule.ViolationCount
		}
	}
	return violations
}

// scenarioFor returns the scenario and the emulator's options for a run, with the run's assignments applied.
func (p Plan) scenarioFor(run Run) (scenario.File, emulate.Options, error) {
	file := p.base.Clone()
	options := emulate.Options{Record: p.Checked}
	var engine []engineSetting
	var errs []error
	for _, a := range run.assignments {
		if err := a.apply(&file, &options, &engine); err != nil {
			errs = append(errs, atLine(a.line, fmt.Errorf("%s = %s: %w", a.path, formatValue(a.value), err)))
		}
	}
	if len(errs) > 0 {
		return file, options, errors.Join(errs...)
	}
	if len(engine) > 0 {
		options.ChangeSettings = func(s *policy.Settings) {
			for _, set := range engine {
				set(s)
			}
		}
	}
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		with := cmp.Or(formatLevels(run.Cell), "the settings of all runs")
		return file, options, fmt.Errorf("with %s: %w", with, err)
	}
	return file, options, nil
}
