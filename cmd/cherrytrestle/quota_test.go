package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

// newQuotaFleet is a rig of relays that share what one host takes, calls a second, each with a small part of the traffic as
// they are told.
func newQuotaFleet(t *testing.T, n int, h *endpoint, takes float64) *testFleet {
	g := newTestFleet(t, n, h)
	for i, r := range g.relays {
		entry := newEntry("s-1", h.addr(), "a", "gateway", "ready")
		entry["weight"] = takes
		r.config["known"] = map[string]any{"version": 1, "full": true, "servers": []listEntry{entry}}
		r.config["settings"].(map[string]any)["realms"] = []map[string]any{
			{"name": "acme", "share": 1, "quota_per_s": 50 * takes},
		}
		r.writeConfig()
		g.writeOperatorFile(i, "rights = true\n", nil)
	}
	return g
}

// quotaStatus is what a relay says of its only limit.
func (g *testFleet) quotaStatus(i int) quota.ScopeStatus {
	if s := g.status(i); len(s.Quota) == 1 {
		return s.Quota[0]
	}
	return quota.ScopeStatus{}
}

// maxCallsWithin is the greatest number of calls that came in any span.
func (h *endpoint) maxCallsWithin(span time.Duration) (most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := slices.SortedFunc(slices.Values(h.at), time.Time.Compare)
	for i, j := 0, 0; j < len(at); j++ {
		for at[j].Sub(at[i]) > span {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func (h *endpoint) totalCalls() int { h.mu.Lock(); defer h.mu.Unlock(); return h.calls }

// Eight relays share a host of 16 calls a second, and one of them has all the backlog: it uses nearly all of that, also
// when the keeper is stopped and when it is killed; cut off from all it goes on by its own part, and is back when the
// links are. All restarted while rights are lent, the host never gets more than it takes beyond what may be saved up.
func TestQuotaIsSharedByProcesses(t *testing.T) {
	const n, takes = 8, 16.0
	h := newEndpoint(t, nil)
	g := newQuotaFleet(t, n, h, takes)
	g.start(g.allRelays()...)
	fed := make(chan struct{})
	defer func() { <-fed }()
	done := make(chan struct{})
	defer close(done)
	go func() { // a backlog at relay 0 that does not end
		defer close(fed)
		for k := 0; ; k++ {
			select {
			case <-done:
				return
			case <-time.After(25 * time.Millisecond):
			}
			if res, err := g.relays[0].client.Do(g.relays[0].request(fmt.Sprint("b-", k), 10*time.Second, func(r *http.Request) {})); err == nil {
				res.Body.Close()
			}
		}
	}()
	rate := func(span time.Duration) float64 {
		before := h.totalCalls()
		time.Sleep(span) // a rate is counted over time
		return float64(h.totalCalls()-before) / span.Seconds()
	}
	shared := func(what string) {
		t.Helper()
		eventually(t, what, func() bool { return rate(2*time.Second) > 0.65*takes })
	}
	agree := func() string {
		keeper := g.quotaStatus(1).LeaseHolder
		for _, i := range g.allRelays() {
			if g.quotaStatus(i).LeaseHolder != keeper {
				return ""
			}
		}
		return keeper
	}

	eventually(t, "one keeper", func() bool { return agree() != "" })
	shared("the one with the backlog uses what others lend")

	index := func(name string) int {
		return slices.IndexFunc(g.allRelays(), func(i int) bool { return relayName(i) == name })
	}
	if k := index(agree()); k > 0 { // stopped for more than three leases
		must(t, g.relays[k].cmd.Process.Signal(syscall.SIGSTOP))
		shared("another keeper, the first being stopped")
		time.Sleep(3 * quota.LeaseDuration)
		must(t, g.relays[k].cmd.Process.Signal(syscall.SIGCONT))
		shared("the first one is back")
	}

	others := g.allRelays()[1:]
	g.setFaults([]int{0}, others, faultproxy.LinkFaults{Cut: true})
	g.setFaults(others, []int{0}, faultproxy.LinkFaults{Cut: true})
	eventually(
		t,
		"cut off it goes by its own part",
		func() bool { r := rate(2 * time.Second); return r > 0 && r < 0.5*takes },
	)
	g.setFaults(g.allRelays(), g.allRelays(), faultproxy.LinkFaults{})
	shared("the links are sound again")

	for _, i := range others {
		g.relays[i].kill()
	}
	g.start(others...)
	shared("all others were killed while they lent")

	// What may be saved up: a call and a half by each, what the keeper saves, and what was given within the time that a
	// right is valid.
	const span = 10 * time.Second
	saved := 1.5*n + 0.3*takes + takes*quota.GrantTTL.Seconds()
	if most := h.maxCallsWithin(span); float64(most) > takes*span.Seconds()+saved {
		t.Errorf("%d calls in %v, of a host that takes %g a second", most, span, takes)
	}
	for _, i := range []int{0, 1} {
		g.relays[i].terminate()
		if err := replayed(g.relays[i].dir); err != nil && !strings.Contains(err.Error(), "no recordings") {
			t.Errorf("%s: %v", filepath.Base(g.relays[i].dir), err)
		}
	}
}
