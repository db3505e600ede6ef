package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
)

// phase is the state of a client's connection.
type phase int

const (
	phaseNew       phase = iota // no request has begun yet
	phaseReading                // a request is being read
	phaseHandling               // a request was read, and its response is awaited
	phaseIdle                   // the last request was answered
	phaseLingering              // a request was rejected, and the remaining input is discarded
)

// Conn is a client's connection.
type Conn struct {
	server *Server
	stream *netconn.Conn

	endReason CloseReason // why the connection ends after its last response; owned by the connection's goroutine

	// Guarded by the server's mutex.
	phase      phase
	phaseSince time.Time
	dropped    bool
}

// ReadBody reads the body of a request, which has a Content-Length or is chunked. ErrorResponse returns the
// response to an error.
func (c *Conn) ReadBody(request *http.Request) ([]byte, error) {
	body, err := readBody(request)
	if err != nil {
		return nil, err
	}
	if c.stream.Reader.Buffered() > 0 {
		return nil, ErrTrailingBytes
	}
	return body, nil
}

func readBody(request *http.Request) (body []byte, err error) {
	if request.ContentLength >= 0 {
		body = make([]byte, request.ContentLength)
		_, err = io.ReadFull(request.Body, body)
	} else {
		body, err = io.ReadAll(io.LimitReader(request.Body, netconn.MaxBodySize+1))
	}
	if errors.Is(err, netconn.ErrReadBudget) || err == nil && len(body) > netconn.MaxBodySize {
		return nil, ErrBodyTooLarge
	}
	return body, err
}

// BeginHandling records that a request was read completely, and watches the connection until EndHandling. It
// returns false if the server has closed the connection. The request then needs no response.
func (c *Conn) BeginHandling() bool {
	if !c.server.setPhase(c, phaseHandling) {
		return false
	}
	c.stream.Watch(nil)
	return true
}

// EndHandling ends the watch of BeginHandling. It must be called before the response is written. It returns false
// if the client has closed the connection and will not read the response.
func (c *Conn) EndHandling() (connected bool) {
	connected, _ = c.stream.Unwatch()
	return connected
}

// awaitsRequest reports whether no part of an unanswered request has been read.
func (c *Conn) awaitsRequest() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// nothingPending reports whether there are no unread bytes from the client. Closing a connection with unread bytes
// would reset it, and a request that had arrived completely would get no response. A connection with unread bytes
// is about to be served.
func (c *Conn) nothingPending() bool { return c.stream.Pending() != netconn.PendingBytes }
