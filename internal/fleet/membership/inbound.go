package membership

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	msgpack "github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// memberlist allocates what a stream announces before it has come, up to 20 MB of state and a million nodes, on any
// number of streams. The limits below are checked before memberlist sees a stream.
const (
	// maxInboundStreams bounds the streams of other members that are open at a time.
	maxInboundStreams = 4
	// defaultMaxStreamBytes bounds what a stream may make memberlist allocate if the configuration has no bound.
	defaultMaxStreamBytes = 4 << 20
	// decodedNodeSize estimates the memory of a node in a stream, in bytes.
	decodedNodeSize = 256
	// datagramQueueSize bounds the datagrams that wait to be processed.
	datagramQueueSize = 128
)

// Types of messages at the start of a stream, as memberlist numbers them.
const (
	pingMessage     = 0
	ackMessage      = 2
	pushPullMessage = 6
	userMessage     = 8
	errorMessage    = 13
	labelPrefix     = 244
)

var (
	errStreamType = errors.New("stream with a message type that members do not send")
	errStreamSize = errors.New("stream announces more than a member may send")
)

// streamHeader is the part of a stream's first message that announces sizes: of a push/pull message, or of a user
// message.
type streamHeader struct {
	Nodes        int
	UserStateLen int
	UserMsgLen   int
}

// size returns the memory that memberlist allocates for the announced sizes, in bytes.
func (h streamHeader) size() int {
	if h.Nodes < 0 || h.UserStateLen < 0 || h.UserMsgLen < 0 {
		return -1
	}
	return h.Nodes*decodedNodeSize + h.UserStateLen + h.UserMsgLen
}

// inbound passes on what other members send, within bounds. A datagram takes only its own size in memory: the transport
// reads each into a buffer of 64 KiB, which would stay in memory as long as the datagram is queued.
type inbound struct {
	maxStreamBytes int
	packets        chan *memberlist.Packet
	streams        chan net.Conn
	slots          chan struct{}
	done           chan struct{}
	stopOnce       sync.Once
}

func newInbound(from memberlist.Transport, maxStreamBytes int) *inbound {
	b := &inbound{
		maxStreamBytes: maxStreamBytes,
		packets:        make(chan *memberlist.Packet),
		streams:        make(chan net.Conn),
		slots:          make(chan struct{}, maxInboundStreams),
		done:           make(chan struct{}),
	}
	go b.forward(from)
	return b
}

// stop ends the forwarding.
func (b *inbound) stop() { b.stopOnce.Do(func() { close(b.done) }) }

func (b *inbound) forward(from memberlist.Transport) {
	for {
		select {
		case packet := <-from.PacketCh():
			packet.Buf = bytes.Clone(packet.Buf)
			select {
			case b.packets <- packet:
			case <-b.done:
				return
			}
		case conn := <-from.StreamCh():
			b.forwardStream(conn)
		case <-b.done:
			return
		}
	}
}

// forwardStream passes on a stream, or closes it if too many are open.
func (b *inbound) forwardStream(conn net.Conn) {
	select {
	case b.slots <- struct{}{}:
	default:
		_ = conn.Close() // its sender tries again
		return
	}
	stream := &boundedStream{Conn: conn, maxBytes: b.maxStreamBytes, release: sync.OnceFunc(func() { <-b.slots })}
	select {
	case b.streams <- stream:
	case <-b.done:
		_ = stream.Close() // the member stops
	}
}

// boundedStream is a stream of another member whose announced sizes are checked before anything of it is read.
type boundedStream struct {
	net.Conn
	maxBytes int
	release  func()
	input    io.Reader // nil: nothing was read yet
}

// Read reads from the stream. The first call checks what the stream announces.
func (s *boundedStream) Read(b []byte) (int, error) {
	if s.input == nil {
		if err := s.check(); err != nil {
			return 0, err
		}
	}
	return s.input.Read(b)
}

// Close closes the stream.
func (s *boundedStream) Close() error {
	s.release()
	return s.Conn.Close()
}

// check reads the start of the stream up to the announced sizes, and puts it back.
func (s *boundedStream) check() error {
	var start bytes.Buffer
	reader := bufio.NewReader(s.Conn)
	if err := checkStart(io.TeeReader(oneByteReader{reader}, &start), s.maxBytes); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	s.input = io.LimitReader(io.MultiReader(&start, reader), int64(s.maxBytes))
	return nil
}

// oneByteReader reads single bytes, so that no reader behind it reads ahead.
type oneByteReader struct{ r io.Reader }

// Read implements io.Reader.
func (r oneByteReader) Read(b []byte) (int, error) { return r.r.Read(b[:min(1, len(b))]) }

// checkStart reads the start of a stream and checks what it announces.
func checkStart(start io.Reader, maxBytes int) error {
	kind, err := readByte(start)
	if err == nil && kind == labelPrefix {
		kind, err = skipLabel(start)
	}
	if err != nil {
		return err
	}
	switch kind {
	case pingMessage, ackMessage, errorMessage:
		return nil // nothing is announced
	case pushPullMessage, userMessage:
	default:
		return errStreamType
	}
	var header streamHeader
	if err := msgpack.NewDecoder(start, &msgpack.MsgpackHandle{}).Decode(&header); err != nil {
		return err
	}
	if size := header.size(); size < 0 || size > maxBytes {
		return errStreamSize
	}
	return nil
}

// skipLabel skips the label of a stream behind its prefix, and returns the type of the message that follows.
func skipLabel(start io.Reader) (kind byte, err error) {
	length, err := readByte(start)
	if err != nil {
		return 0, err
	}
	if _, err := io.CopyN(io.Discard, start, int64(length)); err != nil {
		return 0, err
	}
	return readByte(start)
}

func readByte(r io.Reader) (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}
