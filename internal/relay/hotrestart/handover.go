// Package handover carries a relay from one process to another, over a Unix socket: the state of the one that ends, and
// from then on the outcomes of its calls and what its clients still hand in. See docs/design/upgrade.md. Frames are
// JSON behind their lengths; both ends are processes of one user on one machine.
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

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// maxFrameSize bounds a frame, in bytes: a state of 100,000 messages is some 40 MB.
	maxFrameSize = 128 << 20
	// sendTimeout bounds how long a frame may take to leave. Guards against a process that no longer reads.
	sendTimeout   = time.Second
	dialTimeout   = time.Second
	maxPathLength = 100 // bytes of a socket's path
)

// Frame is one of the things that pass. Exactly one field is set.
type Frame struct {
	Hello      *Hello      `json:"Hello,omitempty"`    // from the second process, first
	Welcome    bool        `json:"Welcome,omitempty"`  // to it: from here on the first process hands over when it ends
	State      *State      `json:"State,omitempty"`    // to it, once
	Outcome    *Outcome    `json:"Outcome,omitempty"`  // to it
	Submission *Submission `json:"HandIn,omitempty"`   // to it
	Answer     *Answer     `json:"Answer,omitempty"`   // from it
	Cancel     uint32      `json:"Withdraw,omitempty"` // to it: the message whose client left without its answer
}

// Hello says who takes over.
type Hello struct {
	Revision string `json:"Revision"`
}

// State is all that a relay is, but for its log.
type State struct {
	Now              time.Duration     `json:"Now"`      // the module's
	At               time.Time         `json:"At"`       // wall time then
	WakeAt           time.Time         `json:"WakeAt"`   // zero: none asked for
	Snapshot         []byte            `json:"Snapshot"` // policy.Engine.Snapshot
	Config           reload.Config     `json:"Terms"`    // that hold
	Version          int64             `json:"Version"`  // of the list
	LargeList        bool              `json:"Large"`    // the list is too long to be told as a whole: what follows of it is what the module knows
	Endpoints        []Endpoint        `json:"Routes"`
	Destinations     []int             `json:"Cells"` // destinations that the list has named; of a long one none are told
	LastID           uint32            `json:"LastID"`
	Messages         []Message         `json:"Messages"`
	Attempts         []Attempt         `json:"Attempts"` // out
	PendingEvents    []policy.Event    `json:"Later"`
	FinishedMessages []FinishedMessage `json:"Ended,omitempty"` // in that order
}

// FinishedMessage is a message of which nothing is owed, and what its client is told if it hands it in once more until
// then.
type FinishedMessage struct {
	TraceID string    `json:"Trace"`
	Status  int       `json:"Status"`
	Until   time.Time `json:"Until"`
}

// Endpoint is a listed host.
type Endpoint struct {
	policy.Endpoint
	Addr string `json:"Addr"`
}

// Message is what a relay knows of a message beside the log.
type Message struct {
	ID              uint32 `json:"ID"`
	TraceID         string `json:"Trace"`
	AttemptsStarted int    `json:"Sends"`
	Completed       bool   `json:"Ended"`
	HasDuplicates   bool   `json:"Shared"`
	ResubmittedAs   uint32 `json:"Next"` // what it goes on as; 0: nothing
}

// Attempt is one that has no outcome yet.
type Attempt struct {
	ID       uint32    `json:"ID"`
	Number   int       `json:"N"`
	Endpoint string    `json:"Route"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"Sent"`
	Finished bool      `json:"Over"` // its outcome is told, its call goes on for others
}

// Outcome is how an attempt ended.
type Outcome struct {
	ID           uint32             `json:"ID"`
	Number       int                `json:"N"`
	Outcome      policy.Outcome     `json:"Outcome"`
	MessageEnded bool               `json:"Gone"`
	RetryAfter   time.Duration      `json:"Wait"`
	LimitReport  policy.LimitReport `json:"Report"`
	Latency      time.Duration      `json:"Took"`
	CallFinished bool               `json:"Last"` // its call is over, too: nothing more is told of it
}

// Submission is a message that a client of the first process hands in.
type Submission struct {
	Seq     uint64           `json:"Seq"`
	Message *journal.Message `json:"Message"`
}

// Answer is what its client is told.
type Answer struct {
	Seq        uint64        `json:"Seq"`
	ID         uint32        `json:"ID"` // the message's; 0: not taken
	Status     int           `json:"Status"`
	RetryAfter time.Duration `json:"Again"`
	Text       string        `json:"Text"`
}

// Conn is one end. Send may be called from many goroutines at once, Receive from one.
type Conn struct {
	conn net.Conn
	mu   sync.Mutex
	err  error // of a Send that failed: the other end cannot read what follows
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

// ErrNoPredecessor tells that no process listens there.
var ErrNoPredecessor = errors.New("handover: no process to take over from")

// Listen listens at path, in the place of a process that listened there before. The path stays when the listener
// closes: by then it may be another's.
func Listen(path string) (net.Listener, error) {
	if len(path) > maxPathLength {
		return nil, fmt.Errorf("handover: %q is longer than a socket's path may be", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("handover: %w", err), l.Close())
	}
	return l, nil
}

// Send writes a frame. After an error nothing more can be sent.
func (c *Conn) Send(f Frame) error {
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(data) > maxFrameSize {
		return fmt.Errorf("handover: a frame of %d bytes", len(data))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	buf := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data)))
	if _, err := c.conn.Write(append(buf, data...)); err != nil {
		c.err = fmt.Errorf("handover: %w", err)
	}
	return c.err
}

// Receive waits for a frame. The error is io.EOF when the other end closed between two frames.
func (c *Conn) Receive() (f Frame, err error) {
	var head [4]byte
	if _, err := io.ReadFull(c.conn, head[:]); err != nil {
		if err == io.EOF {
			return f, err
		}
		return f, fmt.Errorf("handover: %w", err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrameSize {
		return f, fmt.Errorf("handover: a frame of %d bytes", size)
	}
	// The buffer grows with what comes: a length alone takes no memory.
	data, err := io.ReadAll(io.LimitReader(c.conn, int64(size)))
	if err == nil && len(data) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		err = json.Unmarshal(data, &f)
	}
	if err != nil {
		return Frame{}, fmt.Errorf("handover: %w", err)
	}
	return f, nil
}

// Close ends the connection.
func (c *Conn) Close() error { return c.conn.Close() }

// RequestState asks the process at the other end to hand over, and waits until it does. awaiting is told when that
// process knows of this one, and when the wait is over: a process that was told to end between the two hands over. The
// state is nil if the other end ends without handing over.
func (c *Conn) RequestState(revision string, awaiting func(bool)) (*State, error) {
	if err := c.Send(Frame{Hello: &Hello{Revision: revision}}); err != nil {
		return nil, err
	}
	f, err := c.Receive()
	if err == nil && f.Welcome {
		// Not before: told to end between a yes here and the hello there, the other process would end without handing
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
