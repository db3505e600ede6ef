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
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// maxRetryAfterSeconds bounds Retry-After headers: clients ignore a header with this value or a larger one.
	maxRetryAfterSeconds = 1e6
	// maxRequestHeadSize is the buffer space for the head of a request, in bytes.
	maxRequestHeadSize = 512
	// clientReadBufferSize is the size of a connection's read buffer, in bytes. The answers of relays are short.
	clientReadBufferSize = 1024
	// bodyPattern is repeated to fill the bodies of messages.
	bodyPattern = "0123456789abcdef"
)

// errNotAccepting is returned if the relay accepts no new connections or the clients are closed.
var errNotAccepting = errors.New("the relay accepts no connections")

// clientConn is a client's connection to the relay.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // an earlier request was answered on this connection
}

// exchange sends a submission and reads the answer. If there is an answer, the caller must pass the connection to keep
// or drop. Otherwise, cause states why there is none. If the relay closed an idle connection before it read the
// request, the request is sent once more on a new connection.
func (c *Clients) exchange(
	ctx context.Context,
	s submission,
	deadline time.Time,
) (conn *clientConn, response *http.Response, cause string) {
	for mustBeNew := false; ; mustBeNew = true {
		conn, err := c.connection(ctx, deadline, mustBeNew)
		if err != nil {
			return nil, nil, eventlog.CauseNotSent
		}
		response, cause, maybeUnread := conn.roundTrip(c.requestText(s), deadline)
		if cause == "" {
			return conn, response, ""
		}
		c.drop(conn)
		if !maybeUnread || !conn.reused || mustBeNew {
			return nil, nil, cause
		}
	}
}

// roundTrip sends a request and reads the answer with its body. If there is no answer, it returns the cause, and
// maybeUnread reports whether the relay may have closed the connection before it read the request.
func (conn *clientConn) roundTrip(
	request []byte,
	deadline time.Time,
) (response *http.Response, cause string, maybeUnread bool) {
	_ = conn.SetDeadline(deadline) // if this fails, the write fails, too
	if _, err := conn.Write(request); err != nil {
		return nil, eventlog.CauseNotSent, true
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodySize))
		discard(response.Body)
	}
	switch {
	case err == nil:
		return response, "", false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, eventlog.CauseTimeout, false
	}
	return nil, eventlog.CauseClosed, response == nil && conn.reader.Buffered() == 0
}

// parseRetryAfter returns the Retry-After of an answer; 0 if it is missing or invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 && seconds < maxRetryAfterSeconds {
		return time.Duration(seconds * float64(time.Second))
	}
	return 0
}

// requestText returns the HTTP request of a submission.
func (c *Clients) requestText(s submission) []byte {
	var b bytes.Buffer
	b.Grow(maxRequestHeadSize + s.BodySize)
	b.WriteString("POST /")
	b.WriteString(c.file.Classes[s.Class].Name)
	if s.OrderingKey != "" {
		b.WriteString("?key=")
		b.WriteString(s.OrderingKey)
	}
	b.WriteString(" HTTP/1.1\r\n")
	b.WriteString(c.headers[s.Class*len(c.file.Customers)+s.Customer])
	fmt.Fprintf(&b, "X-Trace-Id: %s\r\n", s.ID)
	fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", s.IdempotencyKey)
	fmt.Fprintf(&b, "X-Expires-In-Ms: %d\r\n", max(0, time.Until(s.deadline).Milliseconds()))
	fmt.Fprintf(&b, "Envelope: dest=%d\r\n", s.Destination)
	fmt.Fprintf(&b, "Content-Length: %d\r\n", s.BodySize)
	if s.secondTry != "" {
		fmt.Fprintf(&b, "X-Second-Try: %s\r\n", s.secondTry)
	}
	b.WriteString("\r\n")
	for i := range s.BodySize {
		b.WriteByte(bodyPattern[i%len(bodyPattern)])
	}
	return b.Bytes()
}

// connection returns an idle connection. If there is none, or if mustBeNew is set, it opens a new one.
func (c *Clients) connection(ctx context.Context, deadline time.Time, mustBeNew bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !mustBeNew {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	mayDial := c.accepting && !c.closed
	c.mu.Unlock()
	if !mayDial {
		return nil, errNotAccepting
	}
	dialer := net.Dialer{Deadline: deadline}
	dialed, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, fmt.Errorf("fake: client of %s: %w", c.relay, err)
	}
	conn := &clientConn{Conn: dialed, reader: bufio.NewReaderSize(dialed, clientReadBufferSize)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn, nil
}

// keep makes a connection idle, so that another submission can use it.
func (c *Clients) keep(conn *clientConn) {
	conn.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		discard(conn)
		return
	}
	c.idle = append(c.idle, conn)
}

// drop closes a connection that is not idle.
func (c *Clients) drop(conn *clientConn) {
	discard(conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}
