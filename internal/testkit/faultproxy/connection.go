package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the time until a connection to the target is made.
const dialTimeout = 5 * time.Second

// connection is the connection of a client together with the one to the target that was made for it.
type connection struct {
	proxy   *Proxy
	number  int // counted from 1
	cancel  context.CancelFunc
	done    <-chan struct{} // closed when the connection ends
	endOnce sync.Once

	mu     sync.Mutex      // guards the fields below
	sides  [2]*net.TCPConn // by the direction that is read from each: the client, the target
	timers []*time.Timer
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

// dial connects to the target, and reports whether the connection is up. If it is not, the client sees a reset.
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

// close closes both sides in order (FIN).
func (c *connection) close() { c.end(func(side *net.TCPConn) { discard(side) }) }

// reset closes both sides with a reset (RST).
func (c *connection) reset() { c.end(abort) }

// end closes both sides by a function, unless the connection has ended.
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

// schedule starts the timer of a rule that ends something after a time alone, whether or not bytes come.
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

// applyEnd applies a rule that ends one direction or both.
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

// closeWrite ends one direction of the connection.
func (c *connection) closeWrite(direction Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if to := c.sides[1-direction]; to != nil {
		_ = to.CloseWrite() // an error: that side has ended already
	}
}

// discard closes something that is not needed any more.
func discard(c io.Closer) {
	_ = c.Close() // an error: it was closed already, or its peer has left
}

// abort closes a connection with a reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // an error: it was closed already
	discard(conn)
}
