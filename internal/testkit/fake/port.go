package fake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// anyLoopbackAddr is a free port of the loopback interface.
	anyLoopbackAddr = "127.0.0.1:0"
	// listenTimeout bounds the retries of an address that was in use a moment ago.
	listenTimeout = 2 * time.Second
	// listenRetryInterval is the pause after a failed listen or accept.
	listenRetryInterval = 5 * time.Millisecond
	// maxQueuedConnections bounds the connections that fill the queue of a blocked port.
	maxQueuedConnections = 16
	// queueDialTimeout is how long a connection takes at most that still finds a place in the queue.
	queueDialTimeout = 40 * time.Millisecond
	// noSocket is the value of a descriptor that is not open.
	noSocket = -1
)

// errNotBlocked means that connections to a blocked port still come up.
var errNotBlocked = errors.New("connections still come up")

// port is an address that accepts connections, refuses them, or lets none come up.
type port struct {
	addr string

	mu       sync.Mutex // guards the fields below
	changed  sync.Cond  // with mu: when connections may be accepted again, or the port is closed
	listener *net.TCPListener
	reserved int // a socket that keeps the address while nothing listens; noSocket: none
	blocked  bool
	queued   []net.Conn // the connections that fill the queue of a blocked port
	closed   bool
}

// listen opens a port.
func listen(addr string) (*port, error) {
	p := &port{addr: addr, reserved: noSocket}
	p.changed.L = &p.mu
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.addr = p.listener.Addr().String()
	return p, nil
}

// listen opens the listener. The caller holds mu, or is the only one to have the port.
func (p *port) listen() error {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		listener, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.listener = listener.(*net.TCPListener)
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return err
		}
	}
}

// serve passes accepted connections to accept until the port is closed.
func (p *port) serve(accept func(net.Conn)) {
	for {
		listener, ok := p.awaitListener()
		if !ok {
			return
		}
		conn, err := listener.Accept()
		switch {
		case err == nil:
			accept(conn)
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			// The port refuses connections or is blocked.
		default:
			time.Sleep(listenRetryInterval) // no file descriptor is free, for example
		}
	}
}

// awaitListener waits until the port accepts connections; false if it is closed.
func (p *port) awaitListener() (*net.TCPListener, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.listener == nil || p.blocked) {
		p.changed.Wait()
	}
	return p.listener, !p.closed
}

// refuse makes the port refuse connections. It keeps the address: no other socket can get it meanwhile.
func (p *port) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.reserved != noSocket {
		return
	}
	p.unblock()
	p.stopListening()
	if socket, _, err := bind(p.addr); err == nil {
		p.reserved = socket
	} // else the port refuses connections all the same, but the address is free for others
}

// release gives up the address for the one that listens on it next.
func (p *port) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeReserved()
	p.closed = true
	p.changed.Broadcast()
}

// open makes the port accept connections again.
func (p *port) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.unblock()
	p.closeReserved()
	defer p.changed.Broadcast()
	if p.listener != nil {
		return nil
	}
	return p.listen()
}

// block makes connections to the port not come up. Linux drops them if the queue of a listener is full: the queue is
// made as short as possible, and filled.
func (p *port) block() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener == nil || p.blocked {
		return nil
	}
	p.blocked = true
	if err := p.listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends the accept that waits
		return fmt.Errorf("block %s: %w", p.addr, err)
	}
	if err := p.setQueueLength(0); err != nil {
		return fmt.Errorf("block %s: %w", p.addr, err)
	}
	for range maxQueuedConnections {
		conn, err := net.DialTimeout("tcp", p.addr, queueDialTimeout)
		if err != nil {
			return nil // the queue is full
		}
		p.queued = append(p.queued, conn)
	}
	return fmt.Errorf("block %s: %w", p.addr, errNotBlocked)
}

// unblock ends block. The caller holds mu.
func (p *port) unblock() {
	if !p.blocked {
		return
	}
	p.blocked = false
	for _, conn := range p.queued {
		discard(conn)
	}
	p.queued = nil
	if p.listener != nil {
		_ = p.setQueueLength(syscall.SOMAXCONN) // an error: the queue is short, and clients try again
		_ = p.listener.SetDeadline(time.Time{}) // an error shows at the next accept
	}
	p.changed.Broadcast()
}

// setQueueLength sets the number of connections that may wait to be accepted. The caller holds mu.
func (p *port) setQueueLength(length int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}

// close closes the port for good.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblock()
	p.stopListening()
	p.closeReserved()
	p.closed = true
	p.changed.Broadcast()
}

// stopListening closes the listener. The caller holds mu.
func (p *port) stopListening() {
	if p.listener != nil {
		discard(p.listener)
		p.listener = nil
	}
}

// closeReserved closes the socket that keeps the address. The caller holds mu.
func (p *port) closeReserved() {
	if p.reserved != noSocket {
		closeSocket(p.reserved)
		p.reserved = noSocket
	}
}

// ReserveAddress keeps an address, such as 127.0.0.1:0, for a process that will listen on it, also while that process
// restarts. Until release is called, connections to the address are refused while nothing listens.
func ReserveAddress(addr string) (reserved string, release func(), err error) {
	socket, reserved, err := bind(addr)
	if err != nil {
		return "", nil, fmt.Errorf("fake: reserve %s: %w", addr, err)
	}
	return reserved, sync.OnceFunc(func() { closeSocket(socket) }), nil
}

// bind binds a socket that does not listen. Connections to its address are refused, it is not given to sockets that ask
// for any address, and whoever asks for it may listen on it.
func bind(addr string) (socket int, bound string, err error) {
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return noSocket, "", err
	}
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return noSocket, "", err
	}
	bound, err = bindSocket(socket, resolved)
	if err != nil {
		closeSocket(socket)
		return noSocket, "", err
	}
	return socket, bound, nil
}

// bindSocket binds a socket to an address, and returns the address with its port.
func bindSocket(socket int, addr *net.TCPAddr) (bound string, err error) {
	sockaddr := &syscall.SockaddrInet4{Port: addr.Port}
	copy(sockaddr.Addr[:], addr.IP.To4())
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := syscall.Bind(socket, sockaddr); err != nil {
		return "", err
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	inet, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("socket bound to a %T", name)
	}
	return (&net.TCPAddr{IP: inet.Addr[:], Port: inet.Port}).String(), nil
}

func closeSocket(socket int) {
	_ = syscall.Close(socket) // an error loses nothing: the socket never had a connection
}

// discard closes something that is not needed any more.
func discard(c io.Closer) {
	_ = c.Close() // an error: it was closed already, or its peer has left
}
