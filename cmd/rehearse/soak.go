package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/soak"
)

//nolint:lll // A struct tag is one line.
type soakCommand struct {
	Seeds    string `help:"Seeds of the scenarios that are drawn: one, or the first and the last as 1..50." default:"1..10"`
	Relay    string `help:"Program of the relay; default: cherrytrestle beside this program, else built from the current folder." placeholder:"FILE"`
	Out      string `help:"Folder in which the soak creates its own folder." default:"rehearsals"`
	Parallel int    `help:"Scenarios that are played at the same time." default:"1"`
	Shrink   int    `help:"The most scenarios played to make one that violates a rule smaller." default:"12"`

	cli.ProgressFlags
}

// Run plays the scenarios of the seeds. It prints a line for each seed, the history of the first violation, and the
// command that plays it again.
func (c *soakCommand) Run(ctx context.Context, streams *cli.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	binary, removeBinary, err := relayBinary(ctx, c.Relay, streams.Err)
	if err != nil {
		return err
	}
	defer removeBinary()
	dir := filepath.Join(c.Out, "soak-"+time.Now().Format(folderTimeLayout))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	line := c.ProgressLine(streams.Err)
	total := seeds.Last - seeds.First + 1
	line.Start("seeds %d to %d, %d at a time, in %s", seeds.First, seeds.Last, c.Parallel, dir)
	finished := 0
	results := soak.Run(ctx, soak.Options{
		Seeds:      seeds,
		Binary:     binary,
		Dir:        dir,
		Parallel:   c.Parallel,
		ShrinkRuns: c.Shrink,
		Finished: func(result soak.SeedResult) {
			finished++
			writeSeedResult(streams.Out, result)
			line.Update("%d of %d seeds", finished, total)
		},
	})
	line.End()
	writeSoakSummary(streams.Out, results, total)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return exitError(soakStatus(results))
}

// parseSeeds parses one seed, or the first and the last one with two dots between them.
func parseSeeds(text string) (soak.Seeds, error) {
	first, last, isRange := strings.Cut(text, "..")
	if !isRange {
		last = first
	}
	low, lowErr := strconv.ParseUint(first, 10, 32)
	high, highErr := strconv.ParseUint(last, 10, 32)
	if lowErr != nil || highErr != nil || low == 0 || low > high {
		return soak.Seeds{}, fmt.Errorf("soak: seeds %q must be a number from 1 on, or two such as 1..50", text)
	}
	return soak.Seeds{First: low, Last: high}, nil
}

// writeSeedResult prints the result of a seed: one line, or the evidence of a violation. Write errors do not end a
// soak.
func writeSeedResult(out io.Writer, result soak.SeedResult) {
	_, _ = fmt.Fprintf(out, "seed %-4d %s; %d relays, %s\n",
		result.Seed, report.Summary(result.Verdict), result.File.Relays, faultNames(result.File.Faults))
	if result.Err != nil {
		_, _ = fmt.Fprintf(out, "  the rehearsal failed: %v\n", result.Err)
	}
	if result.State() != checker.Violated {
		return
	}
	for _, rule := range result.Verdict.Rules {
		for _, violation := range rule.Violations {
			_, _ = fmt.Fprintf(out, "  %s: %s\n", rule.Rule, violation.Text)
		}
	}
	for _, event := range result.History {
		_, _ = fmt.Fprintf(out, "    %s\n", event)
	}
	_, _ = fmt.Fprintf(out, "  play again: rehearse run %s\n", filepath.Join(result.Dir, soak.ScenarioName))
}

// faultNames returns the kinds of faults and when they begin.
func faultNames(faults []scenario.Fault) string {
	var names []string
	for _, fault := range faults {
		names = append(names, fmt.Sprintf("%s@%.1fs", fault.Kind, fault.Start.AsDuration().Seconds()))
	}
	return strings.Join(names, " ")
}

// writeSoakSummary prints how many seeds ended in each state.
func writeSoakSummary(out io.Writer, results []soak.SeedResult, total uint64) {
	count := map[checker.State]int{}
	for _, result := range results {
		count[result.State()]++
	}
	_, _ = fmt.Fprintf(out, "%d of %d seeds played: %d held, %d broken, %d not judged\n", len(results), total,
		count[checker.Held], count[checker.Violated], count[checker.Inconclusive])
}

// soakStatus returns the exit status of a soak: that of its worst seed.
func soakStatus(results []soak.SeedResult) int {
	inconclusive := false
	for _, result := range results {
		switch result.State() {
		case checker.Violated:
			return exitViolated
		case checker.Inconclusive:
			inconclusive = true
		}
	}
	if inconclusive {
		return exitInconclusive
	}
	return exitHeld
}
