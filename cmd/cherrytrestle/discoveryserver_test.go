package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// discoveryServer stands in for discovery with a list that is encoded once, however large it is.
type discoveryServer struct {
	*httptest.Server
	fullList []byte // for watches from an older version
	version  int    // of it

	mu      sync.Mutex
	changes [][]byte          // by version, from the next on
	changed chan struct{}     // closed, and made anew, with each
	finals  map[string]string // status by id
}

func newDiscoveryServer(t *testing.T, version int, list []listEntry) *discoveryServer {
	t.Helper()
	whole, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
	must(t, err)
	a := &discoveryServer{
		fullList: append(whole, '\n'),
		version:  version,
		changed:  make(chan struct{}),
		finals:   map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		has, err := strconv.Atoi(r.URL.Query().Get("index"))
		if err != nil || has < version {
			has = version
			_, _ = w.Write(a.fullList) // the relay may have gone
		}
		for beat := time.NewTicker(500 * time.Millisecond); r.URL.Query().Get("stream") != ""; {
			a.mu.Lock()
			lines := a.changes[has-version:]
			more := a.changed
			a.mu.Unlock()
			for _, line := range lines {
				_, _ = w.Write(line) // the relay may have gone
			}
			has += len(lines)
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-beat.C:
				writeQuietly(w, "\n")
			case <-r.Context().Done():
				beat.Stop()
				return
			}
		}
	})
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for lines := json.NewDecoder(r.Body); ; {
			var f struct{ ID, Status string }
			if err := lines.Decode(&f); err != nil {
				break // the end, or a notification that is retried
			}
			a.finals[f.ID] = f.Status
		}
		w.WriteHeader(http.StatusNoContent)
	})
	a.Server = httptest.NewServer(mux)
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// destinationEntries lists destinations of two endpoints each, each at an address of its own where none is given.
func destinationEntries(from, to int, addr string) (list []listEntry) {
	for d := from; d < to; d++ {
		for k := range 2 {
			// nobody is there, nor called
			own := cmp.Or(addr, fmt.Sprintf("127.%d.%d.%d:%d", 1+d>>16, d>>8&255, d&255, 9000+k))
			list = append(list, listEntry{
				"id":     fmt.Sprintf("s-%06d-%d", d, k),
				"addr":   own,
				"zone":   "ab"[k : k+1],
				"kind":   "platform",
				"cell":   d,
				"state":  "ready",
				"weight": 8.6,
			})
		}
	}
	return list
}

// publish sends a change to all watches.
func (a *discoveryServer) publish(t *testing.T, changes ...listEntry) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	line, err := json.Marshal(
		map[string]any{"version": a.version + len(a.changes) + 1, "full": false, "servers": changes},
	)
	must(t, err)
	a.changes = append(a.changes, append(line, '\n'))
	close(a.changed)
	a.changed = make(chan struct{})
}
