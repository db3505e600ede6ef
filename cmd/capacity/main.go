// Command capacity tells what a fleet of the size to design for asks of each of its parts (docs/CAPACITY.md).
//
//	capacity [measure] [flags]   measures what things cost at three sizes or more, keeps it as data, and writes the page's tables
//	capacity tables [flags]      writes the same tables again from the data, or checks that the page holds them
//
// It starts relays and stand-ins on loopback. It exits with 0 if all went well, 1 if a check or the command itself
// failed.
package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := command(ctx, os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(status)
}

func command(ctx context.Context, args []string, s cli.Streams) int {
	return cli.Run(
		ctx,
		"capacity",
		"Tells what a fleet of the size to design for asks of each of its parts.",
		&app{},
		args,
		s,
		cli.Failed,
	)
}

type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`
	Measure measureCommand   `cmd:"" default:"withargs" help:"Measure, keep the data and write the tables (the default)."`
	Tables  tablesCommand    `cmd:"" help:"Write the tables from the data, or check them."`
}

// files are where the data and the page are.
type files struct {
	Data string `help:"What was measured." default:"docs/capacity.json" placeholder:"FILE"`
	Page string `help:"The page with the tables." default:"docs/CAPACITY.md" placeholder:"FILE"`
}

func (f files) load() (capacity.Data, error) {
	data, err := os.ReadFile(f.Data)
	if errors.Is(err, fs.ErrNotExist) {
		return capacity.Data{}, nil
	} else if err != nil {
		return capacity.Data{}, err
	}
	d, err := capacity.Parse(data)
	if err != nil {
		return capacity.Data{}, fmt.Errorf("%s: %w", f.Data, err)
	}
	return d, nil
}

// page is the page as it stands and as the data has it.
func (f files) page(d capacity.Data) (is, want string, err error) {
	data, err := os.ReadFile(f.Page)
	if err != nil {
		return "", "", err
	}
	sections, err := capacity.Sections(capacity.Design(), d)
	if err != nil {
		return "", "", err
	}
	want, err = capacity.Fill(string(data), sections)
	return string(data), want, err
}

type tablesCommand struct {
	files
	Check bool `help:"Write nothing: fail where the page does not hold what the data gives."`
}

// Run writes the tables, or checks them.
func (c *tablesCommand) Run(s *cli.Streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	is, want, err := c.page(d)
	switch {
	case err != nil:
		return err
	case is == want:
		fmt.Fprintf(s.Out, "%s holds what %s gives\n", c.Page, c.Data)
		return nil
	case c.Check:
		return fmt.Errorf("%s does not hold what %s gives: run capacity tables", c.Page, c.Data)
	}
	fmt.Fprintf(s.Out, "wrote %s\n", c.Page)
	return os.WriteFile(c.Page, []byte(want), 0o644)
}

type measureCommand struct {
	files
	Quick   bool     `help:"Smaller sizes: a minute or so, for a look."`
	Program string   `help:"Which program this is: ${enum}." enum:"in force,before" default:"in force"`
	Relay   string   `help:"The relay's program; default: built from this folder." placeholder:"FILE"`
	Commit  string   `help:"Of what is measured; default: this folder's." placeholder:"REV"`
	AtRest  bool     `help:"The program's module is told of the destinations that are awake alone."`
	Only    []string `help:"Only groups that begin so: module, journal, list, relay.list, relay.discovery, relay.load, relay.backlog, fleet." placeholder:"GROUP"`
	Dry     bool     `help:"Show what is measured; keep nothing."`
}

// group is what is measured together.
type group struct {
	name string
	do   func(context.Context, *bench) ([]capacity.Series, error)
}

func groups() []group {
	return []group{
		{"module", moduleSeries},
		{"journal", journalSeries},
		{"list", listSeries},
		{"relay.list", relayListSeries},
		{"relay.discovery", relayDiscoverySeries},
		{"relay.load", relayLoadSeries},
		{"relay.backlog", relayBacklogSeries},
		{"fleet", fleetSeries},
	}
}

// bench is what measurements are made with.
type bench struct {
	quick  bool
	relay  string // the relay's program
	folder string // for what they write
	tell   func(format string, args ...any)
}

// sizes are the full ones, or in the quick form the smaller.
func (b *bench) sizes(quick, full []int) []int {
	if b.quick {
		return quick
	}
	return full
}

// Run measures.
func (c *measureCommand) Run(ctx context.Context, s *cli.Streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	b := &bench{
		quick:  c.Quick,
		relay:  c.Relay,
		folder: folder,
		tell:   func(format string, args ...any) { fmt.Fprintf(s.Err, format+"\n", args...) },
	}
	var chosen []group
	for _, g := range groups() {
		if len(c.Only) == 0 ||
			slices.ContainsFunc(c.Only, func(only string) bool { return strings.HasPrefix(g.name, only) }) {
			chosen = append(chosen, g)
		}
	}
	if len(chosen) == 0 {
		return fmt.Errorf("nothing is measured under %q", c.Only)
	}
	if b.relay == "" && slices.ContainsFunc(chosen, func(g group) bool { return strings.HasPrefix(g.name, "relay.") }) {
		b.relay = filepath.Join(folder, "cherrytrestle")
		build := exec.CommandContext(ctx, "go", "build", "-o", b.relay, "./cmd/cherrytrestle")
		build.Stdout, build.Stderr = s.Err, s.Err
		if err := build.Run(); err != nil {
			return fmt.Errorf("build the relay: %w", err)
		}
	}
	run := capacity.Run{
		Program:    capacity.Program(c.Program),
		Date:       time.Now().UTC().Format(time.DateOnly),
		Commit:     c.Commit,
		Quick:      c.Quick,
		ActiveOnly: c.AtRest,
		Machine:    machine(),
	}
	if run.Commit == "" {
		run.Commit = commit(ctx)
	}
	began := time.Now()
	for _, g := range chosen {
		since := time.Now()
		series, err := g.do(ctx, b)
		if err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		b.tell("%s took %v", g.name, time.Since(since).Round(time.Second))
		run.Series = append(run.Series, series...)
	}
	run.Seconds = time.Since(began).Round(time.Second).Seconds()
	for _, x := range run.Series {
		line := "no line"
		if l, err := capacity.Fit(x); err == nil {
			line = fmt.Sprintf("%.4g + %.4g n, residual %.1f %%", l.Intercept, l.Slope, 100*l.Residual)
		}
		fmt.Fprintf(s.Out, "%-18s %v: %s\n", x.Name, x.Points, line)
	}
	if c.Dry {
		return nil
	}
	d.Add(run)
	data, err := d.Bytes()
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Data, data, 0o644); err != nil {
		return err
	}
	return (&tablesCommand{files: c.files}).Run(s)
}

// commit is that of this folder.
func commit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

func machine() capacity.Machine {
	m := capacity.Machine{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		m.MemoryMB = int(uint64(info.Totalram) * uint64(info.Unit) >> 20)
	}
	return m
}
