package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// echoes reports whether a byte is echoed within a timeout.
func echoes(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	setDeadline(t, conn, time.Now().Add(timeout))
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// A cut link passes nothing, neither on open streams nor on new ones. New streams pass when the fault has ended.
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
		t.Fatal("no echo over a healthy link")
	}
	if err := link.SetFaults(LinkFaults{Cut: true}); err != nil {
		t.Fatal(err)
	}
	if echoes(t, open, timeout) || echoes(t, nettest.Dial(t, link.Addr(), ""), timeout) {
		t.Error("an echo over a cut link")
	}
	if err := link.SetFaults(LinkFaults{}); err != nil {
		t.Fatal(err)
	}
	if !echoes(t, nettest.Dial(t, link.Addr(), ""), nettest.Patience) {
		t.Error("no echo over a link after its fault has ended")
	}
}
