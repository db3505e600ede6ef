package admin

import (
	"net"
	"slices"
	"sync"
)

// maxConnections bounds the open connections, because each client that sends nothing occupies a file descriptor for
// requestTimeout.
const maxConnections = 16

// listener keeps at most maxConnections connections open. Beyond that, it closes the oldest one for each new one.
type listener struct {
	net.Listener
	mu          sync.Mutex
	connections []*connection // oldest first
}

// Accept accepts a connection, and closes the oldest one if more than maxConnections are open.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l}
	if oldest := l.add(c); oldest != nil {
		_ = oldest.Close() // fails only if the connection is already closed
	}
	return c, nil
}

// add adds a connection. If more than maxConnections are open, it returns the oldest one for the caller to close.
func (l *listener) add(c *connection) (oldest *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = append(l.connections, c)
	if len(l.connections) > maxConnections {
		return l.connections[0]
	}
	return nil
}

func (l *listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.connections, c); i >= 0 {
		l.connections = slices.Delete(l.connections, i, i+1)
	}
}

// connection is an open connection of a listener.
type connection struct {
	net.Conn
	listener *listener
}

// Close closes the connection and removes it from its listener.
func (c *connection) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
