package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
)

const (
	// requestTimeout limits the time from the first byte of a request to its last, and the wait for the first byte
	// on a new connection. A client that sends nothing, or nothing readable, gets an error response or a close
	// within 3 s of connecting.
	requestTimeout = 2 * time.Second
	// lateRequestTimeout is the minimum time for reading a request, even if the request begins just before the
	// deadline of its connection.
	lateRequestTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open for the next request.
	idleTimeout = 2 * time.Minute
	// writeTimeout limits the time to write a response.
	writeTimeout = time.Second

	// The client may still be sending a request that was rejected. Closing the connection before all bytes are read
	// would reset it, and the client could lose the response. The server therefore reads and discards the remaining
	// bytes, for up to lingerTimeout and up to maxLingerSize bytes.
	lingerTimeout = 3 * time.Second
	maxLingerSize = 128 << 20
)

// serveConn serves the requests of a connection until the client or the server closes it.
func (s *Server) serveConn(c *Conn) {
	reason := CloseByClient
	defer func() {
		s.mu.Lock()
		s.drop(c, reason)
		s.mu.Unlock()
		s.release(c)
	}()
	deadline := time.Now().Add(requestTimeout)
	for {
		if !c.awaitRequest(deadline) || !s.setPhase(c, phaseReading) {
			if !time.Now().Before(deadline) {
				reason = CloseSilent
			}
			return
		}
		c.stream.ExpireReadsAt(requestDeadline(time.Now(), deadline))
		if !s.serveRequest(c) || !s.setPhase(c, phaseIdle) {
			reason = c.endReason
			return
		}
		deadline = time.Now().Add(idleTimeout)
	}
}

// awaitRequest waits until a request begins. It returns false if none has begun by the deadline. A read fails after
// its deadline even if bytes arrived before, so the socket is checked once more.
func (c *Conn) awaitRequest(deadline time.Time) bool {
	c.stream.ExpireReadsAt(deadline)
	c.stream.AllowBytes(netconn.MaxHeaderSize)
	_, err := c.stream.Reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.stream.ExpireReadsAt(time.Time{})
		if c.stream.Pending() == netconn.PendingBytes {
			_, err = c.stream.Reader.Peek(1)
		}
	}
	return err == nil
}

// requestDeadline returns the time by which a request that begins now must be read completely. connDeadline is the
// time by which it had to begin.
func requestDeadline(now, connDeadline time.Time) time.Time {
	deadline := now.Add(requestTimeout)
	switch {
	case deadline.Before(connDeadline): // the connection was idle, not new
		return deadline
	case connDeadline.Sub(now) < lateRequestTimeout:
		return now.Add(lateRequestTimeout)
	}
	return connDeadline
}

// serveRequest reads a request and writes its response. It returns false if the connection must be closed.
func (s *Server) serveRequest(c *Conn) bool {
	defer s.releaseRequest(c)
	c.bodyFailed = false
	if !c.answered {
		c.stream.BeginThrottle(s.throttle)
	}
	defer c.stream.EndThrottle()
	request, err := c.readHeader()
	if err != nil {
		return s.reject(c, c.headerErrorResponse(err))
	}
	c.stream.AllowBytes(netconn.MaxWireSize)
	c.requestBody(request)
	complete := request.ContentLength >= 0 && request.ContentLength <= int64(c.stream.Buffered())
	response := s.handler(c, request)
	if response.Status == 0 {
		return false // the client has left, or the server has closed the connection
	}
	if (response.isClientError() || c.bodyFailed) && !c.skipBody(request, complete) {
		return s.reject(c, response)
	}
	closing, err := s.writeResponse(c, response, request.Close || s.wasRefused(c))
	if closing && err == nil {
		c.endReason = CloseByResponse
	}
	return err == nil && !closing
}

// skipBody discards the body of a rejected request if it is known to be buffered as a whole. It reports whether the
// next bytes on the connection begin a new request.
func (c *Conn) skipBody(request *http.Request, complete bool) bool {
	if !complete || c.bodyFailed {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body) // neither blocks nor fails
	return c.stream.Buffered() == 0
}

// requestBody asks the client to send the body of its request, if the client waits for that.
func (c *Conn) requestBody(request *http.Request) {
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// A write error means that the client has left. Reading the body then fails as well.
		_, _ = io.WriteString(c.stream.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// headerErrorResponse returns the response to a request whose header could not be read because of err.
func (c *Conn) headerErrorResponse(err error) Response {
	if c.server.wasRefused(c) {
		err = netconn.ErrNoMemory
	}
	return ErrorResponse(err)
}

// readHeader reads the header of a request. Its size, the number of its fields and its memory are checked before it is
// parsed.
func (c *Conn) readHeader() (*http.Request, error) {
	header, err := c.stream.PeekHeader(c.reserve)
	if err != nil {
		return nil, err
	}
	if !c.reserve(header.ParsedSize()) {
		return nil, netconn.ErrNoMemory
	}
	conflicting := hasConflictingLengths(header.Text) // before the bytes are read, after which they are no longer valid
	request, err := http.ReadRequest(c.stream.Reader)
	switch {
	case err != nil:
		return nil, err
	case conflicting:
		// The two may place the end of the body differently. A request could then be hidden in a body, or a part of
		// a body be taken for a request.
		return nil, errConflictingLengths
	case request.ContentLength > netconn.MaxBodySize:
		return nil, ErrBodyTooLarge
	}
	return request, nil
}

// hasConflictingLengths reports whether a header has both Content-Length and Transfer-Encoding. Package net/http
// drops one of the two, so the header is parsed here, too, by the same textproto reader that net/http uses.
func hasConflictingLengths(header []byte) bool {
	if !containsName(header, "transfer-encoding") {
		return false
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(header)))
	if _, err := reader.ReadLine(); err != nil {
		return true
	}
	fields, err := reader.ReadMIMEHeader()
	return err != nil || fields["Content-Length"] != nil && fields["Transfer-Encoding"] != nil
}

// containsName reports whether a header contains the name of a field, in any case, at any place.
func containsName(header []byte, name string) bool {
	for ; len(header) >= len(name); header = header[1:] {
		if header[0]|0x20 == name[0] && strings.EqualFold(string(header[:len(name)]), name) {
			return true
		}
	}
	return false
}

// reject responds to a request that was not read completely, or whose end cannot be determined. It then closes the
// sending side and discards the remaining input. It always returns false, because the connection must be closed.
func (s *Server) reject(c *Conn, response Response) bool {
	c.endReason = CloseRejected
	if _, err := s.writeResponse(c, response, true); err != nil || !s.setPhase(c, phaseLingering) {
		return false
	}
	if half, ok := c.stream.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // an error does not matter: the whole connection is closed soon
	}
	s.releaseRequest(c)
	c.stream.ExpireReadsAt(time.Now().Add(lingerTimeout))
	c.stream.AllowBytes(maxLingerSize)
	// An error does not matter: the connection is closed next.
	_, _ = c.stream.Reader.Discard(maxLingerSize)
	return false
}

// writeResponse writes a response. closing is true if the connection must be closed after it: if last is set, or if
// the server closes connections after their next response.
func (s *Server) writeResponse(c *Conn, response Response, last bool) (closing bool, err error) {
	if response.isClientError() {
		s.observer.RequestRejected(response.Status)
		s.badRequests.Log(s.log, "from", c.stream.RemoteAddr(), "status", response.Status, "text", response.Text)
	}
	closing = s.endsAfterResponse(c, response) || last
	text, err := encodeResponse(response, closing)
	if err != nil {
		return closing, err
	}
	c.stream.PauseThrottle()
	c.stream.ExpireWritesAt(time.Now().Add(writeTimeout))
	_, err = c.stream.Write(text)
	return closing, err
}

// encodeResponse returns a response in its wire format.
func encodeResponse(response Response, closing bool) ([]byte, error) {
	encoded := http.Response{
		StatusCode: response.Status,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{},
		Close:      closing,
	}
	if response.RetryAfter > 0 {
		encoded.Header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if response.Text != "" {
		encoded.Header.Set("Content-Type", "text/plain; charset=utf-8")
		encoded.Body = io.NopCloser(strings.NewReader(response.Text + "\n"))
		encoded.ContentLength = int64(len(response.Text) + 1)
	}
	var text bytes.Buffer
	if err := encoded.Write(&text); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}
