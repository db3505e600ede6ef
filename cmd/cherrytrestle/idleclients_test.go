package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startIdleClients starts n clients. Each client connects, writes the text and waits until the relay closes the
// connection. Then it connects again, until ctx is cancelled. The returned function waits until all clients have
// ended.
func startIdleClients(ctx context.Context, addr string, n int, text string) (wait func()) {
	var clients sync.WaitGroup
	for range n {
		clients.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { closeQuietly(conn) })
					writeQuietly(conn, text)
					drain(conn)
					stop()
					closeQuietly(conn)
				}
				select {
				case <-ctx.Done():
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return clients.Wait
}

// TestIdleClientsLeaveDescriptorsForTheOthers opens more idle connections than the relay may have file descriptors,
// while discovery is down. The relay still has descriptors for health checks, for new connections to endpoints, and
// for the connection to discovery when discovery is up again.
func TestIdleClientsLeaveDescriptorsForTheOthers(t *testing.T) {
	for _, c := range []struct {
		sockets int
		name    string
		request string
	}{
		{40, "silent", ""},
		{96, "silent", ""},
		{96, "idle after a request", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"},
		{96, "half a request", "POST /order HTTP/1.1\r\nHost: x\r\nContent-Le"},
	} {
		t.Run(fmt.Sprint(c.name, " ", c.sockets), func(t *testing.T) {
			t.Parallel()
			testIdleClients(t, c.sockets, c.request)
		})
	}
}

func testIdleClients(t *testing.T, sockets int, request string) {
	one := newEndpoint(t, nil)
	two := newEndpoint(t, nil)
	platform, down := newFailingDiscovery(t, newEntry("s-2", two.addr(), "a", singleKind, "ready"))
	r := prepareRelay(t, one.list(singleKind, "ready"), nil)
	r.setLimits(192, sockets, 3)
	r.start(platform)
	r.limitDescriptors(uint64(sockets))
	ctx, cancel := context.WithCancel(context.Background())
	wait := startIdleClients(ctx, r.addr, 3*sockets, request)
	defer wait()
	defer cancel()
	time.Sleep(500 * time.Millisecond) // until the clients have connected

	// A request whose connection is closed without an answer is sent again.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	accepted := func(id string) {
		t.Helper()
		eventually(t, id+" accepted", func() bool {
			return answersWith(client, r.request(id, 12*time.Second, nil), http.StatusAccepted)
		})
	}
	for i := range 5 {
		eventually(t, "a health answer", func() bool {
			health, err := http.NewRequest(http.MethodGet, "http://"+r.addr+"/_health", http.NoBody)
			must(t, err)
			return answersWith(client, health, http.StatusOK)
		})
		id := fmt.Sprint("m", i)
		accepted(id)
		eventually(t, id+" at the endpoint", func() bool { return one.count(id) > 0 })
		one.CloseClientConnections() // the next call needs a new connection
	}
	descriptors := r.descriptors()
	down.Store(false)
	eventually(t, "a message at the endpoint that discovery lists", func() bool {
		id := fmt.Sprint("n", time.Now().UnixNano())
		accepted(id)
		eventually(t, id+" delivered", func() bool { return one.count(id)+two.count(id) > 0 })
		return two.count(id) > 0
	})
	t.Logf("%d descriptors of %d", descriptors, sockets)
	if descriptors < sockets/5 {
		t.Errorf("%d descriptors in use, want at least %d: the idle clients use none", descriptors, sockets/5)
	}
}

// newFailingDiscovery starts a discovery server that closes all connections while down is true, and afterwards lists
// one endpoint.
func newFailingDiscovery(t *testing.T, entry listEntry) (platform *fakePlatform, down *atomic.Bool) {
	t.Helper()
	down = &atomic.Bool{}
	down.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			conn, _, err := w.(http.Hijacker).Hijack()
			must(t, err)
			closeQuietly(conn)
			return
		}
		list := map[string]any{"version": 9, "full": true, "servers": []listEntry{entry}}
		must(t, json.NewEncoder(w).Encode(list))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return &fakePlatform{Server: server}, down
}
