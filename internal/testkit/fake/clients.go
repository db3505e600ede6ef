package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	// reconnectPause is the pause before a message is resubmitted because its request was not sent.
	reconnectPause = 50 * time.Millisecond
	// unansweredPause is the pause before a message is resubmitted because its request got no answer.
	unansweredPause = 100 * time.Millisecond
	// maxUnanswered is the number of unanswered submissions of a message after which its client gives up.
	maxUnanswered = 2
	// maxRejections is the number of rejected submissions of a message after which its client gives up.
	maxRejections = 2
)

// Values of the X-Second-Try header, which states why a message is resubmitted.
const (
	secondTryRejected   = "1"
	secondTryUnanswered = "again"
)

// Clients simulates the clients of one relay. A client waits for the answer to a submission until a timeout. It may
// resubmit a message once after a rejection and once after a submission without an answer. A message that was not sent
// is resubmitted until its deadline.
type Clients struct {
	relay       string
	addr        string
	file        scenario.File
	events      *eventlog.Writer
	world       *World
	headers     []string       // the constant part of request heads, by class and customer
	submissions sync.WaitGroup // the goroutines of Submit

	mu        sync.Mutex // guards the fields below
	idle      []*clientConn
	open      map[*clientConn]struct{} // including the idle connections
	accepting bool                     // the relay accepts connections
	changed   chan struct{}            // closed and replaced when accepting is set to true
	closed    bool
}

// NewClients returns the clients of the relay at addr. They open no connections before SetAccepting(true).
func NewClients(relay, addr string, file scenario.File, events *eventlog.Writer, world *World) *Clients {
	c := &Clients{
		relay:   relay,
		addr:    addr,
		file:    file,
		events:  events,
		world:   world,
		open:    map[*clientConn]struct{}{},
		changed: make(chan struct{}),
	}
	for _, class := range file.Classes {
		for _, customer := range file.Customers {
			header := fmt.Sprintf("Host: origin.svc\r\nX-Qos: %s\r\nX-Customer: %s\r\n", class.Name, customer.Name)
			c.headers = append(c.headers, header)
		}
	}
	return c
}

// SetAccepting sets whether the relay accepts new connections, as a load balancer would report to its clients.
func (c *Clients) SetAccepting(accepting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = accepting
	if accepting {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// Close closes all connections and waits until all submissions have ended.
func (c *Clients) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.open {
		discard(conn)
	}
	c.mu.Unlock()
	c.submissions.Wait()
}

// Wait waits until the clients are done with every message: no answer is outstanding and no message will be
// resubmitted.
func (c *Clients) Wait() { c.submissions.Wait() }

// Submit submits a message in its own goroutine. delay is how much later than planned that happens.
func (c *Clients) Submit(ctx context.Context, arrival scenario.Arrival, delay time.Duration) {
	c.submissions.Go(func() { c.submitWithRetries(ctx, arrival, delay) })
}

// submission is one request of a client, which submits a message.
type submission struct {
	scenario.Arrival
	firstID   string // id of the message's first submission
	secondTry string // value of X-Second-Try; "": the header is not sent
	deadline  time.Time
}

// submitWithRetries submits a message, and resubmits it in the cases that the comment on Clients lists.
func (c *Clients) submitWithRetries(ctx context.Context, arrival scenario.Arrival, delay time.Duration) {
	class := c.file.Classes[arrival.Class]
	s := submission{
		Arrival:  arrival,
		firstID:  arrival.ID,
		deadline: time.Now().Add(class.Deadline.AsDuration()),
	}
	rejections, unanswered := 0, 0
	for n := 0; ctx.Err() == nil && time.Now().Before(s.deadline); n++ {
		if n > 0 {
			s.ID = fmt.Sprintf("%s-%d", arrival.ID, n)
		}
		out := c.submit(ctx, s, delay)
		delay = 0
		var pause time.Duration
		switch {
		case out.isRejection():
			rejections++
			if rejections == maxRejections || s.RetryDelay == 0 {
				return
			}
			s.secondTry = secondTryRejected
			pause = max(s.RetryDelay, min(out.retryAfter, c.file.Settings.MaxRetryAfter.AsDuration()))
		case out.kind == answered:
			return
		case out.kind == notSent:
			if !c.awaitAccepting(ctx, s.deadline) {
				return
			}
			pause = reconnectPause
		case out.kind == noAnswer: // the relay may have accepted the message: it is resubmitted only if idempotent
			unanswered++
			if unanswered == maxUnanswered || class.Effect == eventlog.NonIdempotent {
				return
			}
			s.secondTry = secondTryUnanswered
			pause = unansweredPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// awaitAccepting waits until the relay accepts connections and reports whether it does. The wait ends early when the
// deadline passes, ctx ends or the clients are closed.
func (c *Clients) awaitAccepting(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		c.mu.Lock()
		accepting, changed, closed := c.accepting, c.changed, c.closed
		c.mu.Unlock()
		if accepting || closed {
			return accepting
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// outcomeKind is the kind of result of a submission.
type outcomeKind int

const (
	answered outcomeKind = iota
	noAnswer             // the request was written to the connection, but no answer arrived
	notSent              // no connection was made, or writing the request failed
)

// String returns the kind as text for test failures.
func (k outcomeKind) String() string {
	switch k {
	case answered:
		return "answered"
	case noAnswer:
		return "no answer"
	case notSent:
		return "not sent"
	}
	return fmt.Sprintf("outcomeKind(%d)", int(k))
}

// outcome is the result of a submission. If there is no answer, status and retryAfter are 0.
type outcome struct {
	kind       outcomeKind
	status     int
	retryAfter time.Duration
}

// isRejection reports whether the answer asks the client to resubmit the message later.
func (o outcome) isRejection() bool {
	return o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable
}

// submit submits a message once and records the result.
func (c *Clients) submit(ctx context.Context, s submission, delay time.Duration) outcome {
	c.world.RegisterMessage(s.ID, s.deadline)
	c.events.Add(eventlog.Event{
		Kind:        eventlog.MessageSubmitted,
		ID:          s.ID,
		FirstID:     s.firstID,
		Relay:       c.relay,
		Class:       s.Class,
		Customer:    s.Customer,
		Destination: s.Destination,
		OrderingKey: s.OrderingKey,
		Duration:    time.Until(s.deadline),
		Delay:       delay,
	})
	conn, response, cause := c.exchange(ctx, s, time.Now().Add(c.file.Clients.AnswerTimeout.AsDuration()))
	if cause != "" {
		c.world.WithdrawMessage(s.ID)
		c.events.Add(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: s.ID, Relay: c.relay, Cause: cause})
		if cause == eventlog.CauseNotSent {
			return outcome{kind: notSent}
		}
		return outcome{kind: noAnswer}
	}
	out := outcome{kind: answered, status: response.StatusCode, retryAfter: parseRetryAfter(response.Header)}
	c.events.Add(eventlog.Event{
		Kind:       eventlog.SubmissionAnswered,
		ID:         s.ID,
		Relay:      c.relay,
		Status:     out.status,
		RetryAfter: out.retryAfter,
	})
	if out.status >= http.StatusMultipleChoices {
		c.world.ResolveMessage(s.ID)
	}
	if response.Close {
		c.drop(conn)
	} else {
		c.keep(conn)
	}
	return out
}
