package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// mainVariable is the environment variable that makes this test binary run the program, for tests that send it signals.
const mainVariable = "REHEARSE_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func call(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = run(context.Background(), args, &out, &errs)
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
		t.Error("a seed gives different plans, or two seeds give the same plan")
	}
}

func TestErrorsAreDescribed(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nlengths = \"5s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"dance"}, "neither shipped"},
		{[]string{"run", "no-such"}, "neither shipped"},
		{[]string{"run", bad}, "bad.toml:2: unknown key lengths"},
		{[]string{"run", "--relay", "/nonexistent", "quiet-day"}, "no such file"},
		{[]string{"run", "--relay", t.TempDir(), "quiet-day"}, "is not an executable file"},
		{[]string{"run", "--colour"}, "unknown flag --colour"},
		{[]string{"report"}, `expected "<dir>"`},
		{[]string{"report", t.TempDir()}, "record.jsonl"},
		{[]string{"plan"}, `expected "<scenario>"`},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			status, out, errs := call(c.args...)
			if status != exitFailed || !strings.Contains(errs, c.want) || out != "" {
				t.Errorf("%d %q %q, want %q", status, out, errs, c.want)
			}
		})
	}
	if status, out, _ := call("--help"); status != 0 || !strings.Contains(out, "Usage") {
		t.Error("no help")
	}
}
