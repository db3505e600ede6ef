// Package netconn provides the connection type that the relay uses both for clients and for endpoints. It limits
// how many bytes are read from a peer, exposes bytes that follow an HTTP message, and detects a peer that sends
// bytes or closes the connection while nothing is expected from it.
package netconn

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// MaxBodySize is the largest body of a message, a batch or a response, in bytes.
	MaxBodySize = 64 << 10
	// MaxWireSize limits a body as it is on the wire, in bytes. It allows for chunked bodies with very small
	// chunks.
	MaxWireSize = 8 * MaxBodySize
	// MaxHeaderSize limits the header of a request or a response, in bytes.
	MaxHeaderSize = 16 << 10
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// ErrReadBudget reports that the peer sent more bytes than AllowBytes permitted.
var ErrReadBudget = errors.New("peer sent more bytes than the read budget allows")

// Past is a deadline that has expired. Setting it makes reads and writes of a connection fail at once.
var Past = time.Unix(1, 0)

// Conn is a connection whose input is read through Reader. Only one goroutine may use it at a time, except for
// Pending, Discard and the deadline methods.
type Conn struct {
	net.Conn
	Reader     *bufio.Reader // reads through Conn.Read, and so within the read budget
	readBudget int           // number of bytes that may still be received
	returned   []byte        // received, and to be read again before the input of the connection
	throttle   *Throttle     // nil: none
	throttled  int           // bytes read since BeginThrottle
	abandoned  chan struct{} // closed by Abandon
	holdsSlot  bool          // a slot of throttle is taken
	watchDone  chan error    // receives the error of the watch's read; buffered, so that the watch ends without Unwatch
}

// New returns a Conn that wraps conn. AllowBytes must be called before the first read.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, abandoned: make(chan struct{})}
	c.Reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// AllowBytes permits the peer to send n more bytes. The limit guards against endless headers and bodies.
func (c *Conn) AllowBytes(n int) { c.readBudget = n }

// Read reads from the connection within the read budget. It is meant for Reader only; other code reads from Reader.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.returned) > 0 {
		return c.readReturned(b), nil
	}
	if c.readBudget <= 0 {
		return 0, ErrReadBudget
	}
	c.PauseThrottle()
	n, err := c.Conn.Read(b[:min(len(b), c.readBudget)])
	c.readBudget -= n
	if !c.resumeThrottle(n) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// readReturned reads bytes that were put back, which count as received already.
func (c *Conn) readReturned(b []byte) int {
	n := copy(b, c.returned)
	c.returned = c.returned[n:]
	if len(c.returned) == 0 {
		c.returned = nil
	}
	return n
}

// ExpireReadsAt sets the deadline of reads. Setting it can fail only on a closed connection. The next read reports
// that error.
func (c *Conn) ExpireReadsAt(deadline time.Time) { _ = c.SetReadDeadline(deadline) }

// ExpireWritesAt sets the deadline of writes. Setting it can fail only on a closed connection. The next write
// reports that error.
func (c *Conn) ExpireWritesAt(deadline time.Time) { _ = c.SetWriteDeadline(deadline) }

// ExpireAt sets the deadline of reads and writes. Setting it can fail only on a closed connection. The next read or
// write reports that error.
func (c *Conn) ExpireAt(deadline time.Time) { _ = c.SetDeadline(deadline) }

// Discard closes a connection that is no longer needed. It ignores the error, which has no consequence.
func (c *Conn) Discard() { _ = c.Close() }

// Watch starts a goroutine that detects whether the peer sends bytes or closes the connection while nothing is
// expected from it. When that happens, the goroutine calls onEvent if that is not nil. Unwatch must be called
// before the next read.
func (c *Conn) Watch(onEvent func()) {
	c.AllowBytes(readBufferSize)
	done := make(chan error, 1)
	c.watchDone = done
	go func() {
		_, err := c.Reader.Peek(1)
		done <- err
		if onEvent != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onEvent()
		}
	}()
}

// Unwatch ends a watch. open is false if the peer has closed the connection. quiet is false if the peer has closed
// it or sent bytes.
func (c *Conn) Unwatch() (open, quiet bool) {
	c.ExpireReadsAt(Past)
	err := <-c.watchDone
	c.ExpireReadsAt(time.Time{})
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.Buffered() > 0 {
		return err == nil, false
	}
	// A read fails after its deadline even if bytes arrived before, so the socket is checked as well.
	pending := c.Pending()
	return pending != PendingEnd, pending == PendingNone
}

// PendingInput describes the unread input of a connection in the kernel's receive buffer.
type PendingInput int

// The kinds of unread input.
const (
	PendingNone  PendingInput = iota // no unread bytes
	PendingBytes                     // the peer has sent bytes
	PendingEnd                       // the peer has closed the connection, or reads fail
)

// Pending reports the unread input of the connection, without waiting for more. Bytes that Reader has buffered do
// not count. Pending may be called while another goroutine reads.
func (c *Conn) Pending() PendingInput {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return PendingNone // not a socket, so there is no receive buffer
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return PendingEnd
	}
	pending := PendingEnd
	// RawConn.Read would wait until a concurrent read ends.
	err = raw.Control(func(fd uintptr) { pending = peekSocket(int(fd)) })
	if err != nil {
		return PendingEnd
	}
	return pending
}

// peekSocket checks for an unread byte of a socket without blocking or consuming it.
func peekSocket(fd int) PendingInput {
	var buffer [1]byte
	n, err := 0, error(syscall.EINTR)
	for errors.Is(err, syscall.EINTR) {
		n, _, err = syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return PendingNone
	case err == nil && n > 0:
		return PendingBytes
	}
	return PendingEnd
}
