package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/cli"
)

func runCommand(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	var all bytes.Buffer
	status = command(t.Context(), args, cli.Streams{Out: &all, Err: &all})
	return status, all.String()
}

// The command measures selected groups, stores the measurements, and writes a page that then passes the check. A page
// that was edited fails the check.
func TestCommands(t *testing.T) {
	folder := t.TempDir()
	data, page := filepath.Join(folder, "capacity.json"), filepath.Join(folder, "CAPACITY.md")
	published, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(page, published, 0o600); err != nil {
		t.Fatal(err)
	}
	fileFlags := []string{"--data", data, "--page", page}
	for _, c := range []struct {
		args   string
		status int
		text   string
	}{
		{"tables", cli.Failed, "nothing was measured"},
		{"--quick --only list --dry", cli.OK, "list.whole"},
		{"tables", cli.Failed, "nothing was measured"},
		{"--only nothing", cli.Failed, "no group of measurements"},
		{"--program other", cli.Usage, "program"},
		{"--quick --only list,journal --commit abc", cli.OK, "wrote"},
		{"tables --check", cli.OK, "is up to date"},
	} {
		status, out := runCommand(t, append(strings.Fields(c.args), fileFlags...)...)
		if status != c.status || !strings.Contains(out, c.text) {
			t.Errorf("capacity %s: status %d, want %d and %q:\n%s", c.args, status, c.status, c.text, out)
		}
	}
	generated, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(generated), "commit abc") {
		t.Error("the page does not name the measured commit")
	}
	edited := strings.Replace(string(generated), "`journal.disk`", "`journal.dust`", 1)
	if err := os.WriteFile(page, []byte(edited), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out := runCommand(t, append([]string{"tables", "--check"}, fileFlags...)...); status != cli.Failed ||
		!strings.Contains(out, "is not up to date") {
		t.Errorf("check of an edited page: status %d, want a failure that names it:\n%s", status, out)
	}
}

// The groups that need no relay measure plausible values.
func TestGroupsWithoutRelay(t *testing.T) {
	b := &bench{quick: true, folder: t.TempDir(), log: t.Output()}
	for _, g := range groups()[:3] {
		t.Run(g.name, func(t *testing.T) {
			measured, err := g.measure(t.Context(), b)
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range measured {
				checkSeries(t, s)
			}
		})
	}
}

// checkSeries checks that a series has positive values at three sizes or more, and that values in bytes grow with the
// size.
func checkSeries(t *testing.T, s capacity.Series) {
	t.Helper()
	if len(s.Points) < 3 {
		t.Fatalf("%s has %d sizes", s.Name, len(s.Points))
	}
	for _, p := range s.Points {
		if p.Value <= 0 || p.Failed {
			t.Errorf("%s at %g: %+v", s.Name, p.Size, p)
		}
	}
	if s.Unit == capacity.Bytes && s.Points[2].Value <= s.Points[0].Value {
		t.Errorf("%s does not grow: %v", s.Name, s.Points)
	}
}
