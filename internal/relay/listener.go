package relay

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// listen listens for clients, on the socket that the platform holds where there is one. That one goes on when this
// process closes its own descriptor of it: connections that are not taken then wait for another process.
func listen(addr, inherited string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", addr)
	}
	fd, err := strconv.Atoi(inherited)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("listen: %q is no descriptor", inherited)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("listen: no descriptor %d", fd)
	}
	defer f.Close() // the listener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listen: descriptor %d: %w", fd, err)
	}
	return l, nil
}
