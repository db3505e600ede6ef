package egress

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
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
	// responseTimeout bounds how long a response may take from its first byte to its last. It guards against headers
	// and bodies that do not end.
	responseTimeout = 500 * time.Millisecond
	// maxInformational bounds how many 1xx responses may come ahead of the one that counts.
	maxInformational = 16
	// maxReportedValue bounds what an endpoint may report of its limit.
	maxReportedValue = 1e9
	// maxRetryAfterSeconds bounds what an endpoint may ask for: a longer wait is taken for an error of its own.
	maxRetryAfterSeconds = 1e6
)

var (
	errMalformed = errors.New("malformed response")
	errConnEnds  = errors.New("the response is complete and its connection at its end")
)

// response is what came in answer to a call.
type response struct {
	header      *http.Response // of a malformed one perhaps its first line alone; nil if that cannot be read either
	body        []byte         // of the response to a batch
	firstByteAt time.Time      // zero: nothing came
	err         error          // why it is not complete, or more than that: its connection is of no further use
}

// readResponse reads the response to a request, which carried a batch or a single message.
func readResponse(conn *pooledConn, request *http.Request, batch bool) (r response) {
	conn.AllowBytes(netconn.MaxHeaderSize)
	if _, err := conn.Reader.Peek(1); err != nil {
		r.err = err
		return r
	}
	// Where the call ended this very moment, this takes the place of its deadline, and it ends so much later.
	r.firstByteAt = time.Now()
	conn.ExpireReadsAt(r.firstByteAt.Add(responseTimeout))
	for range maxInformational {
		line, err := peekLine(conn.Reader)
		if err != nil {
			r.err = err
			return r
		}
		header, err := http.ReadResponse(conn.Reader, request)
		if err != nil {
			r.header = parseStatusLine(line, request)
			r.err = err
			return r
		}
		if header.StatusCode >= http.StatusOK {
			r.header = header
			r.body, r.err = readBody(conn, header, batch)
			return r
		}
	}
	r.err = errMalformed
	return r
}

// peekLine returns what comes to the end of its first line, without reading it.
func peekLine(reader *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := reader.Peek(reader.Buffered()) // cannot fail: it is there
		if i := bytes.IndexByte(buffered, '\n'); i >= 0 {
			return bytes.Clone(buffered[:i+1]), nil
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			return nil, err // bufio.ErrBufferFull: a line without end
		}
	}
}

// parseStatusLine parses a first line by itself; nil if it cannot be parsed.
func parseStatusLine(line []byte, request *http.Request) *http.Response {
	lineAlone := io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))
	header, err := http.ReadResponse(bufio.NewReader(lineAlone), request)
	if err != nil {
		return nil
	}
	return header
}

// readBody reads a response's body, and returns it if it has the results of a batch. It returns an error also if the
// connection can carry no further call.
func readBody(conn *pooledConn, header *http.Response, batch bool) ([]byte, error) {
	if header.ContentLength > netconn.MaxBodySize {
		return nil, errMalformed
	}
	conn.AllowBytes(netconn.MaxWireSize)
	bounded := io.LimitReader(header.Body, netconn.MaxBodySize+1)
	var body []byte
	if batch && header.StatusCode == http.StatusOK {
		var err error
		body, err = io.ReadAll(bounded)
		if err != nil {
			return nil, err
		}
		if len(body) > netconn.MaxBodySize {
			return nil, errMalformed
		}
	} else if n, err := io.Copy(io.Discard, bounded); err != nil || n > netconn.MaxBodySize {
		return nil, cmp.Or(err, errMalformed)
	}
	endsWithConn := header.ContentLength < 0 && len(header.TransferEncoding) == 0
	if conn.Reader.Buffered() > 0 || header.Close || endsWithConn {
		return body, errConnEnds
	}
	return body, nil
}

// readFeedback returns what a header says besides the outcome: when to come again, and the endpoint's load.
func (c *Client) readFeedback(header *http.Response) (result Result) {
	if header != nil {
		result.RetryAfter = parseRetryAfter(header.Header.Get("Retry-After"))
		result.LimitReport = c.parseLimitReport(header.Header.Get("Endpoint-Load-Metrics"))
	}
	return result
}

// statusOutcome returns what a status other than 200 says.
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
	return policy.Error, false // 500, and what is not known: it may have run
}

// batchResults reads the result of each message of a batch. A message whose result is missing or unreadable may have
// run. common is what holds for all of them.
func batchResults(call *Call, common Result, body []byte) []Result {
	states := parseBatchStates(body)
	common.Outcome = policy.Error
	results := sameResults(call, common)
	for i, a := range call.Attempts {
		switch states[a.TraceID] {
		case "ok":
			results[i].Outcome = policy.OK
		case "error":
			results[i].Outcome = policy.Error
		case "later":
			results[i].Outcome = policy.Overloaded
		case "gone":
			results[i].Outcome = policy.NotSent
			results[i].MessageEnded = true
		case "exhausted":
			results[i].Outcome = policy.NotSent
		}
	}
	return results
}

// parseBatchStates returns the states in a batch's response by the messages' ids. It leaves out what it cannot read.
func parseBatchStates(body []byte) map[string]string {
	var items []json.RawMessage
	if json.Unmarshal(body, &items) != nil {
		return nil
	}
	states := make(map[string]string, len(items))
	for _, text := range items {
		var item struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if json.Unmarshal(text, &item) == nil {
			states[item.ID] = item.State
		}
	}
	return states
}

// parseLimitReport parses what an endpoint reports of its limit. It leaves out what makes no sense.
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

// parseRetryAfter parses a Retry-After in seconds, whole or decimal; 0 if there is none that can be read.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	inRange := seconds > 0 && seconds <= maxRetryAfterSeconds // false for NaN
	if err != nil || !inRange {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
