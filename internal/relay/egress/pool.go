package egress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
)

const (
	// idleRatio is the fraction of the endpoints' keep-alive time after which the relay closes an idle connection.
	// If the endpoint closed the connection first, a request sent at that moment could end with a reset, after
	// which its messages may have run.
	idleRatio = 0.8
	// capacityRetryInterval is the pause before a call tries again to open a connection after the relay ran out of
	// connections, descriptors or similar resources.
	capacityRetryInterval = 20 * time.Millisecond
)

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// endpointAddr identifies the connections to an endpoint at an address. A new endpoint may reuse the address of an
// earlier one, but not its connections.
type endpointAddr struct{ endpointID, addr string }

// pool opens connections to endpoints, bounds their number, and keeps idle ones for the next call.
type pool struct {
	dial           DialFunc
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxConns       int
	observer       Observer
	budget         *memory.Budget
	log            *slog.Logger
	surplus        ratelog.Warning

	mu            sync.Mutex
	lastID        uint64                         // ID of the connection opened last
	idle          map[endpointAddr][]*pooledConn // the most recently used is the last
	idleAddrs     map[string]int                 // by endpoint ID: number of addresses with idle connections
	announcements closeAnnouncements
	open          int // number of connections that are being opened, in use or idle
	closed        bool
}

// pooledConn is a connection to an endpoint that its pool counts, whether it is idle or in use.
type pooledConn struct {
	*netconn.Conn
	pool      *pool
	id        uint64 // counts the connections of this process, for logs
	usage     connUsage
	target    endpointAddr
	response  responseMemory
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
		observer:       config.Observer,
		budget:         config.Budget,
		log:            config.Log,
		surplus:        ratelog.Warning{Message: "endpoint sent bytes that no request asked for"},
		idle:           map[endpointAddr][]*pooledConn{},
		idleAddrs:      map[string]int{},
		announcements:  newCloseAnnouncements(),
	}
}

// getConn returns an idle connection that the call may use, or opens a new one. dialed is true if the connection is
// new.
func (p *pool) getConn(ctx context.Context, call *Call) (conn *pooledConn, dialed bool, err error) {
	target := endpointAddr{call.EndpointID, call.Addr}
	for c := p.takeIdle(target, call); c != nil; c = p.takeIdle(target, call) {
		reason, usable := c.endIdle()
		if usable {
			return c, false, nil
		}
		c.close(reason)
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

// endIdle ends the watch of a connection that was taken out of the pool. It reports whether the connection can be
// used, and otherwise why not.
func (c *pooledConn) endIdle() (reason CloseReason, usable bool) {
	open, quiet := c.Unwatch()
	switch {
	case !open:
		return CloseByPeer, false
	case !quiet:
		c.reportSurplus(SurplusBeforeRequest)
		return CloseSurplus, false
	case time.Since(c.idleSince) >= c.pool.idleTimeout:
		return CloseKeepAlive, false
	}
	return 0, true
}

// checkQuiet reports whether the endpoint has sent nothing and not closed the connection just before a request is
// written. Otherwise it also returns the reason to close the connection.
func (c *pooledConn) checkQuiet() (reason CloseReason, quiet bool) {
	switch c.Pending() {
	case netconn.PendingBytes:
		c.reportSurplus(SurplusBeforeRequest)
		return CloseSurplus, false
	case netconn.PendingEnd:
		return CloseByPeer, false
	}
	return 0, true
}

// reportSurplus reports bytes that belong to no request of this connection.
func (c *pooledConn) reportSurplus(when Surplus) {
	c.pool.observer.SurplusReceived(when)
	c.pool.surplus.Log(c.pool.log, "endpoint", c.target.endpointID, "addr", c.target.addr, "conn", c.id,
		"calls", c.usage.calls, "when", when.String())
}

// isLocalShortage reports whether a connection could not be opened because this relay lacks connections,
// descriptors, ports or memory. Such an error is no failure of the endpoint.
func isLocalShortage(err error) bool {
	return errors.Is(err, errTooManyConns) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// connect opens a connection. At the connection limit it first closes the connection that has been idle longest.
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
	p.observer.ConnOpened()
	return &pooledConn{Conn: netconn.New(conn), pool: p, id: p.nextID(), target: target}, nil
}

// nextID returns the ID of a new connection.
func (p *pool) nextID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID
}

// reserve counts a connection that is about to be opened. It returns false if the pool is closed, or if the limit
// is reached and no idle connection can be closed.
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

// takeIdle removes an idle connection to target from the pool and returns it: of those that the call may use, the most
// recently used one. It returns nil if there is none.
func (p *pool) takeIdle(target endpointAddr, call *Call) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Backward(p.idle[target]) {
		if c.mayCarry(call) {
			p.remove(c)
			return c
		}
	}
	return nil
}

// release returns a connection to the pool for the next call, or closes it if the pool is closed.
func (c *pooledConn) release() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.drop(c, CloseNotWanted)
		return
	}
	c.idleSince = time.Now()
	c.idleTimer = time.AfterFunc(p.idleTimeout, c.closeExpired)
	if len(p.idle[c.target]) == 0 {
		p.idleAddrs[c.target.endpointID]++
	}
	p.idle[c.target] = append(p.idle[c.target], c)
	c.Watch(c.closeNoticed)
}

// closeExpired closes a connection that was idle for too long, unless a call has taken it out of the pool.
func (c *pooledConn) closeExpired() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.remove(c) {
		c.pool.drop(c, CloseKeepAlive)
	}
}

// closeNoticed closes an idle connection on which the watch noticed something, unless a call has taken it out of the
// pool.
func (c *pooledConn) closeNoticed() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.pool.remove(c) {
		return
	}
	reason := CloseByPeer
	if c.Reader.Buffered() > 0 {
		reason = CloseSurplus
		c.reportSurplus(SurplusIdle)
	}
	c.pool.drop(c, reason)
}

// close closes a connection that is not in the pool.
func (c *pooledConn) close(reason CloseReason) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c, reason)
}

// CloseIdle closes the idle connections to an endpoint at all its addresses.
func (p *pool) CloseIdle(endpointID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleAddrs[endpointID] == 0 {
		return // a list may remove 100,000 endpoints: avoid a scan of p.idle for each of them
	}
	for target := range p.idle {
		if target.endpointID == endpointID {
			p.dropIdleAt(target)
		}
	}
}

// Close closes all idle connections and prevents new ones. Connections in use are closed when their calls end.
func (p *pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for target := range p.idle {
		p.dropIdleAt(target)
	}
}

// evictOne locks the mutex and calls evict.
func (p *pool) evictOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evict()
}

// The methods below require that the caller holds p.mu.

// drop closes a connection and no longer counts it.
func (p *pool) drop(c *pooledConn, reason CloseReason) {
	p.open--
	c.Discard()
	p.observer.ConnClosed(reason)
	if p.log.Enabled(context.Background(), slog.LevelDebug) {
		p.log.Debug("connection closed", "endpoint", c.target.endpointID, "conn", c.id, "calls", c.usage.calls,
			"reason", reason.String())
	}
}

// remove removes an idle connection from the pool. It returns false if the connection was not in the pool.
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
		p.drop(oldest, CloseEvicted)
	}
}

// dropIdleAt closes all idle connections to target.
func (p *pool) dropIdleAt(target endpointAddr) {
	for _, c := range slices.Clone(p.idle[target]) {
		p.remove(c)
		p.drop(c, CloseNotWanted)
	}
}
