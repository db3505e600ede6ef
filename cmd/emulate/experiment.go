package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

//nolint:lll // A struct tag is one line.
type experimentCommand struct {
	File    string `arg:"" help:"File that describes the experiment." type:"existingfile"`
	Out     string `help:"Results file, with one JSON object per line. Runs that have a result in it are not played again. Default: the experiment's file name with .jsonl." placeholder:"FILE"`
	Workers int    `help:"Number of runs at a time; 0: one per core."`
	cli.ProgressFlags
}

// Run plays the runs of the experiment that have no result yet, and prints a table of all results.
func (c *experimentCommand) Run(ctx context.Context, s *cli.Streams) (err error) {
	plan, err := loadPlan(c.File)
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.Out = strings.TrimSuffix(c.File, filepath.Ext(c.File)) + ".jsonl"
	}
	file, previous, err := openResults(c.Out)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	progress := c.ProgressLine(s.Err)
	played, err := plan.PlayAll(ctx, file, experiment.PlayOptions{
		Revision: policy.Revision(),
		Previous: previous,
		Workers:  c.Workers,
		Progress: func(done, total int, result experiment.Result) {
			progress.Update("%d of %d  %s  service %.3f", done, total, result.Key(),
				result.Measures[experiment.MeasureService])
		},
	})
	progress.End()
	if errors.Is(err, context.Canceled) {
		note := cli.NewPrinter(s.Err)
		note.Printf("interrupted after %d more runs; their results are in %s; run the same command to resume\n",
			played, c.Out)
		return finish(note, exitFailed)
	}
	if err != nil {
		return err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	results, err := experiment.ReadResults(file)
	if err != nil {
		return err
	}
	return printCells(s.Out, results)
}

// loadPlan reads a plan. The path of a scenario file in the plan is relative to the plan's directory.
func loadPlan(path string) (experiment.Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return experiment.Plan{}, err
	}
	return experiment.Parse(path, data, func(name string) (scenario.File, error) {
		if strings.HasSuffix(name, ".toml") && !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		return scenarioName(name).load()
	})
}

// openResults opens or creates a results file, and reads the results in it. The returned file is positioned at the
// start of a new line at its end.
func openResults(path string) (*os.File, []experiment.Result, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, err
	}
	results, err := experiment.ReadResults(file)
	if err != nil {
		err = fmt.Errorf("%s: %w", path, err)
	} else {
		err = truncatePartialLine(file)
	}
	if err != nil {
		return nil, nil, errors.Join(err, file.Close())
	}
	return file, results, nil
}

// truncatePartialLine removes an incomplete last line from a file, and seeks to the end of the file.
func truncatePartialLine(file *os.File) error {
	size, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	last := make([]byte, 1)
	for ; size > 0; size-- {
		if _, err := file.ReadAt(last, size-1); err != nil {
			return err
		}
		if last[0] == '\n' {
			break
		}
	}
	if err := file.Truncate(size); err != nil {
		return err
	}
	_, err = file.Seek(size, io.SeekStart)
	return err
}

// readResults reads a results file.
func readResults(path string) ([]experiment.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written that could be lost
	return experiment.ReadResults(file)
}

// printCells prints a table of the means of each cell, and the errors of its runs.
func printCells(w io.Writer, results []experiment.Result) error {
	out := cli.NewPrinter(w)
	out.Printf("%-44s %5s  %-25s %-10s %-8s %-8s %-8s %s\n",
		"cell", "runs", "service [95 % interval]", "worst 10 s", "p99 s", "refused", "calls",
		"overloads, violated rules")
	for _, cell := range experiment.Cells(results) {
		printCell(out, cell)
	}
	return finish(out, exitHeld)
}

func printCell(out *cli.Printer, cell experiment.Cell) {
	mean := func(measure string) float64 {
		mean, _, _ := experiment.Interval(cell.Values(measure), experiment.Confidence)
		return mean
	}
	services := cell.Values(experiment.MeasureService)
	service, low, high := experiment.Interval(services, experiment.Confidence)
	out.Printf("%-44s %5d  %.4f [%.4f, %.4f]   ", cell.Name(), len(services), service, low, high)
	out.Printf("%.4f     %-8.3f %-8.4f %-8.3f %g, %g\n",
		mean(experiment.MeasureWorst10s),
		mean(experiment.MeasureLatencyP99),
		mean(experiment.MeasureRejected),
		mean(experiment.MeasureCalls),
		mean(experiment.MeasureOverloads),
		mean(experiment.MeasureViolatedRules),
	)
	for _, result := range cell.Results {
		if result.Error != "" {
			out.Printf("  seed %d: %s\n", result.Seed, result.Error)
		}
	}
}
