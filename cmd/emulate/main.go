// Command emulate plays scenarios in virtual time, experiments on them, and decision modules through all orders of
// events.
//
//	emulate run [flags] NAME|FILE        plays a scenario and judges it
//	emulate experiment [flags] FILE      plays an experiment's runs, and goes on with one that was cut off
//	emulate compare [flags] FILE [FILE]  tells the differences between two values of a factor, or two builds
//	emulate report [flags] FILE          one page with plots of an experiment's results
//	emulate hunt [flags] NAME|FILE       searches for troubles that break a rule or cost most, and shrinks them
//	emulate check [flags]                plays tiny worlds through all orders of events, up to a bound
//	emulate power [flags]                which scenarios and worlds tell a broken relay from a sound one
//	emulate scale [flags]                how service and cost go with the number of relays
//	emulate faults [flags] FAULT         what a fault costs in a large world, and when all relays know
//
// It exits with 0 if all went well and no rule was broken, 1 if one was, 2 if the command itself failed, 3 if a judged
// run proves nothing.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitFailed
	exitNotJudged
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	os.Exit(command(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

type app struct {
	Version    kong.VersionFlag  `help:"Print the version and end."`
	Run        runCommand        `cmd:"" help:"Play a scenario in virtual time and judge it."`
	Experiment experimentCommand `cmd:"" help:"Play the runs of an experiment; go on with one that was cut off."`
	Compare    compareCommand    `cmd:"" help:"Tell the differences between two values of a factor, or between two builds."`
	Report     reportCommand     `cmd:"" help:"One page with plots of an experiment's results."`
	Hunt       huntCommand       `cmd:"" help:"Search for troubles that break a rule or cost most, and shrink what is found."`
	Check      checkCommand      `cmd:"" help:"Play tiny worlds through all orders of events, up to a bound."`
	Power      powerCommand      `cmd:"" help:"Tell which scenarios and worlds convict which broken relays."`
	Scale      scaleCommand      `cmd:"" help:"Tell how service and cost go with the number of relays."`
	Faults     faultsCommand     `cmd:"" help:"Play a fault in a large world, and measure what it costs."`
}

func command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(
		ctx,
		"emulate",
		"Plays scenarios in virtual time, experiments on them, and decision modules through all orders of events.",
		&app{},
		args,
		cli.Streams{Out: stdout, Err: stderr},
		exitFailed,
	)
}

func load(name string) (scenario.File, error) {
	return scenario.LoadWithin(name, scenario.EmulatorBounds)
}

func exit(status int) error {
	if status == exitHeld {
		return nil
	}
	return cli.Exit(status)
}

// mutant is the broken relay that a flag names.
func mutant(name string) (*emulate.Mutant, error) {
	if name == "" {
		return nil, nil
	}
	m := emulate.FindMutant(name)
	if m == nil {
		var all []string
		for _, x := range emulate.Mutants() {
			all = append(all, x.Name)
		}
		return nil, fmt.Errorf("no mutant %q: one of %s", name, strings.Join(all, ", "))
	}
	return m, nil
}

type runCommand struct {
	Scenario string `arg:"" help:"A scenario that comes with the rehearsal kit, or a file."`
	Seed     uint64 `help:"Seed of the plan; 0: the scenario's own."`
	Mutant   string `help:"Play it with a relay that has this wrong about it." placeholder:"NAME"`
	Out      string `help:"Folder for the report, with its plots; default: none is written." placeholder:"DIR"`
}

// Run plays a scenario.
func (c *runCommand) Run(s *cli.Streams) error {
	f, err := load(c.Scenario)
	if err != nil {
		return err
	}
	wrong, err := mutant(c.Mutant)
	if err != nil {
		return err
	}
	w, err := emulate.New(f.Draw(c.Seed), emulate.Options{Record: true, Mutant: wrong})
	if err != nil {
		return err
	}
	began := time.Now()
	if err := w.Play(); err != nil {
		return err
	}
	took := time.Since(began)
	h, events := w.Result()
	v := checker.Check(h, events)
	if err := report.Text(s.Out, h, events, v); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "played in %v: %d events, %d steps of modules\n", took.Round(time.Millisecond), w.EventCount(), w.Steps)
	if c.Out != "" {
		if err := os.MkdirAll(c.Out, 0o700); err != nil {
			return err
		}
		if err := report.Write(c.Out, h, events, v); err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "report: %s\n", filepath.Join(c.Out, report.PageName))
	}
	return exit(status(v))
}

func status(v checker.Result) int {
	return map[checker.State]int{checker.Held: exitHeld, checker.Violated: exitBroken, checker.Inconclusive: exitNotJudged}[v.State()]
}

// revision names the decisions that results were had with.
func revision() string { return policy.Revision() }

type experimentCommand struct {
	File    string `arg:"" help:"The experiment's file." type:"existingfile"`
	Out     string `help:"File of the results, one JSON object a line; one that holds some already is gone on with. Default: the file's name with .jsonl." placeholder:"FILE"`
	Workers int    `help:"Runs at a time; 0: one for each core."`
	Quiet   bool   `help:"Show no progress." short:"q"`
}

func parsePlan(path string) (experiment.Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return experiment.Plan{}, err
	}
	return experiment.Parse(path, data, func(name string) (scenario.File, error) {
		if strings.HasSuffix(name, ".toml") && !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		return load(name)
	})
}

// Run plays what of the experiment is not done yet.
func (c *experimentCommand) Run(ctx context.Context, s *cli.Streams) error {
	p, err := parsePlan(c.File)
	if err != nil {
		return err
	}
	if c.Out == "" {
		c.Out = strings.TrimSuffix(c.File, filepath.Ext(c.File)) + ".jsonl"
	}
	out, err := os.OpenFile(c.Out, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	had, err := experiment.ReadResults(out)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Out, err)
	}
	if err := dropTorn(out); err != nil {
		return err
	}
	progress := func(done, of int, r experiment.Result) {
		if !c.Quiet {
			fmt.Fprintf(
				s.Err,
				"\r\x1b[K%d of %d  %s seed=%d  service %.3f",
				done,
				of,
				experiment.Cell{Levels: r.Cell}.Name(),
				r.Seed,
				r.Measures["service"],
			)
		}
	}
	n, err := p.PlayAll(ctx, out, experiment.PlayOptions{
		Revision: revision(), Previous: had, Workers: c.Workers, Progress: progress,
	})
	if !c.Quiet {
		fmt.Fprintln(s.Err)
	}
	if errors.Is(err, context.Canceled) {
		fmt.Fprintf(s.Err, "cut off after %d more runs, which are kept in %s: the same command goes on\n", n, c.Out)
		return cli.Exit(exitFailed)
	}
	if err != nil {
		return err
	}
	if _, err := out.Seek(0, io.SeekStart); err != nil {
		return err
	}
	all, err := experiment.ReadResults(out)
	if err != nil {
		return err
	}
	return tellCells(s.Out, all)
}

// dropTorn cuts a torn last line off, so that what is written next stands on lines of its own.
func dropTorn(f *os.File) error {
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	buf := make([]byte, 1)
	for ; size > 0; size-- {
		if _, err := f.ReadAt(buf, size-1); err != nil {
			return err
		}
		if buf[0] == '\n' {
			break
		}
	}
	if err := f.Truncate(size); err != nil {
		return err
	}
	_, err = f.Seek(size, io.SeekStart)
	return err
}

func tellCells(out io.Writer, all []experiment.Result) error {
	fmt.Fprintf(
		out,
		"%-44s %5s  %-25s %-10s %-8s %-8s %-8s %s\n",
		"cell",
		"runs",
		"service (95 %)",
		"worst 10 s",
		"p99 s",
		"refused",
		"calls",
		"fell, broken",
	)
	for _, c := range experiment.Cells(all) {
		mean := func(m string) float64 {
			x, _, _ := experiment.Interval(c.Values(m), experiment.Confidence)
			return x
		}
		x, low, high := experiment.Interval(c.Values("service"), experiment.Confidence)
		fmt.Fprintf(
			out,
			"%-44s %5d  %.4f [%.4f, %.4f]   %.4f     %-8.3f %-8.4f %-8.3f %g, %g\n",
			c.Name(),
			len(c.Values("service")),
			x,
			low,
			high,
			mean("worst_10s"),
			mean("late_p99"),
			mean("refused"),
			mean("calls"),
			mean("fell"),
			mean("broken"),
		)
		for _, r := range c.Results {
			if r.Error != "" {
				fmt.Fprintf(out, "  seed %d: %s\n", r.Seed, r.Error)
			}
		}
	}
	return nil
}

type compareCommand struct {
	Files      []string `arg:"" help:"Results of an experiment; two files of one experiment are two builds." type:"existingfile"`
	Factor     string   `help:"The factor of which two values are compared (one file)." placeholder:"PATH"`
	A          string   `help:"Its one value."`
	B          string   `help:"Its other value."`
	Confidence float64  `help:"Of the intervals." default:"0.95"`
}

// Run compares.
func (c *compareCommand) Run(s *cli.Streams) error {
	if c.Confidence <= 0 || c.Confidence >= 1 {
		return fmt.Errorf("--confidence must be between 0 and 1")
	}
	read := func(path string) ([]experiment.Result, error) {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return experiment.ReadResults(f)
	}
	var a, b []experiment.Result
	key := func(r experiment.Result) string { return experiment.Run{Cell: r.Cell, Seed: r.Seed}.Key() }
	switch {
	case len(c.Files) == 2 && c.Factor == "":
		var errA, errB error
		a, errA = read(c.Files[0])
		b, errB = read(c.Files[1])
		if err := errors.Join(errA, errB); err != nil {
			return err
		}
		if len(a) > 0 && len(b) > 0 && a[0].Plan != b[0].Plan {
			return fmt.Errorf("the results are of two experiments, %s and %s", a[0].Plan, b[0].Plan)
		}
	case len(c.Files) == 1 && c.Factor != "" && c.A != "" && c.B != "":
		all, err := read(c.Files[0])
		if err != nil {
			return err
		}
		a, b, key = experiment.WithLevel(
			all,
			c.Factor,
			c.A,
		), experiment.WithLevel(
			all,
			c.Factor,
			c.B,
		), experiment.KeyWithoutFactor(
			c.Factor,
		)
	default:
		return fmt.Errorf("give two files, or one with --factor, --a and --b")
	}
	diffs := experiment.Compare(a, b, key, c.Confidence)
	if len(diffs) == 0 {
		return fmt.Errorf("no two results differ in nothing else: nothing can be compared")
	}
	fmt.Fprintf(s.Out, "%-13s a       b       b - a    interval of %g\n", "measure", c.Confidence)
	for _, d := range diffs {
		fmt.Fprintln(s.Out, d)
	}
	return nil
}

type reportCommand struct {
	File string `arg:"" help:"Results of an experiment." type:"existingfile"`
	Out  string `help:"The page." default:"experiment.html" placeholder:"FILE"`
}

// Run writes the page.
func (c *reportCommand) Run(s *cli.Streams) error {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer f.Close()
	all, err := experiment.ReadResults(f)
	if err != nil {
		return err
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	if err := errors.Join(experiment.WritePage(out, filepath.Base(c.File), all), out.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, "page: %s\n", c.Out)
	return err
}
