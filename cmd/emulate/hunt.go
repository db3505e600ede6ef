package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
)

type huntCommand struct {
	Scenario string `arg:"" help:"The scenario whose world and load are struck: one that comes with the kit, or a file."`
	Plans    int    `help:"Plans that are tried." default:"200"`
	Seed     uint64 `help:"Seed of the search." default:"1"`
	Mutant   string `help:"Hunt a relay that has this wrong about it." placeholder:"NAME"`
	Out      string `help:"File for the scenario that was found." default:"hunted.toml" placeholder:"FILE"`
	Quiet    bool   `help:"Show no progress." short:"q"`
}

// Run hunts.
func (c *huntCommand) Run(ctx context.Context, s *cli.Streams) error {
	base, err := load(c.Scenario)
	if err != nil {
		return err
	}
	wrong, err := mutant(c.Mutant)
	if err != nil {
		return err
	}
	if c.Plans < 1 {
		return fmt.Errorf("--plans must be above 0")
	}
	h := experiment.Search{Base: base, Candidates: c.Plans, Seed: c.Seed, Mutant: wrong}
	if !c.Quiet {
		h.Progress = func(done int, worst experiment.Candidate) {
			fmt.Fprintf(
				s.Err,
				"\r\x1b[K%d of %d  worst: service %.3f  %d rules broken",
				done,
				c.Plans,
				worst.Service,
				len(worst.ViolatedRules),
			)
		}
	}
	p, err := h.Run(ctx)
	if !c.Quiet {
		fmt.Fprintln(s.Err)
	}
	if err != nil && (!errors.Is(err, context.Canceled) || p.Scenario.Name == "") {
		return err
	}
	p.Scenario.Seed = p.Seed
	data, err := p.Scenario.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, data, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(
		s.Out,
		"worst of %d plans: service %.3f, %d troubles, seed %d; kept in %s: emulate run %s\n",
		c.Plans,
		p.Service,
		len(p.Scenario.Faults),
		p.Seed,
		c.Out,
		c.Out,
	)
	for _, t := range p.Scenario.Faults {
		fmt.Fprintf(
			s.Out,
			"  %v  %s for %v  destinations %v share %.2f relays %v\n",
			t.Start.AsDuration(),
			t.Kind,
			t.Duration.AsDuration(),
			t.Destinations,
			t.Share,
			t.Relays,
		)
	}
	for _, r := range p.ViolatedRules {
		fmt.Fprintf(s.Out, "BROKEN: %s\n", r)
	}
	if len(p.ViolatedRules) > 0 {
		return cli.Exit(exitBroken)
	}
	return nil
}
