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
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/judge"
	"onyxroad.dev/onyxroad/internal/rehearsal"
	"onyxroad.dev/onyxroad/internal/report"
	"onyxroad.dev/onyxroad/internal/scenario"
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

// command runs a command line and returns the exit status.
func command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	name := "run"
	if len(args) > 0 {
		name, args = args[0], args[1:]
	}
	var status int
	var err error
	switch name {
	case "list":
		err = list(stdout)
	case "run":
		status, err = run(ctx, args, stdout, stderr)
	case "report":
		status, err = show(args, stdout, stderr)
	case "plan":
		err = plan(args, stdout, stderr)
	case "help", "-h", "-help", "--help":
		fmt.Fprint(stdout, usage)
	default:
		err = fmt.Errorf("unknown command %q\n%s", name, usage)
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitHeld
	case err != nil:
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitFailed
	}
	return status
}

const usage = `usage: rehearse                        play the small first run
       rehearse list                   list the scenarios that come with it
       rehearse run [flags] NAME|FILE  play a scenario, or each of several; all: every one that comes with it
       rehearse report [flags] DIR     judge and show again what a run recorded
       rehearse plan [flags] NAME|FILE print the plan of a scenario's events
`

func list(w io.Writer) error {
	for _, name := range scenario.Shipped() {
		f, err := scenario.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%-18s %4v  %s\n", name, f.Length.D(), f.About)
	}
	return nil
}

func newFlags(name string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet("rehearse "+name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return fs
}

func plan(args []string, stdout, stderr io.Writer) error {
	fs := newFlags("plan", stderr)
	seed := fs.Uint64("seed", 0, "seed of the plan; 0: the scenario's own")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if fs.NArg() != 1 {
		return errors.New("plan takes one scenario")
	}
	f, err := scenario.Load(fs.Arg(0))
	if err != nil {
		return err
	}
	_, err = f.Draw(*seed).WriteTo(stdout)
	return err
}

// run plays scenarios one after the other.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (int, error) {
	fs := newFlags("run", stderr)
	seed := fs.Uint64("seed", 0, "seed of the plan; 0: the scenario's own")
	binary := fs.String("relay", "", "the relay's program; default: cherrytrestle beside this one, else built from this folder")
	out := fs.String("out", "rehearsals", "folder in which each run gets one of its own")
	port := fs.Int("port", 0, "port of the first relay, the others come after it; 0: any that are free")
	quiet := fs.Bool("quiet", false, "show no progress")
	if err := fs.Parse(args); err != nil {
		return 0, err
	}
	names := fs.Args()
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
			return 0, err
		}
		files = append(files, f)
	}
	path, clean, err := relayBinary(ctx, *binary, stderr)
	if err != nil {
		return 0, err
	}
	defer clean()
	worst := exitHeld
	var summary []string
	for _, f := range files {
		opts := rehearsal.Options{Dir: folder(*out, f.Name), Binary: path, Seed: *seed, Port: *port}
		if !*quiet {
			fmt.Fprintf(stderr, "%s: %s\n", f.Name, f.About)
			opts.Progress = func(p rehearsal.Progress) { progress(stderr, p) }
		}
		r, err := rehearsal.Run(ctx, f, opts)
		if !*quiet {
			fmt.Fprintln(stderr)
		}
		if err != nil {
			if len(r.Events) > 0 {
				err = fmt.Errorf("%w\nwhat was seen until then is kept in %s", err, opts.Dir)
			}
			return 0, err
		}
		if err := tell(stdout, opts.Dir, r); err != nil {
			return 0, err
		}
		worst = max(worst, status(r.Verdict))
		summary = append(summary, fmt.Sprintf("%-18s %s", f.Name, report.Summary(r.Verdict)))
	}
	if len(files) > 1 {
		fmt.Fprintf(stdout, "\n%s\n", strings.Join(summary, "\n"))
	}
	return worst, nil
}

func status(v judge.Verdict) int {
	for _, f := range v.Findings {
		if f.State == judge.Broken {
			return exitBroken
		}
	}
	switch {
	case len(v.Faults) > 0:
		return exitBroken
	case !v.OK():
		return exitNotJudged
	}
	return exitHeld
}

// progress shows how a run goes, on one line.
func progress(w io.Writer, p rehearsal.Progress) {
	const width = 30
	done := min(width, int(width*p.At/max(1, p.Length)))
	on := strings.Join(p.Troubles, " ")
	if p.Settling {
		on = "waiting for the last ends"
	}
	fmt.Fprintf(w, "\r\x1b[K[%s%s] %3.0fs of %.0fs  %d handed in  %s", strings.Repeat("#", done), strings.Repeat(".", width-done),
		p.At.Seconds(), p.Length.Seconds(), p.HandedIn, on)
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

func show(args []string, stdout, stderr io.Writer) (int, error) {
	fs := newFlags("report", stderr)
	asJSON := fs.Bool("json", false, "print the verdict as JSON, and write no files")
	if err := fs.Parse(args); err != nil {
		return 0, err
	}
	if fs.NArg() != 1 {
		return 0, errors.New("report takes the folder of one run")
	}
	r, err := rehearsal.ReadRecord(fs.Arg(0))
	if err != nil {
		return 0, err
	}
	if *asJSON {
		return status(r.Verdict), report.JSON(stdout, r.Header, r.Verdict)
	}
	return status(r.Verdict), tell(stdout, fs.Arg(0), r)
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
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "onyxroad.dev/onyxroad/cmd/cherrytrestle")
	build.Stdout, build.Stderr = stderr, stderr
	if err := build.Run(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("no relay beside this program, and none could be built here: %w (name one with -relay)", err)
	}
	return path, clean, nil
}
