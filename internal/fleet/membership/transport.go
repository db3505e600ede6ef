package membership

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport resolves a member's name to the address in this relay's configuration. Each relay may have another
// address for the same member, so that each pair of members can be connected through its own proxy.
type transport struct {
	memberlist.NodeAwareTransport
	addresses map[string]string
	inbound   *inbound
	sentBytes atomic.Uint64
	streams   atomic.Uint64
}

// PacketCh returns the datagrams of other members.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.inbound.packets }

// StreamCh returns the streams of other members.
func (t *transport) StreamCh() <-chan net.Conn { return t.inbound.streams }

// Shutdown stops the transport.
func (t *transport) Shutdown() error {
	t.inbound.stop()
	return t.NodeAwareTransport.Shutdown()
}

func (t *transport) resolve(address memberlist.Address) memberlist.Address {
	if addr, ok := t.addresses[address.Name]; ok {
		address.Addr = addr
	}
	return address
}

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	t.sentBytes.Add(uint64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, t.resolve(address))
}

// DialAddressTimeout opens a stream with a deadline. memberlist replaces the deadline where it sets its own. It sets
// none for messages to a single member, which a hanging peer would otherwise block forever.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streams.Add(1)
	conn, err := t.NodeAwareTransport.DialAddressTimeout(t.resolve(address), timeout)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(2 * streamTimeout)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	counted := &countingConn{conn, &t.sentBytes}
	return &boundedStream{Conn: counted, maxBytes: t.inbound.maxStreamBytes, release: func() {}}, nil
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	sentBytes *atomic.Uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	written, err := c.Conn.Write(b)
	c.sentBytes.Add(uint64(written))
	return written, err
}
