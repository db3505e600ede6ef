package relay

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	headMost = 16 << 10 // bytes of a request's or an answer's head
	readRoom = 4 << 10  // bytes read ahead
)

var (
	errTooMuch = errors.New("more bytes than are allowed here")
	longAgo    = time.Unix(1, 0)
)

// conn is a connection that messages of HTTP are read from. It bounds what a peer can have read of it, shows what
// came beyond a message, and notices a peer that speaks or leaves out of turn.
type conn struct {
	net.Conn
	r       *bufio.Reader
	left    int // bytes that may still come
	keep    bool
	kept    []byte // what came since keepFrom
	watched chan error
}

func newConn(c net.Conn) *conn {
	x := &conn{Conn: c}
	x.r = bufio.NewReaderSize(x, readRoom)
	return x
}

// allow lets n more bytes come. Guards against heads and bodies without end.
func (c *conn) allow(n int) { c.left = n }

// Read is for the buffered reader.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooMuch
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	if c.keep {
		c.kept = append(c.kept, b[:n]...)
	}
	return n, err
}

// keepRaw has all that comes from here on kept as it is on the wire, in kept, until keepNone.
func (c *conn) keepRaw() {
	ahead, _ := c.r.Peek(c.r.Buffered()) // cannot fail: it is there
	c.keep, c.kept = true, append(c.kept[:0], ahead...)
}

func (c *conn) keepNone() {
	if c.keep = false; cap(c.kept) > readRoom {
		c.kept = nil
	}
}

// watch looks out for a peer that speaks or leaves while nothing is due from it, and tells noticed, if not nil.
func (c *conn) watch(noticed func()) {
	c.allow(readRoom)
	watched := make(chan error, 1)
	c.watched = watched
	go func() {
		_, err := c.r.Peek(1)
		watched <- err
		if noticed != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			noticed()
		}
	}()
}

// unwatch ends a watch. open is false if the peer has left, quiet is false if it left or spoke.
func (c *conn) unwatch() (open, quiet bool) {
	c.SetReadDeadline(longAgo)
	err := <-c.watched
	c.SetReadDeadline(time.Time{})
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.r.Buffered() > 0 {
		return err == nil, false
	}
	// A deadline that has passed hides what came just before it.
	found := c.ahead()
	return found != aheadEnd, found == aheadNone
}

// ahead is what the system holds of a connection that nobody has read.
type ahead int

const (
	aheadNone  ahead = iota
	aheadBytes       // the peer spoke
	aheadEnd         // it has left, or nothing more can be read
)

// ahead looks at what has come and was not read, without waiting for more.
func (c *conn) ahead() ahead {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return aheadNone // no socket: nothing stands between the peer and a read
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return aheadEnd
	}
	found := aheadEnd
	// Not by its Read, which waits for a reader that is at it.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(syscall.EINTR)
		for err == syscall.EINTR {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		switch {
		case err == syscall.EAGAIN:
			found = aheadNone
		case err == nil && n > 0:
			found = aheadBytes
		}
	})
	if err != nil {
		return aheadEnd
	}
	return found
}
