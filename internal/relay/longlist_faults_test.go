package relay

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A long list that breaks off in the middle of an entry must not count as complete. The entries before
// the break apply. No endpoint is removed because the list has not named it yet, the version of the list is not
// adopted, and the watch starts again from the old version. A list that stalls or never ends is abandoned.
func TestLongListThatBreaksOff(t *testing.T) {
	const destinations = 4000
	r, a := newTestRelay(t), newListAgent(t)
	addr, requests := nettest.RawServer(t, respondOK)
	reachable := endpointText("s-new", addr, 50, "ready")
	follow(t, r, a, func(c *discovery.Config) {
		c.IdleTimeout = 300 * time.Millisecond
		c.ListTimeout = 600 * time.Millisecond
	})
	complete := discoverytest.ListJSON(9, destinations, reachable)
	half := complete[:len(complete)*3/4]
	for half[len(half)-1] == '}' || half[len(half)-1] == ',' {
		half = half[:len(half)-1]
	}
	endpointCount := func() int { return r.catalog.EndpointCount() }
	expectWatch := func(what, want string) {
		t.Helper()
		stepLoopUntil(t, r, "a watch after "+what, func() bool {
			select {
			case got := <-a.indexes:
				if got != want {
					t.Errorf("after %s: a watch from version %s, want %s", what, got, want)
				}
				return true
			default:
				return false
			}
		})
	}
	expectWatch("the start", "1")
	a.sendLine(t, r, append(bytes.Clone(half), "CUT"...))
	expectWatch("a list that breaks off", "1")
	if n := endpointCount(); n < 1000 || n > 2*destinations || r.listVersion != 1 {
		t.Errorf("%d endpoints, want 1000 to %d; version %d, want 1", n, 2*destinations, r.listVersion)
	}
	if _, ok := r.catalog.Endpoint("s-1"); !ok {
		t.Error("endpoint s-1 was removed although the list broke off")
	}
	r.deliver(t, requests, "a", 50)
	a.sendLine(t, r, half) // the blank lines of the agent prevent the idle timeout, but not ListTimeout
	expectWatch("a list without end", "1")
	if r.listVersion != 1 {
		t.Errorf("version %d after a list without end, want 1", r.listVersion)
	}
	a.sendLine(t, r, complete)
	stepLoopUntil(t, r, "the complete list is known", func() bool { return r.listVersion == 9 })
	if n := endpointCount(); n != 2*destinations+1 {
		t.Errorf("%d endpoints, want %d", n, 2*destinations+1)
	}
	if _, ok := r.catalog.Endpoint("s-1"); ok {
		t.Error("endpoint s-1 is left although the complete list does not name it")
	}
}

// The versions of lists may start again from lower numbers. The complete list that the agent sent last applies,
// even if its version is lower than that of the list in force.
func TestLongListsOfOlderVersions(t *testing.T) {
	r, a := newTestRelay(t), newListAgent(t)
	follow(t, r, a)
	for _, l := range []struct{ version, destinations int }{{50, 3000}, {3, 2500}, {2, 2200}} {
		a.sendLine(t, r, discoverytest.ListJSON(l.version, l.destinations))
		stepLoopUntil(t, r, fmt.Sprint("version ", l.version), func() bool { return r.listVersion == int64(l.version) })
		if r.catalog.EndpointCount() != 2*l.destinations {
			t.Errorf("version %d: %d endpoints, want %d", l.version, r.catalog.EndpointCount(), 2*l.destinations)
		}
	}
}

// After an unreadable line of the watch, the relay fetches a snapshot, which may be a long list. Changes that the
// snapshot already contains are not applied again, whether their version is written before or after their entries.
func TestLongListReplacesUnreadableLine(t *testing.T) {
	const destinations = 3000
	for name, older := range map[string]func([]byte) []byte{
		"version first": func(entries []byte) []byte {
			return fmt.Appendf(nil, `{"version":6,"servers":[%s]}`, entries)
		},
		"version last": func(entries []byte) []byte {
			return fmt.Appendf(nil, `{"servers":[%s],"version":6}`, entries)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, a := newTestRelay(t), newListAgent(t)
			a.serveSnapshot(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(discoverytest.ListJSON(7, destinations))
			})
			follow(t, r, a)
			var entries []byte
			for i := range 2 * destinations {
				entries = append(append(entries, discoverytest.EndpointJSON(i, i/2, "draining")...), ',')
			}
			text := append([]byte(`{"version":5,"servers":[{"id`+"\n"), older(entries[:len(entries)-1])...)
			newer := "\n" + `{"version":8,"servers":[` + discoverytest.EndpointJSON(0, 0, "draining") + "]}\n"
			a.sendLine(t, r, append(text, newer...))
			stepLoopUntil(t, r, "the list is known", func() bool { return r.listVersion == 8 })
			if r.drainingEndpoints != 1 || r.catalog.EndpointCount() != 2*destinations {
				t.Errorf("%d of %d endpoints drain, want 1", r.drainingEndpoints, r.catalog.EndpointCount())
			}
		})
	}
}

// A list with an entry that is too long is rejected. One line of the log reports that with the size limit, and the
// list in force stays.
func TestOversizedEntry(t *testing.T) {
	var log lockedBuffer
	r := newTestRelay(t)
	a := newListAgent(t)
	r.log = slog.New(slog.NewTextHandler(&log, nil))
	a.serveSnapshot(func(w http.ResponseWriter, _ *http.Request) {
		id := strings.Repeat("x", 3*discovery.MaxEntrySize)
		_, _ = fmt.Fprintf(w, `{"version":9,"full":true,"servers":[{"id":%q}]}`, id)
	})
	follow(t, r, a, func(c *discovery.Config) { c.NeedsSnapshot = true })
	stepLoopUntil(t, r, "a watch is requested", func() bool { return len(a.indexes) > 0 })
	if n := log.count("endpoint list too long"); n != 1 || log.count("one entry is over 16384 bytes") == 0 {
		t.Errorf("\"endpoint list too long\" logged %d times, want 1: %s", n, log.String())
	}
	if _, ok := r.catalog.Endpoint("s-1"); !ok || r.catalog.EndpointCount() != 1 || r.listVersion != 1 {
		t.Errorf("%d endpoints, version %d", r.catalog.EndpointCount(), r.listVersion)
	}
}

// Fifty complete lists, each of endpoints that no earlier list has named, take hardly more memory than five of
// them: removed endpoints must leave nothing behind.
func TestMemoryAfterFiftyListsOfNewEndpoints(t *testing.T) {
	const endpoints = 2000
	r := newTestRelay(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var afterFive uint64
	for v := range 50 {
		entries := make([]discovery.Entry, endpoints)
		for i := range entries {
			entries[i].Endpoint = catalog.Endpoint{
				Endpoint: policy.Endpoint{
					ID:          fmt.Sprintf("h-%d-%d", v, i),
					Destination: policy.DestinationID(v*endpoints + i),
					Kind:        1,
					InService:   true,
				}, Addr: fmt.Sprintf("127.0.%d.%d:%d", i>>8, i&255, 1+v),
			}
		}
		applyLongList(r, true, int64(v), entries)
		if v == 4 {
			afterFive = heap()
		}
	}
	if afterFifty := heap(); r.catalog.EndpointCount() != endpoints || afterFifty > afterFive+afterFive/2 {
		t.Errorf("%d endpoints; %d bytes after 5 lists, %d after 50", r.catalog.EndpointCount(), afterFive, afterFifty)
	}
}
