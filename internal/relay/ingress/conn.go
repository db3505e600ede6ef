package ingress

import (
	"errors"
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

	// Owned by the connection's goroutine.
	endReason   CloseReason // why the connection ends after its last response
	requestSize int         // memory of the request in progress, in bytes
	bodyFailed  bool        // the body of the request in progress could not be read

	// Guarded by the server's mutex.
	phase      phase
	phaseSince time.Time
	dropped    bool
	answered   bool  // a request of this connection was answered; set by its own goroutine
	reserved   int64 // bytes reserved for the request in progress, beyond smallRequestSize
	refused    bool  // the request in progress was given up for lack of memory or room, and ends the connection
}

// ReadBody reads the body of a request, which has a Content-Length or is chunked. Its memory is reserved before it is
// allocated. ErrorResponse returns the response to an error.
func (c *Conn) ReadBody(request *http.Request) ([]byte, error) {
	body, err := netconn.ReadBody(request.Body, request.ContentLength, c.reserve)
	if err == nil && c.stream.Buffered() > 0 {
		err = ErrTrailingBytes
	}
	if err != nil {
		c.bodyFailed = true
		return nil, c.readError(err)
	}
	return body, nil
}

// readError returns the reason why a request could not be read, if reading it failed with err.
func (c *Conn) readError(err error) error {
	switch {
	case c.server.wasRefused(c):
		return netconn.ErrNoMemory
	case errors.Is(err, netconn.ErrReadBudget):
		return ErrBodyTooLarge
	}
	return err
}

// BeginHandling records that a request was read completely, and watches the connection until EndHandling. It
// returns false if the server has closed the connection. The request then needs no response.
func (c *Conn) BeginHandling() bool {
	if !c.server.setPhase(c, phaseHandling) {
		return false
	}
	c.stream.EndThrottle()
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
