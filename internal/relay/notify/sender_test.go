package notify

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// platform simulates a platform that confirms the third request and all later ones.
type platform struct {
	t *testing.T

	mu    sync.Mutex
	posts int
	lines int // number of lines in confirmed requests
}

func (p *platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.posts++
	if p.posts < 3 {
		w.WriteHeader([]int{http.StatusInternalServerError, http.StatusOK}[p.posts-1]) // neither is 204
		return
	}
	if err != nil {
		p.t.Error(err)
	}
	for line := range bytes.Lines(body) {
		var n map[string]any
		if json.Unmarshal(line, &n) != nil || n["id"] == nil {
			p.t.Errorf("line %q is not a JSON object with an \"id\"", line)
		}
		p.lines++
	}
	w.WriteHeader(http.StatusNoContent)
}

// Only status 204 confirms notifications. They are sent until the platform answers with 204, and not after that.
func TestNotificationsAreRetriedUntilConfirmed(t *testing.T) {
	p := &platform{t: t}
	server := httptest.NewServer(p)
	defer server.Close()
	confirmed := make(chan []policy.MessageID, 10)
	agent := discovery.NewClient(server.Listener.Addr().String())
	var retries atomic.Int32
	s := NewSender(slog.New(slog.DiscardHandler), agent,
		func(ids []policy.MessageID) { confirmed <- ids }, func() { retries.Add(1) })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.Add(
		Notification{MessageID: 1, TraceID: "a", Status: Undeliverable},
		Notification{MessageID: 2, TraceID: "b", Status: Deferred, RetryAfterMS: 500},
	)
	go s.Run(ctx)
	select {
	case ids := <-confirmed:
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(ids) != 2 || p.lines != 2 || p.posts != 3 || len(s.Pending()) != 0 || retries.Load() != 2 {
			t.Errorf("confirmed %v after %d requests, %d retries, %d lines; pending %v",
				ids, p.posts, retries.Load(), p.lines, s.Pending())
		}
	case <-time.After(nettest.Patience):
		t.Fatal("never confirmed")
	}
}

// copyingPlatform takes the first notifications of each connection. It rejects the next ones, and before that sends a
// second copy of the confirmation.
type copyingPlatform struct {
	mu    sync.Mutex
	conns map[net.Conn]bool // with a request that was confirmed
	taken []string          // ids of notifications
}

func (p *copyingPlatform) serve(_ int, conn net.Conn, request *http.Request) bool {
	const confirmation = "HTTP/1.1 204 No Content\r\n\r\n"
	var n struct {
		ID string `json:"id"`
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[conn] {
		nettest.Send(conn, confirmation+"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if json.NewDecoder(request.Body).Decode(&n) == nil {
		p.taken = append(p.taken, n.ID)
	}
	p.conns[conn] = true
	nettest.Send(conn, confirmation)
	return true
}

// A second copy of a confirmation must not confirm the next notifications, which the platform did not take.
func TestCopiedConfirmationConfirmsNothing(t *testing.T) {
	p := &copyingPlatform{conns: map[net.Conn]bool{}}
	addr, _ := nettest.RawServer(t, p.serve)
	confirmed := make(chan []policy.MessageID, 10)
	s := NewSender(slog.New(slog.DiscardHandler), discovery.NewClient(addr),
		func(ids []policy.MessageID) { confirmed <- ids }, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	ids := []string{"a", "b", "c"}
	for i, id := range ids {
		s.Add(Notification{MessageID: policy.MessageID(i), TraceID: id, Status: Undeliverable})
		select {
		case <-confirmed:
		case <-time.After(nettest.Patience):
			t.Fatalf("notification %s was never confirmed", id)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(p.taken, ids) {
		t.Errorf("confirmed %v, taken %v", ids, p.taken)
	}
}

// A notification is encoded in the form that the platform reads, without the relay's own message ID.
func TestNotificationsOnTheWire(t *testing.T) {
	for want, n := range map[string]Notification{
		`{"id":"a","status":"undeliverable"}`:           {MessageID: 1, TraceID: "a", Status: Undeliverable},
		`{"id":"b","status":"deferred","again_ms":500}`: {TraceID: "b", Status: Deferred, RetryAfterMS: 500},
		`{"id":"","status":"","again_ms":-1}`:           {RetryAfterMS: -1},
	} {
		got, err := json.Marshal(n)
		if err != nil || string(got) != want {
			t.Errorf("%s, %v; want %s", got, err, want)
		}
	}
}
