// Package nettest has the means that tests of network code share: connections of real sockets, a server that works on
// plain sockets, and a wait for a condition.
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

// Patience is longer than any condition takes to come true.
const Patience = 10 * time.Second

// OKResponse is the shortest response that reports success and keeps its connection open.
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// Eventually waits until condition holds, and fails the test if it does not within Patience.
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Close closes what a test is done with: an error would change nothing.
func Close(closer io.Closer) { _ = closer.Close() }

// CloseAtEnd closes it when the test ends.
func CloseAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { Close(closer) })
}

// Send writes text as far as the reader takes it. One that closes first does so for the test to see.
func Send(writer io.Writer, text string) { _, _ = io.WriteString(writer, text) }

// CloseWrite ends a TCP connection's sending side.
func CloseWrite(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }

// Reset closes a TCP connection in such a way that its peer sees a reset.
func Reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	Close(conn)
}

// Pair returns the two ends of a TCP connection: the tested side and its peer. Both close with the test.
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

// EchoServer returns the address of a server that sends back all that it receives. It closes with the test.
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

// RawServer reads whole requests on plain sockets and hands each to serve, with its number among all requests, from 1.
// serve writes the response and returns false to close the connection. The server closes with the test.
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
	defer Close(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if !serve(int(requests.Add(1)), conn, request) {
			return
		}
	}
}

// Dial opens a connection that closes with the test, and writes text on it.
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

// ReadResponse reads a response with its body, which it throws away.
func ReadResponse(t *testing.T, reader *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatalf("response: %v", err)
	}
	return response
}

// ExpectEnd reads a connection to its end. It fails the test if anything came before that, or the connection was reset.
func ExpectEnd(t *testing.T, what string, reader *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("%s: %d more bytes, then %v", what, len(rest), err)
	}
}

// ObservedConn is a TCP connection that counts the reads that ended with an error. Tests wrap the connections of the
// code under test in it, to see when that code has noticed the peer's end or a deadline.
type ObservedConn struct {
	*net.TCPConn
	failedReads atomic.Int32

	// Of a connection whose reads are held after the first one:
	reads    atomic.Int32
	held     chan struct{} // closed when a read waits
	released chan struct{} // closed when reads may go on
}

// Read reads from the connection.
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

// FailedReads returns how many reads ended with an error so far.
func (c *ObservedConn) FailedReads() int { return int(c.failedReads.Load()) }

// AwaitHeld waits until the connection's second read is held: see ListenHolding.
func (c *ObservedConn) AwaitHeld(t *testing.T) {
	t.Helper()
	select {
	case <-c.held:
	case <-time.After(Patience):
		t.Fatal("no second read began")
	}
}

// ReleaseReads lets held reads go on. It may be called once.
func (c *ObservedConn) ReleaseReads() { close(c.released) }

// Listener accepts TCP connections as ObservedConn.
type Listener struct {
	net.Listener
	accepted chan *ObservedConn
	holding  bool
}

// maxAccepted is how many connections a Listener accepts at most.
const maxAccepted = 1024

// Listen listens on a free port of this host until the test ends.
func Listen(t *testing.T) *Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	CloseAtEnd(t, listener)
	return &Listener{Listener: listener, accepted: make(chan *ObservedConn, maxAccepted)}
}

// ListenHolding is like Listen. Of each connection all reads but the first are held until ReleaseReads, so that what
// the peer sends meanwhile is in the system's hands and not read.
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

// Accepted returns the connections in the order in which they were accepted, one a call.
func (l *Listener) Accepted(t *testing.T) *ObservedConn {
	t.Helper()
	select {
	case conn := <-l.accepted:
		return conn
	case <-time.After(Patience):
		t.Fatal("no connection was accepted")
		return nil
	}
}
