package egress

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// idleRatio is the share of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// Guards against a request that crosses the host's own close: it ends as a reset, which may have run.
const idleRatio = 0.8

const (
	// responseTimeout bounds how long an answer may take from its first byte to its last. Guards against heads and bodies
	// that do not end.
	responseTimeout = 500 * time.Millisecond
	// maxReportedValue bounds what a host may tell of its limit.
	maxReportedValue = 1e9
	maxInformational = 16 // 1xx answers before one
	// recheckAfter is how long after its decision a call may leave unasked: within what the module's times leave before
	// they bind.
	recheckAfter = 10 * time.Millisecond
)

var (
	errMalformed = errors.New("spoilt answer")
	errConnEnds  = errors.New("the answer is whole, its connection at its end")
)

// Client makes the outbound calls.
type Client struct {
	*pool
	reportFields []string
	onWritten    func(messages int) // whole, to a host

	log                *slog.Logger
	malformedResponses ratelog.Warning
}

// Call is one request to an endpoint, with one message or several.
type Call struct {
	EndpointID string
	Addr       string
	SentAt     time.Time  // decided and recorded then
	Deadline   time.Time  // given up then
	Attempts   []*Attempt // those of several messages travel as one batch
}

// lastDeadline is when the last of a call's attempts is given up.
func (c *Call) lastDeadline() time.Time {
	return slices.MaxFunc(c.Attempts, func(a, b *Attempt) int { return a.Deadline.Compare(b.Deadline) }).Deadline
}

// Attempt is one message's part in a call.
type Attempt struct {
	TraceID        string
	IdempotencyKey string // "": none
	Body           []byte
	Deadline       time.Time
}

// Result is how an attempt ended.
type Result struct {
	Outcome      policy.Outcome
	MessageEnded bool // the message is over: nothing more is owed
	RetryAfter   time.Duration
	LimitReport  policy.LimitReport
	Latency      time.Duration // from when the request was written
}

// Config is what a client goes by.
type Config struct {
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // endpoints close a connection that stood idle for so long
	MaxConns       int
	ReportFields   []string           // fields of the endpoints' load reports; empty: none are sent
	OnWritten      func(messages int) // called when a request was written to its end
	Dial           DialFunc           // nil: TCP without keep-alive probes
	Log            *slog.Logger
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client without connections.
func New(config Config) *Client {
	return &Client{
		pool:               newPool(config),
		reportFields:       config.ReportFields,
		onWritten:          config.OnWritten,
		log:                config.Log,
		malformedResponses: ratelog.Warning{Message: "spoilt answer"},
	}
}

// Do makes a call and tells the end of each of its attempts, in their order. check is asked before the request is
// written where that was held up, as by a new connection that had to come up first: for the attempts that may leave
// even then.
func (h *Client) Do(ctx context.Context, c *Call, check func() []*Attempt) []Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	conn, fresh, err := h.getConn(ctx, endpointAddr{c.EndpointID, c.Addr})
	switch {
	case err != nil && isLocalShortage(err):
		return sameResults(c, Result{Outcome: policy.NotSent})
	case err != nil:
		return sameResults(c, Result{Outcome: policy.ConnectFailed})
	}
	// While the connection came up, or the journal was slow to write, a drain or a wait may have been told, and
	// messages may have ended.
	leaving := *c
	if fresh || time.Since(c.SentAt) > recheckAfter {
		leaving.Attempts = check()
	}
	results := sameResults(c, Result{Outcome: policy.NotSent})
	if len(leaving.Attempts) == 0 {
		conn.release()
		return results
	}
	if last := leaving.lastDeadline(); last.Before(leaving.Deadline) {
		leaving.Deadline = last // that of a message which leaves no more
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, last)
		defer cancel()
	}
	req, err := newRequest(&leaving)
	if err != nil {
		conn.release()
		return results
	}
	for i, res := range h.exchange(ctx, req, &leaving, conn) {
		results[slices.Index(c.Attempts, leaving.Attempts[i])] = res
	}
	return results
}

// exchange writes the request, reads its answer, and keeps or drops the connection.
func (h *Client) exchange(ctx context.Context, req *http.Request, c *Call, conn *pooledConn) []Result {
	// A call is given up by closing its connection: no answer to it is read any more.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(netconn.Past) })
	began := time.Now()
	err := writeRequest(conn, req)
	written := err == nil
	if written {
		h.onWritten(len(c.Attempts))
	}
	several := len(c.Attempts) > 1
	a := readResponse(conn, req, several) // there may be an answer though not all could be written
	if stop() && a.err == nil && written {
		conn.SetDeadline(time.Time{})
		conn.release()
	} else {
		conn.discard()
	}
	if a.firstByteAt.IsZero() {
		a.firstByteAt = time.Now()
	}
	r := h.readFeedback(a.head)
	r.Latency = a.firstByteAt.Sub(began)
	spoilt := a.err != nil && !errors.Is(a.err, errConnEnds)
	if spoilt && !endedByPeer(a.err) {
		h.malformedResponses.Log(h.log, "route", c.EndpointID, "err", a.err)
	}
	switch {
	case a.head != nil && a.head.StatusCode == http.StatusOK && !several:
		r.Outcome = policy.OK // with the first line: what follows means nothing
	case spoilt:
		// The last byte tells: without it no host has begun. Whatever is doubtful may have run.
		r.Outcome = failureOutcome(ctx, written)
	case a.head.StatusCode == http.StatusOK:
		return batchResults(c, r, a.body)
	default:
		r.Outcome, r.MessageEnded = statusOutcome(a.head)
	}
	return sameResults(c, r)
}

// endedByPeer tells whether an answer did not come for the peer's silence or end, and not for what the peer sent.
func endedByPeer(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// writeRequest writes a request in one go.
func writeRequest(conn *pooledConn, req *http.Request) error {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// callResponse is what came in answer to a call.
type callResponse struct {
	head        *http.Response // of a spoilt one perhaps its first line alone; nil if that cannot be read either
	body        []byte         // of an answer to several messages
	err         error          // why it is not whole, or more than whole: its connection is of no further use
	firstByteAt time.Time      // its first byte
}

// readResponse reads an answer, to several messages or to one.
func readResponse(conn *pooledConn, req *http.Request, several bool) (a callResponse) {
	conn.AllowBytes(netconn.MaxHeaderSize)
	if _, a.err = conn.Reader.Peek(1); a.err != nil {
		return a
	}
	// Where the call ended this very moment, this takes the place of its deadline, and it ends so much later.
	a.firstByteAt = time.Now()
	conn.SetReadDeadline(a.firstByteAt.Add(responseTimeout))
	for range maxInformational {
		var line []byte
		if line, a.err = peekLine(conn.Reader); a.err != nil {
			return a
		}
		if a.head, a.err = http.ReadResponse(conn.Reader, req); a.err != nil {
			a.head = parseStatusLine(line, req)
			return a
		}
		if a.head.StatusCode >= 200 {
			a.body, a.err = discardOrReadBody(conn, a.head, several)
			return a
		}
		a.head = nil
	}
	a.err = errMalformed
	return a
}

// peekLine looks at what comes, to the end of its first line.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		ahead, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(ahead, '\n'); i >= 0 {
			return bytes.Clone(ahead[:i+1]), nil
		}
		if _, err := r.Peek(len(ahead) + 1); err != nil {
			return nil, err // bufio.ErrBufferFull: a line without end
		}
	}
}

// parseStatusLine reads a first line by itself; nil if it cannot be read.
func parseStatusLine(line []byte, req *http.Request) *http.Response {
	head, err := http.ReadResponse(
		bufio.NewReader(io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))),
		req,
	)
	if err != nil {
		return nil
	}
	return head
}

// discardOrReadBody reads an answer's body. It returns an error also if the connection can carry no further call.
func discardOrReadBody(conn *pooledConn, head *http.Response, several bool) (body []byte, err error) {
	if head.ContentLength > netconn.MaxBodySize {
		return nil, errMalformed
	}
	conn.AllowBytes(netconn.MaxWireSize)
	rest := io.LimitReader(head.Body, netconn.MaxBodySize+1)
	if several && head.StatusCode == http.StatusOK {
		if body, err = io.ReadAll(rest); err == nil && len(body) > netconn.MaxBodySize {
			err = errMalformed
		}
	} else if n, copyErr := io.Copy(io.Discard, rest); copyErr != nil || n > netconn.MaxBodySize {
		err = cmp.Or(copyErr, errMalformed)
	}
	switch {
	case err != nil:
		return nil, err
	case conn.Reader.Buffered() > 0, head.Close, head.ContentLength < 0 && len(head.TransferEncoding) == 0:
		return body, errConnEnds
	}
	return body, nil
}

// failureOutcome is the outcome of a call whose answer did not come.
func failureOutcome(ctx context.Context, written bool) policy.Outcome {
	switch {
	case !written:
		return policy.ConnectFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.Timeout
	case ctx.Err() != nil:
		return policy.Cancelled
	}
	return policy.Reset
}

// newRequest makes the request of a call.
func newRequest(c *Call) (*http.Request, error) {
	path, body := "/events", c.Body()
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, time.Until(c.Deadline).Milliseconds()), 10)}}
	if len(c.Attempts) > 1 {
		path = "/events/bundle"
		header.Set("Content-Type", "application/json")
	} else {
		a := c.Attempts[0]
		header.Set("X-Trace-Id", a.TraceID)
		if a.IdempotencyKey != "" {
			header.Set("Idempotency-Key", a.IdempotencyKey)
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return req, nil
}

// Body returns the body of the call's request: a single message's own, else the batch of all.
func (c *Call) Body() []byte {
	if len(c.Attempts) == 1 {
		return c.Attempts[0].Body
	}
	return encodeBatch(c)
}

// batchItem is a message in a bundle.
type batchItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// BatchItemSize is the most that a message takes in a bundle: any byte of an id may be escaped.
func BatchItemSize(traceID, idempotencyKey string, bodySize int) int {
	const escaped = len(`\u0000`)
	return base64.StdEncoding.EncodedLen(bodySize) +
		escaped*(len(traceID)+len(idempotencyKey)) +
		len(`{"id":"","key":"","body":""},[]`)
}

func encodeBatch(c *Call) []byte {
	items := make([]batchItem, 0, len(c.Attempts))
	for _, a := range c.Attempts {
		items = append(items, batchItem{a.TraceID, a.IdempotencyKey, append([]byte{}, a.Body...)}) // null is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// readFeedback is what a head tells besides its message's end.
func (h *Client) readFeedback(head *http.Response) (r Result) {
	if head != nil {
		r.RetryAfter = parseRetryAfter(head.Header.Get("Retry-After"))
		r.LimitReport = h.parseLimitReport(head.Header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

// statusOutcome is what a status other than 200 says.
func statusOutcome(head *http.Response) (o policy.Outcome, gone bool) {
	switch head.StatusCode {
	case http.StatusTooManyRequests:
		return policy.Overloaded, false
	case http.StatusServiceUnavailable:
		if head.Header.Get("Slots-Taken") == "1" {
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

// batchResults reads the end of each message of a bundle. One that is missing or unreadable may have run.
func batchResults(c *Call, r Result, body []byte) []Result {
	unread := r
	unread.Outcome = policy.Error
	var raw []json.RawMessage
	if json.Unmarshal(body, &raw) != nil {
		raw = nil
	}
	states := make(map[string]string, len(raw))
	for _, x := range raw {
		var item struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		if json.Unmarshal(x, &item) == nil {
			states[item.ID] = item.State
		}
	}
	results := sameResults(c, unread)
	for i, a := range c.Attempts {
		switch states[a.TraceID] {
		case "ok":
			results[i].Outcome = policy.OK
		case "error":
			results[i].Outcome = policy.Error
		case "later":
			results[i].Outcome = policy.Overloaded
		case "gone":
			results[i].Outcome, results[i].MessageEnded = policy.NotSent, true
		case "exhausted":
			results[i].Outcome = policy.NotSent
		}
	}
	return results
}

// parseLimitReport reads what a host tells of its limit.
func (h *Client) parseLimitReport(text string) policy.LimitReport {
	var rep policy.LimitReport
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		// NaN compares as false.
		if err != nil || !(x >= 0 && x <= maxReportedValue) || !slices.Contains(h.reportFields, name) {
			continue
		}
		switch name {
		case "x0":
			rep.Remaining = x
		case "x1":
			rep.Limit, rep.Present = x, true
		}
	}
	return rep
}

// parseRetryAfter reads a Retry-After, whole or decimal; 0 if there is none that can be read.
func parseRetryAfter(text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// sameResults gives every attempt of a call the same end.
func sameResults(c *Call, r Result) []Result {
	results := make([]Result, len(c.Attempts))
	for i := range results {
		results[i] = r
	}
	return results
}
