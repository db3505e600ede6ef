package relayprocess

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
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
			t.Error("a closed server is reported ready")
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
		t.Errorf("%g bytes resident, peak %g", resident, peak)
	}
	if _, err := Memory(os.Getpid(), "VmNone"); err == nil {
		t.Error("a field that does not exist is found")
	}
}

func TestCPU(t *testing.T) {
	const used = 20 * time.Millisecond
	before, err := CPU(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	after := before
	for deadline := time.Now().Add(10 * time.Second); after < before+used && time.Now().Before(deadline); {
		if after, err = CPU(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if after < before+used {
		t.Errorf("a busy process used %v", after-before)
	}
	if _, err := CPU(-1); !errors.Is(err, errNoSchedstat) {
		t.Errorf("a process that does not exist gives %v", err)
	}
}

func TestFolderSize(t *testing.T) {
	folder := t.TempDir()
	if err := os.Mkdir(filepath.Join(folder, "inner"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, size := range map[string]int{"a": 10, "inner/b": 200} {
		if err := os.WriteFile(filepath.Join(folder, name), make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if size, err := FolderSize(folder); err != nil || size != 210 {
		t.Errorf("%g bytes, %v; want 210", size, err)
	}
	if _, err := FolderSize(filepath.Join(folder, "none")); err == nil {
		t.Error("a folder that does not exist has a size")
	}
}

func TestSubmission(t *testing.T) {
	s := Submission{ID: "m1", Destination: 7, TimeLeft: 1500 * time.Millisecond, Body: strings.NewReader("body")}
	req, err := s.NewRequest(t.Context(), "a:1")
	if err != nil {
		t.Fatal(err)
	}
	if req.Method != http.MethodPost || req.URL.String() != "http://a:1/order" {
		t.Errorf("%s %s", req.Method, req.URL)
	}
	for name, want := range map[string]string{
		"X-Trace-Id":      "m1",
		"X-Qos":           "order",
		"X-Customer":      "acme",
		"Idempotency-Key": "key-m1",
		"Envelope":        "dest=7",
		"X-Expires-In-Ms": "1500",
	} {
		if got := req.Header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

func TestWriteConfig(t *testing.T) {
	folder := t.TempDir()
	if err := WriteConfig(folder, map[string]any{"name": "n0", "settings": BaseSettings()}); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(ConfigFile(folder))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"name":"n0"`, `"open_cap":50`} {
		if !strings.Contains(string(data), want) {
			t.Errorf("%s lacks %s", data, want)
		}
	}
	if err := WriteConfig(folder, map[string]any{"name": make(chan int)}); err == nil {
		t.Error("a configuration that JSON cannot hold is written")
	}
}
