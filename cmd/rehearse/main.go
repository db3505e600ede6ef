// Command rehearse injects faults of destinations, endpoints and relays into runs of real relay processes on loopback,
// and reports for each of the six rules whether it held.
//
//	rehearse                        runs the small scenario first-run
//	rehearse soak [flags]           plays scenarios that are drawn from seeds, with several faults at once
//	rehearse list                   lists the built-in scenarios
//	rehearse run [flags] NAME|FILE  runs one or several scenarios
//	rehearse report [flags] DIR     checks the record of a run again and prints the report
//	rehearse plan [flags] NAME|FILE prints the plan of a scenario's events
//
// The exit status is 0 only if every rule that was exercised held; 1 if a rule was violated or the run is invalid;
// 2 if the rehearsal itself failed; 3 if the result is inconclusive.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The exit statuses.
const (
	exitHeld = iota
	exitViolated
	exitFailed
	exitInconclusive
)

const about = "Runs scenarios with faults against real relay processes on loopback, " +
	"and reports for each of the six rules whether it held."

func main() {
	// The stop function is not used: the signals stay caught until the process exits. Otherwise a second signal just
	// before the exit would kill the process, and its exit status would be that of the signal.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// commands holds the subcommands of the command line.
type commands struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Run     runCommand       `cmd:"" default:"withargs" help:"Run scenarios, one after the other (the default)."`
	Soak    soakCommand      `cmd:"" help:"Play scenarios that are drawn from seeds, with several faults at once."`
	List    listCommand      `cmd:"" help:"List the built-in scenarios."`
	Report  reportCommand    `cmd:"" help:"Check the record of a run again and print the report."`
	Plan    planCommand      `cmd:"" help:"Print the plan of a scenario's events."`
}

// run runs a command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	streams := cli.Streams{Out: stdout, Err: stderr}
	return cli.Run(ctx, "rehearse", about, &commands{}, args, streams, exitFailed)
}

// exitStatus returns the exit status of a result of the checker.
func exitStatus(result checker.Result) int {
	switch result.State() {
	case checker.Violated:
		return exitViolated
	case checker.Inconclusive:
		return exitInconclusive
	default:
		return exitHeld
	}
}

// exitError returns the error that ends the program with a status; nil for exitHeld.
func exitError(status int) error {
	if status == exitHeld {
		return nil
	}
	return cli.Exit(status)
}

type listCommand struct{}

// Run lists the built-in scenarios.
func (listCommand) Run(streams *cli.Streams) error {
	for _, name := range scenario.Shipped() {
		file, err := scenario.Load(name)
		if err != nil {
			return err
		}
		length := file.Length.AsDuration()
		if _, err := fmt.Fprintf(streams.Out, "%-18s %4v  %s\n", name, length, file.Description); err != nil {
			return err
		}
	}
	return nil
}

type planCommand struct {
	Scenario string `arg:"" help:"A built-in scenario or a scenario file."`
	Seed     uint64 `help:"Seed of the plan; 0: the scenario's seed."`
}

// Run prints the plan of a scenario.
func (c *planCommand) Run(streams *cli.Streams) error {
	file, err := scenario.Load(c.Scenario)
	if err != nil {
		return err
	}
	_, err = file.Draw(c.Seed).WriteTo(streams.Out)
	return err
}
