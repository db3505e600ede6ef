package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

var ErrMoved = errors.New("discovery has another address now")

// Client is discovery's agent, which another configuration may put at another address.
type Client struct {
	http *http.Client

	mu           sync.Mutex
	addr         string
	targetCtx    context.Context // ends when addr changes
	cancelTarget context.CancelFunc
}

func NewClient(addr string) *Client {
	a := &Client{addr: addr, http: &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		MaxConnsPerHost:    4,
		IdleConnTimeout:    30 * time.Second,
	}}}
	a.targetCtx, a.cancelTarget = context.WithCancel(context.Background())
	return a
}

// Move has all go to addr from here on: what is under way at the old address ends with ErrMoved.
func (a *Client) Move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	a.addr = addr
	a.cancelTarget()
	a.targetCtx, a.cancelTarget = context.WithCancel(context.Background())
	a.http.CloseIdleConnections()
}

// Target returns the address and a context for work there, which ends with ctx, when the agent moves, or by done.
func (a *Client) Target(ctx context.Context) (addr string, work context.Context, done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	work, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.targetCtx, func() { cancel(ErrMoved) })
	return a.addr, work, func() { stop(); cancel(nil) }
}

// Do sends a request to the agent.
func (a *Client) Do(req *http.Request) (*http.Response, error) { return a.http.Do(req) }
