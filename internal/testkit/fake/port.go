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
	// anyLoopbackAddr is the address to listen on for any free port of the loopback interface.
	anyLoopbackAddr = "127.0.0.1:0"
	// listenTimeout bounds how long listening on an address that is still in use is retried.
	listenTimeout = 2 * time.Second
	// listenRetryInterval is the pause after a failed listen or accept.
	listenRetryInterval = 5 * time.Millisecond
	// maxQueuedConnections bounds the connections that block opens to fill the accept queue of a port.
	maxQueuedConnections = 16
	// queueDialTimeout bounds the time to open one of these connections. A timeout means that the queue is full.
	queueDialTimeout = 40 * time.Millisecond
	// noSocket is the value of a descriptor that is not open.
	noSocket = -1
)

// errNotBlocked means that a port still accepts connections after an attempt to block it.
var errNotBlocked = errors.New("connections still come up")

// port is an address that accepts connections, refuses them, or leaves attempts to connect unanswered.
type port struct {
	addr string

	mu       sync.Mutex // guards the fields below
	changed  sync.Cond  // uses mu; signals that the port accepts connections again or is closed
	listener *net.TCPListener
	reserved int // a socket that reserves the address while nothing listens; noSocket: none
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

// listen opens the listener. If the address is in use, it retries until listenTimeout. The caller holds mu, unless no
// other goroutine uses the port yet.
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

// awaitListener waits until the port accepts connections and returns its listener; false if the port is closed.
func (p *port) awaitListener() (*net.TCPListener, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && (p.listener == nil || p.blocked) {
		p.changed.Wait()
	}
	return p.listener, !p.closed
}

// refuse makes the port refuse connections. The address stays reserved, so that no other socket is assigned it.
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
	} // on error, the port still refuses connections, but other sockets may be assigned its address
}

// release closes a port that refuses connections, so that another port can listen on its address.
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

// block makes the port leave attempts to connect unanswered. Linux drops such attempts while the accept queue of a
// listener is full, so block makes the queue as short as possible and fills it.
func (p *port) block() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.listener == nil || p.blocked {
		return nil
	}
	p.blocked = true
	if err := p.listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends an Accept that is waiting
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

// unblock undoes block, if the port is blocked. The caller holds mu.
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
		_ = p.setQueueLength(syscall.SOMAXCONN) // on error, the queue stays short, and clients retry
		_ = p.listener.SetDeadline(time.Time{}) // on error, the next Accept fails
	}
	p.changed.Broadcast()
}

// setQueueLength sets how many connections may wait in the accept queue. The caller holds mu.
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

// closeReserved closes the socket that reserves the address, if it is open. The caller holds mu.
func (p *port) closeReserved() {
	if p.reserved != noSocket {
		closeSocket(p.reserved)
		p.reserved = noSocket
	}
}

// ReserveAddress reserves an address, such as 127.0.0.1:0, for a process that will listen on it, even while that
// process restarts. Until release is called, connections to the address are refused whenever no process listens on it.
func ReserveAddress(addr string) (reserved string, release func(), err error) {
	socket, reserved, err := bind(addr)
	if err != nil {
		return "", nil, fmt.Errorf("fake: reserve %s: %w", addr, err)
	}
	return reserved, sync.OnceFunc(func() { closeSocket(socket) }), nil
}

// bind binds a socket that does not listen. Connections to its address are refused, and the system does not assign the
// address to sockets that ask for any free port. A socket that asks for this address can still listen on it, since
// SO_REUSEADDR is set.
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

// bindSocket binds a socket to an address, and returns the address with the assigned port.
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
	_ = syscall.Close(socket) // an error does no harm: the socket never had a connection
}

// discard closes c, which is no longer needed, and ignores the error.
func discard(c io.Closer) {
	_ = c.Close() // fails only if c was closed already or its peer has disconnected
}
