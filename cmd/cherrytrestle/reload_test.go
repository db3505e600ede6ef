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
	l.Close()
	r.config["management"] = l.Addr().String()
	r.writeConfig()
	return l.Addr().String()
}

// metric fetches the figures and returns the value of one; "" if there is none.
func metric(t testing.TB, addr, name string) string {
	t.Helper()
	res, err := http.Get("http://" + addr + "/v1/metrics")
	must(t, err)
	defer res.Body.Close()
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
	eventually(t, name+" "+want, func() bool { got = metric(t, addr, name); return got == want })
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

// Settings change under SIGHUP: a class comes, its rules bind, another goes; a file that is not whole or makes no sense
// changes nothing, not even the address of discovery that it names. The figures tell of all of it.
func TestSettingsChangeUnderSIGHUP(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request, ids []string) {
		if strings.HasPrefix(ids[0], "bad") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	h, p, lost := newEndpoint(t, fail), newPlatform(t), newPlatform(t)
	r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready")}, nil)
	r.kill()
	second := withManagement(t, r)
	r.start(p)
	r.mustAccept("m1", 10*time.Second)
	waitMetric(t, second, "completed.order", "1")
	r.config["discovery"] = p.Listener.Addr().String()
	hup := func(data []byte) {
		t.Helper()
		must(t, os.WriteFile(filepath.Join(r.dir, "config.json"), data, 0o600))
		must(t, r.cmd.Process.Signal(syscall.SIGHUP))
	}
	text := func(config map[string]any) []byte { data, err := json.Marshal(config); must(t, err); return data }

	// A class more, whose messages must never run twice.
	next := deepCopy(t, r.config)
	set := next["settings"].(map[string]any)
	payment := deepCopy(t, serviceSettings(next, 0))
	payment["name"], payment["semantics"] = "payment", "unsafe"
	set["services"] = append(set["services"].([]any), payment)
	hup(text(next))
	waitMetric(t, second, "config_reloads", "1")
	waitMetric(t, second, "failed.payment", "0")
	eventually(t, "the new class is taken", func() bool {
		status, _ := r.submit("bad1", 10*time.Second, withClass("payment"))
		return status == http.StatusAccepted
	})
	waitMetric(t, second, "failed.payment", "1")
	if n := h.count("bad1"); n != 1 {
		t.Errorf("a message that may not run twice was sent %d times", n)
	}

	errors := 0
	for name, spoil := range map[string]func(config map[string]any) []byte{
		"empty":   func(map[string]any) []byte { return nil },
		"cut off": func(c map[string]any) []byte { data := text(c); return data[:len(data)*2/3] },
		"no deadline": func(c map[string]any) []byte {
			delete(serviceSettings(c, 1), "give_up_ms")
			return text(c)
		},
		"deadline 0":   func(c map[string]any) []byte { serviceSettings(c, 0)["give_up_ms"] = 0; return text(c) },
		"no discovery": func(c map[string]any) []byte { delete(c, "discovery"); return text(c) },
		"attempts below 0": func(c map[string]any) []byte {
			c["settings"].(map[string]any)["bounds"].(map[string]any)["send_cap"] = -1
			return text(c)
		},
		"text for a number": func(c map[string]any) []byte { serviceSettings(c, 0)["give_up_ms"] = "soon"; return text(c) },
	} {
		broken := deepCopy(t, next)
		broken["discovery"] = lost.Listener.Addr().String()
		serviceSettings(broken, 0)["name"] = "other"
		hup(spoil(broken))
		errors++
		waitMetric(t, second, "config_reload_errors", fmt.Sprint(errors))
		if metric(t, second, "completed.other") != "" {
			t.Errorf("%s: half taken", name)
		}
		id := fmt.Sprint("still", errors)
		r.mustAccept(id, 10*time.Second)
		eventually(t, id, func() bool { return h.count(id) == 1 })
	}
	lost.mu.Lock()
	if len(lost.indexes) > 0 {
		t.Error("the discovery of a broken file was asked")
	}
	lost.mu.Unlock()

	// A class goes. What is open under it ends by its rules, also over a restart.
	set["services"] = set["services"].([]any)[1:]
	hup(text(next))
	waitMetric(t, second, "config_reloads", "2")
	eventually(t, "the old class is turned away", func() bool {
		status, _ := r.submit("late", 10*time.Second, nil)
		return status == http.StatusBadRequest
	})
	waitMetric(t, second, "members", "1")
	waitMetric(t, second, "pending", "0")
}

// The second address answers while clients crowd the first, and tells of the end.
func TestReadinessAndFigures(t *testing.T) {
	var h *endpoint
	hold := make(chan struct{})
	h = newEndpoint(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-hold
		}
	})
	p := newPlatform(t)
	r := newRelay(
		t,
		p,
		[]listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready"), newEntry("s-2", h.addr(), "a", "gateway", "draining")},
		nil,
	)
	r.kill()
	second := withManagement(t, r)
	r.start(p)
	ready := func() int {
		res, err := http.Get("http://" + second + "/v1/readyz")
		must(t, err)
		res.Body.Close()
		return res.StatusCode
	}
	if status := ready(); status != http.StatusOK {
		t.Errorf("ready: %d", status)
	}
	for range 100 { // they connect and say nothing
		c, err := net.Dial("tcp", r.addr)
		must(t, err)
		defer c.Close()
	}
	r.mustAccept("slow", 10*time.Second)
	eventually(t, "the call is out", func() bool { return h.count("slow") == 1 })
	waitMetric(t, second, "pending", "1")
	waitMetric(t, second, "upstream_requests", "1")
	waitMetric(t, second, "members_unavailable", "1")
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "not ready", func() bool { return ready() == http.StatusServiceUnavailable })
	close(hold)
	must(t, r.cmd.Wait())
	r.cmd = nil
}

// SIGHUP moves discovery while the old address is silent, breaks off or turns callers away: the relay, one of 300,
// hears the new one at once, and goes by its list alone; SIGTERM in the middle of a move ends it in order, with its
// message kept or delivered.
func TestDiscoveryMovesAwayFromOneInTrouble(t *testing.T) {
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
			old := &platform{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case called <- struct{}{}:
				default:
				}
				answer(w, r)
			}))}
			defer old.Close()
			defer old.CloseClientConnections()
			one, two := newEndpoint(t, nil), newEndpoint(t, nil)
			second := newPlatform(t)
			second.version = 7 // it counts by itself
			second.fullList = []listEntry{
				newEntry("s-1", one.addr(), "a", "gateway", "draining"),
				newEntry("s-2", two.addr(), "a", "gateway", "ready"),
			}
			r := newRelay(
				t,
				old,
				[]listEntry{newEntry("s-1", one.addr(), "a", "gateway", "ready")},
				func(set map[string]any) { set["fleet_size"] = 300 },
			)
			<-called
			r.config["discovery"] = second.Listener.Addr().String()
			r.writeConfig()
			must(t, r.cmd.Process.Signal(syscall.SIGHUP))
			eventually(
				t,
				"a watch at the new address",
				func() bool { second.mu.Lock(); defer second.mu.Unlock(); return len(second.indexes) > 0 },
			)
			second.mu.Lock()
			if second.indexes[0] != "7" {
				t.Errorf("a watch from %s, want it from the whole list's 7", second.indexes[0])
			}
			second.mu.Unlock()
			r.mustAccept("m1", 10*time.Second)
			eventually(t, "the host of the new list", func() bool { return two.count("m1") == 1 })
			if n := one.count("m1"); n > 0 {
				t.Errorf("%d calls to a host that drains", n)
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

// A known list that cannot be read or is empty is none: the relay starts, keeps what it had taken, and is ready once
// discovery has told one.
func TestAKnownListThatCannotBeRead(t *testing.T) {
	p, h := newPlatform(t), newEndpoint(t, nil)
	r := newRelay(t, p, []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "draining")}, nil)
	r.mustAccept("m1", 12*time.Second) // no host takes it
	r.kill()
	for _, known := range []any{"none", 17, []any{}, map[string]any{"version": "new"}, map[string]any{}, nil} {
		r.config["known"] = known
		r.writeConfig()
		p.disconnect(t)
		p.publish(true, newEntry("s-1", h.addr(), "a", "gateway", "draining"))
		r.start(p)
		r.kill()
	}
	p.disconnect(t)
	p.publish(true, newEntry("s-1", h.addr(), "a", "gateway", "ready"))
	r.start(p)
	eventually(t, "delivered once the list is told", func() bool { return h.count("m1") == 1 })
}
