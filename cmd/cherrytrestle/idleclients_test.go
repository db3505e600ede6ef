package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// dialMany has n clients connect, do what first does, and stay until the relay closes, each anew after a moment, until ctx
// ends.
func dialMany(ctx context.Context, addr string, n int, first func(net.Conn)) (wait func()) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					first(conn)
					io.Copy(io.Discard, conn)
					stop()
					conn.Close()
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
// to a host, and the call to discovery that finds it back still get theirs.
func TestIdleClientsLeaveDescriptorsForTheOthers(t *testing.T) {
	for _, c := range []struct {
		sockets int
		name    string
		first   func(net.Conn)
	}{
		{40, "silent", func(net.Conn) {}},
		{96, "silent", func(net.Conn) {}},
		{96, "resting after a request", func(conn net.Conn) { io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{96, "half a request", func(conn net.Conn) { io.WriteString(conn, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Le") }},
	} {
		t.Run(fmt.Sprint(c.name, " ", c.sockets), func(t *testing.T) {
			t.Parallel()
			one, two := newEndpoint(t, nil), newEndpoint(t, nil)
			var down atomic.Bool
			down.Store(true)
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if down.Load() {
					conn, _, err := w.(http.Hijacker).Hijack()
					must(t, err)
					conn.Close()
					return
				}
				list := map[string]any{
					"version": 9,
					"full":    true,
					"servers": []listEntry{newEntry("s-2", two.addr(), "a", "gateway", "ready")},
				}
				must(t, json.NewEncoder(w).Encode(list))
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(func() { agent.CloseClientConnections(); agent.Close() })
			p := &platform{Server: agent}
			r := prepareRelay(t, []listEntry{newEntry("s-1", one.addr(), "a", "gateway", "ready")}, nil)
			r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": c.sockets, "disk_mb": 3}
			r.writeConfig()
			r.start(p)
			r.limitDescriptors(uint64(c.sockets))
			ctx, leave := context.WithCancel(context.Background())
			wait := dialMany(ctx, r.addr, 3*c.sockets, c.first)
			defer wait()
			defer leave()
			time.Sleep(500 * time.Millisecond) // the crowd comes

			// What is shut unread comes again, as clients do.
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
			answered := func(req func() *http.Request, want int) func() bool {
				return func() bool {
					res, err := client.Do(req())
					if err != nil {
						return false
					}
					res.Body.Close()
					return res.StatusCode == want
				}
			}
			health := func() *http.Request {
				req, err := http.NewRequest(http.MethodGet, "http://"+r.addr+"/_health", nil)
				must(t, err)
				return req
			}
			for i := range 5 {
				eventually(t, "a health answer", answered(health, http.StatusOK))
				id := fmt.Sprint("m", i)
				eventually(
					t,
					id+" taken on",
					answered(func() *http.Request { return r.request(id, 12*time.Second, nil) }, http.StatusAccepted),
				)
				eventually(t, id+" at the host", func() bool { return one.count(id) > 0 })
				one.CloseClientConnections() // the next call needs a connection of its own
			}
			most := r.descriptors()
			down.Store(false)
			eventually(t, "a message at the host that discovery names", func() bool {
				id := fmt.Sprint("n", time.Now().UnixNano())
				eventually(
					t,
					id+" taken on",
					answered(func() *http.Request { return r.request(id, 12*time.Second, nil) }, http.StatusAccepted),
				)
				eventually(t, id+" delivered", func() bool { return one.count(id)+two.count(id) > 0 })
				return two.count(id) > 0
			})
			if t.Logf("%d descriptors of %d", most, c.sockets); most < c.sockets/5 {
				t.Errorf("%d descriptors: the crowd is none", most)
			}
		})
	}
}
