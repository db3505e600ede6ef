package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
)

// The tests run the program as a process of its own where signals matter: this binary under another variable.
func TestMain(m *testing.M) {
	if os.Getenv("REHEARSE_TEST_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func call(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = command(context.Background(), args, &out, &errs)
	return status, out.String(), errs.String()
}

func TestListAndPlan(t *testing.T) {
	status, out, _ := call("list")
	if status != 0 || strings.Count(out, "\n") < 10 || !strings.Contains(out, "replace-58") {
		t.Errorf("%d: %s", status, out)
	}
	_, one, _ := call("plan", "quiet-day")
	_, two, _ := call("plan", "quiet-day")
	_, other, _ := call("plan", "--seed", "2", "quiet-day")
	if one == "" || one != two || one == other {
		t.Error("the plan of a seed is not one plan")
	}
}

func TestWhatIsWrongIsSaid(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nlenght = \"5s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"dance"}, "neither shipped"},
		{[]string{"run", "no-such"}, "neither shipped"},
		{[]string{"run", bad}, "bad.toml:2: unknown key lenght"},
		{[]string{"run", "--relay", "/nonexistent", "quiet-day"}, "no such file"},
		{[]string{"run", "--relay", t.TempDir(), "quiet-day"}, "is no program"},
		{[]string{"run", "--colour"}, "unknown flag --colour"},
		{[]string{"report"}, `expected "<dir>"`},
		{[]string{"report", t.TempDir()}, "record.jsonl"},
		{[]string{"plan"}, `expected "<scenario>"`},
	} {
		status, out, errs := call(c.args...)
		if status != exitFailed || !strings.Contains(errs, c.want) || out != "" {
			t.Errorf("%v: %d %q %q, want %q", c.args, status, out, errs, c.want)
		}
	}
	if status, out, _ := call("--help"); status != 0 || !strings.Contains(out, "Usage") {
		t.Error("no help")
	}
}

// A record is judged again without the run, and the status is the verdict's.
func TestReportOfARecord(t *testing.T) {
	const header = `{"format":1,"scenario":"s","relays":["r1"],"classes":[{"name":"c","effect":"safe","aim":1000000000,"give_up":2000000000,"worth":1}],"customers":[{"name":"a"}]}` + "\n"
	const start = `{"at":1,"k":"process","relay":"r1","state":"start"}` + "\n"
	const offer = `{"at":2,"k":"offer","id":"m","of":"m","relay":"r1","dest":1,"for":1000000000}` + "\n" + `{"at":3,"k":"heard","id":"m","relay":"r1","status":202}` + "\n"
	const notice = `{"at":4,"k":"notice","relay":"r1","id":"m","state":"deferred"}` + "\n"
	const end = `{"at":9000000000,"k":"end"}` + "\n"
	for _, c := range []struct {
		record string
		status int
		want   string
	}{
		{header + start + offer + notice + end, exitHeld, "1 held"},
		{header + start + offer + end, exitBroken, "BROKEN"},
		{header + start + offer + notice, exitNotJudged, "NOT JUDGED"},
		{header + start + offer + notice + `{"at":5,"k":"fault","cause":"odd"}` + "\n" + end, exitBroken, "VOID"},
		{"nonsense\n", exitFailed, ""},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "record.jsonl"), []byte(c.record), 0o600); err != nil {
			t.Fatal(err)
		}
		status, out, _ := call("report", dir)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("status %d, want %d: %s", status, c.status, out)
		}
		status, out, _ = call("report", "--json", dir)
		if status != c.status || status != exitFailed && !json.Valid([]byte(out)) {
			t.Errorf("as JSON: status %d, want %d: %s", status, c.status, out)
		}
	}
}

// Recordings are kept where a rule was broken, or if asked for; else they are cleared away.
func TestRecordingsAreKeptWhereARuleWasBroken(t *testing.T) {
	for _, c := range []struct {
		state checker.State
		all   bool
		kept  bool
	}{{checker.Held, false, false}, {checker.Violated, false, true}, {checker.Held, true, true}} {
		dir := t.TempDir()
		path := filepath.Join(dir, "r1", rehearsal.RecordingsName, "r1-x.flight")
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte("x"), 0o600)); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		r := rehearsal.Result{Verdict: checker.Result{Rules: []checker.RuleResult{{State: c.state}}}}
		if err := (&runCommand{KeepAll: c.all}).recordings(&out, dir, r); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(path); (err == nil) != c.kept || strings.Contains(out.String(), "recordings:") != c.kept {
			t.Errorf("%+v: %v, %q", c, err, out.String())
		}
	}
}

// relayState are the processes whose environment names a state folder below dir.
func relaysOf(t *testing.T, dir string) (paths []string) {
	all, err := filepath.Glob("/proc/[0-9]*/environ")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), "ROUTER_STATE="+dir) {
			paths = append(paths, path)
		}
	}
	return paths
}

// Interrupted, it ends its relays and keeps the record; killed, it takes them with it.
func TestSignalsLeaveNothingBehind(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		dir := t.TempDir()
		cmd := exec.Command(os.Args[0], "run", "--quiet", "--out", dir, "quiet-day")
		cmd.Env = append(os.Environ(), "REHEARSE_TEST_MAIN=1")
		var errs bytes.Buffer
		cmd.Stderr = &errs
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		until := func(what string, ok func() bool) {
			t.Helper()
			for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					cmd.Process.Kill()
					t.Fatalf("%v: never: %s: %s", sig, what, errs.String())
				}
			}
		}
		records := func() (size int64) {
			found, _ := filepath.Glob(filepath.Join(dir, "*", "record.jsonl"))
			for _, f := range found {
				if info, err := os.Stat(f); err == nil {
					size += info.Size()
				}
			}
			return size
		}
		until("a record", func() bool { return records() > 20000 && len(relaysOf(t, dir)) == 2 })
		cmd.Process.Signal(sig)
		cmd.Wait()
		until("no relays", func() bool { return len(relaysOf(t, dir)) == 0 })
		found, _ := filepath.Glob(filepath.Join(dir, "*"))
		if len(found) != 1 {
			t.Fatalf("folders %v", found)
		}
		if status, out, _ := call("report", found[0]); status != exitNotJudged {
			t.Errorf("%v: status %d: %s", sig, status, out)
		}
		if sig != syscall.SIGKILL &&
			(cmd.ProcessState.ExitCode() != exitFailed || !strings.Contains(errs.String(), "is kept in")) {
			t.Errorf("%v: %v, %s", sig, cmd.ProcessState, errs.String())
		}
	}
}
