package main

import (
	"net/http"
	"testing"
	"time"
)

// startTestRelay builds and starts a relay, and stops it at the end of the test.
func startTestRelay(t *testing.T, options relayOptions) *relay {
	t.Helper()
	b := &bench{quick: true, folder: t.TempDir(), log: t.Output()}
	if err := b.buildRelay(t.Context()); err != nil {
		t.Fatal(err)
	}
	r, err := b.startRelay(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.stop(); err != nil {
			t.Error(err)
		}
	})
	return r
}

// A relay with a backlog in its journal becomes ready, delivers the backlog and new messages, and sends messages to the
// new address of a destination that has moved.
func TestRelay(t *testing.T) {
	original, alternate := startEndpoints(1), startEndpoints(1)
	t.Cleanup(original.close)
	t.Cleanup(alternate.close)
	endpoints := listedEndpoints(3, closedAddr, stateReady)
	moving := endpoints[:endpointsPerDestination]
	for i := range moving {
		moving[i].Addr = original.addr(0)
	}
	r := startTestRelay(t, relayOptions{
		endpoints: endpoints,
		known:     true,
		memoryMB:  defaultMemoryMB,
		prepare:   func(stateFolder string) error { return fillJournal(stateFolder, 10, 1) },
	})
	if r.startupTime <= 0 || r.startupTime > startupTimeout {
		t.Errorf("startup time %v, want more than 0 and at most %v", r.startupTime, startupTimeout)
	}
	if memory, err := r.peakMemory(); err != nil || memory < 1<<20 {
		t.Errorf("peak memory %g bytes, want at least 1 MiB; error %v", memory, err)
	}
	// Before the move: a call that waits for its connection does not go to an address that the endpoint has left.
	for deadline := time.Now().Add(startupTimeout); original.calls.Load() < 1; time.Sleep(readyInterval) {
		if time.Now().After(deadline) {
			t.Fatal("no message of the backlog was delivered")
		}
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: submitTimeout}
	t.Cleanup(client.CloseIdleConnections)
	took, rejected, err := r.measureMove(t.Context(), client, moving, alternate, "move")
	if err != nil || took <= 0 {
		t.Errorf("move in effect after %v, %d messages rejected, error %v", took, rejected, err)
	}
	if cpu, err := r.cpuDuring(func() error { return sleep(t.Context(), time.Millisecond) }); err != nil || cpu < 0 {
		t.Errorf("processor time %v, error %v", cpu, err)
	}
}

// If the relay's binary does not exist, startRelay returns an error that is no timeout.
func TestRelayThatDoesNotStart(t *testing.T) {
	b := &bench{folder: t.TempDir(), relay: "/nonexistent", log: t.Output()}
	if r, err := b.startRelay(t.Context(), relayOptions{}); err == nil || isTimeout(t.Context(), err) {
		t.Errorf("relay %v, error %v; want an error that is no timeout", r, err)
	}
}
