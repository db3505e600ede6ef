package main

import (
	"io"
	"testing"
	"time"
)

const (
	// conditionTimeout is longer than any of the tests' conditions should need.
	conditionTimeout  = 15 * time.Second
	conditionInterval = 2 * time.Millisecond
)

// eventually waits until a condition is true. what names the condition.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionInterval) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// must ends the test if there is an error.
func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// closeQuietly closes what a test no longer needs. Its error says nothing about the relay.
func closeQuietly(c io.Closer) { _ = c.Close() }

// drain reads until the end, or until the relay closes the connection.
func drain(r io.Reader) { _, _ = io.Copy(io.Discard, r) }

// writeQuietly writes to a connection that the relay may have closed already.
func writeQuietly(w io.Writer, text string) { _, _ = io.WriteString(w, text) }
