package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// Bytes and ends that arrive in the very moment in which the relay uses or closes a connection. The order is made by
// hand: what reads a connection is held back until the system has what the peer sent.

// peerActs are what a peer may do in the last moment, and what is then to be seen of it.
var peerActs = []struct {
	name        string
	act         func(peer net.Conn)
	ahead       netconn.PendingInput
	open, quiet bool
}{
	{"nothing", func(net.Conn) {}, netconn.PendingNone, true, true},
	{"half a line", func(p net.Conn) { io.WriteString(p, "HTT") }, netconn.PendingBytes, true, false},
	{"its end", func(p net.Conn) { p.(*net.TCPConn).CloseWrite() }, netconn.PendingEnd, false, false},
	{"a close", func(p net.Conn) { p.Close() }, netconn.PendingEnd, false, false},
	{"a reset", func(p net.Conn) { p.(*net.TCPConn).SetLinger(0); p.Close() }, netconn.PendingEnd, false, false},
	{"bytes and its end", func(p net.Conn) { io.WriteString(p, "x"); p.Close() }, netconn.PendingBytes, true, false},
}

// A request that was whole before the relay closed its connection has an answer, whoever closes it and why.
func TestARequestThatCameBeforeTheCloseIsAnswered(t *testing.T) {
	const text = "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	for _, c := range []struct {
		name  string
		phase connPhase
		close func(t *testing.T, s *IngressServer)
		last  bool
	}{
		{"idle, at the signal", phaseIdle, func(_ *testing.T, s *IngressServer) { s.Drain() }, true},
		{"idle, at the end", phaseIdle, closing, true},
		{"silent, at the end", phaseNew, closing, true},
		{"idle, no room", phaseIdle, func(_ *testing.T, s *IngressServer) { s.makeRoom(true) }, false},
		{"silent, no room", phaseNew, func(_ *testing.T, s *IngressServer) { s.makeRoom(true) }, false},
		{"idle, little room", phaseIdle, func(_ *testing.T, s *IngressServer) { s.maxKeptConns = 0; s.makeRoom(false) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var answered atomic.Int32
			s := NewIngressServer(quiet(), 100, func(c *IngressConn, req *http.Request) Response {
				answered.Add(1)
				io.Copy(io.Discard, req.Body)
				return Response{Status: http.StatusAccepted}
			})
			ours, peer := nettest.Pair(t)
			x := &IngressConn{Conn: netconn.New(ours), phase: c.phase, phaseSince: time.Now().Add(-time.Minute)}
			s.conns[x] = struct{}{}
			// Beside it one that may go: it is the newer, and the last choice.
			other, _ := nettest.Pair(t)
			y := &IngressConn{Conn: netconn.New(other), phase: phaseIdle, phaseSince: time.Now().Add(-surplusIdleTime / 2)}
			s.conns[y] = struct{}{}
			if _, err := io.WriteString(peer, text); err != nil {
				t.Fatal(err)
			}
			nettest.Eventually(t, "the request is there", func() bool { return x.Pending() == netconn.PendingBytes })
			c.close(t, s)
			served := make(chan struct{})
			go func() { s.serveConn(x); close(served) }()
			res, err := http.ReadResponse(bufio.NewReader(peer), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if res.StatusCode != http.StatusAccepted || res.Close != c.last || answered.Load() != 1 {
				t.Errorf("status %d, the last %v", res.StatusCode, res.Close)
			}
			peer.Close()
			<-served
		})
	}
}

// closing begins the end of clients and returns when the first look at them is over.
func closing(t *testing.T, s *IngressServer) {
	ended := make(chan struct{})
	s.DisableKeepAlive()
	go func() { s.Close(time.Now().Add(nettest.Patience)); close(ended) }()
	t.Cleanup(func() { <-ended })
	nettest.Eventually(t, "the end has begun", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed })
}

// A request that comes in the last moment of a connection's time is read, one that never comes is not waited for; and
// what begins so late has a little longer to come whole.
func TestARequestInTheLastMomentOfAConnection(t *testing.T) {
	s := NewIngressServer(quiet(), 100, nil)
	for _, c := range peerActs {
		ours, peer := nettest.Pair(t)
		x := &IngressConn{Conn: netconn.New(ours)}
		c.act(peer)
		nettest.Eventually(t, c.name, func() bool { return x.Pending() == c.ahead })
		if comes := s.awaitRequest(x, netconn.Past); comes != (c.ahead == netconn.PendingBytes) {
			t.Errorf("%s: comes %v", c.name, comes)
		}
	}
	now := time.Unix(1000, 0)
	for _, c := range []struct{ left, whole time.Duration }{
		{idleTimeout, requestTimeout}, {requestTimeout, requestTimeout}, {time.Second, time.Second}, {time.Millisecond, lateRequestTimeout}, {-time.Minute, lateRequestTimeout},
	} {
		if got := requestDeadline(now, now.Add(c.left)).Sub(now); got != c.whole {
			t.Errorf("with %v left a request has %v, want %v", c.left, got, c.whole)
		}
	}
}

// What comes and goes on a whole relay at the moment of SIGTERM: clients that rest with a request on its way are
// answered.
func TestAPlannedEndAnswersWhatHadCome(t *testing.T) {
	r := newTestRelay(t)
	ctx, stop := context.WithCancel(context.Background())
	go r.loop(ctx)
	defer func() { stop(); <-r.loopDone }()
	ours, peer := nettest.Pair(t)
	x := &IngressConn{Conn: netconn.New(ours), phase: phaseIdle, phaseSince: time.Now()}
	r.ingress.mu.Lock()
	r.ingress.conns[x] = struct{}{}
	r.ingress.mu.Unlock()
	if _, err := io.WriteString(peer, handInText("m1")); err != nil {
		t.Fatal(err)
	}
	nettest.Eventually(t, "the request is there", func() bool { return x.Pending() == netconn.PendingBytes })
	r.ingress.Drain()
	go r.ingress.serveConn(x)
	if res := read(t, bufio.NewReader(peer)); res.StatusCode != http.StatusAccepted || !res.Close {
		t.Errorf("status %d, the last %v", res.StatusCode, res.Close)
	}
}

// addrOf is the address of a test's server.
func addrOf(s *httptest.Server) string { return s.Listener.Addr().String() }
