package relayprocess

import (
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
)

func TestCommand(t *testing.T) {
	cmd := Command(t.Context(), Settings{Program: "relay", Folder: "/f", Addr: "a:1", Discovery: "d:2"})
	for _, want := range []string{
		"ROUTER_LISTEN=a:1", "ROUTER_DISCOVERY=d:2", "ROUTER_STATE=/f/state", "ROUTER_CONFIG=/f/config.json",
	} {
		if !slices.Contains(cmd.Env, want) {
			t.Errorf("the environment lacks %s", want)
		}
	}
}

func TestReady(t *testing.T) {
	for status, want := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
		}))
		addr := server.Listener.Addr().String()
		if got := Ready(server.Client(), addr); got != want {
			t.Errorf("status %d: ready %v, want %v", status, got, want)
		}
		server.Close()
		if Ready(server.Client(), addr) {
			t.Error("a relay that is gone is ready")
		}
	}
}

func TestMemory(t *testing.T) {
	resident, err := Memory(os.Getpid(), ResidentMemory)
	if err != nil {
		t.Fatal(err)
	}
	peak, err := Memory(os.Getpid(), PeakMemory)
	if err != nil {
		t.Fatal(err)
	}
	if resident < 1<<20 || peak < resident/2 {
		t.Errorf("%g bytes, at the peak %g", resident, peak)
	}
	if _, err := Memory(os.Getpid(), "VmNone"); err == nil {
		t.Error("a field that does not exist is found")
	}
}
