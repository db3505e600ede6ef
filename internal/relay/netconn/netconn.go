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

	MaxHeaderSize  = 16 << 10 // bytes of a request's or an answer's head
	readBufferSize = 4 << 10  // bytes read ahead
)

var (
	ErrReadBudget = errors.New("more bytes than are allowed here")
	Past          = time.Unix(1, 0)
)

// Conn is a connection that messages of HTTP are read from. It bounds what a peer can have read of it, shows what
// came beyond a message, and notices a peer that speaks or leaves out of turn.
type Conn struct {
	net.Conn
	Reader     *bufio.Reader
	readBudget int // bytes that may still come
	capturing  bool
	captured   []byte     // what came since keepFrom
	watchDone  chan error // buffered, so that a watch ends also if nobody asks
}

func New(c net.Conn) *Conn {
	x := &Conn{Conn: c}
	x.Reader = bufio.NewReaderSize(x, readBufferSize)
	return x
}

// AllowBytes lets n more bytes come. Guards against heads and bodies without end.
func (c *Conn) AllowBytes(n int) { c.readBudget = n }

// Read is for the buffered reader.
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

// StartCapture has all that comes from here on kept as it is on the wire, in kept, until StopCapture.
func (c *Conn) StartCapture() {
	ahead, _ := c.Reader.Peek(c.Reader.Buffered()) // cannot fail: it is there
	c.capturing, c.captured = true, append(c.captured[:0], ahead...)
}

// Captured is what came since StartCapture. It is overwritten by the next one.
func (c *Conn) Captured() []byte { return c.captured }

// StopCapture ends what StartCapture began.
func (c *Conn) StopCapture() {
	if c.capturing = false; cap(c.captured) > readBufferSize {
		c.captured = nil
	}
}

// Watch looks out for a peer that speaks or leaves while nothing is due from it, and tells noticed, if not nil.
func (c *Conn) Watch(noticed func()) {
	c.AllowBytes(readBufferSize)
	watched := make(chan error, 1)
	c.watchDone = watched
	go func() {
		_, err := c.Reader.Peek(1)
		watched <- err
		if noticed != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			noticed()
		}
	}()
}

// Unwatch ends a watch. open is false if the peer has left, quiet is false if it left or spoke.
func (c *Conn) Unwatch() (open, quiet bool) {
	c.SetReadDeadline(Past)
	err := <-c.watchDone
	c.SetReadDeadline(time.Time{})
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.Reader.Buffered() > 0 {
		return err == nil, false
	}
	// A deadline that has passed hides what came just before it.
	found := c.Pending()
	return found != PendingEnd, found == PendingNone
}

// PendingInput is what the system holds of a connection that nobody has read.
type PendingInput int

const (
	PendingNone  PendingInput = iota
	PendingBytes              // the peer spoke
	PendingEnd                // it has left, or nothing more can be read
)

// Pending looks at what has come and was not read, without waiting for more.
func (c *Conn) Pending() PendingInput {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return PendingNone // no socket: nothing stands between the peer and a read
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return PendingEnd
	}
	found := PendingEnd
	// Not by its Read, which waits for a reader that is at it.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(syscall.EINTR)
		for err == syscall.EINTR {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case err == syscall.EAGAIN:
			found = PendingNone
		case err == nil && n > 0:
			found = PendingBytes
		}
	})
	if err != nil {
		return PendingEnd
	}
	return found
}
