package main

import (
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
)

type runCommand struct {
	Scenario scenarioName `arg:"" help:"Name of a shipped scenario, or a file."`
	Seed     uint64       `help:"Seed of the plan; 0: the scenario's own."`
	Mutant   mutantName   `help:"Play this mutant, a broken relay, in place of the unmodified one." placeholder:"NAME"`
	Out      string       `help:"Directory for a report with charts; default: no report is written." placeholder:"DIR"`
}

// Run plays a scenario, checks the rules, and prints a summary. It writes a report if the command names a directory.
func (c *runCommand) Run(s *cli.Streams) error {
	file, err := c.Scenario.load()
	if err != nil {
		return err
	}
	mutant, err := c.Mutant.find()
	if err != nil {
		return err
	}
	world, err := emulate.New(file.Draw(c.Seed), emulate.Options{Record: true, Mutant: mutant})
	if err != nil {
		return err
	}
	start := time.Now()
	if err := world.Play(); err != nil {
		return err
	}
	elapsed := time.Since(start).Round(time.Millisecond)
	header, events := world.Result()
	result := checker.Check(header, events)
	if err := report.Text(s.Out, header, events, result); err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	out.Printf("played in %v: %d events, %d steps of decision engines\n", elapsed, world.EventCount(), world.Steps)
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o700); err != nil {
			return err
		}
		if err := report.Write(c.Out, header, events, result); err != nil {
			return err
		}
		out.Printf("report: %s\n", filepath.Join(c.Out, report.PageName))
	}
	return finish(out, resultStatus(result))
}
