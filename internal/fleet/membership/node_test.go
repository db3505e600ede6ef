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

// Every node receives the reports of all others, also those of a node that joins late. A report whose datagrams were
// all lost arrives with the next exchange of digests.
func TestAllReceive(t *testing.T) {
	net := &network{}
	var joined atomic.Bool
	lateMember := memberName(4)
	net.fault = func(from, to string) bool { return !joined.Load() && (from == lateMember || to == lateMember) }
	nodes := mesh(t, net, 5, func(_ int, c *Config) { c.syncInterval = 300 * time.Millisecond })
	for _, node := range nodes {
		publishOne(node, 1, 2)
	}
	eventually(t, "four nodes have received from each other", func() bool { return allHoldAll(nodes[:4]) })
	if holdsReport(nodes[0], lateMember, 1) {
		t.Fatal("a report of a node that is cut off was received")
	}
	joined.Store(true)
	eventually(t, "all five nodes have received from each other", func() bool { return allHoldAll(nodes) })
	for i, node := range nodes {
		received, _ := node.Received()
		if len(received) != 4 || !slices.IsSortedFunc(received, compareNames) {
			t.Errorf("node %d: received %v, want a report of each of the four others, sorted by name", i, received)
		}
		if again, _ := node.Received(); len(again) > 0 {
			t.Errorf("node %d: reports are returned twice: %v", i, again)
		}
	}
	// Nothing new is published, so the queues become empty.
	for _, node := range nodes {
		eventually(t, "the queue is empty", func() bool { return node.Status().Queued == 0 })
	}
	net.loss.Store(allDatagrams)
	publishOne(nodes[0], 2, 3)
	eventually(t, "a node has received the report by digests alone", func() bool {
		return slices.ContainsFunc(nodes[1:], func(n *Node) bool { return holdsReport(n, memberName(0), 2) })
	})
}

func compareNames(a, b loadreport.Report) int { return cmp.Compare(a.Name, b.Name) }

// allHoldAll reports whether each node holds report 0 of each node.
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

// Status must not hold the node's lock while it waits for the lock of memberlist's queue. GetBroadcasts holds the
// queue's lock while it waits for the node's, so both would deadlock, and the relay's loop with them.
func TestStatusWhileTheQueueIsRead(t *testing.T) {
	node := mesh(t, &network{}, 1, nil)[0]
	publishOne(node, 1, 2)
	node.mu.Lock()
	done := make(chan struct{}, 2)
	go func() {
		node.Status()
		done <- struct{}{}
	}()
	time.Sleep(50 * time.Millisecond) // until Status waits for the node's lock, which cannot be observed
	go func() {
		node.broadcasts.GetBroadcasts(2, gossip.MaxDatagramSize)
		done <- struct{}{}
	}()
	time.Sleep(50 * time.Millisecond) // until GetBroadcasts holds the queue's lock and waits for the node's
	node.mu.Unlock()
	for range 2 {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("Status and GetBroadcasts are deadlocked")
		}
	}
}

func TestStartFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() }) // the error does not matter after the test
	for _, address := range []string{taken.Addr().String(), "nowhere", "127.0.0.1"} {
		t.Run(address, func(t *testing.T) {
			node, err := Start(Config{Name: "a", Listen: address, Log: slog.New(slog.DiscardHandler)})
			if err == nil {
				closeAll([]*Node{node})
				t.Errorf("Start succeeds with the address %q", address)
			}
		})
	}
}
