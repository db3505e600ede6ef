package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// oldShape is how the shape of a file was taken when it was read as a tree.
func oldShape(t *testing.T, data []byte) reload.Shape {
	t.Helper()
	var file map[string]any
	if err := json.Unmarshal(data, &file); err != nil {
		t.Fatal(err)
	}
	if file["known"] != nil {
		file["known"] = true
	}
	values := map[string]string{}
	flatten(values, "", file)
	return reload.ShapeOf(values)
}

// A configuration is the same wherever its list of hosts stands and however its keys are ordered, and its shape is what
// it was.
func TestAConfigurationIsReadAsItComes(t *testing.T) {
	const one = `{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}`
	settings, head := `"settings":`+settingsJSON, `"name":"n3","limits":{"cores":2}`
	for _, c := range []struct {
		name, known string
		hosts       int // -1: the list is not read
		version     int64
	}{
		{"none", ``, 0, 0},
		{"null", `"known":null`, 0, 0},
		{"a short list", `"known":{"version":4,"full":true,"servers":[` + one + `]}`, 1, 4},
		{"its keys in another order", `"known" : {"servers":[` + one + `],"other":{"servers":[1]},"full":true,"version":4}`, 1, 4},
		{"no servers", `"known":{"version":4,"servers":null}`, 0, 4},
		{"a number", `"known":7`, -1, 0},
		{"servers that are none", `"known":{"version":4,"servers":{}}`, -1, 0},
		{"a version that is none", `"known":{"version":"x","servers":[` + one + `]}`, -1, 0},
		{"an entry without end", `"known":{"version":4,"servers":["` + strings.Repeat("x", 3*discovery.MaxEntrySize) + `"]}`, -1, 0},
		{"a long list", `"known":` + strings.TrimSpace(string(discoverytest.ListJSON(9, 3000, one))), 6001, 9},
		{"a long list with entries that cannot be read", `"known":` + strings.TrimSpace(string(discoverytest.ListJSON(9, 3000, `7`, `{"id":"x"}`, one))), 6001, 9},
	} {
		for _, order := range [][]string{{head, settings, c.known}, {c.known, head, settings}, {settings, c.known, head}} {
			text := []byte("{" + strings.Trim(strings.ReplaceAll(strings.Join(order, ","), ",,", ","), ",") + "}\n")
			for _, keep := range []bool{true, false} {
				cfg, err := parseConfigFile(bytes.NewReader(text), knownMode(keep))
				if err != nil {
					t.Fatalf("%s: %v", c.name, err)
				}
				hosts := len(cfg.Known.Entries)
				if cfg.KnownCatalog != nil {
					hosts = cfg.KnownCatalog.EndpointCount()
				}
				if (cfg.KnownErr != nil) != (c.hosts < 0) ||
					keep && c.hosts >= 0 && (hosts != c.hosts || cfg.Known.Version != c.version) ||
					!keep && hosts != 0 {
					t.Errorf(
						"%s, kept %v: %d hosts of version %d, %v",
						c.name,
						keep,
						hosts,
						cfg.Known.Version,
						cfg.KnownErr,
					)
				}
				if want := oldShape(t, text); !reload.Equal(
					reload.Config{Shape: cfg.Shape},
					reload.Config{Shape: want},
				) ||
					cfg.Name != "n3" ||
					cfg.Limits.Cores != 2 {
					t.Errorf("%s: shape %v, want %v", c.name, cfg.Shape, want)
				}
			}
		}
	}
	for _, text := range []string{``, `7`, `null`, `{"settings":` + settingsJSON, `{"settings":` + settingsJSON + `} x`, `{"settings":` + settingsJSON + `,"known":{"servers":[}}`} {
		if cfg, err := parseConfigFile(strings.NewReader(text), keepKnown); err == nil {
			t.Errorf("%q passes as %+v", text, cfg)
		}
	}
}

// The same file read again by SIGHUP changes nothing, and takes no room for the list in it.
func TestAReloadKeepsNoList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Appendf(
		nil,
		`{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`,
		discoverytest.ListJSON(4, 20_000),
		settingsJSON,
	)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	getenv := func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:0", "ROUTER_STATE": t.TempDir()}[name]
	}
	cfg, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.egress.Close(); r.closeJournal() })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	again, err := ReloadConfig(getenv)
	if err != nil || again.KnownCatalog != nil || len(again.Known.Entries) > 0 || !reload.Equal(cfg.Config, again.Config) {
		t.Fatalf("%v, %d hosts", err, len(again.Known.Entries))
	}
	if err := r.Reload(again, nil); err != nil || r.catalog.EndpointCount() != 40_000 {
		t.Errorf("%v, %d hosts", err, r.catalog.EndpointCount())
	}
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; took > uint64(len(text))/2 {
		t.Errorf("%d bytes were taken to read %d", took, len(text))
	}
}

// A process of a long list hands over what its module knows. The other one begins from the list that it knows itself,
// knows better of what is in use, and asks for the whole.
func TestTakingOverALongList(t *testing.T) {
	addr, requests := nettest.RawServer(t, answers)
	for name, edit := range map[string]func(*hotrestart.State){
		"the same form": func(*hotrestart.State) {}, "another form": func(s *hotrestart.State) { s.Snapshot = []byte{9} },
	} {
		t.Run(name, func(t *testing.T) {
			old := newTestRelay(t)
			tellLong(
				old,
				true,
				8,
				entriesOf(
					old,
					liveText("s-moved", "127.0.0.1:1", 50, "ready"),
					liveText("s-rest", addr, 60, "ready"),
					liveText("s-drains", addr, 61, "draining"),
				),
			)
			if a := decide(old, newHandIn("m", 61, 9*time.Second))[0]; a.Status != 202 {
				t.Fatalf("%+v", a)
			}
			if a := decide(old, newHandIn("out", 50, 9*time.Second))[0]; a.Status != 202 || len(old.activeCalls) != 1 {
				t.Fatalf("%+v", a)
			}
			cfg, err := parseConfig(fmt.Appendf(
				nil,
				`{"name":"n3","discovery":"127.0.0.1:1","known":%s,"settings":%s}`,
				discoverytest.ListJSON(
					4,
					3000,
					liveText("s-moved", addr, 77, "ready"),
					liveText("s-gone", "127.0.0.1:1", 61, "ready"),
				),
				settingsJSON,
			))
			if err != nil {
				t.Fatal(err)
			}
			cfg.StateDir = old.cfg.StateDir
			old.cfg = cfg
			r := successorOf(t, old, edit)
			w := r.discoveryConfig()
			if !w.NeedsSnapshot || r.catalog.EndpointCount() != 6002 || !r.largeList.Load() || r.pending != 2 {
				t.Errorf("asks for the whole %v, %d hosts, %d held", w.NeedsSnapshot, r.catalog.EndpointCount(), r.pending)
			}
			if got, want := ofModule(r), ofAwake(r); !sameListings(got, want) || len(got) != 2 || len(got[61]) != 1 ||
				got[61][0].InService {
				t.Errorf("the module knows %v, awake are %v", got, want)
			}
			was := requests.Load()
			r.step([]event{outcomeOf(0, 2, 0, 0)})
			tellLong(
				r,
				false,
				9,
				entriesOf(r, liveText("s-next", addr, 61, "ready"), liveText("s-rest", addr, 60, "ready")),
			)
			drive(
				t,
				r,
				"the one that waited is delivered",
				func() bool { return requests.Load() == was+1 && len(r.activeCalls) == 0 },
			)
			r.deliver(t, requests, "later", 60)
		})
	}
}
