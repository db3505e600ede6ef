package fake

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// listenFor is how long an address is tried for that was in use a moment ago.
const listenFor = 2 * time.Second

// port is an address on which a host accepts connections, refuses them, or lets none come up.
type port struct {
	addr string

	mu      sync.Mutex
	changed sync.Cond
	ln      *net.TCPListener
	held    int // descriptor that keeps the address while nothing listens; -1: none
	blocked bool
	fill    []net.Conn
	closed  bool
}

func listen(addr string) (*port, error) {
	p := &port{addr: addr, held: -1}
	p.changed.L = &p.mu
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.addr = p.ln.Addr().String()
	return p, nil
}

// listen is called with mu held, or before the port is shared.
func (p *port) listen() error {
	for end := time.Now().Add(listenFor); ; time.Sleep(5 * time.Millisecond) {
		l, err := net.Listen("tcp", p.addr)
		if err == nil {
			p.ln = l.(*net.TCPListener)
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return err
		}
	}
}

// serve accepts connections until the port is closed.
func (p *port) serve(accepted func(net.Conn)) {
	for {
		p.mu.Lock()
		for !p.closed && (p.ln == nil || p.blocked) {
			p.changed.Wait()
		}
		ln := p.ln
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		c, err := ln.Accept()
		if err == nil {
			accepted(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			continue // it was taken away, or blocked
		}
		time.Sleep(5 * time.Millisecond) // out of descriptors, say
	}
}

// hold has the address refuse connections, and keeps it: no other socket may come by it meanwhile.
func (p *port) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.held >= 0 {
		return
	}
	p.unblock()
	p.stop()
	if fd, _, err := bind(p.addr); err == nil {
		p.held = fd
	} // else the address is free, which is as good as long as nobody takes it
}

// bind binds a socket that does not listen: connections to its address are refused, no other socket comes by it, and
// whoever asks for just this address may listen on it.
func bind(addr string) (fd int, bound string, err error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return -1, "", err
	}
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, "", err
	}
	sa := &syscall.SockaddrInet4{Port: a.Port}
	copy(sa.Addr[:], a.IP.To4())
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, sa)
	}
	var name syscall.Sockaddr
	if err == nil {
		name, err = syscall.Getsockname(fd)
	}
	if err != nil {
		syscall.Close(fd)
		return -1, "", err
	}
	got := name.(*syscall.SockaddrInet4)
	return fd, (&net.TCPAddr{IP: got.Addr[:], Port: got.Port}).String(), nil
}

// ReserveAddress keeps an address, such as 127.0.0.1:0, for a process that is to listen on it, also while that is restarted.
func ReserveAddress(addr string) (reserved string, release func(), err error) {
	fd, reserved, err := bind(addr)
	if err != nil {
		return "", nil, fmt.Errorf("standin: reserve %s: %w", addr, err)
	}
	return reserved, sync.OnceFunc(func() { syscall.Close(fd) }), nil
}

// release gives the address up to whoever listens on it next.
func (p *port) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
	p.closed = true
	p.changed.Broadcast()
}

func (p *port) drop() {
	if p.held >= 0 {
		syscall.Close(p.held)
		p.held = -1
	}
}

// stop is called with mu held.
func (p *port) stop() {
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
}

// open has the address accept connections again.
func (p *port) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return net.ErrClosed
	}
	p.unblock()
	p.drop()
	defer p.changed.Broadcast()
	if p.ln != nil {
		return nil
	}
	return p.listen()
}

// block has connections to the address not come up. On Linux a listener whose queue is full drops them: the queue is
// made as short as can be, and filled.
func (p *port) block() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.ln == nil || p.blocked {
		return nil
	}
	p.blocked = true
	p.ln.SetDeadline(time.Unix(1, 0)) // nothing is accepted any more
	if err := p.backlog(0); err != nil {
		return err
	}
	const most = 16
	for range most {
		c, err := net.DialTimeout("tcp", p.addr, 40*time.Millisecond)
		if err != nil {
			return nil // full
		}
		p.fill = append(p.fill, c)
	}
	return fmt.Errorf("standin: %s still takes connections", p.addr)
}

func (p *port) backlog(n int) error {
	raw, err := p.ln.SyscallConn()
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	return failed
}

// unblock is called with mu held.
func (p *port) unblock() {
	if !p.blocked {
		return
	}
	p.blocked = false
	for _, c := range p.fill {
		c.Close()
	}
	p.fill = nil
	if p.ln != nil {
		p.backlog(syscall.SOMAXCONN) // it was raised before
		p.ln.SetDeadline(time.Time{})
	}
	p.changed.Broadcast()
}

// close gives the address up for good.
func (p *port) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unblock()
	p.stop()
	p.drop()
	p.closed = true
	p.changed.Broadcast()
}
