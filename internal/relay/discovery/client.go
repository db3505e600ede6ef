// Package discovery watches the endpoint list of service discovery and parses endpoint lists.
//
// A Watcher delivers lists to its owner. A short list is delivered as a whole. A long list is delivered in parts while
// it is read, so that only a few parts are in memory at a time. A Client calls the discovery agent, whose address can
// change with the configuration.
package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrMoved is the cancellation cause of calls that are in flight when a Client moves to another address.
var ErrMoved = errors.New("discovery agent moved to another address")

// maxHeaderSize bounds the header of a response of the agent, in bytes.
const maxHeaderSize = 16 << 10

// Client calls the discovery agent. It is safe for concurrent use. Each call has a connection of its own: responses are
// matched to requests by their order alone, and a second copy of a response may arrive when the next request is out.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addr         string
	targetCtx    context.Context // cancelled when addr changes
	cancelTarget context.CancelFunc
}

// NewClient returns a client of the discovery agent at addr.
func NewClient(addr string) *Client {
	c := &Client{addr: addr, http: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxConnsPerHost:        4,
		MaxResponseHeaderBytes: maxHeaderSize,
	}}}
	c.targetCtx, c.cancelTarget = context.WithCancel(context.Background())
	return c
}

// Move directs new calls to addr. The contexts that Target returned for the old address are cancelled with ErrMoved as
// their cause.
func (c *Client) Move(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addr == addr {
		return
	}
	c.addr = addr
	c.cancelTarget()
	c.targetCtx, c.cancelTarget = context.WithCancel(context.Background())
}

// Target returns the agent's address and a context for calls to it. The context is cancelled when ctx ends, when the
// client moves to another address, or when the caller calls release.
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

// Do sends a request. Callers take its address and its context from Target.
func (c *Client) Do(req *http.Request) (*http.Response, error) { return c.http.Do(req) }
