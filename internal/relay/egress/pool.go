package egress

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

// capacityRetryInterval is how long a call waits before it looks for a free connection or descriptor again.
const capacityRetryInterval = 20 * time.Millisecond

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// endpointAddr is a host at an address. Another host may come up at an address that was in use: it has other connections.
type endpointAddr struct{ endpointID, addr string }

// pool keeps the connections to hosts, idle ones for the next call. It is the relay's own: a Transport's sends some
// requests again by itself, which a message that must not run twice can't bear, dials where nobody can look again
// before the request is written, and does not show what came behind an answer.
type pool struct {
	dial           DialFunc
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxConns       int // connections

	mu        sync.Mutex
	idle      map[endpointAddr][]*pooledConn // the last used last
	idleAddrs map[string]int                 // that have idle connections: at so many addresses
	open      int                            // connections, idle or not
	closed    bool
}

// pooledConn is a connection to a host.
type pooledConn struct {
	*netconn.Conn
	pool      *pool
	target    endpointAddr
	idleSince time.Time // idle since then
	idleTimer *time.Timer
}

func newPool(config Config) *pool {
	dial := config.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &pool{
		dial:           dial,
		connectTimeout: config.ConnectTimeout,
		idleTimeout:    time.Duration(idleRatio * float64(config.KeepAlive)),
		maxConns:       config.MaxConns,
		idle:           map[endpointAddr][]*pooledConn{},
		idleAddrs:      map[string]int{},
	}
}

// getConn returns an idle connection to a host, else a new one; fresh tells which.
func (p *pool) getConn(ctx context.Context, to endpointAddr) (c *pooledConn, fresh bool, err error) {
	for c := p.takeIdle(to); c != nil; c = p.takeIdle(to) {
		if _, quiet := c.Unwatch(); quiet && time.Since(c.idleSince) < p.idleTimeout {
			return c, false, nil
		}
		c.discard() // closed by the host, or something came that no call had asked for
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		c, err = p.connect(ctx, to)
		if err == nil || !isLocalShortage(err) {
			return c, true, err
		}
		p.mu.Lock()
		p.evict()
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false, err
		case <-time.After(capacityRetryInterval):
		}
	}
}

// isLocalShortage tells whether a connection did not come up for want of what this relay may hold: that says nothing of the
// host.
func isLocalShortage(err error) bool {
	return errors.Is(err, errTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

func (p *pool) connect(ctx context.Context, to endpointAddr) (*pooledConn, error) {
	p.mu.Lock()
	if p.open >= p.maxConns {
		p.evict()
	}
	if p.open >= p.maxConns || p.closed {
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
	return &pooledConn{Conn: netconn.New(nc), pool: p, target: to}, nil
}

// takeIdle takes the connection that was used last out of the pool; nil if there is none.
func (p *pool) takeIdle(to endpointAddr) *pooledConn {
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

// release puts a connection into the pool for the next call.
func (c *pooledConn) release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.drop(c)
		return
	}
	c.idleSince = time.Now()
	dropIdle := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.remove(c) {
			p.drop(c)
		}
	}
	c.idleTimer = time.AfterFunc(p.idleTimeout, dropIdle)
	if len(p.idle[c.target]) == 0 {
		p.idleAddrs[c.target.endpointID]++
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	c.Watch(dropIdle)
}

func (c *pooledConn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// drop, remove and evict are called with mu held.
func (p *pool) drop(c *pooledConn) {
	p.open--
	c.Close()
}

// remove takes a connection out of the pool; false if it was not in it.
func (p *pool) remove(c *pooledConn) bool {
	list := p.idle[c.target]
	i := slices.Index(list, c)
	if i < 0 {
		return false
	}
	c.idleTimer.Stop()
	if p.idle[c.target] = slices.Delete(list, i, i+1); len(list) == 1 {
		delete(p.idle, c.target)
		if p.idleAddrs[c.target.endpointID]--; p.idleAddrs[c.target.endpointID] == 0 {
			delete(p.idleAddrs, c.target.endpointID)
		}
	}
	return true
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() {
	var oldest *pooledConn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest != nil {
		p.remove(oldest)
		p.drop(oldest)
	}
}

// CloseIdle closes the idle connections to a host, at whatever address.
func (p *pool) CloseIdle(route string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleAddrs[route] == 0 {
		return // a list may name a hundred thousand hosts that go
	}
	for to := range p.idle {
		if to.endpointID == route {
			p.dropIdleAt(to)
		}
	}
}

func (p *pool) dropIdleAt(to endpointAddr) {
	for _, c := range slices.Clone(p.idle[to]) {
		p.remove(c)
		p.drop(c)
	}
}

// Close closes all idle connections and keeps none from here on.
func (p *pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for to := range p.idle {
		p.dropIdleAt(to)
	}
}
