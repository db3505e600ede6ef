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
	// requestTimeout bounds a request from its first byte to its last, and the wait for it on a new connection. A
	// client that sends nothing, or nothing that can be read, has an error or a close within 3 s of its connecting.
	requestTimeout = 2 * time.Second
	// lateRequestTimeout is what a request has that begins in the last moment of its connection's time.
	lateRequestTimeout = 500 * time.Millisecond
	// idleTimeout is how long a connection is kept for the next request.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds the writing of a response.
	writeTimeout = time.Second

	// A rejected request may still be on its way: closed before it has come, the connection would be reset, and the
	// response lost with it. The rest of it is read for lingerTimeout, or up to maxLingerSize bytes.
	lingerTimeout = 3 * time.Second
	maxLingerSize = 128 << 20
)

// serveConn reads requests from a connection until one side ends it.
func (s *Server) serveConn(c *Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
	deadline := time.Now().Add(requestTimeout)
	for {
		if !c.awaitRequest(deadline) || !s.setPhase(c, phaseReading) {
			return
		}
		c.stream.ExpireReadsAt(requestDeadline(time.Now(), deadline))
		if !s.serveRequest(c) || !s.setPhase(c, phaseIdle) {
			return
		}
		deadline = time.Now().Add(idleTimeout)
	}
}

// awaitRequest waits until a request begins; false if none did by the deadline. A deadline that has passed hides what
// came just before it, so the system is asked once more.
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

// requestDeadline returns when a request that begins now must have come to its end, on a connection that was given
// until connDeadline to begin one.
func requestDeadline(now, connDeadline time.Time) time.Time {
	deadline := now.Add(requestTimeout)
	switch {
	case deadline.Before(connDeadline): // it was idle before
		return deadline
	case connDeadline.Sub(now) < lateRequestTimeout:
		return now.Add(lateRequestTimeout)
	}
	return connDeadline
}

// serveRequest reads a request and answers it; false if the connection is of no further use.
func (s *Server) serveRequest(c *Conn) bool {
	c.stream.StartCapture()
	request, err := http.ReadRequest(c.stream.Reader)
	header := c.stream.Captured()
	c.stream.StopCapture()
	switch {
	case err != nil:
		return s.reject(c, ErrorResponse(err))
	case hasConflictingLengths(request, header):
		// One of the two hides what the other does not count: a request in a body, or the other way round.
		return s.reject(c, BadRequest("both Content-Length and Transfer-Encoding"))
	case request.ContentLength > netconn.MaxBodySize:
		return s.reject(c, ErrorResponse(ErrBodyTooLarge))
	}
	c.stream.AllowBytes(netconn.MaxWireSize)
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		// Where it cannot be written the client has left, which the reading of the body shows.
		_, _ = io.WriteString(c.stream.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	buffered := int64(c.stream.Reader.Buffered())
	complete := request.ContentLength >= 0 && request.ContentLength <= buffered
	response := s.handler(c, request)
	if response.Status == 0 {
		return false // the client has left
	}
	if response.isClientError() {
		if complete {
			// It stands in the buffer: this waits for nothing and cannot fail.
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if !complete || c.stream.Reader.Buffered() > 0 {
			return s.reject(c, response)
		}
	}
	closing, err := s.writeResponse(c, response, request.Close)
	return err == nil && !closing
}

// hasConflictingLengths reports whether a header gives its body's length in both ways. Package http takes one of them
// and no longer shows the other, so the header is read once more, by the reader that package http uses.
func hasConflictingLengths(request *http.Request, header []byte) bool {
	if len(request.TransferEncoding) == 0 && request.ProtoAtLeast(1, 1) {
		return false // there was no Transfer-Encoding
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(header)))
	if _, err := reader.ReadLine(); err != nil {
		return true
	}
	fields, err := reader.ReadMIMEHeader()
	return err != nil || fields["Content-Length"] != nil && fields["Transfer-Encoding"] != nil
}

// reject answers a request whose end has not come or cannot be found. The connection ends, but not before the rest has
// come. It returns false, as the connection is of no further use.
func (s *Server) reject(c *Conn, response Response) bool {
	if _, err := s.writeResponse(c, response, true); err != nil || !s.setPhase(c, phaseLingering) {
		return false
	}
	if half, ok := c.stream.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // both directions close soon, also where this fails
	}
	c.stream.ExpireReadsAt(time.Now().Add(lingerTimeout))
	// However this ends, nothing is done with it.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.stream.Conn, maxLingerSize))
	return false
}

// writeResponse writes a response. It returns whether the connection ends with it, because the caller or the server
// says so.
func (s *Server) writeResponse(c *Conn, response Response, last bool) (closing bool, err error) {
	if response.isClientError() {
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

// encodeResponse returns a response as it stands on the wire.
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
