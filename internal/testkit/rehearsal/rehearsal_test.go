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

// binary is the real relay, built once.
var binary string

// Under another variable this binary is a relay that breaks one rule: see badrelay_test.go.
func TestMain(m *testing.M) {
	if mode := os.Getenv("REHEARSAL_BAD_RELAY"); mode != "" {
		badRelay(mode)
		return
	}
	dir, err := os.MkdirTemp("", "rehearsal")
	if err == nil {
		binary = filepath.Join(dir, "cherrytrestle")
		var out []byte
		if out, err = exec.Command("go", "build", "-buildvcs=false", "-o", binary, "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// world is a small one with two kinds of destination and two relays; the rest of a scenario follows it.
const world = `
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
	f, err := scenario.Parse("test", []byte(fmt.Sprintf(world, length, relays)+more))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// noneLeft checks that no process of a rehearsal in dir is left.
func noneLeft(t *testing.T, dir string) {
	t.Helper()
	entries, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range entries {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), "ROUTER_STATE="+dir) {
			t.Errorf("left behind: %s", path)
		}
	}
}

// The shortened rehearsal of CI: 58 % of the endpoints are replaced while load runs, some of the new ones at old
// addresses, a partner comes back cold, another tells to wait, and relays are restarted both ways.
func TestAShortRehearsalHoldsEveryRule(t *testing.T) {
	dir := t.TempDir()
	f := parse(t, "11s", 2, `
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
`)
	told := 0
	r, err := Run(
		context.Background(),
		f,
		Options{Dir: dir, Binary: binary, Progress: func(Progress) { told++ }, RecordDecisions: true},
	)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range r.Verdict.Rules {
		if x.State != checker.Held {
			t.Errorf("%s: %s after %d occasions %+v", x.Rule, x.State, x.Exercised, x.Violations)
		}
	}
	if !r.Verdict.OK() || r.Verdict.Service.Overall < 0.7 || told < 5 {
		t.Errorf(
			"faults %v, doubts %v, service %.3f, told %d times",
			r.Verdict.RunErrors,
			r.Verdict.InconclusiveReasons,
			r.Verdict.Service.Overall,
			told,
		)
	}
	again, err := ReadRecord(dir)
	if err != nil || len(again.Events) != len(r.Events) || again.Verdict.Service.Overall != r.Verdict.Service.Overall {
		t.Errorf("read again: %d events for %d, %v", len(again.Events), len(r.Events), err)
	}
	noneLeft(t, dir)
	// What the relays recorded of it, over a kill and a planned end, replays: equal events give equal actions.
	for _, name := range []string{"r1", "r2"} {
		paths, err := filepath.Glob(filepath.Join(dir, name, RecordingsName, "*"+flightrecorder.FileExtension))
		if err != nil {
			t.Fatal(err)
		}
		found, err := flightrecorder.Load(paths...)
		if err != nil || len(found) != 2 {
			t.Fatalf("%s: %d recordings in %v, %v", name, len(found), paths, err)
		}
		for _, rec := range found {
			res, err := replay.Play(rec.Data, replay.Visitor{})
			if err != nil || res.Difference != nil || !res.SameRevision() || res.Actions < 20 {
				t.Errorf("%s: %v, %+v", name, err, res)
			}
		}
	}
}

// A host that comes up where one has gone has that one's address, and no call for the one reaches the other unseen.
func TestANewHostAtAnOldAddress(t *testing.T) {
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
		t.Errorf("none of the new hosts was called: %v", calls)
	}
}

func TestAMachineCutOffAndASilentOne(t *testing.T) {
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
	// While discovery is down nothing is told; what it had meanwhile is told when it is back.
	told := 0
	for _, e := range r.Events {
		if e.Kind == eventlog.RelayNotified && e.At > time.Second+500*time.Millisecond {
			if told++; e.At < 3900*time.Millisecond {
				t.Errorf("told at %v: %+v", e.At, e)
			}
		}
	}
	if told == 0 {
		t.Error("never told")
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

func TestWhatFailsEndsWithAReasonAndLeavesNothing(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	port := taken.Addr().(*net.TCPAddr).Port
	for _, c := range []struct {
		name string
		opts Options
		want string
	}{
		{"never ready", Options{Binary: script(t, "echo I am lost >&2; exec sleep 60"), ReadyTimeout: 300 * time.Millisecond}, "was not ready within 300ms; its log ends with:\nI am lost"},
		{"ends at once", Options{Binary: script(t, "echo no disk >&2; exit 3"), ReadyTimeout: 5 * time.Second}, "ended before it was ready: exit status 3; its log ends with:\nno disk"},
		{"no program", Options{Binary: "/nonexistent"}, "no such file"},
		{"port in use", Options{Binary: binary, Port: port}, fmt.Sprintf("port %d is in use", port)},
	} {
		c.opts.Dir = t.TempDir()
		_, err := Run(context.Background(), parse(t, "2s", 1, ""), c.opts)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
		noneLeft(t, c.opts.Dir)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), parse(t, "2s", 1, ""), Options{Dir: file, Binary: binary}); err == nil {
		t.Error("a file for a folder")
	}
}

func TestInterruptedItKeepsWhatItSaw(t *testing.T) {
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
		t.Errorf("judged: %+v", again.Verdict)
	}
	noneLeft(t, dir)
}
