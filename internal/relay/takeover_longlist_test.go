package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A process with a long list hands over only the endpoints that its policy holds. The successor starts from the
// list in its own configuration, applies the endpoints that were handed over, and fetches a snapshot.
func TestTakeoverWithLongList(t *testing.T) {
	addr, requests := nettest.RawServer(t, respondOK)
	for name, edit := range map[string]func(*hotrestart.State){
		"known snapshot format":   func(*hotrestart.State) {},
		"unknown snapshot format": func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	} {
		t.Run(name, func(t *testing.T) {
			old := newRelayWithLongList(t, addr)
			known := discoverytest.ListJSON(4, 3000,
				endpointText("s-moved", addr, 77, "ready"),
				endpointText("s-gone", "127.0.0.1:1", 61, "ready"),
			)
			const form = `{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`
			cfg, err := parseConfig(fmt.Appendf(nil, form, known, settingsJSON))
			if err != nil {
				t.Fatal(err)
			}
			cfg.StateDir = old.cfg.StateDir
			old.cfg = cfg
			r := successorOf(t, old, edit)
			needsSnapshot := r.discoveryConfig().NeedsSnapshot
			if n := r.catalog.EndpointCount(); !needsSnapshot || n != 6002 || !r.largeList.Load() || r.pending != 2 {
				t.Errorf("needs a snapshot: %v, %d endpoints, %d pending", needsSnapshot, n, r.pending)
			}
			got := policyEndpoints(r)
			want := workingSetEndpoints(r)
			if !sameEndpoints(got, want) || len(got) != 2 || len(got[61]) != 1 || got[61][0].InService {
				t.Errorf("the policy holds %v, the working set is %v", got, want)
			}
			before := requests.Load()
			r.step([]event{outcomeOf(0, 2, 0)})
			next := endpointText("s-next", addr, 61, "ready")
			rest := endpointText("s-rest", addr, 60, "ready")
			applyLongList(r, false, 9, entriesOf(r, next, rest))
			stepLoopUntil(t, r, "the pending message is delivered", func() bool {
				return requests.Load() == before+1 && len(r.activeCalls) == 0
			})
			r.deliver(t, requests, "later", 60)
		})
	}
}

// newRelayWithLongList returns a relay with a long list, a message that waits for an endpoint and one with a call in
// flight.
func newRelayWithLongList(t *testing.T, addr string) *Relay {
	t.Helper()
	r := newTestRelay(t)
	applyLongList(r, true, 8, entriesOf(r,
		endpointText("s-moved", "127.0.0.1:1", 50, "ready"),
		endpointText("s-rest", addr, 60, "ready"),
		endpointText("s-drains", addr, 61, "draining"),
	))
	if a := submitAll(r, newSubmission("m", 61, 9*time.Second))[0]; a.Status != http.StatusAccepted {
		t.Fatalf("%+v", a)
	}
	a := submitAll(r, newSubmission("out", 50, 9*time.Second))[0]
	if a.Status != http.StatusAccepted || len(r.activeCalls) != 1 {
		t.Fatalf("%+v", a)
	}
	return r
}
