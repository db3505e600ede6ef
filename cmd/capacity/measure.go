package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/cli"
)

type measureCommand struct {
	files
	Quick          bool   `help:"Smaller sizes: a minute or so, for a look."`
	Program        string `help:"Which program this is: ${enum}." enum:"in force,before" default:"in force"`
	Relay          string `help:"The relay's program; default: built from this folder." placeholder:"FILE"`
	Commit         string `help:"Of what is measured; default: this folder's." placeholder:"REV"`
	AtRest         bool   `help:"The program's module is told of the destinations that are awake alone."`
	groupSelection `set:"groups=module, journal, list, relay.list, relay.discovery, relay.load, relay.backlog, fleet"`
	Dry            bool `help:"Show what is measured; keep nothing."`
}

// groupSelection selects groups by the beginnings of their names. None selects all.
type groupSelection struct {
	Only []string `help:"Only groups that begin so: ${groups}." placeholder:"GROUP"`
}

func (s groupSelection) groups() (selected []group) {
	for _, g := range groups() {
		isSelected := func(prefix string) bool { return strings.HasPrefix(g.name, prefix) }
		if len(s.Only) == 0 || slices.ContainsFunc(s.Only, isSelected) {
			selected = append(selected, g)
		}
	}
	return selected
}

const (
	// relayPrefix begins the names of groups that need the relay's program.
	relayPrefix = "relay."
	// relayPackage is built for them.
	relayPackage = "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle"
)

// group is series that are measured together.
type group struct {
	name    string
	measure func(context.Context, *bench) ([]capacity.Series, error)
}

func groups() []group {
	return []group{
		{"module", measureEngine},
		{"journal", measureJournal},
		{"list", measureSnapshot},
		{"relay.list", measureRelayList},
		{"relay.discovery", measureRelayDiscovery},
		{"relay.load", measureRelayLoad},
		{"relay.backlog", measureRelayBacklog},
		{"fleet", measureFleet},
	}
}

// bench is what measurements are made with.
type bench struct {
	quick  bool
	relay  string // the relay's program
	folder string // for files of the measurements
	log    io.Writer
}

// sizes returns the sizes of a series.
func (b *bench) sizes(quick, full []int) []int {
	if b.quick {
		return quick
	}
	return full
}

func (b *bench) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.log, format+"\n", args...) // There is nowhere else to report it.
}

// Run measures, and stores the result unless the run is dry.
func (c *measureCommand) Run(ctx context.Context, s *cli.Streams) (err error) {
	data, err := c.load()
	if err != nil {
		return err
	}
	selected := c.groups()
	if len(selected) == 0 {
		return fmt.Errorf("nothing is measured under %q", c.Only)
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	b := &bench{quick: c.Quick, relay: c.Relay, folder: folder, log: s.Err}
	needsRelay := func(g group) bool { return strings.HasPrefix(g.name, relayPrefix) }
	if b.relay == "" && slices.ContainsFunc(selected, needsRelay) {
		if err := b.buildRelay(ctx); err != nil {
			return err
		}
	}
	run, err := c.measure(ctx, b, selected)
	if err != nil {
		return err
	}
	if err := printModels(s.Out, run); err != nil || c.Dry {
		return err
	}
	return c.store(data, run, s)
}

func (b *bench) buildRelay(ctx context.Context) error {
	b.relay = filepath.Join(b.folder, "cherrytrestle")
	build := exec.CommandContext(ctx, "go", "build", "-o", b.relay, relayPackage)
	build.Stdout, build.Stderr = b.log, b.log
	if err := build.Run(); err != nil {
		return fmt.Errorf("build the relay: %w", err)
	}
	return nil
}

func (c *measureCommand) measure(ctx context.Context, b *bench, selected []group) (capacity.Run, error) {
	run := capacity.Run{
		Program:    capacity.Program(c.Program),
		Date:       time.Now().UTC().Format(time.DateOnly),
		Commit:     c.Commit,
		Quick:      c.Quick,
		ActiveOnly: c.AtRest,
		Machine:    machine(),
	}
	if run.Commit == "" {
		run.Commit = currentCommit(ctx)
	}
	began := time.Now()
	for _, g := range selected {
		groupBegan := time.Now()
		measured, err := g.measure(ctx, b)
		if err != nil {
			return capacity.Run{}, fmt.Errorf("%s: %w", g.name, err)
		}
		b.logf("%s took %v", g.name, time.Since(groupBegan).Round(time.Second))
		run.Series = append(run.Series, measured...)
	}
	run.Seconds = time.Since(began).Round(time.Second).Seconds()
	return run, nil
}

func printModels(out io.Writer, run capacity.Run) error {
	printer := cli.NewPrinter(out)
	for _, s := range run.Series {
		line := "no line"
		if m, err := capacity.Fit(s); err == nil {
			line = fmt.Sprintf("%.4g + %.4g n, residual %.1f %%", m.Intercept, m.Slope, 100*m.Residual)
		}
		printer.Printf("%-18s %v: %s\n", s.Name, s.Points, line)
	}
	return printer.Err()
}

// store adds the run to the stored measurements, and writes the page.
func (c *measureCommand) store(data capacity.Data, run capacity.Run, s *cli.Streams) error {
	data.Add(run)
	text, err := data.Bytes()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Data, text, 0o644); err != nil {
		return err
	}
	return (&tablesCommand{files: c.files}).Run(s)
}

// currentCommit returns that of the working directory.
func currentCommit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// machine describes the computer that measures. Its memory is 0 if the kernel does not tell it.
func machine() capacity.Machine {
	m := capacity.Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	return m
}
