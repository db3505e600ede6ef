package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
)

// besidePool are descriptors of the hosts' share that the journal's files and the second address may need.
const besidePool = 16

// roomPause is how long a call waits before it looks for a free connection or descriptor again.
const roomPause = 20 * time.Millisecond

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// peer is a host at an address. Another host may come up at an address that was in use: it has other connections.
type peer struct{ route, addr string }

// pool keeps the connections to hosts, idle ones for the next call. It is the relay's own: a Transport's sends some
// requests again by itself, which a message that must not run twice can't bear, dials where nobody can look again
// before the request is written, and does not show what came behind an answer.
type pool struct {
	dial           func(ctx context.Context, network, addr string) (net.Conn, error)
	connectTimeout time.Duration
	idleFor        time.Duration
	most           int // connections

	mu     sync.Mutex
	idle   map[peer][]*hostConn // the last used last
	hosts  map[string]int       // that have idle connections: at so many addresses
	open   int                  // connections, idle or not
	closed bool
}

// hostConn is a connection to a host.
type hostConn struct {
	*netconn.Conn
	pool  *pool
	peer  peer
	since time.Time // idle since then
	timer *time.Timer
}

func newPool(cfg Config) *pool {
	return &pool{
		dial:           (&net.Dialer{KeepAlive: -1}).DialContext,
		connectTimeout: cfg.ConnectTimeout,
		idleFor:        time.Duration(idleShare * float64(cfg.KeepAlive)),
		most:           max(8, cfg.Limits.Sockets*3/8-besidePool),
		idle:           map[peer][]*hostConn{},
		hosts:          map[string]int{},
	}
}

// get returns an idle connection to a host, else a new one; fresh tells which.
func (p *pool) get(ctx context.Context, to peer) (c *hostConn, fresh bool, err error) {
	for c := p.takeIdle(to); c != nil; c = p.takeIdle(to) {
		if _, quiet := c.Unwatch(); quiet && time.Since(c.since) < p.idleFor {
			return c, false, nil
		}
		c.drop() // closed by the host, or something came that no call had asked for
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		c, err = p.connect(ctx, to)
		if err == nil || !scarce(err) {
			return c, true, err
		}
		p.mu.Lock()
		p.evict()
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, err
		case <-time.After(roomPause):
		}
	}
}

// scarce tells whether a connection did not come up for want of what this relay may hold: that says nothing of the
// host.
func scarce(err error) bool {
	return errors.Is(err, errTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

func (p *pool) connect(ctx context.Context, to peer) (*hostConn, error) {
	p.mu.Lock()
	if p.open >= p.most {
		p.evict()
	}
	if p.open >= p.most || p.closed {
		p.mu.Unlock()
		return nil, errTooManyConns
	}
	p.open++
	p.mu.Unlock()
	nc, err := p.dial(ctx, "tcp", to.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &hostConn{Conn: netconn.New(nc), pool: p, peer: to}, nil
}

// takeIdle takes the connection that was used last out of the pool; nil if there is none.
func (p *pool) takeIdle(to peer) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.remove(c)
	return c
}

// keep puts a connection into the pool for the next call.
func (c *hostConn) keep() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.drop(c)
		return
	}
	c.since = time.Now()
	dropIdle := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.remove(c) {
			p.drop(c)
		}
	}
	c.timer = time.AfterFunc(p.idleFor, dropIdle)
	if len(p.idle[c.peer]) == 0 {
		p.hosts[c.peer.route]++
	}
	p.idle[c.peer] = append(p.idle[c.peer], c)
	c.Watch(dropIdle)
}

func (c *hostConn) drop() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// drop, remove and evict are called with mu held.
func (p *pool) drop(c *hostConn) {
	p.open--
	c.Close()
}

// remove takes a connection out of the pool; false if it was not in it.
func (p *pool) remove(c *hostConn) bool {
	list := p.idle[c.peer]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	c.timer.Stop()
	if p.idle[c.peer] = slices.Delete(list, i, i+1); len(list) == 1 {
		delete(p.idle, c.peer)
		if p.hosts[c.peer.route]--; p.hosts[c.peer.route] == 0 {
			delete(p.hosts, c.peer.route)
		}
	}
	return true
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() {
	var oldest *hostConn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.since.Before(oldest.since) {
			oldest = c
		}
	}
	if oldest != nil {
		p.remove(oldest)
		p.drop(oldest)
	}
}

// closeIdle closes the idle connections to a host, at whatever address.
func (p *pool) closeIdle(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[route] == 0 {
		return // a list may name a hundred thousand hosts that go
	}
	for to := range p.idle {
		if to.route == route {
			p.dropAll(to)
		}
	}
}

func (p *pool) dropAll(to peer) {
	for _, c := range slices.Clone(p.idle[to]) {
		p.remove(c)
		p.drop(c)
	}
}

// close closes all idle connections and keeps none from here on.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for to := range p.idle {
		p.dropAll(to)
	}
}
