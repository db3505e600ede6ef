package relay

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/policy"
)

// idleShare is the share of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// Guards against a request that crosses the host's own close: it ends as a reset, which may have run.
const idleShare = 0.8

// answerMost is the most that is read of an answer.
const answerMost = 1 << 20

var errTooManyConns = errors.New("all connections that the relay may hold are in use")

// hosts makes the outbound calls and keeps their connections. It pools them itself, over http.ClientConn: a
// Transport's own pool sends some requests again by itself, which a message that must not run twice can't bear,
// and dials where nobody can look again before the request is written.
type hosts struct {
	transport      *http.Transport
	connectTimeout time.Duration
	idleFor        time.Duration
	reports        []string
	most           int // connections

	mu     sync.Mutex
	idle   map[string][]*idleConn // by address, the last used last
	open   int                    // connections, idle or not
	closed bool
}

type idleConn struct {
	*http.ClientConn
	since time.Time
	timer *time.Timer
}

// call is one request to a host, with one message or several.
type call struct {
	route    string
	addr     string
	zone     int
	sent     time.Time
	until    time.Time // given up then
	attempts []*attempt
	size     int // of the body, at most, if it carries several
}

// attempt is one message's part in a call.
type attempt struct {
	*call
	m     *message
	n     int
	until time.Time
	timer *time.Timer // ends it before the rest of its call; nil if it ends with it
	over  bool        // its outcome is told
}

// result is how an attempt ended.
type result struct {
	outcome policy.Outcome
	gone    bool // the message is over: nothing more is owed
	wait    time.Duration
	report  policy.Report
}

func newHosts(cfg Config) *hosts {
	return &hosts{
		// No proxy, no compression, no redirects: a ClientConn follows none.
		transport: &http.Transport{
			DialContext:            (&net.Dialer{KeepAlive: -1}).DialContext,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 16 << 10,
		},
		connectTimeout: cfg.ConnectTimeout,
		idleFor:        time.Duration(idleShare * float64(cfg.KeepAlive)),
		reports:        cfg.Reports,
		most:           cfg.Limits.Sockets * 3 / 8,
		idle:           map[string][]*idleConn{},
	}
}

// do makes a call and tells the end of each of its attempts, in their order. clear is asked once more before
// the request is written where a new connection had to come up first.
func (h *hosts) do(ctx context.Context, c *call, clear func() bool) []result {
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	conn, fresh, err := h.conn(ctx, c.addr)
	if err != nil {
		return alike(c, result{outcome: policy.ConnectFailed})
	}
	// While the connection came up, a drain or a wait may have been told.
	if fresh && !clear() {
		h.put(c.addr, conn)
		return alike(c, result{outcome: policy.Moot})
	}
	req, err := newRequest(ctx, c)
	if err != nil {
		h.put(c.addr, conn)
		return alike(c, result{outcome: policy.Moot})
	}
	return h.exchange(req, c, conn)
}

// exchange writes the request and reads its answer.
func (h *hosts) exchange(req *http.Request, c *call, conn *http.ClientConn) []result {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }}
	res, err := conn.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		h.drop(conn)
		// The last byte tells: without it no host has begun. Whatever is doubtful may have run.
		return alike(c, result{outcome: broken(req.Context(), written.Load())})
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
	res.Body.Close()
	h.put(c.addr, conn)
	return h.results(req.Context(), c, res, body, err)
}

// broken is the outcome of a call whose answer did not come.
func broken(ctx context.Context, written bool) policy.Outcome {
	switch {
	case !written:
		return policy.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.Timeout
	case ctx.Err() != nil:
		return policy.Cancelled
	}
	return policy.Reset
}

// newRequest makes the request of a call. Its body cannot be rewound, so that no library sends it again.
func newRequest(ctx context.Context, c *call) (*http.Request, error) {
	path, body := "/events", c.attempts[0].m.Body
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, time.Until(c.until).Milliseconds()), 10)}}
	if len(c.attempts) > 1 {
		path, body = "/events/bundle", bundle(c)
		header.Set("Content-Type", "application/json")
	} else {
		m := c.attempts[0].m
		header.Set("X-Trace-Id", m.Trace)
		if m.Key != "" {
			header.Set("Idempotency-Key", m.Key)
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body, req.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	}
	return req, nil
}

// item is a message in a bundle.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// itemSize is the most that a message takes in a bundle: any byte of an id may be escaped.
func itemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(len(m.Body)) + 6*(len(m.Trace)+len(m.Key)) + len(`{"id":"","key":"","body":""},[]`)
}

func bundle(c *call) []byte {
	items := make([]item, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, item{a.m.Trace, a.m.Key, append([]byte{}, a.m.Body...)}) // null is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// results reads an answer. readErr is how the reading of its body ended.
func (h *hosts) results(ctx context.Context, c *call, res *http.Response, body []byte, readErr error) []result {
	r := result{wait: seconds(res.Header.Get("Retry-After")), report: h.report(res.Header.Get("Endpoint-Load-Metrics"))}
	switch res.StatusCode {
	case http.StatusOK:
		if len(c.attempts) > 1 {
			return bundleResults(ctx, c, r, body, readErr)
		}
		r.outcome = policy.OK // with the first line: the body means nothing
	case http.StatusTooManyRequests:
		r.outcome = policy.Full
	case http.StatusServiceUnavailable:
		if r.outcome = policy.Full; res.Header.Get("Slots-Taken") == "1" {
			r.outcome = policy.Moot
		}
	case http.StatusGatewayTimeout:
		r.outcome = policy.Moot
	case http.StatusGone:
		r.outcome, r.gone = policy.Moot, true
	default:
		r.outcome = policy.Error // 500, and what is not known: it may have run
	}
	return alike(c, r)
}

// bundleResults reads the end of each message of a bundle. One that is missing or unreadable may have run.
func bundleResults(ctx context.Context, c *call, r result, body []byte, readErr error) []result {
	unread := r
	unread.outcome = policy.Error
	var raw []json.RawMessage
	if readErr != nil {
		unread.outcome = broken(ctx, true)
	} else if json.Unmarshal(body, &raw) != nil {
		raw = nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct{ ID, State string }
		if json.Unmarshal(x, &item) == nil {
			states[item.ID] = item.State
		}
	}
	results := alike(c, unread)
	for i, a := range c.attempts {
		switch states[a.m.Trace] {
		case "ok":
			results[i].outcome = policy.OK
		case "error":
			results[i].outcome = policy.Error
		case "later":
			results[i].outcome = policy.Full
		case "gone":
			results[i].outcome, results[i].gone = policy.Moot, true
		case "exhausted":
			results[i].outcome = policy.Moot
		}
	}
	return results
}

// report reads what a host tells of its limit.
func (h *hosts) report(text string) policy.Report {
	var rep policy.Report
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !slices.Contains(h.reports, name) {
			continue
		}
		switch name {
		case "x0":
			rep.Left = x
		case "x1":
			rep.Limit, rep.Told = x, true
		}
	}
	return rep
}

// seconds reads a Retry-After, whole or decimal; 0 if there is none that can be read.
func seconds(text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// alike gives every attempt of a call the same end.
func alike(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}

// conn returns an idle connection to addr, else a new one; fresh tells which.
func (h *hosts) conn(ctx context.Context, addr string) (conn *http.ClientConn, fresh bool, err error) {
	h.mu.Lock()
	for list := h.idle[addr]; len(list) > 0; list = h.idle[addr] {
		c := list[len(list)-1]
		h.remove(addr, c)
		if c.Err() == nil && time.Since(c.since) < h.idleFor {
			h.mu.Unlock()
			return c.ClientConn, false, nil
		}
		h.drop1(c.ClientConn)
	}
	if h.open >= h.most {
		h.evict()
	}
	if h.open >= h.most || h.closed {
		h.mu.Unlock()
		return nil, false, errTooManyConns
	}
	h.open++
	h.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, h.connectTimeout)
	defer cancel()
	conn, err = h.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		h.mu.Lock()
		h.open--
		h.mu.Unlock()
		return nil, false, fmt.Errorf("connect: %w", err)
	}
	return conn, true, nil
}

// put keeps a connection for the next call, if it can carry one.
func (h *hosts) put(addr string, conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || conn.Available() == 0 {
		h.drop1(conn)
		return
	}
	c := &idleConn{ClientConn: conn, since: time.Now()}
	c.timer = time.AfterFunc(h.idleFor, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.remove(addr, c) {
			h.drop1(conn)
		}
	})
	h.idle[addr] = append(h.idle[addr], c)
}

// remove takes a connection out of the pool; false if it was not in it.
func (h *hosts) remove(addr string, c *idleConn) bool {
	i := slices.Index(h.idle[addr], c)
	if i < 0 {
		return false
	}
	c.timer.Stop()
	if h.idle[addr] = slices.Delete(h.idle[addr], i, i+1); len(h.idle[addr]) == 0 {
		delete(h.idle, addr)
	}
	return true
}

// evict closes the connection that has been idle longest.
func (h *hosts) evict() {
	var oldest *idleConn
	var at string
	for addr, list := range h.idle {
		if c := list[0]; oldest == nil || c.since.Before(oldest.since) {
			oldest, at = c, addr
		}
	}
	if oldest != nil {
		h.remove(at, oldest)
		h.drop1(oldest.ClientConn)
	}
}

func (h *hosts) drop(conn *http.ClientConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop1(conn)
}

func (h *hosts) drop1(conn *http.ClientConn) {
	h.open--
	conn.Close()
}

// closeIdle closes the idle connections to an address.
func (h *hosts) closeIdle(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range slices.Clone(h.idle[addr]) {
		h.remove(addr, c)
		h.drop1(c.ClientConn)
	}
}

// close closes all idle connections and keeps none from here on.
func (h *hosts) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for addr, list := range h.idle {
		for _, c := range slices.Clone(list) {
			h.remove(addr, c)
			h.drop1(c.ClientConn)
		}
	}
}
