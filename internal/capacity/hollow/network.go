package hollow

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	port = 7946
	// datagramsMost wait at a member, more are dropped, as a socket's buffer would; streamsMost connections wait to be
	// taken.
	datagramsMost = 1024
	streamsMost   = 64
)

// network joins the members of one process. A datagram is handed over at once and whole; nothing is lost but what finds
// no room or is cut.
type network struct {
	all    []*wire
	byName map[string]*wire
	byAddr map[string]*wire
	cut    atomic.Pointer[func(from, to int) bool] // nil: nothing is
}

// traffic is what passed a member's wires, as bytes of datagrams' payload and of streams.
type traffic struct {
	sentBytes, sentDatagrams, sentStreams atomic.Uint64
	heardBytes, heardDatagrams, lost      atomic.Uint64 // lost: no room
}

// wire is one member's transport.
type wire struct {
	traffic
	net     *network
	number  int
	name    string
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
	ended   chan struct{}
	end     sync.Once
}

var _ memberlist.NodeAwareTransport = (*wire)(nil)

func memberName(i int) string { return fmt.Sprintf("r%04d", i) }

func memberIP(i int) net.IP { return net.IPv4(10, byte(i>>16), byte(i>>8), byte(i)) }

func newNetwork(n int) *network {
	w := &network{byName: map[string]*wire{}, byAddr: map[string]*wire{}}
	for i := range n {
		t := &wire{
			net: w, number: i, name: memberName(i), addr: fmt.Sprintf("%v:%d", memberIP(i), port), packets: make(chan *memberlist.Packet, datagramsMost),
			streams: make(chan net.Conn, streamsMost), ended: make(chan struct{}),
		}
		w.all, w.byName[t.name], w.byAddr[t.addr] = append(w.all, t), t, t
	}
	return w
}

// join is the table of all members, as the operator's file has it.
func (n *network) join() map[string]string {
	all := make(map[string]string, len(n.all))
	for _, t := range n.all {
		all[t.name] = t.addr
	}
	return all
}

// to finds a member, if it can be reached.
func (t *wire) to(a memberlist.Address) (*wire, bool) {
	o, ok := t.net.byName[a.Name]
	if !ok {
		o, ok = t.net.byAddr[a.Addr]
	}
	if !ok {
		return nil, false
	}
	if cut := t.net.cut.Load(); cut != nil && (*cut)(t.number, o.number) {
		return nil, false
	}
	return o, true
}

// Network and String make a wire the address of what it sends.
func (t *wire) Network() string { return "hollow" }
func (t *wire) String() string  { return t.addr }

func (t *wire) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return memberIP(t.number), port, nil
}

func (t *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	now := time.Now()
	t.sentDatagrams.Add(1)
	t.sentBytes.Add(uint64(len(b)))
	o, ok := t.to(a)
	if !ok {
		return now, nil
	}
	select {
	case o.packets <- &memberlist.Packet{Buf: append([]byte(nil), b...), From: t, Timestamp: now}:
		o.heardDatagrams.Add(1)
		o.heardBytes.Add(uint64(len(b)))
	default:
		o.lost.Add(1)
	}
	return now, nil
}

func (t *wire) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *wire) StreamCh() <-chan net.Conn           { return t.streams }

func (t *wire) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *wire) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.sentStreams.Add(1)
	o, ok := t.to(a)
	if !ok { // a call into a cut is not answered
		time.Sleep(timeout)
		return nil, errors.New("hollow: nobody answers")
	}
	near, far := net.Pipe()
	select {
	case o.streams <- &counted{far, o, t}:
		return &counted{near, t, o}, nil
	case <-o.ended:
		return nil, errors.Join(errors.New("hollow: refused"), near.Close(), far.Close())
	case <-time.After(timeout):
		return nil, errors.Join(errors.New("hollow: nobody answers"), near.Close(), far.Close())
	}
}

// Shutdown ends the member's side. Connections that nobody took are closed.
func (t *wire) Shutdown() error {
	t.end.Do(func() {
		close(t.ended)
		for {
			select {
			case c := <-t.streams:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// counted is one end of a stream.
type counted struct {
	net.Conn
	from, to *wire
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.from.sentBytes.Add(uint64(n))
	c.to.heardBytes.Add(uint64(n))
	return n, err
}
