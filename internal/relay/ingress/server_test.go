package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// peerActs are actions of a peer just before a deadline, with the result expected from Pending.
var peerActs = []struct {
	name    string
	act     func(peer net.Conn)
	pending netconn.PendingInput
}{
	{"nothing", func(net.Conn) {}, netconn.PendingNone},
	{"part of a line", func(p net.Conn) { nettest.Send(p, "HTT") }, netconn.PendingBytes},
	{"a half-close", nettest.CloseWrite, netconn.PendingEnd},
	{"a close", func(p net.Conn) { nettest.Close(p) }, netconn.PendingEnd},
	{"a reset", nettest.Reset, netconn.PendingEnd},
	{"bytes and a close", func(p net.Conn) { nettest.Send(p, "x"); nettest.Close(p) }, netconn.PendingBytes},
}

const (
	getText  = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	postText = "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
)

// newTestServer returns a server that logs nothing.
func newTestServer(maxConns int, handler Handler) *Server {
	return New(Config{MaxConns: maxConns, Handler: handler, Log: slog.New(slog.DiscardHandler)})
}

// serve lets a server accept connections until the test ends.
func serve(t *testing.T, s *Server) (addr string) {
	t.Helper()
	listener := nettest.Listen(t)
	t.Cleanup(func() {
		listener.Close()
		s.Close(time.Now())
	})
	go s.Serve(listener)
	return listener.Addr().String()
}

// answerAll is a handler. It calls BeginHandling and EndHandling for a POST and accepts it. It responds to all
// other requests at once.
func answerAll(conn *Conn, request *http.Request) Response {
	if request.Method != http.MethodPost {
		return Response{Status: http.StatusOK}
	}
	if _, err := conn.ReadBody(request); err != nil {
		return ErrorResponse(err)
	}
	if !conn.BeginHandling() || !conn.EndHandling() {
		return Response{}
	}
	return Response{Status: http.StatusAccepted}
}

// A request that arrives completely before the server closes its connection gets a response, for whatever reason
// the connection is closed.
func TestRequestBeforeCloseIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		phase   phase
		close   func(t *testing.T, s *Server)
		closing bool
	}{
		{"idle, Drain", phaseIdle, func(_ *testing.T, s *Server) { s.Drain() }, true},
		{"idle, Close", phaseIdle, beginClose, true},
		{"new, Close", phaseNew, beginClose, true},
		{"idle, forced eviction", phaseIdle, func(_ *testing.T, s *Server) { s.makeRoom(true) }, false},
		{"new, forced eviction", phaseNew, func(_ *testing.T, s *Server) { s.makeRoom(true) }, false},
		{"idle, surplus", phaseIdle, func(_ *testing.T, s *Server) { s.maxKeptConns = 0; s.makeRoom(false) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var answered atomic.Int32
			s := newTestServer(100, func(_ *Conn, request *http.Request) Response {
				answered.Add(1)
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					t.Error(err)
				}
				return Response{Status: http.StatusAccepted}
			})
			tested, peer := nettest.Pair(t)
			conn := s.newConn(tested)
			conn.phase = c.phase
			conn.phaseSince = time.Now().Add(-time.Minute)
			s.conns[conn] = struct{}{}
			// Another connection may be closed instead. It is newer, so the tested connection is considered first.
			otherConn, _ := nettest.Pair(t)
			other := s.newConn(otherConn)
			other.phase = phaseIdle
			other.phaseSince = time.Now().Add(-surplusIdleTime / 2)
			s.conns[other] = struct{}{}
			if _, err := io.WriteString(peer, postText); err != nil {
				t.Fatal(err)
			}
			nettest.Eventually(t, "the request has arrived", func() bool {
				return conn.stream.Pending() == netconn.PendingBytes
			})
			c.close(t, s)
			served := make(chan struct{})
			go func() {
				defer close(served)
				s.serveConn(conn)
			}()
			response, err := http.ReadResponse(bufio.NewReader(peer), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			response.Body.Close()
			if response.StatusCode != http.StatusAccepted || response.Close != c.closing || answered.Load() != 1 {
				t.Errorf("status %d, closing %v", response.StatusCode, response.Close)
			}
			peer.Close()
			<-served
		})
	}
}

// beginClose starts to close a server. It returns when Close has checked all connections once.
func beginClose(t *testing.T, s *Server) {
	t.Helper()
	ended := make(chan struct{})
	s.DisableKeepAlive()
	go func() {
		defer close(ended)
		s.Close(time.Now().Add(nettest.Patience))
	}()
	t.Cleanup(func() { <-ended })
	nettest.Eventually(t, "Close has begun", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closed
	})
}

// A request that begins just before the connection's deadline is read. Without input, awaitRequest does not wait
// beyond the deadline.
func TestRequestInLastMoment(t *testing.T) {
	s := newTestServer(100, nil)
	for _, c := range peerActs {
		t.Run(c.name, func(t *testing.T) {
			tested, peer := nettest.Pair(t)
			conn := s.newConn(tested)
			c.act(peer)
			nettest.Eventually(t, c.name, func() bool { return conn.stream.Pending() == c.pending })
			if comes := conn.awaitRequest(netconn.Past); comes != (c.pending == netconn.PendingBytes) {
				t.Errorf("awaitRequest returned %v", comes)
			}
		})
	}
}

// A request that begins shortly before the connection's deadline still has lateRequestTimeout to arrive completely.
func TestRequestDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ left, want time.Duration }{
		{idleTimeout, requestTimeout},
		{requestTimeout, requestTimeout},
		{time.Second, time.Second},
		{time.Millisecond, lateRequestTimeout},
		{-time.Minute, lateRequestTimeout},
	} {
		if got := requestDeadline(now, now.Add(c.left)).Sub(now); got != c.want {
			t.Errorf("with %v left a request has %v, want %v", c.left, got, c.want)
		}
	}
}

// At the connection limit, silent and idle connections are closed to make room for clients that send requests.
func TestSilentAndIdleConnsMakeWay(t *testing.T) {
	const maxConns = 4
	s := newTestServer(460, answerAll)
	s.maxConns = maxConns
	addr := serve(t, s)
	kept := bufio.NewReader(nettest.Dial(t, addr, getText))
	nettest.ReadResponse(t, kept)
	for range 3 * maxConns {
		nettest.Dial(t, addr, "")
	}
	for i := range 2 * maxConns {
		reader := bufio.NewReader(nettest.Dial(t, addr, postText))
		if response := nettest.ReadResponse(t, reader); response.StatusCode != http.StatusAccepted {
			t.Errorf("request %d: status %d", i, response.StatusCode)
		}
	}
	nettest.ExpectEnd(t, "the connection that was idle longest", kept)
	if n := openConns(s); n > maxConns {
		t.Errorf("%d connections open, above the limit", n)
	}
}

// openConns returns how many connections a server has open.
func openConns(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// With more than maxKeptConns connections open, a response carries "Connection: close" and ends its connection.
// Otherwise clients that send one request and stay connected could hold all connections that clients may open.
func TestCrowdedServerKeepsNoConn(t *testing.T) {
	s := newTestServer(460, answerAll)
	s.maxKeptConns = 1
	addr := serve(t, s)
	conn := nettest.Dial(t, addr, getText)
	alone := bufio.NewReader(conn)
	if response := nettest.ReadResponse(t, alone); response.Close {
		t.Error("the only connection was closed")
	}
	second := bufio.NewReader(nettest.Dial(t, addr, getText))
	if response := nettest.ReadResponse(t, second); !response.Close {
		t.Error("a connection beyond maxKeptConns was kept")
	}
	nettest.ExpectEnd(t, "the second connection", second)
	nettest.Eventually(t, "the second connection is removed", func() bool { return openConns(s) == 1 })
	if _, err := io.WriteString(conn, getText); err != nil {
		t.Fatal(err)
	}
	if response := nettest.ReadResponse(t, alone); response.Close {
		t.Error("the connection was closed, though it was the only one again")
	}
}

// If the responses of all connections are awaited, a new connection waits until the first of them is finished.
func TestNoResponseIsCutOffToMakeRoom(t *testing.T) {
	handling, proceed := make(chan struct{}), make(chan struct{})
	s := newTestServer(1, func(conn *Conn, request *http.Request) Response {
		if _, err := conn.ReadBody(request); err != nil {
			return ErrorResponse(err)
		}
		if !conn.BeginHandling() {
			return Response{}
		}
		handling <- struct{}{}
		<-proceed
		if !conn.EndHandling() {
			return Response{}
		}
		return Response{Status: http.StatusAccepted}
	})
	addr := serve(t, s)
	first := bufio.NewReader(nettest.Dial(t, addr, postText))
	<-handling
	second := bufio.NewReader(nettest.Dial(t, addr, postText))
	proceed <- struct{}{}
	if response := nettest.ReadResponse(t, first); response.StatusCode != http.StatusAccepted {
		t.Errorf("the first: status %d", response.StatusCode)
	}
	<-handling
	proceed <- struct{}{}
	if response := nettest.ReadResponse(t, second); response.StatusCode != http.StatusAccepted {
		t.Errorf("the second: status %d", response.StatusCode)
	}
}

// A client that is still sending a large request receives the rejection. The server reads the remaining input
// first, because an early close would reset the connection and lose the response.
func TestRejectionIsReadBeforeClose(t *testing.T) {
	const size = 60 << 20
	addr := serve(t, newTestServer(100, answerAll))
	for _, length := range []string{fmt.Sprint(size), "x"} {
		t.Run("length "+length, func(t *testing.T) {
			conn := nettest.Dial(t, addr, "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: "+length+"\r\n\r\nbody")
			for range len(length) {
				if n, err := conn.Write(make([]byte, 1<<20)); err != nil {
					t.Fatalf("after %d bytes: %v", n, err)
				}
			}
			if _, err := io.CopyN(conn, zeros{}, size); err != nil {
				t.Fatalf("the server stopped reading the request: %v", err)
			}
			nettest.CloseWrite(conn)
			responses := bufio.NewReader(conn)
			response := nettest.ReadResponse(t, responses)
			if response.StatusCode != http.StatusRequestEntityTooLarge && response.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", response.StatusCode)
			}
			nettest.ExpectEnd(t, "after the rejection", responses)
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// A connection without input is closed within the 3 s that are promised to clients.
func TestSilentConnIsClosedInTime(t *testing.T) {
	began := time.Now()
	addr := serve(t, newTestServer(100, answerAll))
	nettest.ExpectEnd(t, "silent connection", bufio.NewReader(nettest.Dial(t, addr, "")))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}

// A header with both Content-Length and Transfer-Encoding is always detected.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: order\r\nX-Customer: bolt\r\n" +
		"Idempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := netconn.New(readConn{r: bytes.NewReader(data)})
		stream.AllowBytes(netconn.MaxHeaderSize)
		peeked, _ := stream.PeekHeader(func(int) bool { return true })
		received := bytes.Clone(peeked.Text)
		request, err := http.ReadRequest(stream.Reader)
		if err != nil || len(request.TransferEncoding) == 0 ||
			!bytes.Contains(bytes.ToLower(received), []byte("\ncontent-length:")) {
			return
		}
		// Only the header counts: bytes after it may contain the same text.
		header, _, _ := bytes.Cut(received, []byte("\r\n\r\n"))
		if bytes.Contains(bytes.ToLower(header), []byte("\r\ncontent-length:")) &&
			!hasConflictingLengths(received) {
			t.Errorf("%q: both lengths, but not detected", data)
		}
	})
}

// readConn is a connection whose input comes from r. It is not a socket, so it has no receive buffer to check.
type readConn struct {
	net.Conn
	r io.Reader
}

func (readConn) SetReadDeadline(time.Time) error { return nil }

func (c readConn) Read(b []byte) (int, error) { return c.r.Read(b) }
