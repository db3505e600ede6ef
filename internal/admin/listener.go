package admin

import (
	"net"
	"slices"
	"sync"
)

// maxConnections bounds the open connections, because each client that sends nothing uses a descriptor for
// requestTimeout.
const maxConnections = 16

// listener keeps at most maxConnections connections open: it closes the oldest one for a new one.
type listener struct {
	net.Listener
	mu          sync.Mutex
	connections []*connection // oldest first
}

// Accept accepts a connection, and closes the oldest one if there are too many.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l}
	if oldest := l.add(c); oldest != nil {
		_ = oldest.Close() // an error: its client has left
	}
	return c, nil
}

// add adds a connection. It returns the oldest one if there are too many.
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
