// Package egress makes the relay's calls to endpoints: it keeps connections for them, writes one request with one
// message or several, reads the response, and says of each message whether it was delivered, certainly did not
// run, or may have run.
//
// It has a connection pool of its own. The Transport of net/http retries some requests by itself, while some messages
// must not run twice; it dials without a chance to check again before the request is written; and it does not show what
// came behind a response.
package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recheckAfter is how long after its decision a call may leave without a second look: within what the policy's times
// leave before they bind.
const recheckAfter = 10 * time.Millisecond

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures a Client.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // endpoints close a connection that stood idle for so long
	MaxConns       int
	ReportFields   []string           // fields of the endpoints' load reports; empty: none are sent
	OnWritten      func(messages int) // called when a request was written to its end
	Dial           DialFunc           // nil: TCP without keep-alive probes
	Log            *slog.Logger
}

// Client makes calls to endpoints.
type Client struct {
	*pool
	reportFields       []string
	onWritten          func(messages int)
	log                *slog.Logger
	malformedResponses ratelog.Warning
}

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{
		pool:               newPool(config),
		reportFields:       config.ReportFields,
		onWritten:          config.OnWritten,
		log:                config.Log,
		malformedResponses: ratelog.Warning{Message: "malformed response"},
	}
}

// Do makes a call and returns the results of its attempts, in their order. Where the call was held up, as by a new
// connection that had to come up first, check is asked before the request is written: it returns the attempts that may
// leave even then.
func (c *Client) Do(ctx context.Context, call *Call, check func() []*Attempt) []Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	conn, dialed, err := c.getConn(ctx, endpointAddr{call.EndpointID, call.Addr})
	switch {
	case err != nil && isLocalShortage(err):
		return sameResults(call, Result{Outcome: policy.NotSent})
	case err != nil:
		return sameResults(call, Result{Outcome: policy.ConnectFailed})
	}
	// While the connection came up, or the journal was slow to write, the endpoint may have begun to drain or have sent
	// a Retry-After, and messages may have ended.
	leaving := *call
	if dialed || time.Since(call.SentAt) > recheckAfter {
		leaving.Attempts = check()
	}
	results := sameResults(call, Result{Outcome: policy.NotSent})
	if len(leaving.Attempts) == 0 {
		conn.release()
		return results
	}
	if last := leaving.lastDeadline(); last.Before(leaving.Deadline) {
		leaving.Deadline = last // the call's own was that of a message which leaves no more
		var cancelLeaving context.CancelFunc
		ctx, cancelLeaving = context.WithDeadline(ctx, last)
		defer cancelLeaving()
	}
	request, err := newRequest(&leaving)
	if err != nil {
		conn.release()
		return results
	}
	for i, result := range c.exchange(ctx, request, &leaving, conn) {
		results[slices.Index(call.Attempts, leaving.Attempts[i])] = result
	}
	return results
}

// exchange writes the request, reads its response, and keeps or closes the connection.
func (c *Client) exchange(ctx context.Context, request *http.Request, call *Call, conn *pooledConn) []Result {
	// A call is given up by ending its connection's reads and writes: no response to it is read any more.
	stop := context.AfterFunc(ctx, func() { conn.ExpireAt(netconn.Past) })
	began := time.Now()
	written := writeRequest(conn, request) == nil
	if written {
		c.onWritten(len(call.Attempts))
	}
	batch := len(call.Attempts) > 1
	read := readResponse(conn, request, batch) // there may be a response though not all could be written
	if stop() && read.err == nil && written {
		conn.ExpireAt(time.Time{})
		conn.release()
	} else {
		conn.close()
	}
	if read.firstByteAt.IsZero() {
		read.firstByteAt = time.Now()
	}
	result := c.readFeedback(read.header)
	result.Latency = read.firstByteAt.Sub(began)
	incomplete := read.err != nil && !errors.Is(read.err, errConnEnds)
	if incomplete && !isPeerFailure(read.err) {
		c.malformedResponses.Log(c.log, "endpoint", call.EndpointID, "err", read.err)
	}
	switch {
	case read.header != nil && read.header.StatusCode == http.StatusOK && !batch:
		result.Outcome = policy.OK // with the first line: what follows means nothing
	case incomplete:
		result.Outcome = failureOutcome(ctx, written)
	case read.header.StatusCode == http.StatusOK:
		return batchResults(call, result, read.body)
	default:
		result.Outcome, result.MessageEnded = statusOutcome(read.header)
	}
	return sameResults(call, result)
}

// isPeerFailure reports whether a response did not come because of the peer's silence or end, and not because of what
// the peer sent.
func isPeerFailure(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// writeRequest writes a request in one go.
func writeRequest(conn *pooledConn, request *http.Request) error {
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// failureOutcome returns the outcome of a call whose response did not come. Until the last byte of a request is written
// no endpoint begins its work. All that is doubtful may have run.
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
