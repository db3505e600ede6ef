package main

import (
	"net/http"
	"testing"
	"time"
)

// startTestRelay builds and starts a relay that the test stops at its end.
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

// A relay with a backlog in its journal becomes ready, delivers what is submitted, and follows a move of a destination.
func TestRelay(t *testing.T) {
	here, there := startEndpoints(1), startEndpoints(1)
	t.Cleanup(here.close)
	t.Cleanup(there.close)
	endpoints := listedEndpoints(3, closedAddr, stateReady)
	moving := endpoints[:endpointsPerDestination]
	for i := range moving {
		moving[i].Addr = here.addr(0)
	}
	r := startTestRelay(t, relayOptions{
		endpoints: endpoints,
		known:     true,
		memoryMB:  defaultMemoryMB,
		prepare:   func(stateFolder string) error { return fillJournal(stateFolder, 10, 1) },
	})
	if r.startupTime <= 0 || r.startupTime > startupTimeout {
		t.Errorf("ready after %v", r.startupTime)
	}
	if memory, err := r.peakMemory(); err != nil || memory < 1<<20 {
		t.Errorf("%g bytes, %v", memory, err)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: submitTimeout}
	t.Cleanup(client.CloseIdleConnections)
	took, rejected, err := r.measureMove(t.Context(), client, moving, there, "move")
	if err != nil || took <= 0 {
		t.Errorf("moved after %v, %d messages rejected, %v", took, rejected, err)
	}
	if cpu, err := r.cpuDuring(func() error { return sleep(t.Context(), time.Millisecond) }); err != nil || cpu < 0 {
		t.Errorf("used %v, %v", cpu, err)
	}
	for deadline := time.Now().Add(startupTimeout); here.calls.Load() < 1; time.Sleep(readyInterval) {
		if time.Now().After(deadline) {
			t.Fatal("nothing of the backlog is delivered")
		}
	}
}

// A program that cannot be started is an error, and no timeout.
func TestRelayThatDoesNotStart(t *testing.T) {
	b := &bench{folder: t.TempDir(), relay: "/nonexistent", log: t.Output()}
	if r, err := b.startRelay(t.Context(), relayOptions{}); err == nil || isTimeout(t.Context(), err) {
		t.Errorf("%v, %v", r, err)
	}
}
