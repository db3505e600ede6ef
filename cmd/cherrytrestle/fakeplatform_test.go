package main

import (
	"encoding/json"
	"errors"
	"fmt"
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
	batchKind  = "platform" // up to ten messages in a call, one rate limit for the destination
	singleKind = "gateway"  // one message in a call, one rate limit for each endpoint
)

// listEntry is an entry of the endpoint list.
type listEntry map[string]any

// newEntry returns the entry of an endpoint of destination 7.
func newEntry(id, addr, zone, kind, state string) listEntry {
	return listEntry{"id": id, "addr": addr, "zone": zone, "kind": kind, "cell": 7, "state": state, "weight": 500.0}
}

// fakePlatform is a fake of discovery and of the receiver of notifications.
type fakePlatform struct {
	*httptest.Server
	mu                sync.Mutex
	version           int
	lines             chan string // to be sent to the open watch
	indexes           []string    // the versions at which watches resumed
	notifications     []map[string]any
	failNotifications int          // how many more requests with notifications will fail
	fullList          []listEntry  // the answer to a poll
	watches           atomic.Int32 // number of open watches
}

// disconnect closes all connections and waits until no watch is open. Otherwise a watch that is about to end could
// receive the next line instead of the new watch.
func (p *fakePlatform) disconnect(t testing.TB) {
	t.Helper()
	p.CloseClientConnections()
	eventually(t, "no watch", func() bool { return p.watches.Load() == 0 })
}

// newPlatform starts a fake platform, which is closed at the end of the test.
func newPlatform(t testing.TB) *fakePlatform {
	platform := &fakePlatform{version: 1, lines: make(chan string, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		platform.mu.Lock()
		if r.URL.Query().Get("stream") == "" {
			defer platform.mu.Unlock()
			list := map[string]any{"version": platform.version, "full": true, "servers": platform.fullList}
			_ = json.NewEncoder(w).Encode(list) // the relay may have closed the connection
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
		received, err := decodeNotifications(r.Body)
		if err != nil {
			t.Errorf("decode notifications: %v", err)
		}
		platform.notifications = append(platform.notifications, received...)
		w.WriteHeader(http.StatusNoContent)
	})
	platform.Server = httptest.NewServer(mux)
	t.Cleanup(func() { platform.CloseClientConnections(); platform.Close() })
	return platform
}

// publish sends a full list, or a change of the list, to the watch.
func (p *fakePlatform) publish(full bool, entries ...listEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	line, _ := json.Marshal(map[string]any{"version": p.version, "full": full, "servers": entries})
	p.lines <- string(line)
}

// notification returns the first notification of a message, or nil.
func (p *fakePlatform) notification(id string) map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, notification := range p.notifications {
		if notification["id"] == id {
			return notification
		}
	}
	return nil
}

// statuses returns the distinct statuses of a message's notifications.
func (p *fakePlatform) statuses(id string) (all []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, notification := range p.notifications {
		if status := fmt.Sprint(notification["status"]); notification["id"] == id && !slices.Contains(all, status) {
			all = append(all, status)
		}
	}
	return all
}

// watchIndexes returns the versions at which watches resumed, in the order of the watches.
func (p *fakePlatform) watchIndexes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.indexes)
}

// notificationsToFail returns how many more requests with notifications will fail.
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

func (p *fakePlatform) addr() string { return p.Listener.Addr().String() }

// decodeNotifications reads notifications, one JSON object per line. With an error it also returns the notifications
// that were read before the error.
func decodeNotifications(body io.Reader) (notifications []map[string]any, err error) {
	for lines := json.NewDecoder(body); ; {
		var notification map[string]any
		switch err := lines.Decode(&notification); {
		case errors.Is(err, io.EOF):
			return notifications, nil
		case err != nil:
			return notifications, err
		}
		notifications = append(notifications, notification)
	}
}
