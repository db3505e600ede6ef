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
		defer s.mu.Unlock()
		s.drop(c, reason)
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
	c.stream.StartCapture()
	request, err := http.ReadRequest(c.stream.Reader)
	header := c.stream.Captured()
	c.stream.StopCapture()
	switch {
	case err != nil:
		return s.reject(c, ErrorResponse(err))
	case hasConflictingLengths(request, header):
		// The two may place the end of the body differently. A request could then be hidden in a body, or a part of
		// a body be taken for a request.
		return s.reject(c, BadRequest("both Content-Length and Transfer-Encoding"))
	case request.ContentLength > netconn.MaxBodySize:
		return s.reject(c, ErrorResponse(ErrBodyTooLarge))
	}
	c.stream.AllowBytes(netconn.MaxWireSize)
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// A write error means that the client has left. Reading the body then fails as well.
		_, _ = io.WriteString(c.stream.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	buffered := int64(c.stream.Reader.Buffered())
	complete := request.ContentLength >= 0 && request.ContentLength <= buffered
	response := s.handler(c, request)
	if response.Status == 0 {
		return false // the client has left, or the server has closed the connection
	}
	if response.isClientError() {
		if complete {
			// The whole body is buffered, so discarding it neither blocks nor fails.
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if !complete || c.stream.Reader.Buffered() > 0 {
			return s.reject(c, response)
		}
	}
	closing, err := s.writeResponse(c, response, request.Close)
	if closing && err == nil {
		c.endReason = CloseByResponse
	}
	return err == nil && !closing
}

// hasConflictingLengths reports whether a header has both Content-Length and Transfer-Encoding. Package net/http
// drops one of the two, so the header is parsed again, by the same textproto reader that net/http uses.
func hasConflictingLengths(request *http.Request, header []byte) bool {
	if len(request.TransferEncoding) == 0 && request.ProtoAtLeast(1, 1) {
		return false // no Transfer-Encoding: net/http ignores it only in HTTP/1.0 requests
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(header)))
	if _, err := reader.ReadLine(); err != nil {
		return true
	}
	fields, err := reader.ReadMIMEHeader()
	return err != nil || fields["Content-Length"] != nil && fields["Transfer-Encoding"] != nil
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
	c.stream.ExpireReadsAt(time.Now().Add(lingerTimeout))
	// An error does not matter: the connection is closed next.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.stream.Conn, maxLingerSize))
	return false
}

// writeResponse writes a response. closing is true if the connection must be closed after it: if last is set, or if
// the server closes connections after their next response.
func (s *Server) writeResponse(c *Conn, response Response, last bool) (closing bool, err error) {
	if response.isClientError() {
		s.observer.RequestRejected(response.Status)
		s.badRequests.Log(s.log, "from", c.stream.RemoteAddr(), "status", response.Status, "text", response.Text)
	}
	closing = s.endsAfterResponse() || last
	text, err := encodeResponse(response, closing)
	if err != nil {
		return closing, err
	}
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
