package fake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// Clients hands messages in to one relay, as its clients would: they wait for so long and no longer, come again after
// a refusal if they do, and once more after an answer that did not come.
type Clients struct {
	relay   string
	addr    string
	file    scenario.File
	rec     *eventlog.Writer
	world   *World
	headers []string // by class and customer: the part of a head that does not change

	mu     sync.Mutex
	idle   []*clientConn
	open   map[*clientConn]struct{}
	takes  bool          // new connections are taken
	change chan struct{} // closed and made anew when takes becomes true
	closed bool
	sent   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// NewClients returns the clients of a relay at an address. They wait until Takes.
func NewClients(relay, addr string, file scenario.File, rec *eventlog.Writer, world *World) *Clients {
	c := &Clients{
		relay: relay, addr: addr, file: file, rec: rec, world: world, open: map[*clientConn]struct{}{},
		change: make(chan struct{}),
	}
	for _, class := range file.Classes {
		for _, customer := range file.Customers {
			c.headers = append(
				c.headers,
				fmt.Sprintf("Host: origin.svc\r\nX-Qos: %s\r\nX-Customer: %s\r\n", class.Name, customer.Name),
			)
		}
	}
	return c
}

// SetAccepting says whether the relay takes new connections, as its front knows it.
func (c *Clients) SetAccepting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takes = on; on {
		close(c.change)
		c.change = make(chan struct{})
	}
}

// Close ends all connections and waits for what is under way.
func (c *Clients) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.open {
		conn.Close()
	}
	c.mu.Unlock()
	c.sent.Wait()
}

// Wait waits until all that was handed in has its answer, and no client comes again.
func (c *Clients) Wait() { c.sent.Wait() }

// Submit hands a message in at once, in a goroutine of its own. late is by how much that is after the plan.
func (c *Clients) Submit(ctx context.Context, a scenario.Arrival, late time.Duration) {
	c.sent.Go(func() { c.tries(ctx, a, late) })
}

// try is one hand-in.
type try struct {
	scenario.Arrival
	origin   string
	second   string // X-Second-Try
	deadline time.Time
}

// tries hands a message in, and again as clients do, until its time is up.
func (c *Clients) tries(ctx context.Context, a scenario.Arrival, late time.Duration) {
	t := try{Arrival: a, origin: a.ID, deadline: time.Now().Add(c.file.Classes[a.Class].Deadline.AsDuration())}
	refusals, unanswered := 0, 0
	for n := 0; ctx.Err() == nil && time.Now().Before(t.deadline); n++ {
		if n > 0 {
			t.ID = fmt.Sprintf("%s-%d", a.ID, n)
		}
		heard, advice := c.try(ctx, t, late)
		late = 0
		var wait time.Duration
		switch {
		case heard == http.StatusTooManyRequests || heard == http.StatusServiceUnavailable:
			if refusals++; refusals > 1 || t.RetryDelay == 0 {
				return
			}
			t.second, wait = "1", max(t.RetryDelay, min(advice, c.file.Settings.MaxRetryAfter.AsDuration()))
		case heard > 0:
			return
		case heard == unsent:
			if !c.taken(ctx, t.deadline) {
				return
			}
			wait = 50 * time.Millisecond
		default: // it may have been taken on
			if unanswered++; unanswered > 1 || c.file.Classes[a.Class].Effect == "unsafe" {
				return
			}
			t.second, wait = "again", 100*time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// taken waits until the relay takes connections; false if the time is up before.
func (c *Clients) taken(ctx context.Context, by time.Time) bool {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		c.mu.Lock()
		takes, change, closed := c.takes, c.change, c.closed
		c.mu.Unlock()
		if takes || closed {
			return takes
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		}
	}
}

// What try returns in place of a status.
const (
	unsent   = 0
	noAnswer = -1
)

var errNotTaken = errors.New("the relay takes no connections")

// try hands a message in once, and records what came of it.
func (c *Clients) try(ctx context.Context, t try, late time.Duration) (heard int, advice time.Duration) {
	c.world.RegisterMessage(t.ID, t.Destination, t.deadline)
	c.rec.Add(eventlog.Event{
		Kind: eventlog.MessageSubmitted, ID: t.ID, FirstID: t.origin, Relay: c.relay, Class: t.Class, Customer: t.Customer, Destination: t.Destination, OrderingKey: t.OrderingKey,
		For: time.Until(t.deadline), Delay: late,
	})
	leave := time.Now().Add(c.file.Clients.AnswerTimeout.AsDuration())
	unheard := func(cause string) (int, time.Duration) {
		c.world.WithdrawMessage(t.ID)
		c.rec.Add(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: t.ID, Relay: c.relay, Cause: cause})
		if cause == eventlog.CauseNotSent {
			return unsent, 0
		}
		return noAnswer, 0
	}
	fresh := false
	for {
		conn, err := c.get(ctx, leave, fresh)
		if err != nil {
			return unheard(eventlog.CauseNotSent)
		}
		conn.SetDeadline(leave)
		if _, err := conn.Write(c.text(t)); err != nil {
			c.drop(conn)
			if conn.used && !fresh {
				fresh = true // the relay closed it between two requests
				continue
			}
			return unheard(eventlog.CauseNotSent)
		}
		res, err := http.ReadResponse(conn.r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(res.Body, bodyMost))
			res.Body.Close()
		}
		if err != nil {
			silent := conn.r.Buffered() == 0 && res == nil
			c.drop(conn)
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				return unheard(eventlog.CauseTimeout)
			case conn.used && !fresh && silent:
				fresh = true // its close crossed the request: this is sent once more, on a new one
				continue
			}
			return unheard(eventlog.CauseClosed)
		}
		if x, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && x > 0 && x < 1e6 {
			advice = time.Duration(x * float64(time.Second))
		}
		c.rec.Add(eventlog.Event{Kind: eventlog.SubmissionAnswered, ID: t.ID, Relay: c.relay, Status: res.StatusCode, RetryAfter: advice})
		if res.StatusCode >= 300 {
			c.world.ResolveMessage(t.ID)
		}
		if res.Close {
			c.drop(conn)
		} else {
			c.keep(conn)
		}
		return res.StatusCode, advice
	}
}

// text is the request on the wire.
func (c *Clients) text(t try) []byte {
	var b bytes.Buffer
	b.Grow(512 + t.BodySize)
	b.WriteString("POST /")
	b.WriteString(c.file.Classes[t.Class].Name)
	if t.OrderingKey != "" {
		b.WriteString("?key=")
		b.WriteString(t.OrderingKey)
	}
	b.WriteString(" HTTP/1.1\r\n")
	b.WriteString(c.headers[t.Class*len(c.file.Customers)+t.Customer])
	fmt.Fprintf(
		&b,
		"X-Trace-Id: %s\r\nIdempotency-Key: %s\r\nX-Expires-In-Ms: %d\r\nEnvelope: dest=%d\r\nContent-Length: %d\r\n",
		t.ID,
		t.IdempotencyKey,
		max(0, time.Until(t.deadline).Milliseconds()),
		t.Destination,
		t.BodySize,
	)
	if t.second != "" {
		fmt.Fprintf(&b, "X-Second-Try: %s\r\n", t.second)
	}
	b.WriteString("\r\n")
	for i := range t.BodySize {
		b.WriteByte("0123456789abcdef"[i%16])
	}
	return b.Bytes()
}

// get returns an idle connection, or a new one.
func (c *Clients) get(ctx context.Context, by time.Time, fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	ok := c.takes && !c.closed
	c.mu.Unlock()
	if !ok {
		return nil, errNotTaken
	}
	d := net.Dialer{Deadline: by}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, fmt.Errorf("standin: client of %s: %w", c.relay, err)
	}
	conn := &clientConn{Conn: nc, r: bufio.NewReaderSize(nc, 1024)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn, nil
}

func (c *Clients) keep(conn *clientConn) {
	conn.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

func (c *Clients) drop(conn *clientConn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}
