package egress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A kept connection on which the host spoke or left in the moment of its next use carries no call: what stands there
// would be taken for the answer, and a message be lost as delivered.
func TestAKeptConnectionIsLookedAtBeforeItsUse(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"an answer that nobody asked for", func(conn net.Conn) { nettest.Send(conn, nettest.OKResponse) }},
		{"a close", func(conn net.Conn) { nettest.Close(conn) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := make(chan net.Conn, 2)
			addr, requests := nettest.RawServer(t, func(n int, conn net.Conn, _ *http.Request) bool {
				served <- conn
				if n > 1 {
					nettest.Send(conn, "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n")
				} else {
					nettest.Send(conn, nettest.OKResponse)
				}
				return true
			})
			h := newTestClient(t, testConfig())
			var observed *nettest.ObservedConn
			h.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
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
			if r := doCall(t, h, newCall(addr, "a")); r[0].Outcome != policy.OK {
				t.Fatalf("the first call: %v", r[0].Outcome)
			}
			kept := h.takeIdle(endpointAddr{"s-1", addr})
			kept.Unwatch()
			failedBefore := observed.FailedReads()
			kept.SetReadDeadline(netconn.Past) // its watch will see nothing
			kept.release()
			nettest.Eventually(t, "the watch has ended", func() bool { return observed.FailedReads() > failedBefore || requests.Load() > 1 })
			c.act(<-served)
			nettest.Eventually(t, "the system has it", func() bool { return kept.Pending() != netconn.PendingNone })
			if r := doCall(t, h, newCall(addr, "b")); r[0].Outcome != policy.Overloaded {
				t.Errorf("the second call: %v, want the host's own answer to it", r[0].Outcome)
			}
		})
	}
}

// A call that was held up on its way to a kept connection, as by a slow journal, is looked at again before it leaves.
func TestACallThatWasHeldUpIsLookedAtAgain(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	h := newTestClient(t, testConfig())
	if r := doCall(t, h, newCall(addr, "a")); r[0].Outcome != policy.OK {
		t.Fatalf("the first call: %v", r[0].Outcome)
	}
	for _, c := range []struct {
		held  time.Duration
		asked bool
	}{{-time.Hour, false}, {time.Second, true}} {
		asked := false
		again := newCall(addr, "b")
		again.SentAt = time.Now().Add(-c.held)
		r := h.Do(t.Context(), again, func() []*Attempt { asked = true; return nil })
		if asked != c.asked {
			t.Errorf("held up for %v: asked %v", c.held, asked)
		}
		if want := map[bool]policy.Outcome{true: policy.NotSent, false: policy.OK}[c.asked]; r[0].Outcome != want {
			t.Errorf("held up for %v: %v, want %v", c.held, r[0].Outcome, want)
		}
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests at the host", n)
	}
}

// The message with the most time may be over before the connection is up: the call is then no longer than what the rest
// has.
func TestACallIsNoLongerThanWhatStillLeaves(t *testing.T) {
	expires := make(chan string, 1)
	addr, _ := nettest.RawServer(t, func(_ int, _ net.Conn, req *http.Request) bool {
		expires <- req.Header.Get("X-Expires-In-Ms")
		return true
	})
	c := newCall(addr, "long", "short", "shorter")
	c.Attempts[1].Deadline = time.Now().Add(400 * time.Millisecond)
	c.Attempts[2].Deadline = time.Now().Add(200 * time.Millisecond)
	results := newTestClient(t, testConfig()).Do(t.Context(), c, func() []*Attempt { return c.Attempts[1:] })
	if ms, err := strconv.Atoi(<-expires); err != nil || ms > 400 {
		t.Errorf("the call tells that it waits %d ms, %v", ms, err)
	}
	for i, want := range []policy.Outcome{policy.NotSent, policy.Timeout, policy.Timeout} {
		if results[i].Outcome != want {
			t.Errorf("%s: %v, want %v", c.Attempts[i].TraceID, results[i].Outcome, want)
		}
	}
}
