package rehearsal

import (
	"context"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The short rig of CI: three relays, of which one is cut off and comes back, one is stopped, and one loses its folder.
// What they believe of each other is what is true.
func TestAShortRigOfThreeRelays(t *testing.T) {
	f := parse(t, "24s", 3, `
[fleet]
enabled = true

[[trouble]]
kind = "link-cut"
at = "2s"
for = "6s"
group = "one"

[[trouble]]
kind = "link-loss"
at = "9s"
for = "4s"
group = "all-but-one"

[[trouble]]
kind = "stall"
at = "10s"
for = "3s"
relays = [2]

[[trouble]]
kind = "kill"
at = "18s"
relays = [3]
folder = "older"
`)
	// What a relay without its folder owes nobody can end: nothing is handed in meanwhile.
	later := f.Traffic[0]
	f.Traffic[0].To, later.From = scenario.Duration(15e9), scenario.Duration(20e9)
	f.Traffic = append(f.Traffic, later)
	dir := t.TempDir()
	r, err := Run(context.Background(), f, Options{Dir: dir, Binary: binary})
	if err != nil {
		t.Fatal(err)
	}
	if v := r.Verdict; !v.OK() || v.PeerViews == nil || v.PeerViews.Queried < 150 || v.PeerViews.Disconnected < 20 {
		t.Errorf("%s: %+v, beliefs %+v", v.State(), v.Rules, v.PeerViews)
	}
	lives := map[string]int{}
	for _, e := range r.Events {
		if e.Kind == eventlog.PeerView {
			lives[e.Name] = max(lives[e.Name], e.Status)
		}
	}
	if lives["r3"] < 2 {
		t.Errorf("lives heard of: %v", lives)
	}
	noneLeft(t, dir)
}

func TestTroublesOfAFleetAreChecked(t *testing.T) {
	for more, want := range map[string]string{
		"[[trouble]]\nkind = \"link-cut\"\nat = \"1s\"\nfor = \"1s\"\n":                                         "needs [fleet] enabled = true",
		"[fleet]\nenabled = true\n[[trouble]]\nkind = \"link-cut\"\nat = \"1s\"\n":                              "needs for",
		"[fleet]\nenabled = true\n[[trouble]]\nkind = \"link-delay\"\nat = \"1s\"\nfor = \"1s\"\n":              "needs delay",
		"[fleet]\nenabled = true\n[[trouble]]\nkind = \"link-loss\"\nat = \"1s\"\nfor = \"1s\"\nloss = 2.0\n":   "loss must be 0 to 1",
		"[fleet]\nenabled = true\n[[trouble]]\nkind = \"stall\"\nat = \"1s\"\nfor = \"1s\"\ngroup = \"most\"\n": `unknown group "most"`,
		"[fleet]\nenabled = true\n[[trouble]]\nkind = \"link-cut\"\nat = \"1s\"\nfor = \"1s\"\nway = \"up\"\n":  "way must be both, out or in",
		"[[trouble]]\nkind = \"kill\"\nat = \"1s\"\nfolder = \"burnt\"\n":                                       "folder must be kept, none or older",
		"[[trouble]]\nkind = \"stall\"\nat = \"1s\"\nfor = \"1s\"\ngroup = \"one\"\nshare = 0.5\n":              "group goes without relays and share",
		"[fleet]\nenabeld = true\n": "unknown key fleet.enabeld",
	} {
		_, err := scenario.Parse(
			"test",
			[]byte(strings.Replace(strings.Replace(world, "%s", "9s", 1), "%d", "3", 1)+more),
		)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", more, err, want)
		}
	}
}
