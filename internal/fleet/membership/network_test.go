package membership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// network connects nodes within one process. Datagrams are lost and links are cut only as the test configures.
type network struct {
	memberlist.MockNetwork
	seed  uint64
	loss  atomic.Uint64                     // the share of lost datagrams, in millionths
	fault func(from, to string) (lost bool) // cuts the link between two members; nil: none is cut
}

const allDatagrams = 1e6 // the loss, in millionths, at which every datagram is lost

// memberTransport is one member's end of a network.
type memberTransport struct {
	*memberlist.MockTransport
	net  *network
	from string

	mu     sync.Mutex
	random *rand.Rand
}

func (n *network) transport(name string) *memberTransport {
	n.seed++
	return &memberTransport{
		MockTransport: n.NewTransport(name),
		net:           n,
		from:          name,
		random:        rand.New(rand.NewPCG(n.seed, 3)),
	}
}

func (t *memberTransport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	t.mu.Lock()
	lost := t.random.Uint64N(allDatagrams) < t.net.loss.Load()
	t.mu.Unlock()
	if lost || t.net.fault != nil && t.net.fault(t.from, address.Name) {
		return time.Now(), nil
	}
	// memberlist's mock network blocks until the receiver reads the packet. Two nodes that answer each other at the
	// same time would deadlock.
	b = slices.Clone(b)
	go func() {
		// A datagram to a node that is closed is lost.
		_, _ = t.MockTransport.WriteToAddress(b, address)
	}()
	return time.Now(), nil
}

func (t *memberTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if t.net.fault != nil && t.net.fault(t.from, address.Name) {
		return nil, fmt.Errorf("the link from %s to %s is cut", t.from, address.Name)
	}
	// The mock network ignores the timeout, and would block forever on a node that is closed.
	type dialed struct {
		net.Conn
		err error
	}
	done := make(chan dialed, 1)
	go func() {
		conn, err := t.MockTransport.DialAddressTimeout(address, timeout)
		done <- dialed{conn, err}
	}()
	select {
	case result := <-done:
		return result.Conn, result.err
	case <-time.After(timeout):
		return nil, fmt.Errorf("%s does not answer within %v", address.Name, timeout)
	}
}

func memberName(i int) string { return fmt.Sprintf("r%03d", i) }

// mesh starts count nodes that list each other. If edit is not nil, it may change a node's configuration before the
// node starts.
func mesh(t testing.TB, net *network, count int, edit func(i int, c *Config)) []*Node {
	t.Helper()
	transports := make([]*memberTransport, count)
	peers := map[string]string{}
	for i := range count {
		transports[i] = net.transport(memberName(i))
		ip, port, err := transports[i].FinalAdvertiseAddr("", 0)
		if err != nil {
			t.Fatal(err)
		}
		peers[memberName(i)] = fmt.Sprintf("%s:%d", ip, port)
	}
	var nodes []*Node
	for i := range count {
		cfg := Config{
			Name:            memberName(i),
			Peers:           peers,
			Incarnation:     loadreport.Incarnation{Generation: 1, Boot: uint32(i + 1)},
			Log:             slog.New(slog.DiscardHandler),
			SaveIncarnation: func(uint64) error { return nil },
			Transport:       transports[i],
		}
		if edit != nil {
			edit(i, &cfg)
		}
		node, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, node)
	}
	t.Cleanup(func() { closeAll(nodes) })
	return nodes
}

func closeAll(nodes []*Node) {
	var closing sync.WaitGroup
	for _, node := range nodes {
		closing.Go(func() {
			// Errors from closing the mock network do not concern the node.
			_ = node.Close()
		})
	}
	closing.Wait()
}

// ownReport returns a report of the node itself.
func ownReport(n *Node, sequence uint64, calls float64) loadreport.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return loadreport.Report{
		Name:        n.cfg.Name,
		Incarnation: n.reports.Incarnation(),
		Sequence:    sequence,
		Scopes:      []loadreport.ScopeLoad{{Demand: calls, Calls: calls, Deliveries: calls}},
	}
}

// publishOne publishes a report of the node itself.
func publishOne(n *Node, sequence uint64, calls float64) {
	n.Publish([]loadreport.Report{ownReport(n, sequence, calls)})
}

// holdsReport reports whether the node holds the member's report 0 with this sequence number or a later one.
func holdsReport(n *Node, member string, sequence uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	report, ok := n.reports.Get(n.cfg.now(), member, 0)
	return ok && report.Sequence >= sequence
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
