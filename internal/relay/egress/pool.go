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

const (
	// idleRatio is the part of the endpoints' keep-alive time after which an idle connection is closed from this side.
	// It guards against a request that crosses the endpoint's own close: it ends as a reset, which may have run.
	idleRatio = 0.8
	// capacityRetryInterval is how long a call waits before it looks for a free connection or descriptor again.
	capacityRetryInterval = 20 * time.Millisecond
)

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// endpointAddr is an endpoint at an address. Another endpoint may come up at an address that was in use: it has other
// connections.
type endpointAddr struct{ endpointID, addr string }

// pool opens connections to endpoints, bounds their number, and keeps idle ones for the next call.
type pool struct {
	dial           DialFunc
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxConns       int

	mu        sync.Mutex
	idle      map[endpointAddr][]*pooledConn // the last used last
	idleAddrs map[string]int                 // by endpoint: at how many addresses it has idle connections
	open      int                            // connections, idle or not
	closed    bool
}

// pooledConn is a connection to an endpoint.
type pooledConn struct {
	*netconn.Conn
	pool      *pool
	target    endpointAddr
	idleSince time.Time
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

// getConn returns an idle connection to an endpoint, else a new one; dialed reports which.
func (p *pool) getConn(ctx context.Context, target endpointAddr) (conn *pooledConn, dialed bool, err error) {
	for c := p.takeIdle(target); c != nil; c = p.takeIdle(target) {
		if _, quiet := c.Unwatch(); quiet && time.Since(c.idleSince) < p.idleTimeout {
			return c, false, nil
		}
		c.close() // closed by the endpoint, or something came that no call had asked for
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		conn, err = p.connect(ctx, target)
		if err == nil || !isLocalShortage(err) {
			return conn, true, err
		}
		p.evictOne()
		select {
		case <-ctx.Done():
			return nil, false, err
		case <-time.After(capacityRetryInterval):
		}
	}
}

// isLocalShortage reports whether a connection did not come up for want of what this relay may hold: that says nothing
// of the endpoint.
func isLocalShortage(err error) bool {
	return errors.Is(err, errTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// connect opens a connection, if need be in the place of an idle one.
func (p *pool) connect(ctx context.Context, target endpointAddr) (*pooledConn, error) {
	if !p.reserve() {
		return nil, errTooManyConns
	}
	conn, err := p.dial(ctx, "tcp", target.addr)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		return nil, fmt.Errorf("connect: %w", err)
	}
	return &pooledConn{Conn: netconn.New(conn), pool: p, target: target}, nil
}

// reserve counts a connection that is about to be opened; false if there may be no more.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConns {
		p.evict()
	}
	if p.open >= p.maxConns || p.closed {
		return false
	}
	p.open++
	return true
}

// takeIdle takes the connection that was used last out of the pool; nil if there is none.
func (p *pool) takeIdle(target endpointAddr) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[target]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
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
	closeIfIdle := c.closeIfIdle
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, closeIfIdle)
	if len(p.idle[c.target]) == 0 {
		p.idleAddrs[c.target.endpointID]++
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	c.Watch(closeIfIdle)
}

// closeIfIdle closes a connection unless a call has taken it out of the pool.
func (c *pooledConn) closeIfIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.remove(c) {
		c.pool.drop(c)
	}
}

// close closes a connection that is not in the pool.
func (c *pooledConn) close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// CloseIdle closes the idle connections to an endpoint, at whatever address.
func (p *pool) CloseIdle(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleAddrs[endpointID] == 0 {
		return // a list may name a hundred thousand endpoints that go
	}
	for target := range p.idle {
		if target.endpointID == endpointID {
			p.dropIdleAt(target)
		}
	}
}

// Close closes all idle connections and keeps none from here on.
func (p *pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for target := range p.idle {
		p.dropIdleAt(target)
	}
}

// evictOne is evict for those that do not hold the mutex.
func (p *pool) evictOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict()
}

// Callers of the functions below hold the mutex.

// drop closes a connection.
func (p *pool) drop(c *pooledConn) {
	p.open--
	c.Discard()
}

// remove takes a connection out of the pool; false if it was not in it.
func (p *pool) remove(c *pooledConn) bool {
	conns := p.idle[c.target]
	i := slices.Index(conns, c)
	if i < 0 {
		return false
	}
	c.idleTimer.Stop()
	p.idle[c.target] = slices.Delete(conns, i, i+1)
	if len(conns) == 1 {
		delete(p.idle, c.target)
		p.idleAddrs[c.target.endpointID]--
		if p.idleAddrs[c.target.endpointID] == 0 {
			delete(p.idleAddrs, c.target.endpointID)
		}
	}
	return true
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() {
	var oldest *pooledConn
	for _, conns := range p.idle {
		if c := conns[0]; oldest == nil || c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest != nil {
		p.remove(oldest)
		p.drop(oldest)
	}
}

// dropIdleAt closes the idle connections to an endpoint at an address.
func (p *pool) dropIdleAt(target endpointAddr) {
	for _, c := range slices.Clone(p.idle[target]) {
		p.remove(c)
		p.drop(c)
	}
}
