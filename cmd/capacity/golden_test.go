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
	for _, args := range []string{"", "measure", "tables"} {
		var stdout, stderr bytes.Buffer
		line := strings.TrimSpace(args + " --help")
		status := command(t.Context(), strings.Fields(line), cli.Streams{Out: &stdout, Err: &stderr})
		all.WriteString("$ capacity " + line + "\n" + stdout.String() + stderr.String())
		if status != 0 {
			t.Errorf("capacity %s: status %d", line, status)
		}
	}
	golden.Compare(t, *update, "help.txt", all.String())
}
