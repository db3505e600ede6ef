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

// peerActs are what a peer may do in the last moment, and what the system then holds of it.
var peerActs = []struct {
	name    string
	act     func(peer net.Conn)
	pending netconn.PendingInput
}{
	{"nothing", func(net.Conn) {}, netconn.PendingNone},
	{"half a line", func(p net.Conn) { nettest.Send(p, "HTT") }, netconn.PendingBytes},
	{"its end", nettest.CloseWrite, netconn.PendingEnd},
	{"a close", func(p net.Conn) { nettest.Close(p) }, netconn.PendingEnd},
	{"a reset", nettest.Reset, netconn.PendingEnd},
	{"bytes and its end", func(p net.Conn) { nettest.Send(p, "x"); nettest.Close(p) }, netconn.PendingBytes},
}

const (
	getText  = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
	postText = "POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
)

// newTestServer returns a server that logs nothing.
func newTestServer(maxConns int, handler Handler) *Server {
	return New(Config{MaxConns: maxConns, Handler: handler, Log: slog.New(slog.DiscardHandler)})
}

// serve has a server accept connections until the test ends.
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

// answerAll answers a POST as one that is handled, and all else at once.
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

// A request that has come to its end before the server closes its connection has a response, whoever closes it and why.
func TestRequestBeforeCloseIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		phase   phase
		close   func(t *testing.T, s *Server)
		closing bool
	}{
		{"idle, at the signal", phaseIdle, func(_ *testing.T, s *Server) { s.Drain() }, true},
		{"idle, at the end", phaseIdle, beginClose, true},
		{"new, at the end", phaseNew, beginClose, true},
		{"idle, no room", phaseIdle, func(_ *testing.T, s *Server) { s.makeRoom(true) }, false},
		{"new, no room", phaseNew, func(_ *testing.T, s *Server) { s.makeRoom(true) }, false},
		{"idle, little room", phaseIdle, func(_ *testing.T, s *Server) { s.maxKeptConns = 0; s.makeRoom(false) }, true},
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
			// Beside it one that may go: it is the newer, and the last choice.
			beside, _ := nettest.Pair(t)
			other := s.newConn(beside)
			other.phase = phaseIdle
			other.phaseSince = time.Now().Add(-surplusIdleTime / 2)
			s.conns[other] = struct{}{}
			if _, err := io.WriteString(peer, postText); err != nil {
				t.Fatal(err)
			}
			nettest.Eventually(t, "the request is there", func() bool {
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

// beginClose begins to close a server and returns when the first look at its connections is over.
func beginClose(t *testing.T, s *Server) {
	t.Helper()
	ended := make(chan struct{})
	s.DisableKeepAlive()
	go func() {
		defer close(ended)
		s.Close(time.Now().Add(nettest.Patience))
	}()
	t.Cleanup(func() { <-ended })
	nettest.Eventually(t, "the end has begun", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closed
	})
}

// A request that comes in the last moment of a connection's time is read, one that never comes is not waited for.
func TestRequestInLastMoment(t *testing.T) {
	s := newTestServer(100, nil)
	for _, c := range peerActs {
		t.Run(c.name, func(t *testing.T) {
			tested, peer := nettest.Pair(t)
			conn := s.newConn(tested)
			c.act(peer)
			nettest.Eventually(t, c.name, func() bool { return conn.stream.Pending() == c.pending })
			if comes := conn.awaitRequest(netconn.Past); comes != (c.pending == netconn.PendingBytes) {
				t.Errorf("a request comes: %v", comes)
			}
		})
	}
}

// What begins in the last moment of a connection's time has a little longer to come to its end.
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

// Connections that are silent, and those that are kept for nothing, make way for clients that have something to say.
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
			t.Errorf("%d: status %d", i, response.StatusCode)
		}
	}
	nettest.ExpectEnd(t, "the one that was idle longest", kept)
	if n := openConns(s); n > maxConns {
		t.Errorf("%d connections held", n)
	}
}

// openConns returns how many connections a server holds.
func openConns(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Where many connections are held, a response ends its own, and says so: clients that send one request and stay would
// else hold all that they all may have.
func TestCrowdedServerKeepsNoConn(t *testing.T) {
	s := newTestServer(460, answerAll)
	s.maxKeptConns = 1
	addr := serve(t, s)
	conn := nettest.Dial(t, addr, getText)
	alone := bufio.NewReader(conn)
	if response := nettest.ReadResponse(t, alone); response.Close {
		t.Error("not kept, though it is alone")
	}
	second := bufio.NewReader(nettest.Dial(t, addr, getText))
	if response := nettest.ReadResponse(t, second); !response.Close {
		t.Error("kept in a crowd")
	}
	nettest.ExpectEnd(t, "the second", second)
	nettest.Eventually(t, "room again", func() bool { return openConns(s) == 1 })
	if _, err := io.WriteString(conn, getText); err != nil {
		t.Fatal(err)
	}
	if response := nettest.ReadResponse(t, alone); response.Close {
		t.Error("not kept, though it is alone again")
	}
}

// Where the responses of all connections are awaited, a new one waits for the first that is done.
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

// The response is not lost with a connection that is reset under it, however much is still on its way.
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
				t.Fatalf("not read to its end: %v", err)
			}
			nettest.CloseWrite(conn)
			responses := bufio.NewReader(conn)
			response := nettest.ReadResponse(t, responses)
			if response.StatusCode != http.StatusRequestEntityTooLarge && response.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", response.StatusCode)
			}
			nettest.ExpectEnd(t, "the rest", responses)
		})
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// A connection on which nothing comes is closed within the 3 s that such a client is promised.
func TestSilentConnIsClosedInTime(t *testing.T) {
	began := time.Now()
	addr := serve(t, newTestServer(100, answerAll))
	nettest.ExpectEnd(t, "silent", bufio.NewReader(nettest.Dial(t, addr, "")))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}

// No header that gives its body's length in both ways passes.
func FuzzHeads(f *testing.F) {
	f.Add([]byte("POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: order\r\nX-Customer: bolt\r\n" +
		"Idempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := netconn.New(readConn{r: bytes.NewReader(data)})
		stream.AllowBytes(netconn.MaxHeaderSize)
		stream.StartCapture()
		request, err := http.ReadRequest(stream.Reader)
		if err != nil || len(request.TransferEncoding) == 0 ||
			!bytes.Contains(bytes.ToLower(stream.Captured()), []byte("\ncontent-length:")) {
			return
		}
		// The header alone counts: what stands behind it may still hold that text.
		header, _, _ := bytes.Cut(stream.Captured(), []byte("\r\n\r\n"))
		if bytes.Contains(bytes.ToLower(header), []byte("\r\ncontent-length:")) &&
			!hasConflictingLengths(request, stream.Captured()) {
			t.Errorf("%q passes", data)
		}
	})
}

// readConn gives out the bytes of a reader. It is no socket.
type readConn struct {
	net.Conn
	r io.Reader
}

func (readConn) SetReadDeadline(time.Time) error { return nil }

func (c readConn) Read(b []byte) (int, error) { return c.r.Read(b) }
