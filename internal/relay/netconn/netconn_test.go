package netconn

import (
	"net"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// peerActs are actions of a peer just before a watch ends, with the results expected from Pending and Unwatch.
var peerActs = []struct {
	name        string
	act         func(peer net.Conn)
	pending     PendingInput
	open, quiet bool
}{
	{"nothing", func(net.Conn) {}, PendingNone, true, true},
	{"part of a line", func(p net.Conn) { nettest.Send(p, "HTT") }, PendingBytes, true, false},
	{"a half-close", nettest.CloseWrite, PendingEnd, false, false},
	{"a close", func(p net.Conn) { nettest.Close(p) }, PendingEnd, false, false},
	{"a reset", nettest.Reset, PendingEnd, false, false},
	{"bytes and a close", func(p net.Conn) { nettest.Send(p, "x"); nettest.Close(p) }, PendingBytes, true, false},
}

// A read fails after its deadline even if bytes arrived before. Here the deadline has passed before the watch
// begins, so the watch itself detects nothing, and Unwatch must check the socket.
func TestWatchSeesBytesBeforeItsEnd(t *testing.T) {
	for _, c := range peerActs {
		t.Run(c.name, func(t *testing.T) {
			tested, peer := nettest.Pair(t)
			conn := New(tested)
			conn.ExpireReadsAt(Past)
			conn.Watch(nil)
			nettest.Eventually(t, "the watch has ended", func() bool { return len(conn.watchDone) == 1 })
			c.act(peer)
			nettest.Eventually(t, "the peer's action arrives", func() bool { return conn.Pending() == c.pending })
			if open, quiet := conn.Unwatch(); open != c.open || quiet != c.quiet {
				t.Errorf("open %v, quiet %v; want %v, %v", open, quiet, c.open, c.quiet)
			}
		})
	}
}
