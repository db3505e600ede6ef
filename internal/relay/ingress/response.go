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
	ErrBodyTooLarge = errors.New("body over 64 KiB")
	// ErrTrailingBytes reports bytes behind a request. Clients send one request at a time: the length was wrong, and
	// the body is not what was meant.
	ErrTrailingBytes = errors.New("more bytes than the length tells")
)

// Response is what a client is answered. The zero Response means that no answer is possible or of use: the connection
// is closed.
type Response struct {
	Status     int
	RetryAfter time.Duration // when to try again; 0: no advice
	Text       string        // explains an error to people
}

// BadRequest returns the response to a request that the client must not repeat as it is.
func BadRequest(format string, args ...any) Response {
	return Response{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// ErrorResponse returns the response to a request that could not be read because of err.
func ErrorResponse(err error) Response {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return Response{Status: http.StatusRequestEntityTooLarge, Text: ErrBodyTooLarge.Error()}
	case errors.Is(err, ErrTrailingBytes):
		return BadRequest("%v", ErrTrailingBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Response{Status: http.StatusRequestTimeout, Text: "request not whole in time"}
	case errors.Is(err, netconn.ErrReadBudget):
		return Response{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "head or body too large"}
	}
	return BadRequest("unreadable request")
}

// isClientError reports whether the response says that the request was wrong.
func (r Response) isClientError() bool {
	return r.Status >= http.StatusBadRequest && r.Status < http.StatusInternalServerError
}
