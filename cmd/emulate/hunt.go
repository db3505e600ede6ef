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
	Scenario   scenarioName `arg:"" help:"The scenario whose world and load are struck: one that comes with the kit, or a file."`
	Candidates int          `name:"plans" help:"Plans that are tried." default:"200"`
	Seed       uint64       `help:"Seed of the search." default:"1"`
	Mutant     mutantName   `help:"Hunt a relay that has this wrong about it." placeholder:"NAME"`
	Out        string       `help:"File for the scenario that was found." default:"hunted.toml" placeholder:"FILE"`
	cli.ProgressFlags
}

var errPlans = errors.New("--plans must be above 0")

// Run searches, and keeps the scenario that it finds.
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
			progress.Update("%d of %d  worst: service %.3f  %d rules broken",
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
	out.Printf("worst of %d plans: service %.3f, %d troubles, seed %d; kept in %s: emulate run %s\n",
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
