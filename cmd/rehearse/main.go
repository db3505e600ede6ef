// Command rehearse plays partner failures against real relay processes on loopback, and tells of each of the six rules
// whether it held.
//
//	rehearse                        plays the small first run
//	rehearse list                   lists the scenarios that come with it
//	rehearse run [flags] NAME|FILE  plays a scenario, or each of several
//	rehearse report [flags] DIR     judges and shows again what a run recorded
//	rehearse plan [flags] NAME|FILE prints the plan of a scenario's events
//
// It exits with 0 only if every rule that was exercised held; with 1 if one was broken or the run is void; with 2 if
// the rehearsal itself failed; with 3 if nothing could be told of the rules.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitFailed
	exitNotJudged
)

const firstRun = "first-run"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	os.Exit(command(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`
	Run     runCommand       `cmd:"" default:"withargs" help:"Play scenarios, one after the other (the default)."`
	List    listCommand      `cmd:"" help:"List the scenarios that come with it."`
	Report  reportCommand    `cmd:"" help:"Judge and show again what a run recorded."`
	Plan    planCommand      `cmd:"" help:"Print the plan of a scenario's events."`
}

// command runs a command line and returns the exit status.
func command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(
		ctx,
		"rehearse",
		"Plays partner failures against real relay processes on loopback, and tells of each of the six rules whether it held.",
		&app{},
		args,
		cli.Streams{Out: stdout, Err: stderr},
		exitFailed,
	)
}

type listCommand struct{}

func (listCommand) Run(s *cli.Streams) error {
	for _, name := range scenario.Shipped() {
		f, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "%-18s %4v  %s\n", name, f.Length.AsDuration(), f.Description)
	}
	return nil
}

type planCommand struct {
	Scenario string `arg:"" help:"A scenario that comes with it, or a file."`
	Seed     uint64 `help:"Seed of the plan; 0: the scenario's own."`
}

func (c *planCommand) Run(s *cli.Streams) error {
	f, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	_, err = f.Draw(c.Seed).WriteTo(s.Out)
	return err
}

type runCommand struct {
	Scenarios []string `arg:"" optional:"" name:"scenario" help:"Scenarios that come with it, or files; all: every one that comes with it. Default: first-run."`
	Seed      uint64   `help:"Seed of the plan; 0: the scenario's own."`
	Relay     string   `help:"The relay's program; default: cherrytrestle beside this one, else built from this folder." placeholder:"FILE"`
	Out       string   `help:"Folder in which each run gets one of its own." default:"rehearsals"`
	Port      int      `help:"Port of the first relay, the others come after it; 0: any that are free."`
	Record    bool     `help:"Have the relays record their decisions; the recordings are kept where a rule was broken."`
	KeepAll   bool     `help:"With --record: keep the recordings whatever came of it."`
	Quiet     bool     `help:"Show no progress." short:"q"`
}

// Run plays scenarios one after the other.
func (c *runCommand) Run(ctx context.Context, s *cli.Streams) error {
	names := c.Scenarios
	switch {
	case len(names) == 0:
		names = []string{firstRun}
	case len(names) == 1 && names[0] == "all":
		names = scenario.Shipped()
	}
	var files []scenario.File // all are read before the first is played
	for _, name := range names {
		f, err := scenario.Load(name)
		if err != nil {
			return err
		}
		files = append(files, f)
	}
	path, clean, err := relayBinary(ctx, c.Relay, s.Err)
	if err != nil {
		return err
	}
	defer clean()
	worst := exitHeld
	var summary []string
	for _, f := range files {
		opts := rehearsal.Options{
			Dir:             folder(c.Out, f.Name),
			Binary:          path,
			Seed:            c.Seed,
			Port:            c.Port,
			RecordDecisions: c.Record || c.KeepAll,
		}
		if !c.Quiet {
			fmt.Fprintf(s.Err, "%s: %s\n", f.Name, f.Description)
			opts.Progress = func(p rehearsal.Progress) { progress(s.Err, p) }
		}
		r, err := rehearsal.Run(ctx, f, opts)
		if !c.Quiet {
			fmt.Fprintln(s.Err)
		}
		if err != nil {
			if len(r.Events) > 0 {
				err = fmt.Errorf("%w\nwhat was seen until then is kept in %s", err, opts.Dir)
			}
			return err
		}
		if err := tell(s.Out, opts.Dir, r); err != nil {
			return err
		}
		if opts.RecordDecisions {
			if err := c.recordings(s.Out, opts.Dir, r); err != nil {
				return err
			}
		}
		worst = max(worst, status(r.Verdict))
		summary = append(summary, fmt.Sprintf("%-18s %s", f.Name, report.Summary(r.Verdict)))
	}
	if len(files) > 1 {
		fmt.Fprintf(s.Out, "\n%s\n", strings.Join(summary, "\n"))
	}
	return exit(worst)
}

// recordings keeps what the relays recorded if a rule was broken, and clears it away if not.
func (c *runCommand) recordings(out io.Writer, dir string, r rehearsal.Result) error {
	if c.KeepAll || status(r.Verdict) == exitBroken {
		fmt.Fprintf(out, "recordings: %s\n", filepath.Join(dir, "*", rehearsal.RecordingsName))
		return nil
	}
	found, err := filepath.Glob(filepath.Join(dir, "*", rehearsal.RecordingsName))
	for _, path := range found {
		err = errors.Join(err, os.RemoveAll(path))
	}
	return err
}

// exit ends the program with a status that tells of rules.
func exit(status int) error {
	if status == exitHeld {
		return nil
	}
	return cli.Exit(status)
}

func status(v checker.Result) int {
	return map[checker.State]int{checker.Held: exitHeld, checker.Violated: exitBroken, checker.Inconclusive: exitNotJudged}[v.State()]
}

// progress shows how a run goes, on one line.
func progress(w io.Writer, p rehearsal.Progress) {
	const width = 30
	done := min(width, int(width*p.Elapsed/max(1, p.Length)))
	on := strings.Join(p.ActiveFaults, " ")
	if p.Settling {
		on = "waiting for the last ends"
	}
	fmt.Fprintf(
		w,
		"\r\x1b[K[%s%s] %3.0fs of %.0fs  %d handed in  %s",
		strings.Repeat("#", done),
		strings.Repeat(".", width-done),
		p.Elapsed.Seconds(),
		p.Length.Seconds(),
		p.Submitted,
		on,
	)
}

// folder names the folder of a run.
func folder(out, name string) string {
	return filepath.Join(out, fmt.Sprintf("%s-%s", name, time.Now().Format("20060102T150405")))
}

// tell writes the report of a run into its folder, and shows it.
func tell(stdout io.Writer, dir string, r rehearsal.Result) error {
	if err := report.Write(dir, r.Header, r.Events, r.Verdict); err != nil {
		return err
	}
	if err := report.Text(stdout, r.Header, r.Events, r.Verdict); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "report: %s\n", filepath.Join(dir, report.PageName))
	return err
}

type reportCommand struct {
	Dir  string `arg:"" help:"The folder of one run."`
	JSON bool   `name:"json" help:"Print the verdict as JSON, and write no files."`
}

func (c *reportCommand) Run(s *cli.Streams) error {
	r, err := rehearsal.ReadRecord(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		err = report.JSON(s.Out, r.Header, r.Verdict)
	} else {
		err = tell(s.Out, c.Dir, r)
	}
	if err != nil {
		return err
	}
	return exit(status(r.Verdict))
}

// relayBinary finds the relay's program, or builds it. clean removes what was built.
func relayBinary(ctx context.Context, path string, stderr io.Writer) (binary string, clean func(), err error) {
	clean = func() {}
	if path == "" {
		if self, err := os.Executable(); err == nil {
			path = filepath.Join(filepath.Dir(self), "cherrytrestle")
		}
		if _, err := os.Stat(path); err != nil {
			return buildRelay(ctx, stderr)
		}
	}
	if path, err = filepath.Abs(path); err != nil {
		return "", clean, fmt.Errorf("relay: %w", err)
	}
	if info, err := os.Stat(path); err != nil {
		return "", clean, fmt.Errorf("relay: %w", err)
	} else if info.IsDir() || info.Mode()&0o111 == 0 {
		return "", clean, fmt.Errorf("relay: %s is no program", path)
	}
	return path, clean, nil
}

// buildRelay builds the relay from the module in this folder, as after "go run".
func buildRelay(ctx context.Context, stderr io.Writer) (string, func(), error) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return "", func() {}, fmt.Errorf("relay: %w", err)
	}
	clean := func() { os.RemoveAll(dir) }
	path := filepath.Join(dir, "cherrytrestle")
	build := exec.CommandContext(
		ctx,
		"go",
		"build",
		"-buildvcs=false",
		"-o",
		path,
		"cherrytrestle.example/cherrytrestle/cmd/cherrytrestle",
	)
	build.Stdout, build.Stderr = stderr, stderr
	if err := build.Run(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf(
			"no relay beside this program, and none could be built here: %w (name one with --relay)",
			err,
		)
	}
	return path, clean, nil
}
