package main

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/membership"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// TestRelaysReceiveFromEachOther runs three relays and injects faults into the links between them. Without faults all
// relays receive each other's load reports. The others do not see a partitioned relay as alive, and have no fresh
// report of a relay whose reports are lost. After each fault all relays receive reports again. The recordings of the
// relays replay without a difference.
func TestRelaysReceiveFromEachOther(t *testing.T) {
	endpoint := newEndpoint(t, nil)
	fleet := newTestFleet(t, 3, endpoint)
	all := fleet.allRelays()
	fleet.start(all...)
	fleet.sendTraffic()
	fleet.waitReceived(all, all)

	// Relay 0 is partitioned until the others no longer see it as alive and have no fresh report of it.
	fleet.setFaults([]int{0}, []int{1, 2}, faultproxy.LinkFaults{Cut: true})
	fleet.setFaults([]int{1, 2}, []int{0}, faultproxy.LinkFaults{Cut: true})
	for _, i := range []int{1, 2} {
		eventually(t, "the partitioned relay is not alive", func() bool {
			state, age := fleet.memberState(i, 0)
			return state != "alive" && age > maxFreshAge
		})
	}
	fleet.waitReceived([]int{1, 2}, []int{1, 2})
	fleet.setFaults(all, all, faultproxy.LinkFaults{})
	fleet.waitReceived(all, all)

	// Relay 0 receives reports, but its own reports are lost.
	fleet.setFaults([]int{0}, []int{1, 2}, faultproxy.LinkFaults{Cut: true})
	eventually(t, "the reports of the relay are not fresh", func() bool {
		_, age := fleet.memberState(1, 0)
		return age > maxFreshAge
	})
	fleet.setFaults(all, all, faultproxy.LinkFaults{})
	fleet.waitReceived(all, all)

	// Datagrams are lost, duplicated, reordered and delayed.
	fleet.setFaults(all, all, faultproxy.LinkFaults{
		DatagramFaults: faultproxy.DatagramFaults{
			DropRatio:      0.3,
			DuplicateRatio: 0.1,
			ReorderRatio:   0.1,
			Jitter:         20 * time.Millisecond,
		},
	})
	time.Sleep(3 * time.Second)
	fleet.waitReceived(all, all)

	for _, i := range all {
		status := fleet.status(i)
		if len(status.Rejected) > 0 || status.Unreadable > 0 || status.NameConflict {
			t.Errorf("relay %d: %+v", i, status)
		}
		_ = fleet.relays[i].terminate() // other tests check the shutdown
		must(t, replayRecordings(fleet.relays[i]))
	}
}

// TestStalledRelay suspends a relay's process and resumes it. While the process is suspended its reports are not
// fresh. Afterwards all relays have fresh reports of each other.
func TestStalledRelay(t *testing.T) {
	fleet := newTestFleet(t, 3, newEndpoint(t, nil))
	fleet.start(fleet.allRelays()...)
	fleet.sendTraffic()
	fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
	fleet.relays[0].signal(syscall.SIGSTOP)
	eventually(t, "the reports of the suspended relay are not fresh", func() bool {
		_, age := fleet.memberState(1, 0)
		return age > 8*time.Second
	})
	fleet.relays[0].signal(syscall.SIGCONT)
	fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
}

// TestAllRestarted kills all running relays of a fleet and starts them again. One listed relay never runs. After the
// restart the running relays receive each other's reports.
func TestAllRestarted(t *testing.T) {
	fleet := newTestFleet(t, 4, newEndpoint(t, nil))
	three := []int{0, 1, 2}
	fleet.start(three...)
	fleet.sendTraffic()
	fleet.waitReceived(three, three)
	for _, i := range three {
		fleet.relays[i].kill()
	}
	fleet.start(three...)
	fleet.waitReceived(three, three)
}

// TestReportsOutOfRangeAreRejected has a member publish a valid report and then reports with values out of range. The
// latter are rejected, and messages are still delivered.
func TestReportsOutOfRangeAreRejected(t *testing.T) {
	endpoint := newEndpoint(t, nil)
	fleet := newTestFleet(t, 4, endpoint)
	three := []int{0, 1, 2}
	fleet.start(three...)
	fleet.sendTraffic()
	fleet.waitReceived(three, three)
	incarnation := loadreport.Incarnation{Generation: 1, Boot: 1}
	member := startMember(t, fleet, 3, incarnation)
	report := func(sequence uint64, calls float64) []loadreport.Report {
		return []loadreport.Report{{
			Name:        relayName(3),
			Incarnation: incarnation,
			Number:      loadreport.ReportNumber(7),
			Sequence:    sequence,
			Scopes:      []loadreport.ScopeLoad{{Destination: 7, Calls: calls}},
		}}
	}
	member.Publish(report(1, 3))
	eventually(t, "a valid report is received", func() bool {
		_, age := fleet.memberState(0, 3)
		return age >= 0
	})
	for sequence := uint64(2); ; sequence++ {
		member.Publish(report(sequence, 90_000)) // calls per second, at a destination with a limit of 500
		time.Sleep(50 * time.Millisecond)
		if status := fleet.status(0); status.Status != nil && status.Rejected[loadreport.OutOfRange] > 0 {
			break
		}
		if sequence > 200 {
			t.Fatal("values out of range are not rejected")
		}
	}
	fleet.relays[0].mustAccept("after-rejection", 5*time.Second)
	eventually(t, "delivered", func() bool { return endpoint.count("after-rejection") > 0 })
}

// startMember starts a member of the fleet in this process, in place of a relay.
func startMember(
	t *testing.T, fleet *testFleet, i int, incarnation loadreport.Incarnation,
) *membership.Node {
	t.Helper()
	peers := map[string]string{}
	for j, addr := range fleet.fleetAddrs {
		peers[relayName(j)] = addr
	}
	member, err := membership.Start(membership.Config{
		Name:            relayName(i),
		Listen:          fleet.fleetAddrs[i],
		Peers:           peers,
		Incarnation:     incarnation,
		Log:             slog.New(slog.DiscardHandler),
		SaveIncarnation: func(uint64) error { return nil },
	})
	must(t, err)
	t.Cleanup(func() { closeQuietly(member) })
	return member
}

// TestIgnoredMembers starts a fleet in which the port of relay 0 is in use, relay 2 belongs to another fleet, and
// relay 3 is not listed by the others. Relay 0 delivers messages without the fleet, reports that its port is in use,
// and joins the fleet when the port is free. Relays 0 and 1 ignore the reports of relays 2 and 3.
func TestIgnoredMembers(t *testing.T) {
	endpoint := newEndpoint(t, nil)
	fleet := newTestFleet(t, 4, endpoint)
	portUser, err := net.Listen("tcp", fleet.fleetAddrs[0])
	must(t, err)
	defer closeQuietly(portUser)
	fleet.writeOperatorFile(2, "label = \"another\"\n", nil)
	// Relay 3 lists only relays 0 and 1, so that it certainly contacts relay 1 within the test. In each round a relay
	// contacts at most two listed relays, chosen at random. With relay 2 in the list these might always be relays 0
	// and 2.
	for _, i := range []int{0, 1, 2} {
		fleet.unlist(i, 3)
	}
	fleet.unlist(3, 2)
	fleet.start(fleet.allRelays()...)
	fleet.sendTraffic()
	eventually(t, "a port in use is reported", func() bool {
		status := fleet.status(0)
		return !status.Up && strings.Contains(status.DownReason, "in use")
	})
	fleet.relays[0].mustAccept("while-alone", 5*time.Second)
	eventually(t, "delivered alone", func() bool { return endpoint.count("while-alone") > 0 })
	eventually(t, "an unlisted member is ignored", func() bool {
		status := fleet.status(1)
		return status.Status != nil && status.UnknownMembers > 0
	})
	closeQuietly(portUser)
	fleet.waitReceived([]int{0, 1}, []int{0, 1})
	for _, i := range []int{0, 1} {
		for _, j := range []int{2, 3} {
			if state, age := fleet.memberState(i, j); age >= 0 || state == "alive" {
				t.Errorf("relay %d receives from relay %d: state %q, report age %v", i, j, state, age)
			}
		}
	}
}

// TestIncarnationsOfARelay restarts a relay many times, then with an older state file, then without a state file. The
// other relays receive its newest incarnation each time. Then another process uses the relay's name, and the conflict
// is detected.
func TestIncarnationsOfARelay(t *testing.T) {
	fleet := newTestFleet(t, 3, newEndpoint(t, nil))
	fleet.start(fleet.allRelays()...)
	fleet.sendTraffic()
	fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
	// waitKnown waits until the others have received an incarnation of relay 0 that is later than the given one. It
	// returns the later incarnation.
	waitKnown := func(what string, after loadreport.Incarnation) (current loadreport.Incarnation) {
		t.Helper()
		eventually(t, what, func() bool {
			current = fleet.incarnation(0, 0)
			return current.Compare(after) > 0 &&
				fleet.incarnation(1, 0) == current && fleet.incarnation(2, 0) == current
		})
		return current
	}
	file := filepath.Join(relayprocess.StateFolder(fleet.relays[0].dir), "fleet.life")
	older, err := os.ReadFile(file)
	must(t, err)
	for range 50 {
		fleet.relays[0].kill()
		fleet.start(0)
	}
	last := waitKnown("the others have the newest incarnation", loadreport.Incarnation{})
	if last.Generation != 51 {
		t.Errorf("after fifty restarts the incarnation is %v", last)
	}
	fleet.relays[0].kill()
	must(t, os.WriteFile(file, older, 0o600))
	fleet.start(0)
	last = waitKnown("a later incarnation with an older state", last)
	fleet.relays[0].kill()
	must(t, os.Remove(file))
	fleet.start(0)
	waitKnown("a later incarnation without a state", last)

	// Another process with the name of relay 0 has a folder and an address of its own.
	rival := newTestFleet(t, 1, newEndpoint(t, nil))
	rival.fleetAddrs = append(rival.fleetAddrs, fleet.fleetAddrs[1:]...)
	rival.writeOperatorFile(0, "", map[string]string{"r1": fleet.fleetAddrs[1], "r2": fleet.fleetAddrs[2]})
	rival.start(0)
	rival.sendTraffic()
	hasConflict := func(f *testFleet) bool {
		status := f.status(0)
		return status.Status != nil && status.NameConflict // nil: the relay has not joined the fleet yet
	}
	eventually(t, "a name conflict is detected", func() bool { return hasConflict(fleet) || hasConflict(rival) })
}
