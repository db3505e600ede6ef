// Package discovery watches the list of endpoints that service discovery has, and reads lists.
//
// A Watcher delivers lists to its owner. Short ones go as a whole; a long one goes in parts while it is read, so that
// no more of it than a few parts is in memory. A Client is the connection to discovery's agent, which a change of the
// configuration may move to another address.
package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrMoved is the cause for which calls end that are in flight when a Client moves to another address.
var ErrMoved = errors.New("discovery has moved to another address")

// Client calls discovery's agent. It is safe for concurrent use.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addr         string
	targetCtx    context.Context // ends when addr changes
	cancelTarget context.CancelFunc
}

// NewClient returns a client of the agent at addr.
func NewClient(addr string) *Client {
	c := &Client{addr: addr, http: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
		IdleConnTimeout:    30 * time.Second,
	}}}
	c.targetCtx, c.cancelTarget = context.WithCancel(context.Background())
	return c
}

// Move has all calls go to addr from here on. Those in flight to the old address end with ErrMoved.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	c.cancelTarget()
	c.targetCtx, c.cancelTarget = context.WithCancel(context.Background())
	c.http.CloseIdleConnections()
}

// Target returns the agent's address and a context for calls there, which ends with ctx, when the client moves, or by
// release.
func (c *Client) Target(ctx context.Context) (addr string, targetCtx context.Context, release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targetCtx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.targetCtx, func() { cancel(ErrMoved) })
	return c.addr, targetCtx, func() {
		stop()
		cancel(nil)
	}
}

// Do sends a request.
func (c *Client) Do(req *http.Request) (*http.Response, error) { return c.http.Do(req) }
