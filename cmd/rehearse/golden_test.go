package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares text with the golden file of a name; with -update it writes the file.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got\n%s\nwant\n%s", path, got, want)
	}
}

// TestGoldenHelp pins the help of each command: its flags, their defaults and the names of environment variables.
func TestGoldenHelp(t *testing.T) {
	t.Setenv("COLUMNS", "100") // the width that the help is written for
	var all strings.Builder
	for _, args := range []string{"", "run", "list", "report", "plan"} {
		var stdout, stderr bytes.Buffer
		line := strings.TrimSpace(args + " --help")
		status := command(t.Context(), strings.Fields(line), &stdout, &stderr)
		all.WriteString("$ rehearse " + line + "\n" + stdout.String() + stderr.String())
		if status != 0 {
			t.Errorf("rehearse %s: status %d", line, status)
		}
	}
	golden(t, "help.txt", all.String())
}
