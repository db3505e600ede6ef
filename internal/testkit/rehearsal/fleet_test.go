package rehearsal

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// A short rehearsal of a fleet of three relays, for CI. One relay is cut off and reconnects, one is stalled, and one is
// killed and restarts with an older state folder. The views that the relays report of each other must stay correct.
func TestShortFleetOfThreeRelays(t *testing.T) {
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
	// Messages in a state folder that is replaced never get a final answer. Therefore nothing is submitted from 15 s to
	// 20 s, around the kill at 18 s.
	later := f.Traffic[0]
	f.Traffic[0].To, later.From = scenario.Duration(15e9), scenario.Duration(20e9)
	f.Traffic = append(f.Traffic, later)
	dir := t.TempDir()
	r, err := Run(context.Background(), f, Options{Dir: dir, Binary: binary})
	if err != nil {
		t.Fatal(err)
	}
	if v := r.Verdict; !v.OK() || v.PeerViews == nil || v.PeerViews.Queried < 150 || v.PeerViews.Disconnected < 20 {
		t.Errorf("%s: %+v, peer views %+v", v.State(), v.Rules, v.PeerViews)
	}
	generations := map[string]int{}
	for _, e := range r.Events {
		if e.Kind == eventlog.PeerView {
			generations[e.Name] = max(generations[e.Name], e.Status)
		}
	}
	if generations["r3"] < 2 {
		t.Errorf("generations %v, want at least 2 for r3", generations)
	}
	checkNoProcessLeft(t, dir)
}

func TestInvalidFaultsOfAFleetAreRejected(t *testing.T) {
	const fleet = "[fleet]\nenabled = true\n"
	for _, c := range []struct{ more, want string }{
		{fault("link-cut", `for = "1s"`), "needs [fleet] enabled = true"},
		{fleet + fault("link-cut"), "needs for"},
		{fleet + fault("link-delay", `for = "1s"`), "needs delay"},
		{fleet + fault("link-loss", `for = "1s"`, "loss = 2.0"), "loss must be 0 to 1"},
		{fleet + fault("stall", `for = "1s"`, `group = "most"`), `unknown group "most"`},
		{fleet + fault("link-cut", `for = "1s"`, `way = "up"`), "way must be both, out or in"},
		{fault("kill", `folder = "burnt"`), "folder must be kept, none or older"},
		{fault("stall", `for = "1s"`, `group = "one"`, "share = 0.5"), "group goes without relays and share"},
		{"[fleet]\nenabeld = true\n", "unknown key fleet.enabeld"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := scenario.Parse("test", []byte(fmt.Sprintf(baseScenario, "9s", 3)+c.more))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%q: %v, want %q", c.more, err, c.want)
			}
		})
	}
}

// fault returns the scenario table of a fault that starts after 1 s.
func fault(kind string, lines ...string) string {
	return fmt.Sprintf("[[trouble]]\nkind = %q\nat = \"1s\"\n%s\n", kind, strings.Join(lines, "\n"))
}
