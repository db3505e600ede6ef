package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/modelcheck"
)

type checkCommand struct {
	Worlds []string `name:"world" help:"Worlds; default: all that come with it."`
	Mutant string   `help:"Check a relay that has this wrong about it." placeholder:"NAME"`
	Depth  int      `help:"Moves on a path at most; 0: each world's."`
	Deeper int      `help:"So many moves more than each world's own bound."`
	States int      `help:"States of a world at most; 0: 4 million." `
	Keep   string   `help:"File for the path to a break." default:"counterexample.json" placeholder:"FILE"`
	Replay string   `help:"Play the path in this file again, and nothing else." type:"existingfile" placeholder:"FILE"`
	List   bool     `help:"List the worlds."`
}

// Run explores.
func (c *checkCommand) Run(ctx context.Context, s *cli.Streams) error {
	if c.List {
		for _, w := range modelcheck.Models() {
			fmt.Fprintf(s.Out, "%-10s to %2d moves: %s\n", w.Name, w.MaxDepth, w.Description)
		}
		return nil
	}
	if c.Replay != "" {
		return c.replay(s)
	}
	wrong, err := mutant(c.Mutant)
	if err != nil {
		return err
	}
	worlds := modelcheck.Models()
	if len(c.Worlds) > 0 {
		worlds = nil
		for _, name := range c.Worlds {
			w := modelcheck.FindModel(name)
			if w == nil {
				return fmt.Errorf("no world %q", name)
			}
			worlds = append(worlds, *w)
		}
	}
	broken := false
	for i := range worlds {
		w := &worlds[i]
		depth := c.Depth
		if depth == 0 {
			depth = w.MaxDepth
		}
		began := time.Now()
		f, err := modelcheck.Check(
			ctx,
			w,
			modelcheck.Options{Mutant: wrong, MaxDepth: depth + c.Deeper, MaxStates: c.States},
		)
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
		how := fmt.Sprintf("to %d moves", f.Depth)
		switch {
		case f.Complete:
			how = "whole"
		case f.RandomWalks > 0:
			how += fmt.Sprintf(", and %d random paths", f.RandomWalks)
		case f.Truncated:
			how += ", and part of the next: cut off"
		}
		fmt.Fprintf(
			s.Out,
			"%-10s %9d states  %9d moves played  %s  %v",
			w.Name,
			f.States,
			f.Transitions,
			how,
			time.Since(began).Round(time.Millisecond),
		)
		if f.Violation == nil {
			fmt.Fprintln(s.Out, "  all rules held")
			if err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(s.Out, "\n%s: BROKEN after %d moves: %s\n", f.Violation.Rule, len(f.Trace), f.Violation.Detail)
		p := modelcheck.Counterexample{Model: w.Name, Mutant: c.Mutant, Rule: f.Violation.Rule, Moves: f.Trace}
		if err := p.WriteTrace(s.Out); err != nil {
			return err
		}
		if !broken {
			data, err := json.MarshalIndent(p, "", " ")
			if err == nil {
				err = os.WriteFile(c.Keep, append(data, '\n'), 0o600)
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(s.Out, "kept in %s: emulate check --replay %s\n", c.Keep, c.Keep)
		}
		broken = true
	}
	if broken {
		return cli.Exit(exitBroken)
	}
	return nil
}

func (c *checkCommand) replay(s *cli.Streams) error {
	data, err := os.ReadFile(c.Replay)
	if err != nil {
		return err
	}
	p, err := modelcheck.ParseCounterexample(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Replay, err)
	}
	if err := p.WriteTrace(s.Out); err != nil {
		return err
	}
	b, err := p.Replay()
	if err != nil {
		return err
	}
	if b == nil {
		fmt.Fprintln(s.Out, "no rule is broken on this path")
		return nil
	}
	fmt.Fprintf(s.Out, "%s: BROKEN: %s\n", b.Rule, b.Detail)
	return cli.Exit(exitBroken)
}
