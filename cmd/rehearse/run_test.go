package main

import (
	"bytes"
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

// Recordings are kept if a rule was violated or with KeepAll. Otherwise they are removed.
func TestRecordingsAreKeptWhereARuleWasViolated(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   checker.State
		keepAll bool
		kept    bool
	}{
		{"held", checker.Held, false, false},
		{"violated", checker.Violated, false, true},
		{"held, and all are kept", checker.Held, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "r1", rehearsal.RecordingsName, "r1-x.flight")
			err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte("x"), 0o600))
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			result := rehearsal.Result{Verdict: checker.Result{Rules: []checker.RuleResult{{State: c.state}}}}
			if err := (&runCommand{KeepAll: c.keepAll}).keepOrRemoveRecordings(&out, dir, result); err != nil {
				t.Fatal(err)
			}
			_, err = os.Stat(path)
			if (err == nil) != c.kept || strings.Contains(out.String(), "recordings:") != c.kept {
				t.Errorf("%v, %q", err, out.String())
			}
		})
	}
}

// A run that is interrupted ends its relays and keeps its record. When a run is killed, its relays end too.
func TestSignalsLeaveNoProcess(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			dir := t.TempDir()
			cmd, stderr := startProgram(t, "run", "--quiet", "--out", dir, "quiet-day")
			waitFor(t, "a record", func() bool { return recordSize(dir) > 20000 && len(relaysOf(t, dir)) == 2 })
			if err := cmd.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err == nil {
				t.Error("the status is 0")
			}
			waitFor(t, "no relays", func() bool { return len(relaysOf(t, dir)) == 0 })
			folders, err := filepath.Glob(filepath.Join(dir, "*"))
			if err != nil || len(folders) != 1 {
				t.Fatalf("folders %v, %v", folders, err)
			}
			if status, out, _ := call("report", folders[0]); status != exitInconclusive {
				t.Errorf("status %d: %s", status, out)
			}
			reported := cmd.ProcessState.ExitCode() == exitFailed && strings.Contains(stderr.String(), "is kept in")
			if signal != syscall.SIGKILL && !reported {
				t.Errorf("%v, %s", cmd.ProcessState, stderr.String())
			}
		})
	}
}

// startProgram starts this program as a process. If the test fails, the process is killed at its end.
func startProgram(t *testing.T, args ...string) (cmd *exec.Cmd, stderr *bytes.Buffer) {
	t.Helper()
	stderr = &bytes.Buffer{}
	cmd = exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), mainVariable+"=1")
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			_ = cmd.Process.Kill() // the process may have ended
			_ = cmd.Wait()         // the test may have waited already
			t.Log(stderr.String())
		}
	})
	return cmd, stderr
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout while waiting for %s", what)
		}
	}
}

// recordSize returns the total size of the records of the runs in a folder, in bytes.
func recordSize(dir string) int64 {
	paths, _ := filepath.Glob(filepath.Join(dir, "*", "record.jsonl")) // the pattern is valid
	var size int64
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil {
			size += info.Size()
		}
	}
	return size
}

// relaysOf returns the /proc files of the processes whose environment names a state folder below dir.
func relaysOf(t *testing.T, dir string) (paths []string) {
	t.Helper()
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
