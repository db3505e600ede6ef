package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

// newQuotaFleet prepares relays that share an endpoint's limit in calls a second. By their settings each may send a
// small part of the traffic.
func newQuotaFleet(t *testing.T, n int, endpoint *fakeEndpoint, takes float64) *testFleet {
	fleet := newTestFleet(t, n, endpoint)
	for i, r := range fleet.relays {
		entry := newEntry("s-1", endpoint.addr(), "a", singleKind, "ready")
		entry["weight"] = takes
		r.config["known"] = map[string]any{"version": 1, "full": true, "servers": []listEntry{entry}}
		r.config["settings"].(map[string]any)["realms"] = []map[string]any{
			{"name": "acme", "share": 1, "quota_per_s": 50 * takes},
		}
		r.writeConfig()
		fleet.writeOperatorFile(i, "rights = true\n", nil)
	}
	return fleet
}

// quotaStatus is the status of a relay's only limit.
func (g *testFleet) quotaStatus(i int) quota.ScopeStatus {
	if s := g.status(i); len(s.Quota) == 1 {
		return s.Quota[0]
	}
	return quota.ScopeStatus{}
}

// Eight relays share an endpoint of 16 calls a second, and one of them has all the backlog: it uses nearly all of the
// limit, also when the lease holder is stopped and when it is killed. Cut off from all it goes on with its own part,
// and shares again when the links are back. With all others restarted while they lend, the endpoint never gets more
// calls than its limit beyond what may be saved up.
func TestQuotaIsSharedByProcesses(t *testing.T) {
	const (
		n     = 8
		limit = 16.0
	)
	endpoint := newEndpoint(t, nil)
	fleet := newQuotaFleet(t, n, endpoint, limit)
	fleet.start(fleet.allRelays()...)
	t.Cleanup(fleet.startBacklog(0))
	callRate := func() float64 {
		const window = 2 * time.Second
		before := endpoint.totalCalls()
		time.Sleep(window) // a rate is counted over time
		return float64(endpoint.totalCalls()-before) / window.Seconds()
	}
	shared := func(what string) {
		t.Helper()
		eventually(t, what, func() bool { return callRate() > 0.65*limit })
	}

	eventually(t, "one lease holder", func() bool { return fleet.agreedLeaseHolder() != "" })
	shared("the one with the backlog uses what others lend")

	if k := fleet.relayIndex(fleet.agreedLeaseHolder()); k > 0 { // stopped for more than three leases
		must(t, fleet.relays[k].cmd.Process.Signal(syscall.SIGSTOP))
		shared("another lease holder, the first being stopped")
		time.Sleep(3 * quota.LeaseDuration)
		must(t, fleet.relays[k].cmd.Process.Signal(syscall.SIGCONT))
		shared("the first one is back")
	}

	others := fleet.allRelays()[1:]
	fleet.setFaults([]int{0}, others, faultproxy.LinkFaults{Cut: true})
	fleet.setFaults(others, []int{0}, faultproxy.LinkFaults{Cut: true})
	eventually(t, "cut off it uses its own part", func() bool {
		rate := callRate()
		return rate > 0 && rate < 0.5*limit
	})
	fleet.setFaults(fleet.allRelays(), fleet.allRelays(), faultproxy.LinkFaults{})
	shared("the links are sound again")

	for _, i := range others {
		fleet.relays[i].kill()
	}
	fleet.start(others...)
	shared("all others were killed while they lent")
	checkCallsWithinLimit(t, endpoint, n, limit)
	for _, i := range []int{0, 1} {
		_ = fleet.relays[i].terminate() // how it ends is checked elsewhere
		if err := replayed(fleet.relays[i].dir); err != nil && !strings.Contains(err.Error(), "no recordings") {
			t.Errorf("%s: %v", filepath.Base(fleet.relays[i].dir), err)
		}
	}
}

// checkCallsWithinLimit checks the calls in any ten seconds. Beyond the limit there may be what was saved up: a call
// and a half by each relay, what the lease holder saves, and what was granted within the time that a grant is valid.
func checkCallsWithinLimit(t *testing.T, endpoint *fakeEndpoint, relays int, limit float64) {
	t.Helper()
	const window = 10 * time.Second
	saved := 1.5*float64(relays) + 0.3*limit + limit*quota.GrantTTL.Seconds()
	if calls := endpoint.maxCallsWithin(window); float64(calls) > limit*window.Seconds()+saved {
		t.Errorf("%d calls in %v, at a limit of %fleet a second", calls, window, limit)
	}
}

// startBacklog submits messages at a relay without end, until the returned function is called.
func (g *testFleet) startBacklog(i int) (stop func()) {
	done := make(chan struct{})
	var client sync.WaitGroup
	client.Go(func() {
		r := g.relays[i]
		for k := 0; ; k++ {
			select {
			case <-done:
				return
			case <-time.After(25 * time.Millisecond):
			}
			response, err := r.client.Do(r.request(fmt.Sprint("b-", k), 10*time.Second, nil))
			if err == nil {
				closeQuietly(response.Body)
			}
		}
	})
	return func() {
		close(done)
		client.Wait()
	}
}

// agreedLeaseHolder is the lease holder that all relays name, or "".
func (g *testFleet) agreedLeaseHolder() string {
	holder := g.quotaStatus(1).LeaseHolder
	for _, i := range g.allRelays() {
		if g.quotaStatus(i).LeaseHolder != holder {
			return ""
		}
	}
	return holder
}

func (g *testFleet) relayIndex(name string) int {
	return slices.IndexFunc(g.allRelays(), func(i int) bool { return relayName(i) == name })
}
