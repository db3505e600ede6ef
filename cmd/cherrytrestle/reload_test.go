package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// serviceSettings returns the settings of class i in a decoded configuration.
func serviceSettings(config map[string]any, i int) map[string]any {
	return config["settings"].(map[string]any)["services"].([]any)[i].(map[string]any)
}

// TestSettingsChangeUnderSIGHUP reloads the configuration twice: with a class added, and then with another class
// removed. The new class's settings apply to its messages, and messages of the removed class are rejected. A
// configuration file that is incomplete or invalid changes nothing, not even the address of discovery. The metrics
// count accepted and rejected reloads.
func TestSettingsChangeUnderSIGHUP(t *testing.T) {
	endpoint := newEndpoint(t, failBadMessages)
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.kill()
	management := r.setManagement()
	r.start(platform)
	r.mustAccept("m1", 10*time.Second)
	waitMetric(t, management, "completed.order", "1")
	r.config["discovery"] = platform.addr()

	// Add a class whose messages must never be executed twice.
	next := deepCopy(t, r.config)
	settings := next["settings"].(map[string]any)
	payment := deepCopy(t, serviceSettings(next, 0))
	payment["name"] = "payment"
	payment["semantics"] = "unsafe"
	settings["services"] = append(settings["services"].([]any), payment)
	r.reload(encodeConfig(t, next))
	waitMetric(t, management, "config_reloads", "1")
	waitMetric(t, management, "failed.payment", "0")
	eventually(t, "a message of the new class is accepted", func() bool {
		status, _ := r.submit("bad1", 10*time.Second, withClass("payment"))
		return status == http.StatusAccepted
	})
	waitMetric(t, management, "failed.payment", "1")
	if n := endpoint.count("bad1"); n != 1 {
		t.Errorf("a message that must never be executed twice was sent %d times", n)
	}

	reloadInvalidConfigs(t, r, endpoint, management, next)

	// Remove the first class.
	settings["services"] = settings["services"].([]any)[1:]
	r.reload(encodeConfig(t, next))
	waitMetric(t, management, "config_reloads", "2")
	eventually(t, "the removed class is rejected", func() bool {
		status, _ := r.submit("late", 10*time.Second, nil)
		return status == http.StatusBadRequest
	})
	waitMetric(t, management, "members", "1")
	waitMetric(t, management, "pending", "0")
}

// failBadMessages fails calls with messages whose id begins with "bad".
func failBadMessages(w http.ResponseWriter, _ *http.Request, ids []string) {
	if strings.HasPrefix(ids[0], "bad") {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func encodeConfig(t testing.TB, config map[string]any) []byte {
	t.Helper()
	data, err := json.Marshal(config)
	must(t, err)
	return data
}

// reloadInvalidConfigs reloads configurations that are each invalid in a different way. Each also has another address
// of discovery and another name of the first class. The relay counts an error for each of them, and keeps its
// settings.
func reloadInvalidConfigs(
	t *testing.T, r *relayProcess, endpoint *fakeEndpoint, management string, valid map[string]any,
) {
	t.Helper()
	other := newPlatform(t)
	failures := 0
	for name, encodeInvalid := range invalidConfigs(t) {
		config := deepCopy(t, valid)
		config["discovery"] = other.addr()
		serviceSettings(config, 0)["name"] = "other"
		r.reload(encodeInvalid(config))
		failures++
		waitMetric(t, management, "config_reload_errors", fmt.Sprint(failures))
		if metric(t, management, "completed.other") != "" {
			t.Errorf("configuration %q is invalid, but was applied in part", name)
		}
		id := fmt.Sprint("still", failures)
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return endpoint.count(id) == 1 })
	}
	if len(other.watchIndexes()) > 0 {
		t.Error("the relay opened a watch at the address of discovery in an invalid configuration")
	}
}

// invalidConfigs returns functions that make a configuration invalid and encode it, by the name of the fault.
func invalidConfigs(t *testing.T) map[string]func(config map[string]any) []byte {
	t.Helper()
	return map[string]func(config map[string]any) []byte{
		"empty": func(map[string]any) []byte { return nil },
		"cut off": func(config map[string]any) []byte {
			data := encodeConfig(t, config)
			return data[:len(data)*2/3]
		},
		"no deadline": func(config map[string]any) []byte {
			delete(serviceSettings(config, 1), "give_up_ms")
			return encodeConfig(t, config)
		},
		"deadline 0": func(config map[string]any) []byte {
			serviceSettings(config, 0)["give_up_ms"] = 0
			return encodeConfig(t, config)
		},
		"no discovery": func(config map[string]any) []byte {
			delete(config, "discovery")
			return encodeConfig(t, config)
		},
		"attempts below 0": func(config map[string]any) []byte {
			setMaxAttempts(config["settings"].(map[string]any), -1)
			return encodeConfig(t, config)
		},
		"text for a number": func(config map[string]any) []byte {
			serviceSettings(config, 0)["give_up_ms"] = "soon"
			return encodeConfig(t, config)
		},
	}
}

// TestReadinessAndMetrics checks the answers at the management address while clients have many connections to the
// address for submissions. It also checks that the relay is not ready during its shutdown.
func TestReadinessAndMetrics(t *testing.T) {
	hold := make(chan struct{})
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-hold
		}
	})
	platform := newPlatform(t)
	r := newRelay(t, platform, []listEntry{
		newEntry("s-1", endpoint.addr(), "a", singleKind, "ready"),
		newEntry("s-2", endpoint.addr(), "a", singleKind, "draining"),
	}, nil)
	r.kill()
	management := r.setManagement()
	r.start(platform)
	ready := func() int {
		t.Helper()
		status, err := readiness(management)
		must(t, err)
		return status
	}
	if status := ready(); status != http.StatusOK {
		t.Errorf("readiness check: status %d, want %d", status, http.StatusOK)
	}
	for range 100 { // idle connections
		conn, err := net.Dial("tcp", r.addr)
		must(t, err)
		defer closeQuietly(conn)
	}
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "the call is in flight", func() bool { return endpoint.count("slow") == 1 })
	waitMetric(t, management, "pending", "1")
	waitMetric(t, management, "upstream_requests", "1")
	waitMetric(t, management, "members_unavailable", "1")
	r.signal(syscall.SIGTERM)
	eventually(t, "not ready", func() bool { return ready() == http.StatusServiceUnavailable })
	close(hold)
	must(t, r.cmd.Wait())
	r.cmd = nil
}

// TestReloadMovesAwayFromFaultyDiscovery changes the address of discovery while the server at the old address is
// faulty. The relay, in a fleet of 300, polls the new address at once and uses the list from there. Then the address
// is changed back, and the relay ends without an error after SIGTERM.
func TestReloadMovesAwayFromFaultyDiscovery(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"silent":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"aborted": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"429":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"503 with Retry-After": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) { testReloadAwayFrom(t, answer) })
	}
}

func testReloadAwayFrom(t *testing.T, answer http.HandlerFunc) {
	called := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case called <- struct{}{}:
		default:
		}
		answer(w, r)
	}))
	defer server.Close()
	defer server.CloseClientConnections()
	faulty := &fakePlatform{Server: server}
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	sound := newPlatform(t)
	sound.version = 7 // not the version of the relay's list
	sound.fullList = []listEntry{
		newEntry("s-1", one.addr(), "a", singleKind, "draining"),
		newEntry("s-2", two.addr(), "a", singleKind, "ready"),
	}
	list := one.list(singleKind, "ready")
	r := newRelay(t, faulty, list, func(settings map[string]any) { settings["fleet_size"] = 300 })
	<-called
	r.reloadDiscovery(sound)
	eventually(t, "a watch at the new address", func() bool { return len(sound.watchIndexes()) > 0 })
	if index := sound.watchIndexes()[0]; index != "7" {
		t.Errorf("the watch begins at version %s, want version 7 of the full list", index)
	}
	r.mustAccept("m1", 10*time.Second)
	eventually(t, "the endpoint of the new list", func() bool { return two.count("m1") == 1 })
	if n := one.count("m1"); n > 0 {
		t.Errorf("%d calls with m1 to the draining endpoint, want none", n)
	}
	r.reloadDiscovery(faulty)
	if err := r.terminate(); err != nil {
		t.Errorf("SIGTERM during the change of the address: the relay ended with %v", err)
	}
}

// TestUnreadableKnownList starts a relay with known lists in its configuration that are invalid or empty. The relay
// starts without a list, is ready when it has one from discovery, and keeps its accepted message.
func TestUnreadableKnownList(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "draining"), nil)
	r.mustAccept("m1", 12*time.Second) // the only endpoint is draining
	r.kill()
	for _, known := range []any{"none", 17, []any{}, map[string]any{"version": "new"}, map[string]any{}, nil} {
		r.config["known"] = known
		r.writeConfig()
		platform.disconnect(t)
		platform.publish(true, newEntry("s-1", endpoint.addr(), "a", singleKind, "draining"))
		r.start(platform)
		r.kill()
	}
	platform.disconnect(t)
	platform.publish(true, newEntry("s-1", endpoint.addr(), "a", singleKind, "ready"))
	r.start(platform)
	eventually(t, "m1 is delivered with the list from discovery", func() bool { return endpoint.count("m1") == 1 })
}

// deepCopy returns a copy of a configuration, in which all values have the types that JSON is decoded to.
func deepCopy(t testing.TB, config map[string]any) (copied map[string]any) {
	data, err := json.Marshal(config)
	must(t, err)
	must(t, json.Unmarshal(data, &copied))
	return copied
}
