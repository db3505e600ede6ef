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
	Quick          bool   `help:"Measure smaller sizes, in about a minute."`
	Program        string `help:"Measured program: ${enum}." enum:"in force,before" default:"in force"`
	Relay          string `help:"Binary of the relay; default: built from the working directory." placeholder:"FILE"`
	Commit         string `help:"Measured commit; default: that of the working directory." placeholder:"REV"`
	AtRest         bool   `help:"The measured program's engine knows only active destinations."`
	groupSelection `set:"groups=module, journal, list, relay.list, relay.discovery, relay.load, relay.backlog, fleet"`
	Dry            bool `help:"Print the measurements without storing them."`
}

// groupSelection selects groups by prefixes of their names. Without a prefix it selects all groups.
type groupSelection struct {
	Only []string `help:"Measure only groups with this name prefix: ${groups}." placeholder:"GROUP"`
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
	// relayPrefix is the name prefix of the groups that need the relay's binary.
	relayPrefix = "relay."
	// relayPackage is the package from which the relay's binary is built.
	relayPackage = "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle"
)

// group is a set of series that are measured together.
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

// bench is the environment of the measurements.
type bench struct {
	quick  bool   // measure smaller sizes
	relay  string // path of the relay's binary
	folder string // for temporary files of the measurements
	log    io.Writer
}

// sizes returns the quick or the full sizes of a series, depending on b.quick.
func (b *bench) sizes(quick, full []int) []int {
	if b.quick {
		return quick
	}
	return full
}

func (b *bench) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.log, format+"\n", args...) // There is nowhere else to report a failure to write the log.
}

// Run measures the selected groups and prints the results. Unless the run is dry, it also stores the results and writes
// the page.
func (c *measureCommand) Run(ctx context.Context, s *cli.Streams) (err error) {
	data, err := c.load()
	if err != nil {
		return err
	}
	selected := c.groups()
	if len(selected) == 0 {
		return fmt.Errorf("no group of measurements begins with any of %q", c.Only)
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

// buildRelay builds the relay's binary in b.folder and sets b.relay.
func (b *bench) buildRelay(ctx context.Context) error {
	b.relay = filepath.Join(b.folder, "cherrytrestle")
	build := exec.CommandContext(ctx, "go", "build", "-o", b.relay, relayPackage)
	build.Stdout, build.Stderr = b.log, b.log
	if err := build.Run(); err != nil {
		return fmt.Errorf("build the relay: %w", err)
	}
	return nil
}

// measure measures the selected groups, one after the other.
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

// printModels prints the points of each series and the linear model fitted to them, over size n.
func printModels(out io.Writer, run capacity.Run) error {
	printer := cli.NewPrinter(out)
	for _, s := range run.Series {
		line := "no linear model"
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

// currentCommit returns the commit of the working directory, or "unknown" if git does not report one.
func currentCommit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// machine describes the machine on which the measurements run. Its memory is 0 if the kernel does not report it.
func machine() capacity.Machine {
	m := capacity.Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		m.MemoryMB = int(info.Totalram * uint64(info.Unit) >> 20)
	}
	return m
}
