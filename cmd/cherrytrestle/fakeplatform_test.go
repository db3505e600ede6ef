package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The kinds of destination in the settings of prepareRelay.
const (
	batchKind  = "platform" // up to ten messages in a call, a limit for the destination
	singleKind = "gateway"  // one message in a call, a limit for each endpoint
)

// listEntry is an entry of the endpoint list.
type listEntry map[string]any

// newEntry returns the entry of an endpoint of destination 7.
func newEntry(id, addr, zone, kind, state string) listEntry {
	return listEntry{"id": id, "addr": addr, "zone": zone, "kind": kind, "cell": 7, "state": state, "weight": 500.0}
}

// fakePlatform stands in for discovery, and for the receiver of notifications.
type fakePlatform struct {
	*httptest.Server
	mu                sync.Mutex
	version           int
	lines             chan string // to the watch
	indexes           []string    // that watches began from
	notifications     []map[string]any
	failNotifications int // so many requests with notifications fail first
	fullList          []listEntry
	watches           atomic.Int32 // that are answered
}

// disconnect ends all connections, and waits until no watch is answered any more: one that is about to end would take
// the next line with it.
func (p *fakePlatform) disconnect(t testing.TB) {
	t.Helper()
	p.CloseClientConnections()
	eventually(t, "no watch", func() bool { return p.watches.Load() == 0 })
}

func newPlatform(t testing.TB) *fakePlatform {
	platform := &fakePlatform{version: 1, lines: make(chan string, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		platform.mu.Lock()
		if r.URL.Query().Get("stream") == "" {
			defer platform.mu.Unlock()
			list := map[string]any{"version": platform.version, "full": true, "servers": platform.fullList}
			_ = json.NewEncoder(w).Encode(list) // the relay may have gone
			return
		}
		platform.indexes = append(platform.indexes, r.URL.Query().Get("index"))
		platform.mu.Unlock()
		platform.watches.Add(1)
		defer platform.watches.Add(-1)
		for {
			select {
			case line := <-platform.lines:
				writeQuietly(w, line+"\n")
			case <-time.After(500 * time.Millisecond):
				writeQuietly(w, "\n")
			case <-r.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	})
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		if platform.failNotifications > 0 {
			platform.failNotifications--
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		for lines := json.NewDecoder(r.Body); ; {
			var f map[string]any
			if err := lines.Decode(&f); err == io.EOF {
				break
			} else if err != nil {
				t.Errorf("notification: %v", err)
				break
			}
			platform.notifications = append(platform.notifications, f)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	platform.Server = httptest.NewServer(mux)
	t.Cleanup(func() { platform.CloseClientConnections(); platform.Close() })
	return platform
}

// publish sends a change of the list to the watch.
func (p *fakePlatform) publish(full bool, members ...listEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	line, _ := json.Marshal(map[string]any{"version": p.version, "full": full, "servers": members})
	p.lines <- string(line)
}

// notification returns the notification for a message, or nil.
func (p *fakePlatform) notification(id string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.notifications {
		if f["id"] == id {
			return f
		}
	}
	return nil
}

// watchIndexes are the versions that watches began from.
func (p *fakePlatform) watchIndexes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.indexes)
}

// notificationsToFail is how many more notifications the platform will fail.
func (p *fakePlatform) notificationsToFail() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failNotifications
}

func (p *fakePlatform) notificationCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.notifications)
}
