// Package nettest has helpers for tests of network code: connections over real sockets, servers that work on plain
// sockets, and a wait for a condition.
package nettest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Patience is the time after which a wait in a test fails. It is longer than any awaited condition takes.
const Patience = 10 * time.Second

// OKResponse is the shortest response that reports success and keeps its connection open.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Eventually waits until condition holds, and fails the test if it does not within Patience.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", Patience, what)
		}
	}
}

// Close closes what a test no longer needs. It ignores the error, which does not affect the test.
func Close(closer io.Closer) { _ = closer.Close() }

// CloseAtEnd closes closer when the test ends.
func CloseAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { Close(closer) })
}

// Send writes text and ignores errors. If the reader closes first, the test observes that at the reader.
func Send(writer io.Writer, text string) { _, _ = io.WriteString(writer, text) }

// CloseWrite shuts down the sending side of a TCP connection.
func CloseWrite(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// Reset closes a TCP connection so that its peer receives a reset.
func Reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	Close(conn)
}

// Pair returns the two ends of a TCP connection: that of the code under test and that of its peer. Both are closed
// when the test ends.
func Pair(t *testing.T) (tested, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer Close(listener)
	peer, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	tested, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, tested)
	CloseAtEnd(t, peer)
	if err := peer.SetDeadline(time.Now().Add(Patience)); err != nil {
		t.Fatal(err)
	}
	return tested, peer
}

// EchoServer returns the address of a server that sends back all that it receives. Its listener is closed when the
// test ends.
func EchoServer(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer Close(conn)
				_, _ = io.Copy(conn, conn) // an error shows at the client
			}()
		}
	}()
	return listener.Addr().String()
}

// RawServer starts an HTTP server on plain sockets. It reads each request whole and passes it to serve with its
// number, which counts the requests of all connections from 1. serve writes the response, and returns false to
// close the connection. RawServer returns the server's address and the number of requests so far. The listener is
// closed when the test ends.
func RawServer(
	t *testing.T,
	serve func(number int, conn net.Conn, request *http.Request) bool,
) (addr string, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener)
	requests = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, requests, serve)
		}
	}()
	return listener.Addr().String(), requests
}

// serveRaw serves one connection of a RawServer.
func serveRaw(conn net.Conn, requests *atomic.Int32, serve func(int, net.Conn, *http.Request) bool) {
	ServeRequests(conn, func(request *http.Request, body []byte) bool {
		request.Body = io.NopCloser(bytes.NewReader(body))
		return serve(int(requests.Add(1)), conn, request)
	})
}

// ServeRequests reads the requests of a connection one after another, and passes each to handle with its whole body,
// until handle returns false or the connection ends. Then it closes the connection.
func ServeRequests(conn net.Conn, handle func(request *http.Request, body []byte) bool) {
	defer Close(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !handle(request, body) {
			return
		}
	}
}

// Dial opens a connection that is closed when the test ends, and writes text to it.
func Dial(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, conn)
	if err := conn.SetDeadline(time.Now().Add(Patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// ReadResponse reads a response and discards its body.
func ReadResponse(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("read response: %v", err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatalf("read response body: %v", err)
	}
	return response
}

// ExpectEnd reads a connection to its end. It fails the test if data arrives before the end, or if the connection
// is reset.
func ExpectEnd(t *testing.T, what string, reader *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("%s: read %d bytes before the end, error %v", what, len(rest), err)
	}
}

// ObservedConn is a TCP connection that counts the reads that ended with an error. Tests pass it to the code under
// test, to observe when that code has received the peer's end of stream or reached a deadline.
type ObservedConn struct {
	*net.TCPConn
	failedReads atomic.Int32

	// The fields below are used only if reads after the first one are held: see ListenHolding.
	reads    atomic.Int32
	held     chan struct{} // closed when the second read begins
	released chan struct{} // closed when held reads may continue
}

// Read reads from the connection. If reads are held, all but the first wait for ReleaseReads.
func (c *ObservedConn) Read(b []byte) (int, error) {
	if c.held != nil && c.reads.Add(1) > 1 {
		if c.reads.Load() == 2 {
			close(c.held)
		}
		<-c.released
	}
	n, err := c.TCPConn.Read(b)
	if err != nil {
		c.failedReads.Add(1)
	}
	return n, err
}

// FailedReads returns how many reads have ended with an error so far.
func (c *ObservedConn) FailedReads() int { return int(c.failedReads.Load()) }

// AwaitHeld waits until the second read of the connection is held: see ListenHolding.
func (c *ObservedConn) AwaitHeld(t *testing.T) {
	t.Helper()
	select {
	case <-c.held:
	case <-time.After(Patience):
		t.Fatalf("no second read began within %v", Patience)
	}
}

// ReleaseReads lets held reads continue. It may be called only once.
func (c *ObservedConn) ReleaseReads() { close(c.released) }

// Listener accepts TCP connections and wraps each in an ObservedConn.
type Listener struct {
	net.Listener
	accepted chan *ObservedConn
	holding  bool
}

// maxAccepted is how many connections a Listener keeps for Accepted. If it is reached, Accept blocks.
const maxAccepted = 1024

// Listen listens on a free port of the loopback interface until the test ends.
func Listen(t *testing.T) *Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener)
	return &Listener{Listener: listener, accepted: make(chan *ObservedConn, maxAccepted)}
}

// ListenHolding is like Listen, but all reads of a connection after the first are held until ReleaseReads. What the
// peer sends meanwhile stays unread in the kernel's socket buffer.
func ListenHolding(t *testing.T) *Listener {
	t.Helper()
	listener := Listen(t)
	listener.holding = true
	return listener
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	observed := &ObservedConn{TCPConn: conn.(*net.TCPConn)}
	if l.holding {
		observed.held = make(chan struct{})
		observed.released = make(chan struct{})
	}
	l.accepted <- observed
	return observed, nil
}

// Accepted returns the next connection in the order in which they were accepted, and waits until there is one.
func (l *Listener) Accepted(t *testing.T) *ObservedConn {
	t.Helper()
	select {
	case conn := <-l.accepted:
		return conn
	case <-time.After(Patience):
		t.Fatalf("no connection was accepted within %v", Patience)
		return nil
	}
}
