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

// discoveryServer is a fake platform for large endpoint lists. It encodes the full list only once, and serves any
// number of watches.
type discoveryServer struct {
	*httptest.Server
	fullList []byte // the encoded list, for polls and for watches that resume at an earlier version
	version  int    // of the full list

	mu      sync.Mutex
	changes [][]byte          // the encoded changes, one for each version after that of fullList
	changed chan struct{}     // closed and replaced at each change
	finals  map[string]string // the status of the last notification, by message id
}

// newDiscoveryServer starts a server that publishes the list. The server is closed at the end of the test.
func newDiscoveryServer(t *testing.T, version int, list []listEntry) *discoveryServer {
	t.Helper()
	fullList, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
	must(t, err)
	s := &discoveryServer{
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
			_, _ = w.Write(s.fullList) // the relay may have closed the connection
		}
		for heartbeat := time.NewTicker(500 * time.Millisecond); r.URL.Query().Get("stream") != ""; {
			s.mu.Lock()
			lines := s.changes[sent-version:]
			changed := s.changed
			s.mu.Unlock()
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
		s.mu.Lock()
		defer s.mu.Unlock()
		received, _ := decodeNotifications(r.Body) // an error is ignored: the relay retries an interrupted request
		for _, notification := range received {
			s.finals[fmt.Sprint(notification["id"])] = fmt.Sprint(notification["status"])
		}
		w.WriteHeader(http.StatusNoContent)
	})
	s.Server = httptest.NewServer(mux)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// destinationEntries returns the entries of the destinations with numbers in [from, to), with two endpoints for each
// destination. All endpoints have the address addr. If addr is "", each endpoint has a different address, on which no
// process listens.
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

// publish sends a change of the list to all watches.
func (s *discoveryServer) publish(t *testing.T, changes ...listEntry) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	line, err := json.Marshal(
		map[string]any{"version": s.version + len(s.changes) + 1, "full": false, "servers": changes},
	)
	must(t, err)
	s.changes = append(s.changes, append(line, '\n'))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *discoveryServer) addr() string { return s.Listener.Addr().String() }
