package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

// testFleet is a fleet of relay processes. Load reports from one relay to another go through a link, which can have
// faults. Each ordered pair of relays has its own link. The slices are indexed by the number of the relay.
type testFleet struct {
	t               testing.TB
	platforms       []*fakePlatform
	relays          []*relayProcess
	managementAddrs []string                    // for status and metrics
	fleetAddrs      []string                    // at which the relays receive load reports
	links           map[[2]int]*faultproxy.Link // by the numbers of the sender and the receiver
}

// relayName returns the name of a relay in its fleet.
func relayName(i int) string { return fmt.Sprintf("r%d", i) }

// newTestFleet prepares n relays that all deliver to one endpoint. It starts no processes.
func newTestFleet(t testing.TB, n int, endpoint *fakeEndpoint) *testFleet {
	f := &testFleet{t: t, links: map[[2]int]*faultproxy.Link{}}
	for range n {
		f.fleetAddrs = append(f.fleetAddrs, unusedTCPAndUDPAddr(t))
	}
	for i := range n {
		for j := range n {
			if i == j {
				continue
			}
			link, err := faultproxy.StartLink("127.0.0.1", f.fleetAddrs[j], uint64(i*n+j))
			must(t, err)
			t.Cleanup(func() { closeQuietly(link) })
			f.links[[2]int{i, j}] = link
		}
	}
	for i := range n {
		list := endpoint.list(batchKind, "ready")
		r := prepareRelay(t, list, func(settings map[string]any) { settings["fleet_size"] = n })
		r.config["name"] = relayName(i)
		f.managementAddrs = append(f.managementAddrs, r.setManagement())
		f.relays = append(f.relays, r)
		f.platforms = append(f.platforms, newPlatform(t))
		f.writeOperatorFile(i, "", nil)
	}
	return f
}

// operatorFile returns the path of a relay's operator file.
func (f *testFleet) operatorFile(i int) string {
	return filepath.Join(f.relays[i].dir, "operator.toml")
}

// writeOperatorFile writes a relay's operator file, which turns on the recorder and the fleet. fleetKeys has further
// lines for the table fleet. peers maps names of relays to their addresses. Relays without an entry are reached over
// their links.
func (f *testFleet) writeOperatorFile(i int, fleetKeys string, peers map[string]string) {
	f.t.Helper()
	var text strings.Builder
	recordings := filepath.Join(f.relays[i].dir, "recordings")
	fmt.Fprintf(&text, "[recorder]\nenabled = true\nwrite = \"all\"\nfolder = %q\n", recordings)
	fmt.Fprintf(&text, "[fleet]\nenabled = true\nlisten = %q\n%s\n[fleet.join]\n", f.fleetAddrs[i], fleetKeys)
	for j, addr := range f.fleetAddrs {
		if link := f.links[[2]int{i, j}]; link != nil {
			addr = link.Addr()
		}
		if peer := peers[relayName(j)]; peer != "" {
			addr = peer
		}
		fmt.Fprintf(&text, "%s = %q\n", relayName(j), addr)
	}
	path := f.operatorFile(i)
	must(f.t, os.WriteFile(path, []byte(text.String()), 0o600))
	f.relays[i].env = []string{"CHERRYTRESTLE_OPERATOR=" + path}
}

// unlist removes relay j's address from relay i's operator file.
func (f *testFleet) unlist(i, j int) {
	f.t.Helper()
	path := f.operatorFile(i)
	data, err := os.ReadFile(path)
	must(f.t, err)
	var listed strings.Builder
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, relayName(j)+" =") {
			listed.WriteString(line)
		}
	}
	must(f.t, os.WriteFile(path, []byte(listed.String()), 0o600))
}

// start starts the relays with these numbers, one after the other.
func (f *testFleet) start(which ...int) {
	for _, i := range which {
		f.relays[i].start(f.platforms[i])
	}
}

// allRelays returns the numbers of all relays.
func (f *testFleet) allRelays() (which []int) {
	for i := range f.relays {
		which = append(which, i)
	}
	return which
}

// setFaults sets the faults of the links from some relays to others. The zero LinkFaults makes the links work again.
func (f *testFleet) setFaults(from, to []int, faults faultproxy.LinkFaults) {
	f.t.Helper()
	for _, i := range from {
		for _, j := range to {
			if link := f.links[[2]int{i, j}]; link != nil {
				must(f.t, link.SetFaults(faults))
			}
		}
	}
}

// status returns the status of the fleet that a relay reports, or an empty one if the relay does not answer.
func (f *testFleet) status(i int) fleet.Status {
	response, err := http.Get("http://" + f.managementAddrs[i] + "/v1/fleet")
	if err != nil {
		return fleet.Status{}
	}
	defer closeQuietly(response.Body)
	var status fleet.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return fleet.Status{}
	}
	return status
}

// memberState returns the state of relay j that relay i reports, and the age of its last report from relay j. The age
// is negative if relay i has no such report.
func (f *testFleet) memberState(i, j int) (state string, age time.Duration) {
	if status := f.status(i); status.Status != nil {
		for _, member := range status.Members {
			if member.Name == relayName(j) {
				return member.State, member.Age
			}
		}
	}
	return "", -1
}

// incarnation returns the incarnation of relay j that relay i reports, or an empty one if it reports none.
func (f *testFleet) incarnation(i, j int) loadreport.Incarnation {
	status := f.status(i)
	if status.Status == nil {
		return loadreport.Incarnation{}
	}
	if i == j {
		return status.Incarnation
	}
	for _, member := range status.Members {
		if member.Name == relayName(j) {
			return member.Incarnation
		}
	}
	return loadreport.Incarnation{}
}

// maxFreshAge is the highest age of a load report that counts as fresh. An unchanged report is published only every
// 2.5 s, and takes time to spread by gossip.
const maxFreshAge = 6 * time.Second

// waitReceived waits until each receiver has a fresh load report of each sender.
func (f *testFleet) waitReceived(receivers, senders []int) {
	f.t.Helper()
	for _, i := range receivers {
		for _, j := range senders {
			if i != j {
				eventually(f.t, fmt.Sprintf("relay %d receives the reports of relay %d", i, j), func() bool {
					state, age := f.memberState(i, j)
					return state == "alive" && age >= 0 && age < maxFreshAge
				})
			}
		}
	}
}

// sendTraffic submits messages to all relays until the test ends, so that their load reports are not empty.
func (f *testFleet) sendTraffic() {
	f.t.Cleanup(startTraffic(20*time.Millisecond, f.relays...))
}

// quotaStatus returns the status of a relay's only rate-limit scope, or an empty one if the relay does not have
// exactly one.
func (f *testFleet) quotaStatus(i int) quota.ScopeStatus {
	if status := f.status(i); len(status.Quota) == 1 {
		return status.Quota[0]
	}
	return quota.ScopeStatus{}
}

// agreedLeaseHolder returns the lease holder of the relays' only rate-limit scope if all report the same one, or "".
func (f *testFleet) agreedLeaseHolder() string {
	holder := f.quotaStatus(1).LeaseHolder
	for _, i := range f.allRelays() {
		if f.quotaStatus(i).LeaseHolder != holder {
			return ""
		}
	}
	return holder
}

// relayIndex returns the number of the relay with a name, or -1.
func (f *testFleet) relayIndex(name string) int {
	return slices.IndexFunc(f.allRelays(), func(i int) bool { return relayName(i) == name })
}
