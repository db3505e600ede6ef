package main

import (
	"io"
	"testing"
	"time"
)

const (
	// conditionTimeout bounds the wait for a condition. It is longer than any condition should need.
	conditionTimeout  = 15 * time.Second
	conditionInterval = 2 * time.Millisecond
)

// eventually waits until the condition is true, and fails the test after conditionTimeout. what names the condition
// in the failure message.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", conditionTimeout, what)
		}
	}
}

// must fails the test immediately if err is not nil.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// closeQuietly closes c and ignores the error, because no test depends on it.
func closeQuietly(c io.Closer) { _ = c.Close() }

// drain reads and discards all data until the end or an error, such as a closed connection.
func drain(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// writeQuietly writes to a connection and ignores the error, because the relay may have closed the connection.
func writeQuietly(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
