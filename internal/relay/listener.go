package relay

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// firstInheritedFD is the first descriptor behind those of standard input, output and error.
const firstInheritedFD = 3

// listen listens for clients at addr, or on the platform's socket, if inheritedFD names its descriptor. That socket
// stays open when this process closes its own descriptor: connections that are not accepted by then wait for another
// process.
func listen(addr, inheritedFD string) (net.Listener, error) {
	if inheritedFD == "" {
		return net.Listen("tcp", addr)
	}
	fd, err := strconv.Atoi(inheritedFD)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("listen: %q is not a descriptor", inheritedFD)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("listen: no descriptor %d", fd)
	}
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listen: descriptor %d: %w", fd, err)
	}
	return listener, nil
}
