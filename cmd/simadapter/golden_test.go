package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestGoldenSession pins the replies to a session that contains every type of line that the simulator sends.
func TestGoldenSession(t *testing.T) {
	in, err := os.ReadFile(filepath.Join("testdata", "golden", "session.in.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "session.out.txt", out.String())
	for _, name := range []string{"SUBMIT_TO", "REJECT", "SURRENDER", "WAKE_AT", "HANG_UP", "STREAM_CHANGES", "YIELD"} {
		if !strings.Contains("\n"+out.String(), "\n"+name+" ") {
			t.Errorf("the replies contain no %s line", name)
		}
	}
}

// TestGoldenHelp pins the help text.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "100") // the width at which the golden file is wrapped
	var stdout, stderr bytes.Buffer
	streams := cli.Streams{Out: &stdout, Err: &stderr}
	status := cli.Run(t.Context(), name, description, &app{}, []string{"--help"}, streams, cli.Failed)
	if status != 0 {
		t.Errorf("status %d", status)
	}
	golden.Compare(t, *update, "help.txt", stdout.String()+stderr.String())
}
