package fake

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A reserved address refuses connections, but a process that asks for the address can listen on it, and so can its
// successor. The address of a listener cannot be reserved.
func TestReserveAddress(t *testing.T) {
	addr, release, err := ReserveAddress(anyLoopbackAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	expectRefused(t, addr)
	for range 2 { // a relay and its successor
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := ReserveAddress(addr); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("reserving the address of a listener: %v, want %v", err, syscall.EADDRINUSE)
		}
		nettest.Close(listener)
	}
}
