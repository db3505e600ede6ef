package hollow

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	memberPort = 7946
	// maxQueuedDatagrams bounds the datagrams that wait at a member. Further datagrams are dropped, as when a socket's
	// receive buffer is full.
	maxQueuedDatagrams = 1024
	// maxQueuedStreams bounds the streams that wait to be accepted at a member.
	maxQueuedStreams = 64
)

var (
	errNoAnswer = errors.New("hollow: no answer from the peer")
	errRefused  = errors.New("hollow: connection refused")
)

// network connects the members of one process. It delivers datagrams whole and without delay. It drops datagrams if the
// receiver's queue is full or a partition separates the two members.
type network struct {
	transports  []*transport
	byName      map[string]*transport
	byAddr      map[string]*transport
	addresses   map[string]string // of all members by name, as in the operator's file
	isSeparated atomic.Pointer[func(from, to int) bool]
}

func newNetwork(members int) *network {
	n := &network{
		byName:    map[string]*transport{},
		byAddr:    map[string]*transport{},
		addresses: map[string]string{},
	}
	for i := range members {
		t := &transport{
			network: n,
			index:   i,
			name:    memberName(i),
			addr:    fmt.Sprintf("%v:%d", memberIP(i), memberPort),
			packets: make(chan *memberlist.Packet, maxQueuedDatagrams),
			conns:   make(chan net.Conn, maxQueuedStreams),
			closed:  make(chan struct{}),
		}
		n.transports = append(n.transports, t)
		n.byName[t.name], n.byAddr[t.addr], n.addresses[t.name] = t, t, t.addr
	}
	return n
}

func memberIP(index int) net.IP { return net.IPv4(10, byte(index>>16), byte(index>>8), byte(index)) }

// partition stops all datagrams and new streams from one member to another for which isSeparated returns true.
func (n *network) partition(isSeparated func(from, to int) bool) { n.isSeparated.Store(&isSeparated) }

// heal ends a partition.
func (n *network) heal() { n.isSeparated.Store(nil) }

// traffic counts what a member has sent and received. Bytes are those of datagram payloads and of streams.
type traffic struct {
	sentBytes, sentDatagrams         atomic.Uint64
	receivedBytes, receivedDatagrams atomic.Uint64
	droppedDatagrams                 atomic.Uint64 // sent to this member while its queue was full
	streams                          atomic.Uint64 // dialed by this member, failed attempts included
}

// transport is one member's connection to the network.
type transport struct {
	traffic
	network   *network
	index     int
	name      string
	addr      string
	packets   chan *memberlist.Packet
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// reach returns the transport of the member at an address. It returns false if there is no such member or a partition
// separates the two.
func (t *transport) reach(a memberlist.Address) (*transport, bool) {
	other, ok := t.network.byName[a.Name]
	if !ok {
		other, ok = t.network.byAddr[a.Addr]
	}
	if !ok {
		return nil, false
	}
	if isSeparated := t.network.isSeparated.Load(); isSeparated != nil && (*isSeparated)(t.index, other.index) {
		return nil, false
	}
	return other, true
}

// Network returns a name of the network. With it and String a transport is the net.Addr from which its datagrams come.
func (t *transport) Network() string { return "hollow" }

// String returns the member's address.
func (t *transport) String() string { return t.addr }

// FinalAdvertiseAddr returns the member's address.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return memberIP(t.index), memberPort, nil
}

// WriteTo sends a datagram to an address.
func (t *transport) WriteTo(payload []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(payload, memberlist.Address{Addr: addr})
}

// WriteToAddress sends a datagram to a member. As over UDP, a lost datagram is no error.
func (t *transport) WriteToAddress(payload []byte, a memberlist.Address) (time.Time, error) {
	now := time.Now()
	t.sentDatagrams.Add(1)
	t.sentBytes.Add(uint64(len(payload)))
	other, ok := t.reach(a)
	if !ok {
		return now, nil
	}
	select {
	case other.packets <- &memberlist.Packet{Buf: bytes.Clone(payload), From: t, Timestamp: now}:
		other.receivedDatagrams.Add(1)
		other.receivedBytes.Add(uint64(len(payload)))
	default:
		other.droppedDatagrams.Add(1)
	}
	return now, nil
}

// PacketCh returns the datagrams that have arrived.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the connections that other members have opened to this one.
func (t *transport) StreamCh() <-chan net.Conn { return t.conns }

// DialTimeout opens a connection to an address.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a connection to a member. Across a partition it waits for the whole timeout and fails.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streams.Add(1)
	other, ok := t.reach(a)
	if !ok {
		time.Sleep(timeout)
		return nil, errNoAnswer
	}
	near, far := net.Pipe()
	select {
	case other.conns <- &countingConn{far, other, t}:
		return &countingConn{near, t, other}, nil
	case <-other.closed:
		return nil, errors.Join(errRefused, near.Close(), far.Close())
	case <-time.After(timeout):
		return nil, errors.Join(errNoAnswer, near.Close(), far.Close())
	}
}

// Shutdown closes the transport and the incoming connections that were not accepted.
func (t *transport) Shutdown() error {
	var err error
	t.closeOnce.Do(func() {
		close(t.closed)
		for {
			select {
			case conn := <-t.conns:
				err = errors.Join(err, conn.Close())
			default:
				return
			}
		}
	})
	return err
}

// countingConn is one end of a stream. It counts the bytes that are written to it, as sent and as received.
type countingConn struct {
	net.Conn
	from, to *transport
}

// Write writes data to the other end of the stream.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.from.sentBytes.Add(uint64(n))
	c.to.receivedBytes.Add(uint64(n))
	return n, err
}
