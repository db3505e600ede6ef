// Package egress makes the relay's calls to endpoints. It keeps a pool of connections, writes requests that carry
// one message or several, and reads the responses. For each message it reports whether the message was delivered,
// certainly did not run, or may have run.
//
// The package has its own connection pool because http.Transport does not fit for three reasons. Transport retries
// some requests by itself, but some messages must not run twice. It dials without a chance to check the call again
// before the request is written. It does not expose bytes that follow a response.
package egress

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recheckAfter is how long after its decision a call may be written on an idle connection without another check. It
// is shorter than policy.deadlineMargin, so the time limits that the policy applied still hold.
const recheckAfter = 10 * time.Millisecond

// maxRequestHeaderSize is the usual size of the header of a request at most, in bytes.
const maxRequestHeaderSize = 1 << 10

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures a Client.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // time after which endpoints close an idle connection
	MaxConns       int
	ReportFields   []string // fields to read from the endpoints' load reports; empty: endpoints send none
	Observer       Observer
	Budget         *memory.Budget // bounds the memory of responses; nil: no bounds
	Dial           DialFunc       // nil: dial TCP without keep-alive probes
	Log            *slog.Logger
}

// Client makes calls to endpoints.
type Client struct {
	*pool
	reportFields       []string
	malformedResponses ratelog.Warning
}

// New returns a client without open connections.
func New(config Config) *Client {
	return &Client{
		pool:               newPool(config),
		reportFields:       config.ReportFields,
		malformedResponses: ratelog.Warning{Message: "malformed response"},
	}
}

// Do makes a call and returns the results of its attempts, in the order of call.Attempts. If it had to open a
// connection, or more than recheckAfter has passed since call.SentAt, Do calls check before it writes the request.
// check returns the attempts that may still be sent. The other attempts have the outcome NotSent.
func (c *Client) Do(ctx context.Context, call *Call, check func() []*Attempt) []Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	conn, dialed, err := c.getConn(ctx, call)
	switch {
	case err != nil && isLocalShortage(err):
		return sameResults(call, Result{Outcome: policy.NotSent})
	case err != nil:
		return sameResults(call, Result{Outcome: policy.ConnectFailed})
	}
	// While the connection was opened or the journal was slow to write, the endpoint may have begun to drain or sent a
	// Retry-After, and messages may have received their final answers or reached their deadlines.
	sendable := *call
	checked := dialed || time.Since(call.SentAt) > recheckAfter
	if checked {
		sendable.Attempts = check()
	}
	results := sameResults(call, Result{Outcome: policy.NotSent})
	if len(sendable.Attempts) == 0 {
		conn.release()
		return results
	}
	if last := sendable.lastDeadline(); last.Before(sendable.Deadline) {
		sendable.Deadline = last // call.Deadline is the deadline of a message that is no longer sent
		var cancelSendable context.CancelFunc
		ctx, cancelSendable = context.WithDeadline(ctx, last)
		defer cancelSendable()
	}
	closing := conn.closesAfter(&sendable)
	request, err := newRequest(&sendable, closing)
	if err != nil {
		conn.release()
		return results
	}
	conn.usage.add(&sendable, closing)
	c.logRequest(&sendable, conn, checked)
	for i, result := range c.exchange(ctx, request, &sendable, conn) {
		results[slices.Index(call.Attempts, sendable.Attempts[i])] = result
	}
	return results
}

// exchange writes the request and reads its response. It then returns the connection to the pool or closes it.
func (c *Client) exchange(ctx context.Context, request *http.Request, call *Call, conn *pooledConn) []Result {
	if reason, quiet := conn.checkQuiet(); !quiet {
		conn.close(reason)
		outcome := policy.NotSent // the end of an idle connection says nothing about the endpoint
		if conn.usage.calls == 1 {
			outcome = policy.ConnectFailed
		}
		return sameResults(call, Result{Outcome: outcome})
	}
	// When ctx ends, the reads and writes of the connection fail, and the call ends without a response.
	stop := context.AfterFunc(ctx, func() { conn.ExpireAt(netconn.Past) })
	began := time.Now()
	written := writeRequest(conn, request) == nil
	if written {
		c.observer.RequestWritten(len(call.Attempts))
	}
	defer conn.releaseResponse()
	read := readResponse(conn, request, call.Batch) // the endpoint may respond to an incomplete request
	read.identify(call, &conn.usage)
	usable := stop() && read.err == nil && written
	c.report(call, conn, &read, written)
	results := c.results(ctx, call, &read, written, began)
	if conn.usage.closing && read.complete() {
		c.learnAnnouncement(conn.target, call.Kind, read.announcesClose)
	}
	if usable && conn.reusable(call, &read) {
		conn.ExpireAt(time.Time{})
		conn.release()
	} else {
		conn.close(read.closeReason())
	}
	return results
}

// results returns the results of a call from what was read on its connection.
func (c *Client) results(
	ctx context.Context, call *Call, read *response, written bool, began time.Time,
) []Result {
	if read.firstByteAt.IsZero() {
		read.firstByteAt = time.Now()
	}
	latency := read.firstByteAt.Sub(began)
	if read.origin != originCall {
		return sameResults(call, c.unprovenResult(ctx, read, written, latency))
	}
	result := c.readFeedback(read.header)
	result.Latency = latency
	switch {
	case read.header != nil && read.header.StatusCode == http.StatusOK && !call.Batch:
		result.Outcome = policy.OK // decided by the status line, even if the rest is malformed
	case !read.complete():
		result.Outcome = failureOutcome(ctx, written)
	case read.header.StatusCode == http.StatusOK:
		return batchResults(call, result, read.states)
	default:
		result.Outcome, result.MessageEnded = statusOutcome(read.header)
	}
	return sameResults(call, result)
}

// unprovenResult returns the result of a call whose response may not be its own: the messages may have run. A rejection
// and its Retry-After still concern the endpoint, unless they may be a copy of an earlier one.
func (c *Client) unprovenResult(ctx context.Context, read *response, written bool, latency time.Duration) Result {
	result := Result{Outcome: failureOutcome(ctx, written), Latency: latency}
	if read.origin == originOther {
		return result
	}
	result.RetryAfter = c.readFeedback(read.header).RetryAfter
	outcome, _ := statusOutcome(read.header)
	if written && outcome == policy.Overloaded {
		result.Outcome = policy.UnprovenRejection
	}
	return result
}

// writeRequest writes a request with a single Write.
func writeRequest(conn *pooledConn, request *http.Request) error {
	var text bytes.Buffer
	text.Grow(int(request.ContentLength) + maxRequestHeaderSize)
	if err := request.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// failureOutcome returns the outcome of a call without a complete response. No endpoint starts work on a request
// before it has received the last byte, so a request that was not written completely did not run. In all other
// cases the messages may have run.
func failureOutcome(ctx context.Context, written bool) policy.Outcome {
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
