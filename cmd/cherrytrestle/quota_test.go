package main

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

// newQuotaFleet prepares n relays that share one endpoint. limit is the endpoint's rate limit in calls per second.
func newQuotaFleet(t *testing.T, n int, endpoint *fakeEndpoint, limit float64) *testFleet {
	fleet := newTestFleet(t, n, endpoint)
	for i, r := range fleet.relays {
		entry := newEntry("s-1", endpoint.addr(), "a", singleKind, "ready")
		entry["weight"] = limit
		r.config["settings"].(map[string]any)["realms"] = []map[string]any{
			{"name": "acme", "share": 1, "quota_per_s": 50 * limit},
		}
		r.setKnown(1, entry)
		fleet.writeOperatorFile(i, "rights = true\n", nil)
	}
	return fleet
}

// TestQuotaIsSharedByProcesses runs eight relays that share an endpoint with a limit of 16 calls per second. Only
// relay 0 has traffic. It uses most of the limit, also while the lease holder is stopped, and after all other relays
// were killed and restarted. While relay 0 is partitioned from the others, it uses only its own share. The endpoint
// never gets more calls than the limit and the allowed burst.
func TestQuotaIsSharedByProcesses(t *testing.T) {
	const (
		n     = 8
		limit = 16.0
	)
	endpoint := newEndpoint(t, nil)
	fleet := newQuotaFleet(t, n, endpoint, limit)
	fleet.start(fleet.allRelays()...)
	t.Cleanup(startTraffic(25*time.Millisecond, fleet.relays[0]))
	callRate := func() float64 {
		const window = 2 * time.Second
		before := endpoint.totalCalls()
		time.Sleep(window)
		return float64(endpoint.totalCalls()-before) / window.Seconds()
	}
	// waitShared waits until relay 0 uses most of the limit.
	waitShared := func(what string) {
		t.Helper()
		eventually(t, what, func() bool { return callRate() > 0.65*limit })
	}

	eventually(t, "one lease holder", func() bool { return fleet.agreedLeaseHolder() != "" })
	waitShared("relay 0 uses the shares of the other relays")

	if k := fleet.relayIndex(fleet.agreedLeaseHolder()); k > 0 { // stop it for more than three lease durations
		fleet.relays[k].signal(syscall.SIGSTOP)
		waitShared("relay 0 uses most of the limit while the first lease holder is stopped")
		time.Sleep(3 * quota.LeaseDuration)
		fleet.relays[k].signal(syscall.SIGCONT)
		waitShared("relay 0 uses most of the limit after the first lease holder continues")
	}

	others := fleet.allRelays()[1:]
	fleet.setFaults([]int{0}, others, faultproxy.LinkFaults{Cut: true})
	fleet.setFaults(others, []int{0}, faultproxy.LinkFaults{Cut: true})
	eventually(t, "relay 0 uses only its own share while it is partitioned", func() bool {
		rate := callRate()
		return rate > 0 && rate < 0.5*limit
	})
	fleet.setFaults(fleet.allRelays(), fleet.allRelays(), faultproxy.LinkFaults{})
	waitShared("relay 0 uses most of the limit after the partition")

	for _, i := range others {
		fleet.relays[i].kill()
	}
	fleet.start(others...)
	waitShared("relay 0 uses most of the limit after all others were killed and restarted")
	checkCallsWithinLimit(t, endpoint, n, limit)
	for _, i := range []int{0, 1} {
		_ = fleet.relays[i].terminate() // other tests check the error
		if err := replayRecordings(fleet.relays[i]); err != nil && !errors.Is(err, errNoRecordings) {
			t.Errorf("%s: %v", filepath.Base(fleet.relays[i].dir), err)
		}
	}
}

// checkCallsWithinLimit checks the number of calls in any window of ten seconds. The number may exceed the limit by
// 1.5 calls for each relay, by the calls of 0.3 s that a lease holder may save up, and by the calls granted within the
// lifetime of a grant.
func checkCallsWithinLimit(t *testing.T, endpoint *fakeEndpoint, relays int, limit float64) {
	t.Helper()
	const window = 10 * time.Second
	burst := 1.5*float64(relays) + 0.3*limit + limit*quota.GrantTTL.Seconds()
	if calls := endpoint.maxCallsWithin(window); float64(calls) > limit*window.Seconds()+burst {
		t.Errorf("%d calls in %v, more than a limit of %g calls per second and the allowed burst", calls, window, limit)
	}
}
