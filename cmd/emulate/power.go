package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/modelcheck"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

type powerCommand struct {
	Mutants   []string `help:"Mutants; default: all, and the sound relay."`
	Scenarios []string `help:"Scenarios; default: all that come with the kit."`
	Seeds     int      `help:"Seeds of each scenario." default:"2"`
	Check     bool     `help:"Play the tiny worlds, too." default:"true" negatable:""`
	Depth     int      `help:"Moves on a path of a tiny world at most; 0: the world's."`
}

// convict is what a scenario or world made of a mutant.
type convict struct {
	rules []checker.Rule // that were broken
	err   error
}

// Run tells which scenarios and worlds convict which mutants, and acquit the sound relay. It fails where a mutant goes
// free, or a sound relay or an equivalent mutant does not.
func (c *powerCommand) Run(ctx context.Context, s *cli.Streams) error {
	names := c.Scenarios
	if len(names) == 0 {
		names = scenario.Shipped()
	}
	var files []scenario.File
	for _, n := range names {
		f, err := load(n)
		if err != nil {
			return err
		}
		files = append(files, f)
	}
	mutants := []*emulate.Mutant{nil}
	for _, m := range emulate.Mutants() {
		if len(c.Mutants) == 0 || slices.Contains(c.Mutants, m.Name) {
			mutants = append(mutants, &m)
		}
	}
	type task struct{ m, at int }
	worlds := modelcheck.Models()
	if !c.Check {
		worlds = nil
	}
	columns := len(files) + len(worlds)
	table := make([][]convict, len(mutants))
	tasks := make(chan task)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for t := range tasks {
				if t.at >= len(files) && mutants[t.m] != nil && mutants[t.m].Rule != "" &&
					!slices.Contains(worlds[t.at-len(files)].Rules, mutants[t.m].Rule) {
					continue // it says little of that rule
				}
				if t.at < len(files) {
					table[t.m][t.at] = tryScenario(files[t.at], mutants[t.m], c.Seeds)
				} else {
					table[t.m][t.at] = tryWorld(ctx, &worlds[t.at-len(files)], mutants[t.m], c.Depth)
				}
			}
		})
	}
	for m := range mutants {
		table[m] = make([]convict, columns)
		for at := range columns {
			if ctx.Err() == nil {
				tasks <- task{m, at}
			}
		}
	}
	close(tasks)
	wg.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	for _, w := range worlds {
		names = append(names, "check:"+w.Name)
	}
	return tellPower(s.Out, mutants, names, table)
}

// tryScenario plays a scenario in virtual time with a mutant and judges it.
func tryScenario(f scenario.File, m *emulate.Mutant, seeds int) (c convict) {
	for seed := range seeds {
		w, err := emulate.New(f.Draw(uint64(seed+1)), emulate.Options{Record: true, Mutant: m})
		if err == nil {
			err = w.Play()
		}
		if err != nil {
			return convict{err: err}
		}
		for _, x := range checker.Check(w.Result()).Rules {
			if x.State == checker.Violated && !slices.Contains(c.rules, x.Rule) {
				c.rules = append(c.rules, x.Rule)
			}
		}
	}
	return c
}

// tryWorld plays a tiny world with a mutant.
func tryWorld(ctx context.Context, w *modelcheck.Model, m *emulate.Mutant, depth int) convict {
	f, err := modelcheck.Check(ctx, w, modelcheck.Options{Mutant: m, MaxDepth: depth, Workers: 1})
	if err != nil || f.Violation == nil {
		return convict{err: err}
	}
	return convict{rules: []checker.Rule{f.Violation.Rule}}
}

func tellPower(out io.Writer, mutants []*emulate.Mutant, names []string, table [][]convict) error {
	wrong := 0
	for i, m := range mutants {
		name, want := "(sound)", checker.Rule("")
		if m != nil {
			name, want = m.Name, m.Rule
		}
		var by, others []string
		for k, c := range table[i] {
			switch {
			case c.err != nil:
				return fmt.Errorf("%s, %s: %w", name, names[k], c.err)
			case slices.Contains(c.rules, want):
				by = append(by, names[k])
			case len(c.rules) > 0:
				others = append(others, fmt.Sprintf("%s (%s)", names[k], c.rules[0]))
			}
		}
		verdict := "convicted"
		switch {
		case want == "" && len(by)+len(others) == 0:
			verdict = "acquitted, rightly"
		case want == "":
			verdict = "CONVICTED, WRONGLY"
			wrong++
		case len(by) == 0:
			verdict = "NOT CONVICTED"
			wrong++
		}
		fmt.Fprintf(out, "%-28s %-42s %-18s %s", name, want, verdict, strings.Join(by, " "))
		if len(others) > 0 {
			fmt.Fprintf(out, "; of another rule: %s", strings.Join(others, " "))
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%d mutants, %d scenarios and worlds, %d wrong verdicts\n", len(mutants)-1, len(names), wrong)
	if wrong > 0 {
		return cli.Exit(exitBroken)
	}
	return nil
}
