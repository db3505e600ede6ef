package notify

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
)

func TestNotificationsAreRetriedUntilConfirmed(t *testing.T) {
	var mu sync.Mutex
	var posts, lines int
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		mu.Lock()
		defer mu.Unlock()
		if posts++; posts < 3 {
			w.WriteHeader([]int{500, 200}[posts-1]) // neither is 204
			return
		}
		for line := range strings.Lines(string(body)) {
			var n map[string]any
			if json.Unmarshal([]byte(line), &n) != nil || n["id"] == nil {
				t.Errorf("line %q", line)
			}
			lines++
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	taken := make(chan []uint32, 10)
	f := NewSender(slog.New(slog.DiscardHandler), discovery.NewClient(s.Listener.Addr().String()), func(ids []uint32) { taken <- ids })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.Add(Notification{MessageID: 1, TraceID: "a", Status: "undeliverable"}, Notification{MessageID: 2, TraceID: "b", Status: "deferred", RetryAfterMS: 500})
	go f.Run(ctx)
	select {
	case ids := <-taken:
		if len(ids) != 2 || lines != 2 || posts != 3 {
			t.Errorf("taken %v after %d requests, %d lines", ids, posts, lines)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("never taken")
	}
}
