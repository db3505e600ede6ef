// Command emulate plays scenarios in virtual time, experiments on them, and checks the decision engine in all orders of
// events.
//
//	emulate run [flags] NAME|FILE        plays a scenario and checks the rules
//	emulate experiment [flags] FILE      plays an experiment's runs, and resumes one that was cut off
//	emulate compare [flags] FILE [FILE]  compares two values of a factor, or two builds
//	emulate report [flags] FILE          writes a page with charts of an experiment's results
//	emulate hunt [flags] NAME|FILE       searches for faults that violate a rule or cost most, and shrinks them
//	emulate check [flags]                checks small models in all orders of events, up to a bound
//	emulate power [flags]                tells which scenarios and models detect which broken relays
//	emulate scale [flags]                measures service and cost over the number of relays
//	emulate faults [flags] FAULT         measures what a fault costs in a large world, and when all relays know of it
//
// It exits with 0 if all went well and no rule was violated, 1 if one was, 2 if the command itself failed, 3 if a run
// was inconclusive.
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
	// The signals stay caught until the process has exited: one more, in the moment before that, would end it by the
	// signal.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// commands are the command line's commands.
//
//nolint:lll // A struct tag is one line.
type commands struct {
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

// run runs a command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(
		ctx,
		"emulate",
		"Plays scenarios in virtual time, experiments on them, and decision modules through all orders of events.",
		&commands{},
		args,
		cli.Streams{Out: stdout, Err: stderr},
		exitFailed,
	)
}
