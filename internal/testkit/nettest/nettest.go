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

// Pair returns the two ends of a TCP connection: the tested side and its peer. Both close with the test.
func Pair(t *testing.T) (tested, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	tested, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		tested.Close()
		peer.Close()
	})
	if err := peer.SetDeadline(time.Now().Add(Patience)); err != nil {
		t.Fatal(err)
	}
	return tested, peer
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
	t.Cleanup(func() { listener.Close() })
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
	defer conn.Close()
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

// ObservedConn is a TCP connection that counts the reads that ended with an error. Tests wrap the connections of the
// code under test in it, to see when that code has noticed the peer's end or a deadline.
type ObservedConn struct {
	*net.TCPConn
	failedReads atomic.Int32
}

// Read reads from the connection.
func (c *ObservedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		c.failedReads.Add(1)
	}
	return n, err
}

// FailedReads returns how many reads ended with an error so far.
func (c *ObservedConn) FailedReads() int { return int(c.failedReads.Load()) }

// Listener accepts TCP connections as ObservedConn.
type Listener struct {
	net.Listener
	accepted chan *ObservedConn
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
	t.Cleanup(func() { listener.Close() })
	return &Listener{Listener: listener, accepted: make(chan *ObservedConn, maxAccepted)}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	observed := &ObservedConn{TCPConn: conn.(*net.TCPConn)}
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
