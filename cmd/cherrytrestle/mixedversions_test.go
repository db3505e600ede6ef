package main

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// olderFormatCommit is a commit at which relays have other publish intervals, forward each load report more often, and
// send quota messages without theoretical arrival times.
const olderFormatCommit = "4a73c76cba9955173abc52bae1cbd966f4ef89d3"

// olderProgram builds the program of an earlier commit, and returns its path. It skips the test with -short, or if the
// repository lacks the commit.
func olderProgram(t *testing.T, commit string) string {
	t.Helper()
	if testing.Short() {
		t.Skip("-short: the test builds an earlier version of the program")
	}
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("the repository has no commit %s: %v", commit, err)
	}
	dir := t.TempDir()
	run := func(where, name string, args ...string) {
		cmd := exec.Command(name, args...)
		cmd.Dir = where
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%s %v: %v\n%s", name, args, err, out)
		}
	}
	archive := filepath.Join(dir, "source.tar")
	run("../..", "git", "archive", "-o", archive, commit)
	run(dir, "tar", "-xf", archive)
	program := filepath.Join(dir, "older")
	run(dir, "go", "build", "-buildvcs=false", "-o", program, "./cmd/cherrytrestle")
	return program
}

// TestFleetOfTwoVersions runs a fleet in which half of the relays have an earlier version. All relays receive each
// other's load reports. They still do after a relay was restarted with the other version and the same folder.
func TestFleetOfTwoVersions(t *testing.T) {
	older := olderProgram(t, olderFormatCommit)
	fleet := newTestFleet(t, 4, newEndpoint(t, nil))
	for _, i := range []int{0, 1} {
		fleet.relays[i].program = older
	}
	fleet.start(fleet.allRelays()...)
	fleet.sendTraffic()
	fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
	changeProgram := func(i int, program string) {
		before := fleet.status(i).Incarnation.Generation
		_ = fleet.relays[i].terminate() // other tests check the error
		fleet.relays[i].program = program
		fleet.start(i)
		fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
		if now := fleet.status(i).Incarnation.Generation; now != before+1 {
			t.Errorf("relay %d: incarnation %d after the change of version, want %d", i, now, before+1)
		}
	}
	changeProgram(1, "")
	changeProgram(2, older)
	for _, i := range fleet.allRelays() {
		if s := fleet.status(i); s.Unreadable+s.UnsupportedVersion > 0 || len(s.Rejected) > 0 || s.NameConflict {
			t.Errorf("relay %d has unreadable or rejected messages or a name conflict: %+v", i, s.Status)
		}
	}
	_ = fleet.relays[3].terminate() // other tests check the error
	if err := replayRecordings(fleet.relays[3]); err != nil {
		t.Error(err)
	}
}
