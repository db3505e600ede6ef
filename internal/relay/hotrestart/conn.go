// Package hotrestart carries a relay from one process to another over a Unix socket: the state of the one that ends,
// and from then on the outcomes of its calls and what its clients still submit. Frames are JSON behind their lengths;
// both ends are processes of one user on one machine. See docs/design/upgrade.md.
package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxFrameSize bounds a frame, in bytes: a state of 100,000 messages is some 40 MB.
	maxFrameSize = 128 << 20
	// sendTimeout bounds how long a frame may take to be written, so that nobody waits for a process that no longer
	// reads.
	sendTimeout = time.Second
	// dialTimeout bounds how long a connection may take to be established.
	dialTimeout = time.Second
	// maxPathLength bounds the path of the socket, in bytes: the system's limit is little more.
	maxPathLength = 100
	// headerSize is the size of the length before a frame.
	headerSize = 4
)

var (
	// ErrNoPredecessor reports that no process listens to hand over.
	ErrNoPredecessor = errors.New("handover: no process to take over from")

	errFrameTooLarge = errors.New("frame too large")
)

// Conn is one end of a connection between two processes. Send may be called by many goroutines at once, Receive by one.
type Conn struct {
	conn net.Conn

	mu  sync.Mutex
	err error // of a Send that failed: the other end cannot read what follows
}

// NewConn wraps a connection to the other process.
func NewConn(c net.Conn) *Conn { return &Conn{conn: c} }

// Dial connects to the process that listens at path. The error is ErrNoPredecessor if there is none.
func Dial(path string) (*Conn, error) {
	c, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoPredecessor, err)
	}
	return NewConn(c), nil
}

// Listen listens at path, in place of a process that listened there before. The path stays when the listener closes: by
// then it may be another's.
func Listen(path string) (net.Listener, error) {
	if len(path) > maxPathLength {
		return nil, fmt.Errorf("handover: %q is longer than a socket's path may be", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("handover: %w", err), l.Close())
	}
	return l, nil
}

// RequestState asks the process at the other end to hand over, and waits until it does. awaiting is called when that
// process knows of this one, and when the wait is over: a process that is terminated between the two hands over. The
// state is nil if the other end ends without handing over.
func (c *Conn) RequestState(revision string, awaiting func(bool)) (*State, error) {
	if err := c.Send(Frame{Hello: &Hello{Revision: revision}}); err != nil {
		return nil, err
	}
	f, err := c.Receive()
	if err == nil && f.Welcome {
		// Not before: terminated between a yes here and the hello there, the other process would end without handing
		// over.
		awaiting(true)
		f, err = c.Receive()
		awaiting(false)
	}
	if err != nil {
		return nil, err
	}
	return f.State, nil
}

// Send writes a frame. After an error nothing more can be sent.
func (c *Conn) Send(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(data) > maxFrameSize {
		return fmt.Errorf("handover: %w: %d bytes", errFrameTooLarge, len(data))
	}
	buf := make([]byte, 0, headerSize+len(data))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	buf = append(buf, data...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if err := c.write(buf); err != nil {
		c.err = fmt.Errorf("handover: %w", err)
	}
	return c.err
}

// write writes a frame in time.
func (c *Conn) write(frame []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(frame)
	return err
}

// Receive waits for a frame. The error is io.EOF if the other end closed between two frames.
func (c *Conn) Receive() (Frame, error) {
	var header [headerSize]byte
	_, err := io.ReadFull(c.conn, header[:])
	if errors.Is(err, io.EOF) {
		return Frame{}, io.EOF
	}
	if err != nil {
		return Frame{}, fmt.Errorf("handover: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return Frame{}, fmt.Errorf("handover: %w: %d bytes", errFrameTooLarge, size)
	}
	f, err := c.receiveBody(int(size))
	if err != nil {
		return Frame{}, fmt.Errorf("handover: %w", err)
	}
	return f, nil
}

// receiveBody reads a frame behind its length. The buffer grows with what comes: a length alone takes no memory.
func (c *Conn) receiveBody(size int) (f Frame, err error) {
	data, err := io.ReadAll(io.LimitReader(c.conn, int64(size)))
	if err != nil {
		return f, err
	}
	if len(data) < size {
		return f, io.ErrUnexpectedEOF
	}
	err = json.Unmarshal(data, &f)
	return f, err
}

// Close ends the connection.
func (c *Conn) Close() error { return c.conn.Close() }
