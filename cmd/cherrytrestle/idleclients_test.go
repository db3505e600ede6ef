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
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// limitDescriptors has the system give the process so many descriptors at most.
func (r *relayProcess) limitDescriptors(descriptors uint64) {
	r.t.Helper()
	limit := syscall.Rlimit{Cur: descriptors, Max: descriptors}
	_, _, err := syscall.RawSyscall6(
		syscall.SYS_PRLIMIT64,
		uintptr(r.cmd.Process.Pid),
		syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)),
		0,
		0,
		0,
	)
	if err != 0 {
		r.t.Fatal(err)
	}
}

// dialMany has n clients connect, call first and stay until the relay closes the connection. Each connects again after
// a moment, until ctx ends.
func dialMany(ctx context.Context, addr string, n int, first func(net.Conn)) (wait func()) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { closeQuietly(conn) })
					first(conn)
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
	return all.Wait
}

// Idle clients fill the descriptors that the machine gives while discovery is down. The health answer, a new connection
// to an endpoint, and the call to discovery that finds it back still get theirs.
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
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets, "disk_mb": 3}
	r.writeConfig()
	r.start(platform)
	r.limitDescriptors(uint64(sockets))
	ctx, leave := context.WithCancel(context.Background())
	wait := dialMany(ctx, r.addr, 3*sockets, func(conn net.Conn) { writeQuietly(conn, request) })
	defer wait()
	defer leave()
	time.Sleep(500 * time.Millisecond) // until the clients have connected

	// Requests whose connection is closed unread are sent again, as clients do.
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
		one.CloseClientConnections() // the next call needs a connection of its own
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
		t.Errorf("%d descriptors: the clients fill none", descriptors)
	}
}

// newFailingDiscovery closes all connections while it is down, and lists one endpoint then.
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

// answersWith sends a request, and reports whether it is answered with this status.
func answersWith(client *http.Client, request *http.Request, status int) bool {
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	closeQuietly(response.Body)
	return response.StatusCode == status
}
