package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// connection is a client's connection to the proxy together with the proxy's connection to the target.
type connection struct {
	proxy   *Proxy
	number  int // counted from 1
	cancel  context.CancelFunc
	done    <-chan struct{} // closed when the connection ends
	endOnce sync.Once

	mu     sync.Mutex      // guards the fields below
	sides  [2]*net.TCPConn // by the direction read from each: Upstream is the client, Downstream the target
	timers []*time.Timer   // see schedule
	ended  bool
}

// serve connects to the target and copies both directions until they end.
func (c *connection) serve(ctx context.Context, target string) {
	defer c.proxy.remove(c)
	defer c.close()
	if !c.dial(ctx, target) {
		return
	}
	c.proxy.scheduleRules(c)
	var directions sync.WaitGroup
	directions.Go(newStream(c, Upstream).run)
	directions.Go(newStream(c, Downstream).run)
	directions.Wait()
}

// dial connects to the target. It returns false if that fails or the connection has ended. If the target cannot be
// reached, the client's side is reset.
func (c *connection) dial(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	dialed, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		c.reset()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		discard(dialed)
		return false
	}
	c.sides[Downstream] = dialed.(*net.TCPConn)
	return true
}

// close closes both sides gracefully (FIN).
func (c *connection) close() { c.end(func(side *net.TCPConn) { discard(side) }) }

// reset closes both sides with a reset (RST).
func (c *connection) reset() { c.end(abort) }

// end closes both sides with closeSide, unless the connection has ended.
func (c *connection) end(closeSide func(*net.TCPConn)) {
	c.endOnce.Do(func() {
		c.cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for _, timer := range c.timers {
			timer.Stop()
		}
		for _, side := range c.sides {
			if side != nil {
				closeSide(side)
			}
		}
	})
}

// schedule starts a timer for a rule that ends a direction or the connection and has After as its only trigger. Such a
// rule triggers even if no bytes pass. Other rules are ignored.
func (c *connection) schedule(rule numberedRule) {
	timeAlone := rule.After > 0 && rule.Offset == 0 && len(rule.Match) == 0
	if !timeAlone || !rule.Fault.endsDirection() || !rule.appliesTo(c.number) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.timers = append(c.timers, time.AfterFunc(rule.After, func() { c.applyEnd(rule) }))
}

// applyEnd applies a rule that ends one direction or both directions.
func (c *connection) applyEnd(rule numberedRule) {
	c.proxy.ruleTriggered(rule.id)
	switch rule.Fault {
	case Reset:
		c.reset()
	case Close:
		c.close()
	case HalfClose:
		c.closeWrite(rule.Direction)
	}
}

// closeWrite ends one direction of the connection: the side that receives its bytes gets a FIN.
func (c *connection) closeWrite(direction Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to := c.sides[1-direction]; to != nil {
		_ = to.CloseWrite() // fails if that side was closed already
	}
}

// discard closes c, which is no longer needed, and ignores the error.
func discard(c io.Closer) {
	_ = c.Close() // fails only if c was closed already or its peer has disconnected
}

// abort closes a connection with a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails only if conn was closed already
	discard(conn)
}
