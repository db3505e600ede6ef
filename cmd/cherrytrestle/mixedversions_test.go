package main

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// olderFormatCommit is a commit with other publish intervals, which forwards each report more often and whose quota
// messages have no theoretical arrival times.
const olderFormatCommit = "4a73c76cba9955173abc52bae1cbd966f4ef89d3"

// olderProgram builds the program of an earlier commit. It skips the test with -short, or without that commit.
func olderProgram(t *testing.T, commit string) string {
	t.Helper()
	if testing.Short() {
		t.Skip("builds a program")
	}
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Skipf("no history here that holds %s: %v", commit, err)
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

// TestFleetOfTwoVersions runs a fleet of which half the relays have an earlier version: all receive each other's
// reports, also when a relay changes to the other version with its folder.
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
		_ = fleet.relays[i].terminate() // how it ends is checked elsewhere
		fleet.relays[i].program = program
		fleet.start(i)
		fleet.waitReceived(fleet.allRelays(), fleet.allRelays())
		if now := fleet.status(i).Incarnation.Generation; now != before+1 {
			t.Errorf("relay %d begins incarnation %d after %d", i, now, before)
		}
	}
	changeProgram(1, "")
	changeProgram(2, older)
	for _, i := range fleet.allRelays() {
		if s := fleet.status(i); s.Unreadable+s.UnsupportedVersion > 0 || len(s.Rejected) > 0 || s.NameConflict {
			t.Errorf("relay %d: %+v", i, s.Status)
		}
	}
	_ = fleet.relays[3].terminate() // how it ends is checked elsewhere
	if err := replayRecordings(fleet.relays[3]); err != nil {
		t.Error(err)
	}
}
