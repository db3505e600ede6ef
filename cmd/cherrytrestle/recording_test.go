package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

// runCommand runs a command line of the program in this process. It returns the exit status and what the command wrote
// to standard output and standard error.
func runCommand(args ...string) (status int, out, errs string) {
	var stdout, stderr bytes.Buffer
	streams := cli.Streams{Out: &stdout, Err: &stderr}
	status = cli.Run(context.Background(), "cherrytrestle", "", &commands{}, args, streams, cli.Failed)
	return status, stdout.String(), stderr.String()
}

// runRecorded starts a relay with this text of the operator's file, which turns on the recorder. It waits until four
// messages are delivered by an endpoint that rejects the first three calls.
func runRecorded(t *testing.T, operator string) (r *relayProcess) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	must(t, os.WriteFile(path, []byte(operator), 0o600))
	t.Setenv("CHERRYTRESTLE_OPERATOR", path)
	platform := newPlatform(t)
	rejections := 3
	var endpoint *fakeEndpoint
	endpoint = newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ []string) {
		endpoint.mu.Lock()
		defer endpoint.mu.Unlock()
		if rejections--; rejections >= 0 {
			w.Header().Set("Retry-After", "0.2")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	})
	r = prepareRelay(t, endpoint.list(singleKind, "ready"), nil)
	management := r.setManagement()
	r.start(platform)
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		r.mustAccept(id, 10*time.Second)
	}
	eventually(t, "all messages are delivered after the rejections", func() bool {
		return metric(t, management, "completed.order") == "4"
	})
	return r
}

// TestRecordingOfAProcess dumps the recording of a relay by SIGUSR1, and runs the commands that read recordings. The
// recording replays without a difference, explains what delayed a message, and has a note on why it was dumped. The
// replay of a damaged copy reports the damaged part.
func TestRecordingOfAProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	r := runRecorded(t, "[recorder]\nenabled = true\nfolder = \""+dir+"\"\n")
	r.signal(syscall.SIGUSR1)
	var paths []string
	eventually(t, "a recording", func() bool {
		paths, _ = filepath.Glob(filepath.Join(dir, "n0-*-sigusr1"+flightrecorder.FileExtension))
		return len(paths) == 1
	})
	r.kill()
	status, out, errs := runCommand("replay", paths[0])
	if status != 0 || !strings.Contains(out, "no difference") {
		t.Errorf("replay: status %d, %s%s", status, out, errs)
	}
	status, out, errs = runCommand("explain", "--message", "m2", paths[0])
	if status != 0 || !strings.Contains(out, "told to wait") || !strings.Contains(out, "delivered") ||
		!strings.Contains(out, "(m2)") {
		t.Errorf("explain --message m2: status %d, %s%s", status, out, errs)
	}
	for _, format := range []string{"text", "jsonl", "html"} {
		if status, out, errs := runCommand("explain", "--format", format, paths[0]); status != 0 || len(out) < 200 {
			t.Errorf("explain --format %s: status %d, %s%s", format, status, out, errs)
		}
	}
	if status, out, _ := runCommand("recording", "info", paths[0]); status != 0 ||
		!strings.Contains(out, "kept: SIGUSR1") {
		t.Errorf("recording info: status %d, %s", status, out)
	}
	data, err := os.ReadFile(paths[0])
	must(t, err)
	found, err := flightrecorder.Split(data)
	must(t, err)
	bad := filepath.Join(t.TempDir(), "bad")
	must(t, os.WriteFile(bad, data[:len(data)-3], 0o600))
	status, out, _ = runCommand("replay", bad)
	if status != 0 || !strings.Contains(out, "not read") || len(found) != 1 {
		t.Errorf("replay of a damaged copy: status %d, %s; %d recordings in the original", status, out, len(found))
	}
}

// TestRecordingInTheLog lets a relay write its recording to its log, kills the relay, and extracts the recording from
// the log. The extracted file replays without a difference, and a second extraction does not overwrite the file.
func TestRecordingInTheLog(t *testing.T) {
	r := runRecorded(t, "[recorder]\nenabled = true\nwrite = \"all\"\n[log]\nformat = \"json\"\n")
	log := filepath.Join(r.dir, "log")
	eventually(t, "the recording in the log", func() bool {
		status, out, _ := runCommand("explain", "--message", "m4", log)
		return status == 0 && strings.Contains(out, "delivered")
	})
	r.kill()
	out := t.TempDir()
	status, text, errs := runCommand("recording", "extract", "--out", out, log)
	path := strings.TrimSpace(text)
	if status != 0 || filepath.Dir(path) != out {
		t.Fatalf("recording extract: status %d, %s%s", status, text, errs)
	}
	if status, text, errs := runCommand("replay", path, log); status != 0 || strings.Count(text, "no difference") != 1 {
		t.Errorf("replay: status %d, %s%s", status, text, errs)
	}
	if status, _, errs := runCommand("recording", "extract", "--out", out, log); status != 1 ||
		!strings.Contains(errs, "exists") {
		t.Errorf("extraction over an existing file: status %d, %s; want status 1 and an error", status, errs)
	}
	data, err := os.ReadFile(log)
	must(t, err)
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "flight ") && !json.Valid([]byte(line)) {
			t.Errorf("the log has a line that is neither JSON nor a part of the recording: %.60s", line)
		}
	}
}

// TestCommandErrors checks the exit status and the message of commands that fail.
func TestCommandErrors(t *testing.T) {
	junk := filepath.Join(t.TempDir(), "junk")
	must(t, os.WriteFile(junk, []byte("[recorder]\nenabeld = true\n"), 0o600))
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"replay"}, cli.Usage, `expected "<file> ..."`},
		{[]string{"replay", "/nonexistent"}, cli.Usage, "/nonexistent"},
		{[]string{"replay", junk}, cli.Failed, "not a recording"},
		{[]string{"explain", "--format", "pdf", junk}, cli.Usage, "--format"},
		{[]string{"explain", "--message", "m", "--destination", "3", junk}, cli.Usage, "can't be used together"},
		{[]string{"dance"}, cli.Usage, "dance"},
		{[]string{"serve", "--operator", junk}, cli.Failed, "junk:2: unknown key recorder.enabeld"},
		{[]string{"serve", "--operator", "/nonexistent"}, cli.Failed, "no such file"},
		{nil, cli.Failed, "config"},
	} {
		status, _, errs := runCommand(c.args...)
		if status != c.status || !strings.Contains(errs, c.want) {
			t.Errorf("%v: status %d, error %q; want status %d, error with %q", c.args, status, errs, c.status, c.want)
		}
	}
	if status, out, _ := runCommand("--version"); status != 0 || !strings.Contains(out, "cherrytrestle") {
		t.Errorf("--version: status %d, %s", status, out)
	}
}
