package ingress

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
)

var (
	// ErrBodyTooLarge reports a body of more than netconn.MaxBodySize bytes.
	ErrBodyTooLarge = netconn.ErrBodyTooLarge
	// ErrTrailingBytes reports bytes that follow a request. Clients send one request at a time, so the length of
	// the request was wrong, and its body is not the one that the client meant to send.
	ErrTrailingBytes = errors.New("more bytes than the length tells")

	errConflictingLengths = errors.New("both Content-Length and Transfer-Encoding")
)

// noMemoryRetryAfter is when a client should try again whose request was refused for lack of memory.
const noMemoryRetryAfter = 100 * time.Millisecond

// Response is the response to a client's request. The zero Response means that a response is impossible or useless:
// the connection is closed without one.
type Response struct {
	Status     int
	RetryAfter time.Duration // when the client should try again; 0: no Retry-After
	Text       string        // describes an error for people
}

// BadRequest returns the response to a request that the client must not repeat unchanged.
func BadRequest(format string, args ...any) Response {
	return Response{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// ErrorResponse returns the response to a request that could not be read because of err.
func ErrorResponse(err error) Response {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return Response{Status: http.StatusRequestEntityTooLarge, Text: ErrBodyTooLarge.Error()}
	case errors.Is(err, ErrTrailingBytes), errors.Is(err, errConflictingLengths):
		return BadRequest("%v", err)
	case errors.Is(err, netconn.ErrNoMemory):
		return Response{Status: http.StatusServiceUnavailable, RetryAfter: noMemoryRetryAfter}
	case errors.Is(err, netconn.ErrTooManyFields):
		return Response{Status: http.StatusRequestHeaderFieldsTooLarge, Text: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Response{Status: http.StatusRequestTimeout, Text: "request not whole in time"}
	case errors.Is(err, netconn.ErrReadBudget):
		return Response{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "head or body too large"}
	}
	return BadRequest("unreadable request")
}

// isClientError reports whether the status says that the request was wrong (4xx).
func (r Response) isClientError() bool {
	return r.Status >= http.StatusBadRequest && r.Status < http.StatusInternalServerError
}
