package egress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// responseTimeout limits the time from the first byte of a response to its last. It guards against headers and
	// bodies that never end.
	responseTimeout = 500 * time.Millisecond
	// maxInformational limits how many 1xx responses may precede the final response.
	maxInformational = 16
	// maxReportedValue is the largest value accepted in a load report. Larger values are ignored.
	maxReportedValue = 1e9
	// maxRetryAfterSeconds is the largest accepted Retry-After. A longer one is ignored as an error of the
	// endpoint.
	maxRetryAfterSeconds = 1e6
)

var (
	errResponseTooLong = errors.New("response body over 64 KiB, or more than 16 informational responses")
	errConnNotReusable = errors.New("response is complete, but its connection cannot be reused")
)

// response is what was received for a call.
type response struct {
	header      *http.Response // only the status line if the rest is malformed; nil: no valid status line
	body        []byte         // set only for a batch with status 200
	firstByteAt time.Time      // zero: nothing was received
	surplus     bool           // bytes were received behind the response
	err         error          // why the response is incomplete, or errConnNotReusable; nil: reusable

	// The fields below are set by identify.
	states         []batchState // parsed from body
	named          bool         // the response names exactly the messages of its call
	announcesClose bool         // the response announces the end of the connection
	origin         origin
}

// complete reports whether the response was received completely.
func (r *response) complete() bool { return r.err == nil || errors.Is(r.err, errConnNotReusable) }

// closeReason returns why the connection of the response is closed.
func (r *response) closeReason() CloseReason {
	switch {
	case r.surplus:
		return CloseSurplus
	case r.complete():
		return CloseByResponse
	}
	return CloseFailed
}

// readResponse reads the response to a request. batch is true if the request had the form for several messages.
func readResponse(conn *pooledConn, request *http.Request, batch bool) (r response) {
	conn.AllowBytes(netconn.MaxHeaderSize)
	if _, err := conn.Reader.Peek(1); err != nil {
		r.err = err
		return r
	}
	// If the call is aborted just now, this deadline overwrites the one that aborts it, and the call ends up to
	// responseTimeout late.
	r.firstByteAt = time.Now()
	conn.ExpireReadsAt(r.firstByteAt.Add(responseTimeout))
	for range maxInformational {
		peeked, err := conn.PeekHeader(conn.reserveResponse)
		line := firstLine(peeked.Text)
		if line == nil {
			r.err = err
			return r
		}
		if err == nil && !conn.reserveResponse(peeked.ParsedSize()) {
			err = netconn.ErrNoMemory
		}
		var header *http.Response
		if err == nil {
			header, err = http.ReadResponse(conn.Reader, request)
		}
		if err != nil {
			r.header = parseStatusLine(line, request)
			r.err = err
			return r
		}
		if header.StatusCode >= http.StatusOK {
			r.header = header
			r.body, r.err = readBody(conn, header, batch)
			r.surplus = r.complete() && conn.Buffered() > 0
			return r
		}
	}
	r.err = errResponseTooLong
	return r
}

// firstLine returns a copy of the first line of a text, with its line feed, or nil if the text has no whole line.
func firstLine(text []byte) []byte {
	i := bytes.IndexByte(text, '\n')
	if i < 0 {
		return nil
	}
	return bytes.Clone(text[:i+1])
}

// parseStatusLine parses a status line without the rest of its header. It returns nil if the line is malformed.
func parseStatusLine(line []byte, request *http.Request) *http.Response {
	lineAlone := io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))
	header, err := http.ReadResponse(bufio.NewReader(lineAlone), request)
	if err != nil {
		return nil
	}
	return header
}

// readBody reads the body of a response and returns it if it holds the results of a batch. If the response is
// complete but the connection cannot be reused, it returns errConnNotReusable together with the body.
func readBody(conn *pooledConn, header *http.Response, batch bool) ([]byte, error) {
	if header.ContentLength > netconn.MaxBodySize {
		return nil, errResponseTooLong
	}
	conn.AllowBytes(netconn.MaxWireSize)
	var body []byte
	if batch && header.StatusCode == http.StatusOK {
		var err error
		body, err = netconn.ReadBody(header.Body, header.ContentLength, conn.reserveResponse)
		if err == nil && !conn.reserveStates(body) {
			err = netconn.ErrNoMemory
		}
		if err != nil {
			return nil, err
		}
	} else if err := discardBody(header.Body); err != nil {
		return nil, err
	}
	endsWithConn := header.ContentLength < 0 && len(header.TransferEncoding) == 0
	if conn.Buffered() > 0 || header.Close || endsWithConn {
		return body, errConnNotReusable
	}
	return body, nil
}

// discardBody reads a body that is not needed, up to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, netconn.MaxBodySize+1))
	if err == nil && n > netconn.MaxBodySize {
		err = errResponseTooLong
	}
	return err
}

// readFeedback returns a result with the Retry-After and the load report of a response header, which may be nil. It
// does not set the outcome.
func (c *Client) readFeedback(header *http.Response) (result Result) {
	if header != nil {
		result.RetryAfter = parseRetryAfter(header.Header.Get("Retry-After"))
		result.LimitReport = c.parseLimitReport(header.Header.Get("Endpoint-Load-Metrics"))
	}
	return result
}

// statusOutcome returns the outcome for a status other than 200, and whether the message needs no further attempts.
func statusOutcome(header *http.Response) (outcome policy.Outcome, messageEnded bool) {
	switch header.StatusCode {
	case http.StatusTooManyRequests:
		return policy.Overloaded, false
	case http.StatusServiceUnavailable:
		if header.Header.Get("Slots-Taken") == "1" {
			return policy.NotSent, false
		}
		return policy.Overloaded, false
	case http.StatusGatewayTimeout:
		return policy.NotSent, false
	case http.StatusGone:
		return policy.NotSent, true
	}
	return policy.Error, false // 500 or an unknown status: the message may have run
}

// parseLimitReport parses the load report of an endpoint. It skips fields that are not configured, and values that
// are not numbers from 0 to maxReportedValue.
func (c *Client) parseLimitReport(text string) policy.LimitReport {
	var report policy.LimitReport
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return report
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(number, 64)
		inRange := value >= 0 && value <= maxReportedValue // false for NaN
		if err != nil || !inRange || !slices.Contains(c.reportFields, name) {
			continue
		}
		switch name {
		case "x0":
			report.Remaining = value
		case "x1":
			report.Limit = value
			report.Present = true
		}
	}
	return report
}

// parseRetryAfter parses the seconds of a Retry-After header, which may have a decimal fraction. It returns 0 if
// they are missing, malformed or out of range.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	inRange := seconds > 0 && seconds <= maxRetryAfterSeconds // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
