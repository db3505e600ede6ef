package main

import (
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// conditionTimeout is longer than any awaited condition takes.
const conditionTimeout = 15 * time.Second

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// closeQuietly closes what a test no longer needs: an error of that says nothing about the relay.
func closeQuietly(c io.Closer) { _ = c.Close() }

// closeForChild closes what a child process is to lock or bind next. A process that is being forked holds copies of all
// descriptors of this one until its own program begins, so the lock or the address would still be taken: forks in
// progress are waited for, and none begins meanwhile.
func closeForChild(c io.Closer) error {
	syscall.ForkLock.Lock()
	defer syscall.ForkLock.Unlock()
	return c.Close()
}

// drain reads until the end, or until the relay closes the connection.
func drain(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// writeQuietly writes to a connection that the relay may have closed already.
func writeQuietly(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// killProcess kills a process and waits for it. The errors are those of a process that has ended, or by the signal.
func killProcess(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// signalQuietly signals a process that may have ended.
func signalQuietly(cmd *exec.Cmd, sig os.Signal) { _ = cmd.Process.Signal(sig) }
