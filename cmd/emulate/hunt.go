package main

import (
	"context"
	"errors"
	"os"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
)

//nolint:lll // A struct tag is one line.
type huntCommand struct {
	Scenario   scenarioName `arg:"" help:"Scenario that is played with random faults and loads: the name of a shipped one, or a file."`
	Candidates int          `name:"plans" help:"Number of variants of the scenario to play." default:"200"`
	Seed       uint64       `help:"Seed of the search." default:"1"`
	Mutant     mutantName   `help:"Search with this mutant, a broken relay, in place of the unmodified one." placeholder:"NAME"`
	Out        string       `help:"File for the worst scenario found." default:"hunted.toml" placeholder:"FILE"`
	cli.ProgressFlags
}

var errPlans = errors.New("--plans must be above 0")

// Run searches for faults, and writes the worst scenario found into a file.
func (c *huntCommand) Run(ctx context.Context, s *cli.Streams) error {
	base, err := c.Scenario.load()
	if err != nil {
		return err
	}
	mutant, err := c.Mutant.find()
	if err != nil {
		return err
	}
	if c.Candidates < 1 {
		return errPlans
	}
	progress := c.ProgressLine(s.Err)
	search := experiment.Search{
		Base:       base,
		Candidates: c.Candidates,
		Seed:       c.Seed,
		Mutant:     mutant,
		Progress: func(done int, worst experiment.Candidate) {
			progress.Update("%d of %d  worst: service %.3f  %d rules violated",
				done, c.Candidates, worst.Service, len(worst.ViolatedRules))
		},
	}
	found, err := search.Run(ctx)
	progress.End()
	cancelledWithCandidate := errors.Is(err, context.Canceled) && found.Scenario.Name != ""
	if err != nil && !cancelledWithCandidate {
		return err
	}
	found.Scenario.Seed = found.Seed
	data, err := found.Scenario.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, data, 0o600); err != nil {
		return err
	}
	return c.printCandidate(s, found)
}

func (c *huntCommand) printCandidate(s *cli.Streams, found experiment.Candidate) error {
	out := cli.NewPrinter(s.Out)
	faults := found.Scenario.Faults
	out.Printf("worst of %d variants: service %.3f, %d faults, seed %d; written to %s; play it with: emulate run %s\n",
		c.Candidates, found.Service, len(faults), found.Seed, c.Out, c.Out)
	for _, fault := range faults {
		out.Printf("  %v  %s for %v  destinations %v share %.2f relays %v\n", fault.Start.AsDuration(),
			fault.Kind, fault.Duration.AsDuration(), fault.Destinations, fault.Share, fault.Relays)
	}
	for _, rule := range found.ViolatedRules {
		out.Printf("BROKEN: %s\n", rule)
	}
	return finish(out, ruleStatus(len(found.ViolatedRules) == 0))
}
