package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/modelcheck"
)

//nolint:lll // A struct tag is one line.
type checkCommand struct {
	Models             []string   `name:"world" help:"Models to check; default: all."`
	Mutant             mutantName `help:"Check this mutant, a broken relay, in place of the unmodified one." placeholder:"NAME"`
	MaxDepth           int        `name:"depth" help:"Maximum number of moves on a path; 0: each model's own."`
	ExtraDepth         int        `name:"deeper" help:"Number of moves to add to that maximum."`
	MaxStates          int        `name:"states" help:"Maximum number of states of a model; 0: 4 million."`
	CounterexampleFile string     `name:"keep" help:"File for the counterexample: the path to the first violation." default:"counterexample.json" placeholder:"FILE"`
	ReplayFile         string     `name:"replay" help:"Replay the counterexample in this file, and check nothing else." type:"existingfile" placeholder:"FILE"`
	List               bool       `help:"List the models."`
}

// Run checks the models. It writes the counterexample of the first model that violates a rule into a file.
func (c *checkCommand) Run(ctx context.Context, s *cli.Streams) error {
	if c.List {
		return listModels(s)
	}
	if c.ReplayFile != "" {
		return c.replay(s)
	}
	mutant, err := c.Mutant.find()
	if err != nil {
		return err
	}
	models, err := c.selectModels()
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	held := true
	for i := range models {
		counterexample, err := c.check(ctx, out, &models[i], mutant)
		if err != nil {
			return err
		}
		if counterexample == nil {
			continue
		}
		if err := counterexample.WriteTrace(s.Out); err != nil {
			return err
		}
		if held {
			if err := c.keep(out, counterexample); err != nil {
				return err
			}
		}
		held = false
	}
	return finish(out, ruleStatus(held))
}

func listModels(s *cli.Streams) error {
	out := cli.NewPrinter(s.Out)
	for _, model := range modelcheck.Models() {
		out.Printf("%-10s up to %2d moves: %s\n", model.Name, model.MaxDepth, model.Description)
	}
	return finish(out, exitHeld)
}

// selectModels returns the models that the flags name, or all models if they name none.
func (c *checkCommand) selectModels() ([]modelcheck.Model, error) {
	if len(c.Models) == 0 {
		return modelcheck.Models(), nil
	}
	var models []modelcheck.Model
	for _, name := range c.Models {
		model := modelcheck.FindModel(name)
		if model == nil {
			return nil, fmt.Errorf("no model %q; --list prints all", name)
		}
		models = append(models, *model)
	}
	return models, nil
}

// check checks a model. It returns a counterexample, or nil if the model violates no rule.
func (c *checkCommand) check(
	ctx context.Context, out *cli.Printer, model *modelcheck.Model, mutant *emulate.Mutant,
) (*modelcheck.Counterexample, error) {
	depth := c.MaxDepth
	if depth == 0 {
		depth = model.MaxDepth
	}
	options := modelcheck.Options{Mutant: mutant, MaxDepth: depth + c.ExtraDepth, MaxStates: c.MaxStates}
	start := time.Now()
	result, err := modelcheck.Check(ctx, model, options)
	if err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	out.Printf("%-10s %9d states  %9d moves played  %s  %v", model.Name, result.States, result.Transitions,
		describeCoverage(result), time.Since(start).Round(time.Millisecond))
	violation := result.Violation
	if violation == nil {
		out.Printf("  all rules held\n")
		return nil, err
	}
	out.Printf("\n%s: BROKEN after %d moves: %s\n", violation.Rule, len(result.Trace), violation.Detail)
	return &modelcheck.Counterexample{
		Model:  model.Name,
		Mutant: string(c.Mutant),
		Rule:   violation.Rule,
		Moves:  result.Trace,
	}, nil
}

// describeCoverage describes which paths of a model were checked.
func describeCoverage(result modelcheck.Result) string {
	switch {
	case result.Complete:
		return "whole"
	case result.RandomWalks > 0:
		return fmt.Sprintf("all paths up to %d moves, and %d random paths", result.Depth, result.RandomWalks)
	case result.Truncated:
		return fmt.Sprintf("all paths up to %d moves, and some with one more: search ended early", result.Depth)
	}
	return fmt.Sprintf("all paths up to %d moves", result.Depth)
}

// keep writes a counterexample into CounterexampleFile.
func (c *checkCommand) keep(out *cli.Printer, counterexample *modelcheck.Counterexample) error {
	data, err := json.MarshalIndent(counterexample, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.CounterexampleFile, append(data, '\n'), 0o600); err != nil {
		return err
	}
	out.Printf("counterexample written to %[1]s; replay it with: emulate check --replay %[1]s\n", c.CounterexampleFile)
	return nil
}

// replay replays the counterexample in ReplayFile.
func (c *checkCommand) replay(s *cli.Streams) error {
	data, err := os.ReadFile(c.ReplayFile)
	if err != nil {
		return err
	}
	counterexample, err := modelcheck.ParseCounterexample(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.ReplayFile, err)
	}
	if err := counterexample.WriteTrace(s.Out); err != nil {
		return err
	}
	violation, err := counterexample.Replay()
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	if violation == nil {
		out.Printf("this path violates no rule\n")
		return finish(out, exitHeld)
	}
	out.Printf("%s: BROKEN: %s\n", violation.Rule, violation.Detail)
	return finish(out, exitViolated)
}
