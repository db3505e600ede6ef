package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	defaultScenario  = "first-run"
	allScenarios     = "all"
	folderTimeLayout = "20060102T150405"
	progressBarWidth = 30
)

//nolint:lll // A struct tag is one line.
type runCommand struct {
	Scenarios []string `arg:"" optional:"" name:"scenario" help:"Built-in scenarios or scenario files; all: every built-in scenario. Default: first-run."`
	Seed      uint64   `help:"Seed of the plan; 0: the scenario's seed."`
	Relay     string   `help:"Program of the relay; default: cherrytrestle beside this program, else built from the current folder." placeholder:"FILE"`
	Out       string   `help:"Folder in which each run creates its own folder." default:"rehearsals"`
	Port      int      `help:"Port of the first relay; the others use the ports that follow. 0: any free ports."`
	Record    bool     `help:"Record the relays' decisions; the recordings are kept if a rule was violated."`
	KeepAll   bool     `help:"Record the relays' decisions and keep the recordings of every run."`

	cli.ProgressFlags
}

// Run runs scenarios one after the other.
func (c *runCommand) Run(ctx context.Context, streams *cli.Streams) error {
	files, err := c.load()
	if err != nil {
		return err
	}
	binary, removeBinary, err := relayBinary(ctx, c.Relay, streams.Err)
	if err != nil {
		return err
	}
	defer removeBinary()
	worst := exitHeld
	var summary strings.Builder
	for _, file := range files {
		result, err := c.rehearse(ctx, streams, file, binary)
		if err != nil {
			return err
		}
		worst = max(worst, exitStatus(result.Verdict))
		fmt.Fprintf(&summary, "%-18s %s\n", file.Name, report.Summary(result.Verdict))
	}
	if len(files) > 1 {
		if _, err := fmt.Fprintf(streams.Out, "\n%s", summary.String()); err != nil {
			return err
		}
	}
	return exitError(worst)
}

// load reads all scenarios, so that an invalid one is reported before the first runs.
func (c *runCommand) load() ([]scenario.File, error) {
	names := c.Scenarios
	switch {
	case len(names) == 0:
		names = []string{defaultScenario}
	case len(names) == 1 && names[0] == allScenarios:
		names = scenario.Shipped()
	}
	var files []scenario.File
	for _, name := range names {
		file, err := scenario.Load(name)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// rehearse runs one scenario and writes its report.
func (c *runCommand) rehearse(
	ctx context.Context, streams *cli.Streams, file scenario.File, binary string,
) (rehearsal.Result, error) {
	options := rehearsal.Options{
		Dir:             filepath.Join(c.Out, file.Name+"-"+time.Now().Format(folderTimeLayout)),
		Binary:          binary,
		Seed:            c.Seed,
		Port:            c.Port,
		RecordDecisions: c.Record || c.KeepAll,
	}
	line := c.ProgressLine(streams.Err)
	line.Start("%s: %s", file.Name, file.Description)
	options.Progress = func(p rehearsal.Progress) { line.Update("%s", progressText(p)) }
	result, err := rehearsal.Run(ctx, file, options)
	line.End()
	if err != nil {
		if len(result.Events) > 0 {
			err = fmt.Errorf("%w\nthe record of the run until then is kept in %s", err, options.Dir)
		}
		return rehearsal.Result{}, err
	}
	if err := writeReport(streams.Out, options.Dir, result); err != nil {
		return rehearsal.Result{}, err
	}
	if options.RecordDecisions {
		if err := c.keepOrRemoveRecordings(streams.Out, options.Dir, result); err != nil {
			return rehearsal.Result{}, err
		}
	}
	return result, nil
}

// keepOrRemoveRecordings removes the relays' recordings, unless a rule was violated or KeepAll is set.
func (c *runCommand) keepOrRemoveRecordings(out io.Writer, dir string, result rehearsal.Result) error {
	pattern := filepath.Join(dir, "*", rehearsal.RecordingsName)
	if c.KeepAll || exitStatus(result.Verdict) == exitViolated {
		_, err := fmt.Fprintf(out, "recordings: %s\n", pattern)
		return err
	}
	folders, err := filepath.Glob(pattern)
	for _, folder := range folders {
		err = errors.Join(err, os.RemoveAll(folder))
	}
	return err
}

// progressText describes the progress of a run on one line.
func progressText(p rehearsal.Progress) string {
	done := min(progressBarWidth, int(progressBarWidth*p.Elapsed/max(1, p.Length)))
	bar := strings.Repeat("#", done) + strings.Repeat(".", progressBarWidth-done)
	activity := strings.Join(p.ActiveFaults, " ")
	if p.Settling {
		activity = "waiting for the last final answers"
	}
	return fmt.Sprintf("[%s] %3.0fs of %.0fs  %d submitted  %s",
		bar, p.Elapsed.Seconds(), p.Length.Seconds(), p.Submitted, activity)
}
