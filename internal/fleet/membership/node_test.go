package membership

import (
	"cmp"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// Every node receives from every other, also from one that joins late, and a report of which every datagram was lost
// comes with the next exchange of digests.
func TestAllReceive(t *testing.T) {
	net := &network{}
	var joined atomic.Bool
	lateMember := memberName(4)
	net.fault = func(from, to string) bool { return !joined.Load() && (from == lateMember || to == lateMember) }
	nodes := mesh(t, net, 5, func(_ int, c *Config) { c.syncEvery = 300 * time.Millisecond })
	for _, node := range nodes {
		publishOne(node, 1, 2)
	}
	eventually(t, "four nodes receive from each other", func() bool { return allHoldAll(nodes[:4]) })
	if holdsReport(nodes[0], lateMember, 1) {
		t.Fatal("the report of a node that is cut off is received")
	}
	joined.Store(true)
	eventually(t, "all five nodes receive from each other", func() bool { return allHoldAll(nodes) })
	for i, node := range nodes {
		received, _ := node.Received()
		if len(received) != 4 || !slices.IsSortedFunc(received, compareNames) {
			t.Errorf("%d: %v", i, received)
		}
		if again, _ := node.Received(); len(again) > 0 {
			t.Errorf("%d: returned twice: %v", i, again)
		}
	}
	// Nothing new is published: all falls silent, but for failure detection.
	for _, node := range nodes {
		eventually(t, "the queue empties", func() bool { return node.Status().Queued == 0 })
	}
	net.loss.Store(allDatagrams)
	publishOne(nodes[0], 2, 3)
	eventually(t, "received by digests alone", func() bool {
		return slices.ContainsFunc(nodes[1:], func(n *Node) bool { return holdsReport(n, memberName(0), 2) })
	})
}

func compareNames(a, b loadreport.Report) int { return cmp.Compare(a.Name, b.Name) }

// allHoldAll reports whether each node holds the first report of each.
func allHoldAll(nodes []*Node) bool {
	for _, holder := range nodes {
		for _, member := range nodes {
			if !holdsReport(holder, member.cfg.Name, 1) {
				return false
			}
		}
	}
	return true
}

// Status waits for the queue while that is read, and not the other way round: if it held the node's lock meanwhile,
// both would wait for ever, and the relay's loop with them.
func TestStatusWhileTheQueueIsRead(t *testing.T) {
	node := mesh(t, &network{}, 1, nil)[0]
	publishOne(node, 1, 2)
	node.mu.Lock()
	done := make(chan struct{}, 2)
	go func() {
		node.Status()
		done <- struct{}{}
	}()
	time.Sleep(50 * time.Millisecond) // until it waits for the node, which cannot be observed
	go func() {
		node.broadcasts.GetBroadcasts(2, gossip.MaxDatagramSize)
		done <- struct{}{}
	}()
	time.Sleep(50 * time.Millisecond) // until it has the queue and waits for the node
	node.mu.Unlock()
	for range 2 {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("both wait for ever")
		}
	}
}

func TestStartFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() }) // of no interest: the test is over
	for _, address := range []string{taken.Addr().String(), "nowhere", "127.0.0.1"} {
		t.Run(address, func(t *testing.T) {
			node, err := Start(Config{Name: "a", Listen: address, Log: slog.New(slog.DiscardHandler)})
			if err == nil {
				closeAll([]*Node{node})
				t.Errorf("a node listens on %q", address)
			}
		})
	}
}
