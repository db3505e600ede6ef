package relay

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A process of a long list hands over what its module knows. The other one begins from the list that it knows itself,
// knows better of what is in use, and asks for the whole.
func TestTakeoverWithLongList(t *testing.T) {
	addr, requests := nettest.RawServer(t, respondOK)
	for name, edit := range map[string]func(*hotrestart.State){
		"the same form": func(*hotrestart.State) {}, "another form": func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	} {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			applyLongList(
				old,
				true,
				8,
				entriesOf(
					old,
					endpointText("s-moved", "127.0.0.1:1", 50, "ready"),
					endpointText("s-rest", addr, 60, "ready"),
					endpointText("s-drains", addr, 61, "draining"),
				),
			)
			if a := submitAll(old, newSubmission("m", 61, 9*time.Second))[0]; a.Status != 202 {
				t.Fatalf("%+v", a)
			}
			if a := submitAll(old, newSubmission("out", 50, 9*time.Second))[0]; a.Status != 202 || len(old.activeCalls) != 1 {
				t.Fatalf("%+v", a)
			}
			cfg, err := parseConfig(fmt.Appendf(
				nil,
				`{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`,
				discoverytest.ListJSON(
					4,
					3000,
					endpointText("s-moved", addr, 77, "ready"),
					endpointText("s-gone", "127.0.0.1:1", 61, "ready"),
				),
				settingsJSON,
			))
			if err != nil {
				t.Fatal(err)
			}
			cfg.StateDir = old.cfg.StateDir
			old.cfg = cfg
			r := successorOf(t, old, edit)
			w := r.discoveryConfig()
			if !w.NeedsSnapshot || r.catalog.EndpointCount() != 6002 || !r.largeList.Load() || r.pending != 2 {
				t.Errorf("asks for the whole %v, %d hosts, %d held", w.NeedsSnapshot, r.catalog.EndpointCount(), r.pending)
			}
			if got, want := policyEndpoints(r), workingSetEndpoints(r); !sameEndpoints(got, want) || len(got) != 2 || len(got[61]) != 1 ||
				got[61][0].InService {
				t.Errorf("the module knows %v, awake are %v", got, want)
			}
			was := requests.Load()
			r.step([]event{outcomeOf(0, 2, 0, 0)})
			applyLongList(
				r,
				false,
				9,
				entriesOf(r, endpointText("s-next", addr, 61, "ready"), endpointText("s-rest", addr, 60, "ready")),
			)
			stepLoopUntil(
				t,
				r,
				"the one that waited is delivered",
				func() bool { return requests.Load() == was+1 && len(r.activeCalls) == 0 },
			)
			r.deliver(t, requests, "later", 60)
		})
	}
}
