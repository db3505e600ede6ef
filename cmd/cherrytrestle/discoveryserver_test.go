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

// discoveryServer is a fake of the platform for large lists, which it encodes only once. It serves any number of
// watches.
type discoveryServer struct {
	*httptest.Server
	fullList []byte // the line for polls, and for watches from a version before that of the list
	version  int    // of the full list

	mu      sync.Mutex
	changes [][]byte          // the lines of the versions after the full list's
	changed chan struct{}     // closed at the next change
	finals  map[string]string // the status of the last notification, by message id
}

// newDiscoveryServer starts a server with a list, which is closed at the end of the test.
func newDiscoveryServer(t *testing.T, version int, list []listEntry) *discoveryServer {
	t.Helper()
	fullList, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
	must(t, err)
	a := &discoveryServer{
		fullList: append(fullList, '\n'),
		version:  version,
		changed:  make(chan struct{}),
		finals:   map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		sent, err := strconv.Atoi(r.URL.Query().Get("index")) // the version that the relay has
		if err != nil || sent < version {
			sent = version
			_, _ = w.Write(a.fullList) // the relay may have closed the connection
		}
		for heartbeat := time.NewTicker(500 * time.Millisecond); r.URL.Query().Get("stream") != ""; {
			a.mu.Lock()
			lines := a.changes[sent-version:]
			changed := a.changed
			a.mu.Unlock()
			for _, line := range lines {
				_, _ = w.Write(line) // the relay may have closed the connection
			}
			sent += len(lines)
			w.(http.Flusher).Flush()
			select {
			case <-changed:
			case <-heartbeat.C:
				writeQuietly(w, "\n")
			case <-r.Context().Done():
				heartbeat.Stop()
				return
			}
		}
	})
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		received, _ := decodeNotifications(r.Body) // a request that breaks off is retried
		for _, notification := range received {
			a.finals[fmt.Sprint(notification["id"])] = fmt.Sprint(notification["status"])
		}
		w.WriteHeader(http.StatusNoContent)
	})
	a.Server = httptest.NewServer(mux)
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// destinationEntries returns entries of the destinations from one number up to another, with two endpoints for each. If
// no address is given, each endpoint has another one, at which nobody listens.
func destinationEntries(from, to int, addr string) (list []listEntry) {
	for d := from; d < to; d++ {
		for k := range 2 {
			unique := fmt.Sprintf("127.%d.%d.%d:%d", 1+d>>16, d>>8&255, d&255, 9000+k)
			list = append(list, listEntry{
				"id":     fmt.Sprintf("s-%06d-%d", d, k),
				"addr":   cmp.Or(addr, unique),
				"zone":   "ab"[k : k+1],
				"kind":   batchKind,
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

func (a *discoveryServer) addr() string { return a.Listener.Addr().String() }
