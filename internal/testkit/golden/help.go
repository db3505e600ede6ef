package golden

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// helpFile is the golden file of a program's help. helpColumns is the terminal width of that help.
const (
	helpFile    = "help.txt"
	helpColumns = "100"
)

// Run runs a command line of a program and returns its exit status.
type Run func(ctx context.Context, args []string, stdout, stderr io.Writer) int

// CheckHelp compares the help of a program's commands with a golden file. The command "" is the program itself. The
// help lists the commands, their flags and defaults, and the names of environment variables.
func CheckHelp(t *testing.T, update bool, program string, commands []string, run Run) {
	t.Helper()
	t.Setenv("COLUMNS", helpColumns)
	var all strings.Builder
	for _, command := range commands {
		var stdout, stderr bytes.Buffer
		line := strings.TrimSpace(command + " --help")
		status := run(t.Context(), strings.Fields(line), &stdout, &stderr)
		all.WriteString("$ " + program + " " + line + "\n" + stdout.String() + stderr.String())
		if status != 0 {
			t.Errorf("%s %s: status %d", program, line, status)
		}
	}
	Compare(t, update, helpFile, all.String())
}
