// Command capacity computes what a fleet of the design target requires of each of its components (docs/CAPACITY.md).
//
//	capacity [measure] [flags]   measures costs at three sizes or more, stores them, and writes the tables of the page
//	capacity tables [flags]      writes the tables from the stored data, or checks that the page has them
//
// To measure, it starts relays, fake endpoints and fake discovery agents on loopback addresses. The exit status is 0 on
// success and 1 if a check or the command itself failed.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := command(ctx, os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(status)
}

func command(ctx context.Context, args []string, s cli.Streams) int {
	const description = "Computes what a fleet of the design target requires of each of its components."
	return cli.Run(ctx, "capacity", description, &app{}, args, s, cli.Failed)
}

type app struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Measure measureCommand `cmd:"" default:"withargs" help:"Measure, store data, write tables (the default)."`
	Tables  tablesCommand  `cmd:"" help:"Write the tables from the stored data, or check them."`
}
