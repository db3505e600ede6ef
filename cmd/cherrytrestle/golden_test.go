package main

import (
	"context"
	"flag"
	"io"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenHelp pins the help of each command: its flags, their defaults and their environment variables.
func TestGoldenHelp(t *testing.T) {
	commandLines := []string{
		"", "serve", "replay", "explain", "fleet", "fleet count", "fleet status",
		"recording", "recording info", "recording extract",
		"journal", "journal inspect", "journal verify", "journal dump",
	}
	run := func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		streams := cli.Streams{Out: stdout, Err: stderr}
		return cli.Run(ctx, "cherrytrestle", "A relay for outbound messages.", &commands{}, args, streams, cli.Failed)
	}
	golden.CheckHelp(t, *update, "cherrytrestle", commandLines, run)
}
