package main

import (
	"bytes"
	"flag"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenHelp pins the help of each command: its flags, their defaults and the names of environment variables.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "100") // the width that the help is written for
	var all strings.Builder
	for _, args := range []string{
		"", "serve", "replay", "explain", "fleet", "fleet count", "fleet status",
		"recording", "recording info", "recording extract",
		"journal", "journal inspect", "journal verify", "journal dump",
	} {
		var stdout, stderr bytes.Buffer
		line := strings.TrimSpace(args + " --help")
		status := cli.Run(
			t.Context(),
			"cherrytrestle",
			"A relay for outbound messages.",
			&commands{},
			strings.Fields(line),
			cli.Streams{Out: &stdout, Err: &stderr},
			cli.Failed,
		)
		all.WriteString("$ cherrytrestle " + line + "\n" + stdout.String() + stderr.String())
		if status != 0 {
			t.Errorf("cherrytrestle %s: status %d", line, status)
		}
	}
	golden.Compare(t, *update, "help.txt", all.String())
}
