package main

import (
	"context"
	"flag"
	"io"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenHelp compares the help of each command with the golden file: flags, their defaults and the names of
// environment variables.
func TestGoldenHelp(t *testing.T) {
	run := func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		return command(ctx, args, cli.Streams{Out: stdout, Err: stderr})
	}
	golden.CheckHelp(t, *update, "capacity", []string{"", "measure", "tables"}, run)
}
