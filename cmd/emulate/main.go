// Command emulate plays scenarios and experiments in virtual time, and checks models of relays, with their decision
// engines, in all orders of events.
//
//	emulate run [flags] NAME|FILE        plays a scenario and checks the rules
//	emulate experiment [flags] FILE      plays an experiment's runs, or resumes an interrupted one
//	emulate compare [flags] FILE [FILE]  compares two values of a factor, or two builds
//	emulate report [flags] FILE          writes a page with charts of an experiment's results
//	emulate hunt [flags] NAME|FILE       searches for faults that violate a rule or cost the most service
//	emulate check [flags]                checks small models in all orders of events, up to a bound
//	emulate power [flags]                shows which scenarios and models detect which broken relays
//	emulate scale [flags]                measures service and cost over the number of relays
//	emulate faults [flags] FAULT         measures the cost of a fault, and when all relays have received list changes
//
// The exit status is 0 if no rule was violated, 1 if a rule was violated, 2 if the command itself failed, and 3 if a
// run was inconclusive.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
)

// The exit statuses.
const (
	exitHeld = iota
	exitViolated
	exitFailed
	exitInconclusive
)

func main() {
	// The stop function is not called, so that the signals stay caught until the process exits. Otherwise a second
	// signal shortly before the exit would end the process by the signal, without its exit status.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// commands holds the commands and flags of the command line.
//
//nolint:lll // A struct tag is one line.
type commands struct {
	Version    kong.VersionFlag  `help:"Print the version and exit."`
	Run        runCommand        `cmd:"" help:"Play a scenario in virtual time and check the rules."`
	Experiment experimentCommand `cmd:"" help:"Play the runs of an experiment, or resume an interrupted one."`
	Compare    compareCommand    `cmd:"" help:"Print the differences between two values of a factor, or between two builds."`
	Report     reportCommand     `cmd:"" help:"Write a page with charts of an experiment's results."`
	Hunt       huntCommand       `cmd:"" help:"Search for faults that violate a rule or cost the most service, and shrink the worst scenario found."`
	Check      checkCommand      `cmd:"" help:"Check small models in all orders of events, up to a bound."`
	Power      powerCommand      `cmd:"" help:"Show which scenarios and models detect which broken relays."`
	Scale      scaleCommand      `cmd:"" help:"Measure service and cost over the number of relays."`
	Faults     faultsCommand     `cmd:"" help:"Play a fault in a large simulation, and measure its cost."`
}

// run runs a command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(
		ctx,
		"emulate",
		"Plays scenarios and experiments in virtual time, and checks models of relays in all orders of events.",
		&commands{},
		args,
		cli.Streams{Out: stdout, Err: stderr},
		exitFailed,
	)
}
