package egress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestConnsAreReused(t *testing.T) {
	const calls = 6
	var opened atomic.Int32
	var together sync.WaitGroup // holds each handler until all calls of its round have arrived
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		together.Done()
		together.Wait()
		nettest.Send(w, okBatchBody(t, r.Body)+strings.Repeat(" ", 9000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	client := newTestClient(t, testConfig())
	for round := range 3 {
		together.Add(calls)
		var done sync.WaitGroup
		for i := range calls {
			done.Go(func() {
				if r := doCall(t, client, newBatchCall(addrOf(s), fmt.Sprint(round, i))); r[0].Outcome != policy.OK {
					t.Errorf("outcome %v", r[0].Outcome)
				}
			})
		}
		done.Wait()
	}
	if n := opened.Load(); n != calls {
		t.Errorf("%d connections opened for %d concurrent calls", n, calls)
	}
}

func TestIdleConnsCloseBeforeKeepAliveEnds(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nettest.Send(w, okBatchBody(t, r.Body))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	config := testConfig()
	config.KeepAlive = 50 * time.Millisecond
	client := newTestClient(t, config)
	if r := doCall(t, client, newBatchCall(addrOf(s), "a")); r[0].Outcome != policy.OK {
		t.Fatalf("outcome %v", r[0].Outcome)
	}
	select {
	case <-closed: // by the client, as the server has no idle timeout
	case <-time.After(nettest.Patience):
		t.Error("the idle connection was not closed")
	}
}

func TestConnsAreBounded(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nettest.Send(w, okBatchBody(t, r.Body))
	})
	one, two := httptest.NewServer(ok), httptest.NewServer(ok)
	defer one.Close()
	defer two.Close()
	config := testConfig()
	config.MaxConns = 1
	config.ConnectTimeout = 100 * time.Millisecond
	client := newTestClient(t, config)
	for i, s := range []*httptest.Server{one, two, one} { // each call evicts the idle connection of the one before
		r := doCall(t, client, newBatchCall(addrOf(s), fmt.Sprint(i)))
		if n := openConns(client); r[0].Outcome != policy.OK || n != 1 {
			t.Errorf("call %d: outcome %v, %d open", i, r[0].Outcome, n)
		}
	}
	busy, _, err := client.getConn(t.Context(), newCall(addrOf(one), "b"))
	if err != nil {
		t.Fatal(err)
	}
	// The relay's own connection limit must not count as a failure of the endpoint.
	if r := doCall(t, client, newCall(addrOf(two), "a")); r[0].Outcome != policy.NotSent {
		t.Errorf("beyond the connection limit: outcome %v", r[0].Outcome)
	}
	busy.close(CloseNotWanted)
}

// The idle connections of a removed endpoint are closed. A new endpoint at the same address never uses them.
func TestRemovedEndpointLosesConns(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		nettest.Send(conn, okBatch(t, r))
		return true
	})
	client := newTestClient(t, testConfig())
	doCall(t, client, newBatchCall(addr, "a"))
	other := newBatchCall(addr, "b")
	other.EndpointID = "s-2"
	checked := false
	client.Do(t.Context(), other, func() []*Attempt {
		checked = true
		return other.Attempts
	})
	if n := openConns(client); !checked || n != 2 {
		t.Errorf("the call to another endpoint used the connection of the first: %d open", n)
	}
	client.CloseIdle("s-1")
	if n := openConns(client); n != 1 {
		t.Errorf("%d connections open after CloseIdle, want 1", n)
	}
}

// The client detects that an endpoint has closed an idle connection before it writes the next request on it.
func TestIdleCloseIsNoticed(t *testing.T) {
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		nettest.Send(conn, okBatch(t, r))
		return false
	})
	client := newTestClient(t, testConfig())
	for range 3 {
		if r := doCall(t, client, newBatchCall(addr, "a")); r[0].Outcome != policy.OK {
			t.Errorf("outcome %v", r[0].Outcome)
		}
		nettest.Eventually(t, "the client drops the closed connection", func() bool { return openConns(client) == 0 })
	}
}

// An idle connection must not be used if the endpoint has sent bytes on it or closed it just before its next use.
// The client would take those bytes for the response to the next call, and report a message as delivered that was
// not.
func TestIdleConnIsCheckedBeforeUse(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"an unexpected response", func(conn net.Conn) { nettest.Send(conn, nettest.OKResponse) }},
		{"a close", func(conn net.Conn) { nettest.Close(conn) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := make(chan net.Conn, 2)
			addr, requests := nettest.RawServer(t, func(n int, conn net.Conn, r *http.Request) bool {
				served <- conn
				if n > 1 {
					nettest.Send(conn, "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n")
				} else {
					nettest.Send(conn, okBatch(t, r))
				}
				return true
			})
			var observed *nettest.ObservedConn
			config := testConfig()
			config.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				dialed := &nettest.ObservedConn{TCPConn: conn.(*net.TCPConn)}
				if observed == nil {
					observed = dialed
				}
				return dialed, nil
			}
			client := newTestClient(t, config)
			if r := doCall(t, client, newBatchCall(addr, "a")); r[0].Outcome != policy.OK {
				t.Fatalf("the first call: %v", r[0].Outcome)
			}
			kept := client.takeIdle(endpointAddr{"s-1", addr}, newBatchCall(addr, "b"))
			kept.Unwatch()
			failedBefore := observed.FailedReads()
			kept.ExpireReadsAt(netconn.Past) // ends the watch before the endpoint's action
			kept.release()
			nettest.Eventually(t, "the watch has ended", func() bool {
				return observed.FailedReads() > failedBefore || requests.Load() > 1
			})
			c.act(<-served)
			nettest.Eventually(t, "input arrives", func() bool { return kept.Pending() != netconn.PendingNone })
			if r := doCall(t, client, newBatchCall(addr, "b")); r[0].Outcome != policy.Overloaded {
				t.Errorf("the second call: %v, want the endpoint's own response to it", r[0].Outcome)
			}
		})
	}
}
