// Package hotrestart moves a relay from one process to another over a Unix socket. The predecessor sends its state, and
// from then on the outcomes of its calls and the messages that its clients still submit. A frame is a JSON text after
// its length. Both ends are processes of one user on one machine. See docs/design/upgrade.md.
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
	// maxFrameSize bounds the JSON text of a frame, in bytes. The state of 100,000 messages takes about 40 MB.
	maxFrameSize = 128 << 20
	// maxGreetingSize bounds the first frame of a process that connects, in bytes.
	maxGreetingSize = 4 << 10
	// sendTimeout bounds the time for writing a frame, so that the sender does not wait for a process that no longer
	// reads.
	sendTimeout = time.Second
	// dialTimeout bounds the time for establishing a connection.
	dialTimeout = time.Second
	// maxPathLength bounds the length of the socket's path, in bytes. The operating system's limit is slightly higher.
	maxPathLength = 100
	// headerSize is the size of the length before a frame, in bytes.
	headerSize = 4
)

var (
	// ErrNoPredecessor reports that no process is listening that could hand over.
	ErrNoPredecessor = errors.New("handover: no process to take over from")

	errFrameTooLarge = errors.New("frame too large")
)

// Conn is one end of a connection between two processes. Send is safe for concurrent use. Receive is for one goroutine
// at a time.
type Conn struct {
	conn net.Conn

	mu  sync.Mutex
	err error // first write error: the other end cannot read frames after an incomplete one
}

// NewConn wraps a connection to the other process.
func NewConn(c net.Conn) *Conn { return &Conn{conn: c} }

// Dial connects to the process that listens at path. If that fails, the error wraps ErrNoPredecessor.
func Dial(path string) (*Conn, error) {
	c, err := net.DialTimeout("unix", path, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoPredecessor, err)
	}
	return NewConn(c), nil
}

// Listen listens at path, in place of a process that listened there before. Closing the listener does not remove the
// path, since another process may listen there by then.
func Listen(path string) (net.Listener, error) {
	if len(path) > maxPathLength {
		return nil, fmt.Errorf("handover: socket path %q has %d bytes, want at most %d", path, len(path), maxPathLength)
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

// RequestState asks the predecessor to hand over, and waits until it does. It calls awaiting(true) when the predecessor
// has accepted this process as its successor, and awaiting(false) when the wait is over. A predecessor that is
// terminated between these calls hands over. The state is nil if the predecessor ends without handing over.
func (c *Conn) RequestState(revision string, awaiting func(bool)) (*State, error) {
	if err := c.Send(Frame{Hello: &Hello{Revision: revision}}); err != nil {
		return nil, err
	}
	f, err := c.Receive()
	if err == nil && f.Welcome {
		// awaiting(true) must not come before Welcome: a predecessor that is terminated before it has received Hello
		// ends without handing over.
		awaiting(true)
		f, err = c.Receive()
		awaiting(false)
	}
	if err != nil {
		return nil, err
	}
	return f.State, nil
}

// Send writes a frame. After a failure to write, all later calls return the same error.
func (c *Conn) Send(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("handover: encode frame: %w", err)
	}
	if len(data) > maxFrameSize {
		return fmt.Errorf("handover: send: %w: %d bytes, want at most %d", errFrameTooLarge, len(data), maxFrameSize)
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
		c.err = fmt.Errorf("handover: write frame: %w", err)
	}
	return c.err
}

// write writes an encoded frame within sendTimeout.
func (c *Conn) write(frame []byte) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(frame)
	return err
}

// ReceiveGreeting waits for the first frame of a process that has connected. It allows no more than such a frame takes.
func (c *Conn) ReceiveGreeting() (Frame, error) { return c.receive(maxGreetingSize) }

// Receive waits for the next frame. It returns io.EOF if the other end closed the connection between two frames.
func (c *Conn) Receive() (Frame, error) { return c.receive(maxFrameSize) }

// receive waits for the next frame, whose text may have up to maxSize bytes.
func (c *Conn) receive(maxSize uint32) (Frame, error) {
	var header [headerSize]byte
	_, err := io.ReadFull(c.conn, header[:])
	if errors.Is(err, io.EOF) {
		return Frame{}, io.EOF
	}
	if err != nil {
		return Frame{}, fmt.Errorf("handover: read the length of a frame: %w", err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxSize {
		return Frame{}, fmt.Errorf("handover: receive: %w: %d bytes, want at most %d", errFrameTooLarge, size, maxSize)
	}
	f, err := c.receiveBody(int(size))
	if err != nil {
		return Frame{}, fmt.Errorf("handover: read a frame of %d bytes: %w", size, err)
	}
	return f, nil
}

// receiveBody reads the JSON text of a frame, which has size bytes. Its buffer grows as the text arrives, so that a
// large size without a text takes no memory.
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

// Close closes the connection.
func (c *Conn) Close() error { return c.conn.Close() }
