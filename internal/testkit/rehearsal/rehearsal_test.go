package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// binary is the path of the real relay's program, which is built once for all tests.
var binary string

// TestMain runs the tests. If badModeVariable is set, it runs a badRelay instead: badRelayScript starts this binary in
// that way.
func TestMain(m *testing.M) {
	if mode := os.Getenv(badModeVariable); mode != "" {
		runBadRelay(badMode(mode))
		return
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rehearsal")
	if err == nil {
		defer func() { _ = os.RemoveAll(dir) }() // the system also clears its temporary folder
		binary, err = buildRelay(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if code := m.Run(); code != 0 {
		return code
	}
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func buildRelay(dir string) (string, error) {
	const program = "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle"
	path := filepath.Join(dir, "cherrytrestle")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", path, program).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// baseScenario is a format string for the length and the number of relays of a scenario with two kinds of destination.
// Tests append further tables.
const baseScenario = `
name = "test"
length = "%s"
relays = %d
zones = ["a", "b"]

[[class]]
name = "order"
share = 8
effect = "keyed"
window = "6s"
aim = "1s"
give_up = "4s"
late_worth = 0.4

[[class]]
name = "payment"
effect = "unsafe"
aim = "1s"
give_up = "3s"

[[class]]
name = "status"
effect = "safe"
order = true
aim = "1s"
give_up = "3s"

[[kind]]
name = "store"
per_call = 5
pace = "40ms"
spread = 0.4
slots = 4
limit = "rate"
tells_wait = 1.0
wait = "300ms"
warm = "3s"

[[kind]]
name = "gateway"
separate = true
pace = "30ms"
slots = 4
warm = "3s"

[[destination]]
kind = "store"
count = 2
rate = 60

[[destination]]
kind = "gateway"
count = 2

[discovery]
least = "50ms"
most = "200ms"

[settings]
drain_grace = "1s"

[[traffic]]
rate = 60
`

func parse(t *testing.T, length string, relays int, more string) scenario.File {
	t.Helper()
	f, err := scenario.Parse("test", []byte(fmt.Sprintf(baseScenario, length, relays)+more))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// checkNoProcessLeft checks that no process of a rehearsal in dir is still running.
func checkNoProcessLeft(t *testing.T, dir string) {
	t.Helper()
	entries, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range entries {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), "ROUTER_STATE="+dir) {
			t.Errorf("process still running: %s", path)
		}
	}
}

// manyFaults replaces 58 % of the endpoints under load, some of them by new endpoints at the old addresses. One
// destination crashes and needs to warm up, and another rejects calls with a Retry-After. One relay is killed and
// restarts; the other reloads its configuration and is then restarted by SIGTERM.
const manyFaults = `
[[traffic]]
from = "1s"
to = "7s"
rate = 40
destinations = [1]

[[trouble]]
kind = "drain"
at = "2s"
for = "5s"
batch = 2
share = 0.58
drain = "1500ms"
replace = true
same_address = 0.5

[[trouble]]
kind = "shut"
at = "2s"
for = "2s"
destinations = [2]

[[trouble]]
kind = "death"
at = "4s"
for = "2s"
destinations = [1]

[[trouble]]
kind = "kill"
at = "5s"
relays = [1]

[[trouble]]
kind = "hup"
at = "6s"
relays = [2]

[[trouble]]
kind = "term"
at = "7s"
relays = [2]
`

// A short rehearsal with many faults, for CI. The relays must keep every rule.
func TestShortRehearsalKeepsEveryRule(t *testing.T) {
	dir := t.TempDir()
	progressCount := 0
	result, err := Run(context.Background(), parse(t, "11s", 2, manyFaults), Options{
		Dir:             dir,
		Binary:          binary,
		Progress:        func(Progress) { progressCount++ },
		RecordDecisions: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	verdict := result.Verdict
	for _, rule := range verdict.Rules {
		if rule.State != checker.Held {
			t.Errorf("%s: %s after %d checks, violations %+v", rule.Rule, rule.State, rule.Exercised, rule.Violations)
		}
	}
	if !verdict.OK() || verdict.Service.Overall < 0.7 || progressCount < 5 {
		t.Errorf("run errors %v, inconclusive because %v, service %.3f, progress reported %d times",
			verdict.RunErrors, verdict.InconclusiveReasons, verdict.Service.Overall, progressCount)
	}
	again, err := ReadRecord(dir)
	if err != nil || len(again.Events) != len(result.Events) ||
		again.Verdict.Service.Overall != verdict.Service.Overall {
		t.Errorf("record read again: %d events, want %d; %v", len(again.Events), len(result.Events), err)
	}
	checkNoProcessLeft(t, dir)
	// Each relay was restarted once, one of them by SIGKILL.
	for _, name := range []string{"r1", "r2"} {
		checkRecordingsReplay(t, filepath.Join(dir, name, RecordingsName), 2)
	}
}

// checkRecordingsReplay checks that a folder has the wanted number of recordings, and that replaying the events of each
// one gives the recorded actions.
func checkRecordingsReplay(t *testing.T, dir string, want int) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"+flightrecorder.FileExtension))
	if err != nil {
		t.Fatal(err)
	}
	recordings, err := flightrecorder.Load(paths...)
	if err != nil || len(recordings) != want {
		t.Fatalf("%d recordings in %v, %v", len(recordings), paths, err)
	}
	for _, recording := range recordings {
		result, err := replay.Play(recording.Data, replay.Visitor{})
		if err != nil || result.Difference != nil || !result.SameRevision() || result.Actions < 20 {
			t.Errorf("%s: %v, %+v", dir, err, result)
		}
	}
}

// A new endpoint that gets the address of a removed one must be called at that address, and the run must show no
// violation and no run error.
func TestNewEndpointAtAnOldAddress(t *testing.T) {
	f := parse(t, "6s", 1, `
[[trouble]]
kind = "gone"
at = "1s"
share = 0.5
replace = true
same_address = 1.0
`)
	r, err := Run(context.Background(), f, Options{Dir: t.TempDir(), Binary: binary})
	if err != nil || !r.Verdict.OK() {
		t.Fatalf("%v, %+v", err, r.Verdict)
	}
	calls := map[string]int{}
	for _, e := range r.Events {
		if e.Kind == eventlog.CallReceived {
			calls[e.Endpoint]++
		}
	}
	later := 0
	for _, e := range f.Draw(0).Endpoints {
		if e.AddedLater && calls[e.ID] > 0 {
			later++
		}
	}
	if later == 0 {
		t.Errorf("none of the new endpoints was called: %v", calls)
	}
}

func TestMachineCutOffAndSilentOne(t *testing.T) {
	f := parse(t, "9s", 2, `
[[trouble]]
kind = "cut"
at = "1s"
for = "2s"
destinations = [1]

[[trouble]]
kind = "silent"
at = "3s"
for = "2s"
destinations = [3]

[[trouble]]
kind = "discovery-down"
at = "1s"
for = "3s"

[[trouble]]
kind = "drain"
at = "2s"
share = 0.2
replace = true
`)
	r, err := Run(context.Background(), f, Options{Dir: t.TempDir(), Binary: binary})
	if err != nil || !r.Verdict.OK() {
		t.Fatalf("%v, %+v", err, r.Verdict)
	}
	// No relay is notified while discovery is down. The changes of that time are delivered when discovery is back.
	notified := 0
	for _, e := range r.Events {
		if e.Kind == eventlog.RelayNotified && e.At > time.Second+500*time.Millisecond {
			if notified++; e.At < 3900*time.Millisecond {
				t.Errorf("notified at %v: %+v", e.At, e)
			}
		}
	}
	if notified == 0 {
		t.Error("no relay was notified after the outage of discovery")
	}
}

func script(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "relay")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFailuresHaveAReasonAndLeaveNoProcess(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	port := taken.Addr().(*net.TCPAddr).Port
	for _, c := range []struct {
		name    string
		options Options
		want    string
	}{
		{
			name: "never ready",
			options: Options{
				Binary:       script(t, "echo I am lost >&2; exec sleep 60"),
				ReadyTimeout: 300 * time.Millisecond,
			},
			want: "was not ready within 300ms; its log ends with:\nI am lost",
		},
		{
			name:    "ends at once",
			options: Options{Binary: script(t, "echo no disk >&2; exit 3"), ReadyTimeout: 5 * time.Second},
			want:    "ended before it was ready: exit status 3; its log ends with:\nno disk",
		},
		{name: "no program", options: Options{Binary: "/nonexistent"}, want: "no such file"},
		{
			name:    "port in use",
			options: Options{Binary: binary, Port: port},
			want:    fmt.Sprintf("port %d is in use", port),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.options.Dir = t.TempDir()
			_, err := Run(context.Background(), parse(t, "2s", 1, ""), c.options)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
			checkNoProcessLeft(t, c.options.Dir)
		})
	}
}

func TestFileInPlaceOfTheFolder(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	options := Options{Dir: file, Binary: binary}
	if _, err := Run(context.Background(), parse(t, "2s", 1, ""), options); err == nil {
		t.Error("no error for a file in place of the folder")
	}
}

func TestInterruptedRunKeepsItsRecord(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := parse(t, "60s", 2, "")
	r, err := Run(ctx, f, Options{Dir: dir, Binary: binary, Progress: func(p Progress) {
		if p.Submitted > 30 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) || !strings.Contains(err.Error(), "interrupted") {
		t.Errorf("%v", err)
	}
	again, readErr := ReadRecord(dir)
	if readErr != nil || len(again.Events) != len(r.Events) || again.Verdict.Service.Submitted < 30 {
		t.Errorf("%d events, %v", len(again.Events), readErr)
	}
	if again.Verdict.OK() || again.Verdict.ForRule(checker.NoMessageLost).State != checker.Inconclusive {
		t.Errorf("verdict of an interrupted run: %+v", again.Verdict)
	}
	checkNoProcessLeft(t, dir)
}
