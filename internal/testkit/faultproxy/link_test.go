package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// echoes reports whether a byte comes back in time.
func echoes(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	setDeadline(t, conn, time.Now().Add(timeout))
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// A link that is cut is silent in both directions, also on open streams. It is healthy again when the fault ends.
func TestLinkCut(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	link, err := StartLink("127.0.0.1", nettest.EchoServer(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, link)
	const timeout = 100 * time.Millisecond
	open := nettest.Dial(t, link.Addr(), "")
	if !echoes(t, open, nettest.Patience) {
		t.Fatal("nothing passes a healthy link")
	}
	if err := link.SetFaults(LinkFaults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	if echoes(t, open, timeout) || echoes(t, nettest.Dial(t, link.Addr(), ""), timeout) {
		t.Error("something passes a cut link")
	}
	if err := link.SetFaults(LinkFaults{}); err != nil {
		t.Fatal(err)
	}
	if !echoes(t, nettest.Dial(t, link.Addr(), ""), nettest.Patience) {
		t.Error("nothing passes a healed link")
	}
}
