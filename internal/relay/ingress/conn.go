package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
)

// phase is what a client's connection is at.
type phase int

const (
	phaseNew       phase = iota // nothing has come yet
	phaseReading                // a request is coming
	phaseHandling               // the handler is at work on a request
	phaseIdle                   // the last request is answered
	phaseLingering              // a request is rejected; what still comes of it is thrown away
)

// Conn is a client's connection.
type Conn struct {
	server *Server
	stream *netconn.Conn

	// Guarded by the server's mutex.
	phase      phase
	phaseSince time.Time
	dropped    bool
}

// ReadBody reads the body of a request, which is as long as its header says or comes in chunks. ErrorResponse gives the
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

// BeginHandling notes that a request is read to its end, and watches the connection while its response is awaited. It
// returns false if the connection was closed to make room: the request is over.
func (c *Conn) BeginHandling() bool {
	if !c.server.setPhase(c, phaseHandling) {
		return false
	}
	c.stream.Watch(nil)
	return true
}

// EndHandling ends what BeginHandling began, before the response is written. It returns false if the client has left:
// nobody reads the response.
func (c *Conn) EndHandling() (connected bool) {
	connected, _ = c.stream.Unwatch()
	return connected
}

// awaitsRequest reports whether nothing of a request was read that is not answered.
func (c *Conn) awaitsRequest() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// nothingPending reports whether nothing came from the client that was not read. Closed over such bytes, the connection
// would be reset, and a request that has come to its end would have no response. A connection on which something came
// is about to be served.
func (c *Conn) nothingPending() bool { return c.stream.Pending() != netconn.PendingBytes }
