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
	Models             []string   `name:"world" help:"Worlds; default: all that come with it."`
	Mutant             mutantName `help:"Check a relay that has this wrong about it." placeholder:"NAME"`
	MaxDepth           int        `name:"depth" help:"Moves on a path at most; 0: each world's."`
	ExtraDepth         int        `name:"deeper" help:"So many moves more than each world's own bound."`
	MaxStates          int        `name:"states" help:"States of a world at most; 0: 4 million."`
	CounterexampleFile string     `name:"keep" help:"File for the path to a break." default:"counterexample.json" placeholder:"FILE"`
	ReplayFile         string     `name:"replay" help:"Play the path in this file again, and nothing else." type:"existingfile" placeholder:"FILE"`
	List               bool       `help:"List the worlds."`
}

// Run checks the models. It writes the counterexample of the first that violates a rule into a file.
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
		out.Printf("%-10s to %2d moves: %s\n", model.Name, model.MaxDepth, model.Description)
	}
	return finish(out, exitHeld)
}

// selectModels returns the models to check.
func (c *checkCommand) selectModels() ([]modelcheck.Model, error) {
	if len(c.Models) == 0 {
		return modelcheck.Models(), nil
	}
	var models []modelcheck.Model
	for _, name := range c.Models {
		model := modelcheck.FindModel(name)
		if model == nil {
			return nil, fmt.Errorf("no world %q", name)
		}
		models = append(models, *model)
	}
	return models, nil
}

// check checks a model, and returns a counterexample if it violates a rule.
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

// describeCoverage tells what part of a model was checked.
func describeCoverage(result modelcheck.Result) string {
	switch {
	case result.Complete:
		return "whole"
	case result.RandomWalks > 0:
		return fmt.Sprintf("to %d moves, and %d random paths", result.Depth, result.RandomWalks)
	case result.Truncated:
		return fmt.Sprintf("to %d moves, and part of the next: cut off", result.Depth)
	}
	return fmt.Sprintf("to %d moves", result.Depth)
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
	out.Printf("kept in %[1]s: emulate check --replay %[1]s\n", c.CounterexampleFile)
	return nil
}

// replay plays the counterexample of a file again.
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
		out.Printf("no rule is broken on this path\n")
		return finish(out, exitHeld)
	}
	out.Printf("%s: BROKEN: %s\n", violation.Rule, violation.Detail)
	return finish(out, exitViolated)
}
