package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// prepareRelay creates a relay's folder and configuration with an endpoint list, and chooses an unused address. It
// starts no process. change may be nil, or change the default settings.
func prepareRelay(t testing.TB, known []listEntry, change func(settings map[string]any)) *relayProcess {
	t.Helper()
	settings := defaultSettings()
	if change != nil {
		change(settings)
	}
	r := &relayProcess{
		t:      t,
		dir:    t.TempDir(),
		addr:   unusedAddr(t, randomLoopbackIP()),
		client: &http.Client{Timeout: 2 * time.Second},
	}
	must(t, os.Mkdir(relayprocess.StateFolder(r.dir), 0o700))
	r.config = map[string]any{
		"name":     "n0",
		"seed":     "8c1f30d27a5be964",
		"settings": settings,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
		"known":    map[string]any{"version": 1, "full": true, "servers": known},
	}
	r.writeConfig()
	t.Cleanup(func() {
		if r.cmd != nil {
			r.kill()
		}
		if t.Failed() {
			log, _ := os.ReadFile(r.logFile()) // without a log, the text is empty
			t.Logf("the relay's log:\n%s", log)
		}
	})
	return r
}

// defaultSettings returns the default settings of the tests: one class, one tenant and two kinds of destination.
func defaultSettings() map[string]any {
	settings := relayprocess.BaseSettings()
	settings["extra"] = map[string]any{
		"call_slots":      8,
		"per_call":        []int{10, 1},
		"separate_routes": []bool{false, true},
	}
	settings["kinds"] = []string{batchKind, singleKind}
	return settings
}

// setMaxPending sets the maximum number of pending messages: accepted ones without a final answer.
func setMaxPending(settings map[string]any, n int) {
	settings[relayprocess.BoundsSetting].(map[string]any)["open_cap"] = n
}

// setMaxAttempts sets the maximum number of attempts of a message; 0: no maximum.
func setMaxAttempts(settings map[string]any, n int) {
	settings[relayprocess.BoundsSetting].(map[string]any)["send_cap"] = n
}

// setMaxInFlightCalls sets the maximum number of calls in flight; 0: no maximum.
func setMaxInFlightCalls(settings map[string]any, n int) {
	settings["extra"].(map[string]any)["call_slots"] = n
}

// orderClass returns the settings of the class "order".
func orderClass(settings map[string]any) map[string]any {
	return settings[relayprocess.ServicesSetting].([]map[string]any)[0]
}

// withPayments adds the class "pay", whose messages are not idempotent and must never be executed twice.
func withPayments(settings map[string]any) {
	payments := map[string]any{
		"name":         "pay",
		"semantics":    "non_idempotent",
		"goal_time_ms": 1000,
		"give_up_ms":   16000,
		"value":        1,
	}
	classes := settings[relayprocess.ServicesSetting].([]map[string]any)
	settings[relayprocess.ServicesSetting] = append(classes, payments)
}

// writeConfig writes the configuration file.
func (r *relayProcess) writeConfig() {
	r.t.Helper()
	must(r.t, relayprocess.WriteConfig(r.dir, r.config))
}

// setLimits sets the relay's limits, and writes the configuration file.
func (r *relayProcess) setLimits(memoryMB, sockets int, diskMB float64) {
	r.t.Helper()
	r.config["limits"] = map[string]any{
		"cores": 1, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": diskMB,
	}
	r.writeConfig()
}

// setKnown sets the endpoint list that the next process starts with, and writes the configuration file.
func (r *relayProcess) setKnown(version int, list ...listEntry) {
	r.t.Helper()
	r.config["known"] = map[string]any{"version": version, "full": true, "servers": list}
	r.writeConfig()
}

// setManagement chooses a management address for the relay, and writes the configuration file. The next process
// listens on the returned address.
func (r *relayProcess) setManagement() (addr string) {
	r.t.Helper()
	addr = unusedAddr(r.t, randomLoopbackIP())
	r.config["management"] = addr
	r.writeConfig()
	return addr
}

// reload replaces the content of the configuration file and sends SIGHUP.
func (r *relayProcess) reload(text []byte) {
	r.t.Helper()
	must(r.t, os.WriteFile(relayprocess.ConfigFile(r.dir), text, 0o600))
	r.signal(syscall.SIGHUP)
}

// reloadDiscovery sets the address of discovery in the configuration file and sends SIGHUP.
func (r *relayProcess) reloadDiscovery(platform discovery) {
	r.t.Helper()
	r.config["discovery"] = platform.addr()
	r.writeConfig()
	r.signal(syscall.SIGHUP)
}
