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

func do(t *testing.T, args ...string) (status int, out string) {
	t.Helper()
	var all bytes.Buffer
	status = command(t.Context(), args, cli.Streams{Out: &all, Err: &all})
	return status, all.String()
}

// The command measures a part, keeps it, and writes a page that then passes its check; a page that is changed by hand
// fails it.
func TestCommands(t *testing.T) {
	folder := t.TempDir()
	data, page := filepath.Join(folder, "capacity.json"), filepath.Join(folder, "CAPACITY.md")
	whole, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(page, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	at := []string{"--data", data, "--page", page}
	for _, c := range []struct {
		args   string
		status int
		says   string
	}{
		{"tables", cli.Failed, "nothing was measured"},
		{"--quick --only list --dry", cli.OK, "list.whole"},
		{"tables", cli.Failed, "nothing was measured"},
		{"--only nothing", cli.Failed, "nothing is measured"},
		{"--program other", cli.Usage, "program"},
		{"--quick --only list,journal --commit abc", cli.OK, "wrote"},
		{"tables --check", cli.OK, "holds what"},
	} {
		if status, out := do(t, append(strings.Fields(c.args), at...)...); status != c.status ||
			!strings.Contains(out, c.says) {
			t.Errorf("capacity %s: status %d, want %d and %q:\n%s", c.args, status, c.status, c.says, out)
		}
	}
	made, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(made), "commit abc") {
		t.Error("the page does not name what was measured")
	}
	spoilt := strings.Replace(string(made), "`journal.disk`", "`journal.dust`", 1)
	if err := os.WriteFile(page, []byte(spoilt), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out := do(t, append([]string{"tables", "--check"}, at...)...); status != cli.Failed ||
		!strings.Contains(out, "does not hold") {
		t.Errorf("a page changed by hand passes: %d, %s", status, out)
	}
}

// What the parts that need no relay measure is plausible, and falls where it should not.
func TestInside(t *testing.T) {
	b := &bench{quick: true, folder: t.TempDir(), tell: t.Logf}
	for _, g := range groups()[:3] {
		series, err := g.do(t.Context(), b)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range series {
			if len(s.Points) < 3 {
				t.Errorf("%s has %d sizes", s.Name, len(s.Points))
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
	}
}

// The bounds of what relays share are found: all of so many, and not all of more.
func TestBounds(t *testing.T) {
	for n, want := range map[int]int{16: 16, 256: 256, 300: 256} {
		if got := toldOf(n); got != want {
			t.Errorf("of %d destinations a member tells of %d, want %d", n, got, want)
		}
	}
	for n, want := range map[int]int{16: 16, 1024: 1024, 1100: 1024} {
		if got := lentOf(n); got != want {
			t.Errorf("of %d limits %d are lent, want %d", n, got, want)
		}
	}
}

func TestReadHollow(t *testing.T) {
	line := func(what, n, values string) string {
		return `{"what":"` + what + `","n":` + n + `,"values":{` + values + `}}` + "\n"
	}
	const values = `"sent_bytes_per_s":10,"processor_ms_per_s":5,"memory_bytes":7,"sent_datagrams_per_s":3,"known_all_s":2`
	good := line(
		busyPages,
		"300",
		values,
	) + line(
		atRest,
		"1",
		values,
	) + line(
		busyPages,
		"100",
		values,
	) + line(
		manyRights,
		"100",
		values,
	)
	series, err := readHollow([]byte(good), "")
	if err != nil || len(series) != len(hollowValues) {
		t.Fatal(series, err)
	}
	if p := series[1].Points; series[1].Name != capacity.FleetCores || len(p) != 2 || p[0].Size != 100 || p[1].Size != 300 ||
		p[0].Value != 0.005 {
		t.Errorf("%+v", series[1])
	}
	for _, bad := range []string{"", "{", line(busyPages, "100", values)} {
		if s, err := readHollow([]byte(bad), ""); err == nil {
			t.Errorf("%q gives %v", bad, s)
		}
	}
}
