package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// withSecond gives a relay a second address; the next process reads it from the file.
func withSecond(t *testing.T, r *relayProcess) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	l.Close()
	r.config["management"] = l.Addr().String()
	r.writeConfig()
	return l.Addr().String()
}

// figure fetches the figures and returns the value of one; "" if there is none.
func figure(t *testing.T, addr, name string) string {
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

func counts(t *testing.T, addr, name, want string) {
	t.Helper()
	var got string
	defer func() {
		if got != want {
			t.Logf("%s is %q", name, got)
		}
	}()
	eventually(t, name+" "+want, func() bool { got = figure(t, addr, name); return got == want })
}

// deepCopy of a configuration, to be spoilt.
func deepCopy(t *testing.T, x map[string]any) (y map[string]any) {
	data, err := json.Marshal(x)
	must(t, err)
	must(t, json.Unmarshal(data, &y))
	return y
}

func service(config map[string]any, i int) map[string]any {
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
	h, p, lost := newHost(t, fail), newPlatform(t), newPlatform(t)
	r := newRelay(t, p, []member{listed("s-1", h.addr(), "a", "gateway", "ready")}, nil)
	r.kill()
	second := withSecond(t, r)
	r.start(p)
	r.take("m1", 10*time.Second)
	counts(t, second, "completed.order", "1")
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
	payment := deepCopy(t, service(next, 0))
	payment["name"], payment["semantics"] = "payment", "unsafe"
	set["services"] = append(set["services"].([]any), payment)
	hup(text(next))
	counts(t, second, "config_reloads", "1")
	counts(t, second, "failed.payment", "0")
	eventually(t, "the new class is taken", func() bool {
		status, _ := r.handIn("bad1", 10*time.Second, as("payment"))
		return status == http.StatusAccepted
	})
	counts(t, second, "failed.payment", "1")
	if n := h.count("bad1"); n != 1 {
		t.Errorf("a message that may not run twice was sent %d times", n)
	}

	errors := 0
	for name, spoil := range map[string]func(config map[string]any) []byte{
		"empty":   func(map[string]any) []byte { return nil },
		"cut off": func(c map[string]any) []byte { data := text(c); return data[:len(data)*2/3] },
		"no deadline": func(c map[string]any) []byte {
			delete(service(c, 1), "give_up_ms")
			return text(c)
		},
		"deadline 0":   func(c map[string]any) []byte { service(c, 0)["give_up_ms"] = 0; return text(c) },
		"no discovery": func(c map[string]any) []byte { delete(c, "discovery"); return text(c) },
		"attempts below 0": func(c map[string]any) []byte {
			c["settings"].(map[string]any)["bounds"].(map[string]any)["send_cap"] = -1
			return text(c)
		},
		"text for a number": func(c map[string]any) []byte { service(c, 0)["give_up_ms"] = "soon"; return text(c) },
	} {
		broken := deepCopy(t, next)
		broken["discovery"] = lost.Listener.Addr().String()
		service(broken, 0)["name"] = "other"
		hup(spoil(broken))
		errors++
		counts(t, second, "config_reload_errors", fmt.Sprint(errors))
		if figure(t, second, "completed.other") != "" {
			t.Errorf("%s: half taken", name)
		}
		id := fmt.Sprint("still", errors)
		r.take(id, 10*time.Second)
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
	counts(t, second, "config_reloads", "2")
	eventually(t, "the old class is turned away", func() bool {
		status, _ := r.handIn("late", 10*time.Second, nil)
		return status == http.StatusBadRequest
	})
	counts(t, second, "members", "1")
	counts(t, second, "pending", "0")
}

// The second address answers while clients crowd the first, and tells of the end.
func TestReadinessAndFigures(t *testing.T) {
	var h *host
	hold := make(chan struct{})
	h = newHost(t, func(_ http.ResponseWriter, _ *http.Request, ids []string) {
		if ids[0] == "slow" {
			<-hold
		}
	})
	p := newPlatform(t)
	r := newRelay(t, p, []member{listed("s-1", h.addr(), "a", "gateway", "ready"), listed("s-2", h.addr(), "a", "gateway", "draining")}, nil)
	r.kill()
	second := withSecond(t, r)
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
	r.take("slow", 10*time.Second)
	eventually(t, "the call is out", func() bool { return h.count("slow") == 1 })
	counts(t, second, "pending", "1")
	counts(t, second, "upstream_requests", "1")
	counts(t, second, "members_unavailable", "1")
	must(t, r.cmd.Process.Signal(syscall.SIGTERM))
	eventually(t, "not ready", func() bool { return ready() == http.StatusServiceUnavailable })
	close(hold)
	must(t, r.cmd.Wait())
	r.cmd = nil
}
