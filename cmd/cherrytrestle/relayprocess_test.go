package main

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// maxShutdownTime is how long a relay may take to end after SIGTERM. After that time the platform may send SIGKILL.
const maxShutdownTime = 3700 * time.Millisecond

// relayProcess is a relay with its folder and address, which stay the same when its process is restarted.
type relayProcess struct {
	t       testing.TB
	program string // the binary; "": the running test binary
	dir     string
	addr    string
	cmd     *exec.Cmd // nil: no process
	client  *http.Client
	config  map[string]any // the content of the configuration file
	socket  *os.File       // the listening socket, if the platform passes it to the process
	env     []string       // environment variables in addition to those of the platform
}

// discovery is a server that a relay gets its endpoint list from.
type discovery interface{ addr() string }

// newRelay starts a relay with an endpoint list in its configuration. change may be nil, or change the default
// settings.
func newRelay(
	t testing.TB, platform discovery, known []listEntry, change func(settings map[string]any),
) *relayProcess {
	t.Helper()
	r := prepareRelay(t, known, change)
	r.start(platform)
	return r
}

// start starts a process and waits until it is ready. If the platform passes the listening socket to the process,
// start does not wait, because another process may answer on the same socket.
func (r *relayProcess) start(platform discovery) {
	r.t.Helper()
	r.launch(platform)
	if r.socket != nil {
		return
	}
	eventually(r.t, "ready", func() bool { return relayprocess.Ready(r.client, r.addr) })
}

// launch starts a process and does not wait until it is ready.
func (r *relayProcess) launch(platform discovery) {
	r.t.Helper()
	log, err := os.OpenFile(r.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(r.t, err)
	defer closeQuietly(log)
	r.cmd = relayprocess.Command(context.Background(), relayprocess.Settings{
		Program:   cmp.Or(r.program, os.Args[0]),
		Folder:    r.dir,
		Addr:      r.addr,
		Discovery: platform.addr(),
	})
	r.cmd.Stderr = log
	r.cmd.Env = append(r.cmd.Env, "CHERRYTRESTLE_TEST_RELAY=1")
	if r.socket != nil {
		r.cmd.ExtraFiles = []*os.File{r.socket}
		r.cmd.Env = append(r.cmd.Env, "ROUTER_INHERITED_FD=3")
	}
	r.cmd.Env = append(r.cmd.Env, r.env...)
	must(r.t, r.cmd.Start())
}

// logFile is the file that the relay's processes write their logs to.
func (r *relayProcess) logFile() string { return filepath.Join(r.dir, "log") }

// signal sends a signal to the process, which must be running.
func (r *relayProcess) signal(sig os.Signal) {
	r.t.Helper()
	must(r.t, r.cmd.Process.Signal(sig))
}

// kill kills the process and waits for its end.
func (r *relayProcess) kill() {
	killProcess(r.cmd)
	r.cmd = nil
	r.client.CloseIdleConnections()
}

// terminate sends SIGTERM and returns the error with which the process ended.
func (r *relayProcess) terminate() error {
	signalQuietly(r.cmd, syscall.SIGTERM)
	return r.wait()
}

// wait waits for the end of the process, and returns the error with which it ended.
func (r *relayProcess) wait() error {
	err := r.cmd.Wait()
	r.cmd = nil
	r.client.CloseIdleConnections()
	return err
}

// killProcess kills a process and waits for its end. It ignores both errors: Kill fails if the process has already
// ended, and Wait returns the signal as an error.
func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// signalQuietly sends a signal to a process, and ignores the error if the process has already ended.
func signalQuietly(cmd *exec.Cmd, sig os.Signal) { _ = cmd.Process.Signal(sig) }

// endedBySignal reports whether a process was ended by a signal that it did not catch.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
}
