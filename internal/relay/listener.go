package relay

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// firstInheritedFD is the lowest file descriptor that can be inherited. Those below it are standard input, output and
// error.
const firstInheritedFD = 3

// listen listens for clients at addr. If inheritedFD is set, it is the file descriptor of a socket on which the
// platform already listens, and listen uses that socket. The socket stays open when this process closes its own
// descriptor: connections that were not accepted until then wait for the next process.
func listen(addr, inheritedFD string) (net.Listener, error) {
	if inheritedFD == "" {
		return net.Listen("tcp", addr)
	}
	fd, err := strconv.Atoi(inheritedFD)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("listen: ROUTER_INHERITED_FD is %q, want at least %d", inheritedFD, firstInheritedFD)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("listen: ROUTER_INHERITED_FD: file descriptor %d is invalid", fd)
	}
	defer func() { _ = f.Close() }() // the listener uses a duplicate of the descriptor
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listen: ROUTER_INHERITED_FD: file descriptor %d: %w", fd, err)
	}
	return listener, nil
}
