package fake

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A reserved address refuses connections, is not given to sockets that ask for any, and to those that ask for it.
func TestReserveAddress(t *testing.T) {
	addr, release, err := ReserveAddress(anyLoopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	expectRefused(t, addr)
	for range 2 { // a relay, and its successor
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := ReserveAddress(addr); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("reserved the address of a listener: %v", err)
		}
		nettest.Close(listener)
	}
}
