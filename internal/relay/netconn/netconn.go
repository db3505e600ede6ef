// Package netconn has the connection that both sides of the relay read HTTP messages from, the one to clients and the
// one to endpoints. It bounds what a peer can have read of it, shows what came beyond a message, and notices a peer
// that speaks or leaves out of turn.
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
	// MaxBodySize bounds a message's body, a batch's and a response's.
	MaxBodySize = 64 << 10
	// MaxWireSize bounds a body on the wire: one in chunks, however small they are.
	MaxWireSize = 8 * MaxBodySize
	// MaxHeaderSize bounds the header of a request or a response.
	MaxHeaderSize = 16 << 10
	// readBufferSize is how many bytes are read ahead.
	readBufferSize = 4 << 10
)

// ErrReadBudget reports that the peer sent more than AllowBytes let it.
var ErrReadBudget = errors.New("more bytes than are allowed here")

// Past is a deadline that has passed: with it, what reads or writes a connection ends at once.
var Past = time.Unix(1, 0)

// Conn is a connection from which messages are read by Reader. One goroutine uses it at a time, apart from Pending and
// the deadlines.
type Conn struct {
	net.Conn
	Reader     *bufio.Reader // reads through Read, and so within the budget
	readBudget int           // bytes that may still come
	capturing  bool
	captured   []byte     // what came since StartCapture
	watchDone  chan error // how the watch's read ended; buffered, so that a watch ends also if nobody asks
}

// New returns a Conn on a connection. AllowBytes must be called before the first read.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.Reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// AllowBytes lets n more bytes come. It guards against headers and bodies without end.
func (c *Conn) AllowBytes(n int) { c.readBudget = n }

// Read reads within the budget. It is there for Reader; others read from that one.
func (c *Conn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, ErrReadBudget
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readBudget)])
	c.readBudget -= n
	if c.capturing {
		c.captured = append(c.captured, b[:n]...)
	}
	return n, err
}

// ExpireReadsAt sets the deadline of reads. It can fail only on a closed connection, which the next read reports.
func (c *Conn) ExpireReadsAt(deadline time.Time) { _ = c.SetReadDeadline(deadline) }

// ExpireWritesAt sets the deadline of writes. It can fail only on a closed connection, which the next write reports.
func (c *Conn) ExpireWritesAt(deadline time.Time) { _ = c.SetWriteDeadline(deadline) }

// ExpireAt sets the deadline of reads and writes. It can fail only on a closed connection, which the next one reports.
func (c *Conn) ExpireAt(deadline time.Time) { _ = c.SetDeadline(deadline) }

// Discard closes a connection that is of no further use, so that an error changes nothing.
func (c *Conn) Discard() { _ = c.Close() }

// StartCapture has all that is read ahead or comes from here on kept as it is on the wire, until StopCapture.
func (c *Conn) StartCapture() {
	buffered, _ := c.Reader.Peek(c.Reader.Buffered()) // cannot fail: it is there
	c.capturing = true
	c.captured = append(c.captured[:0], buffered...)
}

// Captured returns what was kept since StartCapture. The next StartCapture overwrites it.
func (c *Conn) Captured() []byte { return c.captured }

// StopCapture ends what StartCapture began. A large buffer is not kept for the next capture.
func (c *Conn) StopCapture() {
	c.capturing = false
	if cap(c.captured) > readBufferSize {
		c.captured = nil
	}
}

// Watch looks out for a peer that speaks or leaves while nothing is due from it. It calls onEvent, if that is not nil,
// when the peer does. Unwatch must follow before the next read.
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

// Unwatch ends a watch. open is false if the peer has left, quiet is false if it left or spoke.
func (c *Conn) Unwatch() (open, quiet bool) {
	c.ExpireReadsAt(Past)
	err := <-c.watchDone
	c.ExpireReadsAt(time.Time{})
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.Reader.Buffered() > 0 {
		return err == nil, false
	}
	// A deadline that has passed hides what came just before it.
	pending := c.Pending()
	return pending != PendingEnd, pending == PendingNone
}

// PendingInput is what the system holds of a connection that nobody has read.
type PendingInput int

// What the system may hold.
const (
	PendingNone  PendingInput = iota // nothing came
	PendingBytes                     // the peer spoke
	PendingEnd                       // the peer has left, or nothing more can be read
)

// Pending returns what has come and was not read, without waiting for more. A read may be under way meanwhile.
func (c *Conn) Pending() PendingInput {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return PendingNone // no socket: nothing stands between the peer and a read
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return PendingEnd
	}
	pending := PendingEnd
	// Not by RawConn.Read, which waits for a reader that is at it.
	err = raw.Control(func(fd uintptr) { pending = peekSocket(int(fd)) })
	if err != nil {
		return PendingEnd
	}
	return pending
}

// peekSocket looks at a socket's first unread byte.
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
