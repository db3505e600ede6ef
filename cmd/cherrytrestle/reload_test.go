package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// withManagement gives a relay a second address; the next process reads it from the file.
func withManagement(t testing.TB, r *relayProcess) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	must(t, closeForChild(l))
	r.config["management"] = l.Addr().String()
	r.writeConfig()
	return l.Addr().String()
}

// metric fetches the metrics and returns the value of one; "" if there is none.
func metric(t testing.TB, addr, name string) string {
	t.Helper()
	res, err := http.Get("http://" + addr + "/v1/metrics")
	must(t, err)
	defer closeQuietly(res.Body)
	data, err := io.ReadAll(res.Body)
	must(t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "router."+name+":"); ok {
			value, _, _ = strings.Cut(value, "|")
			return value
		}
	}
	return ""
}

func waitMetric(t testing.TB, addr, name, want string) {
	t.Helper()
	var got string
	defer func() {
		if got != want {
			t.Logf("%s is %q", name, got)
		}
	}()
	eventually(t, name+" "+want, func() bool {
		got = metric(t, addr, name)
		return got == want
	})
}

// deepCopy of a configuration, to be spoilt.
func deepCopy(t testing.TB, x map[string]any) (y map[string]any) {
	data, err := json.Marshal(x)
	must(t, err)
	must(t, json.Unmarshal(data, &y))
	return y
}

func serviceSettings(config map[string]any, i int) map[string]any {
	return config["settings"].(map[string]any)["services"].([]any)[i].(map[string]any)
}

// Settings change under SIGHUP: a class is added and its rules apply, another is removed. A file that is incomplete or
// invalid changes nothing, not even the address of discovery that it names. The metrics count all of it.
func TestSettingsChangeUnderSIGHUP(t *testing.T) {
	endpoint := newEndpoint(t, failBadMessages)
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	r.kill()
	management := withManagement(t, r)
	r.start(platform)
	r.mustAccept("m1", 10*time.Second)
	waitMetric(t, management, "completed.order", "1")
	r.config["discovery"] = platform.Listener.Addr().String()

	// One more class, whose messages must never run twice.
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
		t.Errorf("a message that may not run twice was sent %d times", n)
	}

	reloadInvalidConfigs(t, r, endpoint, management, next)

	// A class is removed. Its open messages end by its rules, also over a restart.
	settings["services"] = settings["services"].([]any)[1:]
	r.reload(encodeConfig(t, next))
	waitMetric(t, management, "config_reloads", "2")
	eventually(t, "the old class is rejected", func() bool {
		status, _ := r.submit("late", 10*time.Second, nil)
		return status == http.StatusBadRequest
	})
	waitMetric(t, management, "members", "1")
	waitMetric(t, management, "pending", "0")
}

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

// reload writes a configuration file and sends SIGHUP.
func (r *relayProcess) reload(data []byte) {
	r.t.Helper()
	must(r.t, os.WriteFile(filepath.Join(r.dir, "config.json"), data, 0o600))
	must(r.t, r.cmd.Process.Signal(syscall.SIGHUP))
}

// reloadInvalidConfigs reloads configurations that are each spoilt in another way, and name another discovery. The
// relay counts an error each time, and serves as before.
func reloadInvalidConfigs(t *testing.T, r *relayProcess, endpoint *fakeEndpoint, management string, valid map[string]any) {
	t.Helper()
	other := newPlatform(t)
	failures := 0
	for name, spoil := range invalidConfigs(t) {
		config := deepCopy(t, valid)
		config["discovery"] = other.Listener.Addr().String()
		serviceSettings(config, 0)["name"] = "other"
		r.reload(spoil(config))
		failures++
		waitMetric(t, management, "config_reload_errors", fmt.Sprint(failures))
		if metric(t, management, "completed.other") != "" {
			t.Errorf("%s: applied in part", name)
		}
		id := fmt.Sprint("still", failures)
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return endpoint.count(id) == 1 })
	}
	if len(other.watchIndexes()) > 0 {
		t.Error("the discovery of an invalid file was polled")
	}
}

// invalidConfigs are ways to spoil a configuration, by name.
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
			config["settings"].(map[string]any)["bounds"].(map[string]any)["send_cap"] = -1
			return encodeConfig(t, config)
		},
		"text for a number": func(config map[string]any) []byte {
			serviceSettings(config, 0)["give_up_ms"] = "soon"
			return encodeConfig(t, config)
		},
	}
}

// The second address answers while clients take many connections of the first, and is not ready during shutdown.
func TestReadinessAndMetrics(t *testing.T) {
	var endpoint *fakeEndpoint
	hold := make(chan struct{})
	endpoint = newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
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
	second := withManagement(t, r)
	r.start(platform)
	ready := func() int {
		res, err := http.Get("http://" + second + "/v1/readyz")
		must(t, err)
		closeQuietly(res.Body)
		return res.StatusCode
	}
	if status := ready(); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
	for range 100 { // they connect and say nothing
		c, err := net.Dial("tcp", r.addr)
		must(t, err)
		defer closeQuietly(c)
	}
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "the call is out", func() bool { return endpoint.count("slow") == 1 })
	waitMetric(t, second, "pending", "1")
	waitMetric(t, second, "upstream_requests", "1")
	waitMetric(t, second, "members_unavailable", "1")
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "not ready", func() bool { return ready() == http.StatusServiceUnavailable })
	close(hold)
	must(t, r.cmd.Wait())
	r.cmd = nil
}

// SIGHUP moves discovery while the old address is silent, breaks off or rejects callers: the relay, one of 300, follows
// the new one at once, and its list alone. SIGTERM in the middle of a move ends it in order, with its message stored or
// delivered.
func TestReloadMovesAwayFromFaultyDiscovery(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"silent":     func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"breaks off": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"429":        func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"503, a while": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			called := make(chan struct{}, 100)
			old := &fakePlatform{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case called <- struct{}{}:
				default:
				}
				answer(w, r)
			}))}
			defer old.Close()
			defer old.CloseClientConnections()
			one := newEndpoint(t, nil)
			two := newEndpoint(t, nil)
			second := newPlatform(t)
			second.version = 7 // it counts by itself
			second.fullList = []listEntry{
				newEntry("s-1", one.addr(), "a", singleKind, "draining"),
				newEntry("s-2", two.addr(), "a", singleKind, "ready"),
			}
			list := one.list(singleKind, "ready")
			r := newRelay(t, old, list, func(settings map[string]any) { settings["fleet_size"] = 300 })
			<-called
			r.config["discovery"] = second.Listener.Addr().String()
			r.writeConfig()
			must(t, r.cmd.Process.Signal(syscall.SIGHUP))
			eventually(t, "a watch at the new address", func() bool { return len(second.watchIndexes()) > 0 })
			if index := second.watchIndexes()[0]; index != "7" {
				t.Errorf("a watch from %s, want it from the full list's 7", index)
			}
			r.mustAccept("m1", 10*time.Second)
			eventually(t, "the endpoint of the new list", func() bool { return two.count("m1") == 1 })
			if n := one.count("m1"); n > 0 {
				t.Errorf("%d calls to a draining endpoint", n)
			}
			r.config["discovery"] = old.Listener.Addr().String()
			r.writeConfig()
			must(t, r.cmd.Process.Signal(syscall.SIGHUP))
			if err := r.terminate(); err != nil {
				t.Errorf("ended in the middle of a move: %v", err)
			}
		})
	}
}

// A known list that cannot be read or is empty counts as none: the relay starts, keeps its accepted messages, and is
// ready once it has a list from discovery.
func TestUnreadableKnownList(t *testing.T) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "draining"), nil)
	r.mustAccept("m1", 12*time.Second) // no endpoint accepts it
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
	eventually(t, "delivered once the list is known", func() bool { return endpoint.count("m1") == 1 })
}
