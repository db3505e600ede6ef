package relay

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

// idleShare is the share of the hosts' keep-alive limit after which the relay closes an idle connection itself.
// Guards against a request that crosses the host's own close: it ends as a reset, which may have run.
const idleShare = 0.8

const (
	// wholeFor bounds how long an answer may take from its first byte to its last. Guards against heads and bodies
	// that do not end.
	wholeFor = 500 * time.Millisecond
	// reportMost bounds what a host may tell of its limit.
	reportMost = 1e9
	informMost = 16 // 1xx answers before one
	// heldUpAfter is how long after its decision a call may leave unasked: within what the module's times leave before
	// they bind.
	heldUpAfter = 10 * time.Millisecond
)

var (
	errSpoilt = errors.New("spoilt answer")
	errLast   = errors.New("the answer is whole, its connection at its end")
)

// hosts makes the outbound calls.
type hosts struct {
	*pool
	reports []string
	written func(messages int) // whole, to a host

	log    *slog.Logger
	spoilt ratelog.Warning
}

// call is one request to a host, with one message or several.
type call struct {
	route    string
	addr     string
	zone     int
	sent     time.Time
	until    time.Time // given up then
	attempts []*attempt
	size     int // of the body, at most, if it carries several
}

// lastUntil is when the last of a call's attempts is given up.
func (c *call) lastUntil() time.Time {
	return slices.MaxFunc(c.attempts, func(a, b *attempt) int { return a.until.Compare(b.until) }).until
}

// attempt is one message's part in a call.
type attempt struct {
	*call
	m     *message
	n     int
	body  []byte // the message's
	until time.Time
	timer *time.Timer // ends it before the rest of its call; nil if it ends with it
	over  bool        // its outcome is told
}

// result is how an attempt ended.
type result struct {
	outcome policy.Outcome
	gone    bool // the message is over: nothing more is owed
	wait    time.Duration
	report  policy.LimitReport
	took    time.Duration // from when the request was written
}

func newHosts(cfg Config, log *slog.Logger, written func(int)) *hosts {
	return &hosts{
		pool:    newPool(cfg),
		reports: cfg.LoadReportFields,
		written: written,
		log:     log,
		spoilt:  ratelog.Warning{Message: "spoilt answer"},
	}
}

// do makes a call and tells the end of each of its attempts, in their order. clear is asked before the request is
// written where that was held up, as by a new connection that had to come up first: for the attempts that may leave
// even then.
func (h *hosts) do(ctx context.Context, c *call, clear func(*call) []*attempt) []result {
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	conn, fresh, err := h.get(ctx, peer{c.route, c.addr})
	switch {
	case err != nil && scarce(err):
		return alike(c, result{outcome: policy.NotSent})
	case err != nil:
		return alike(c, result{outcome: policy.ConnectFailed})
	}
	// While the connection came up, or the journal was slow to write, a drain or a wait may have been told, and
	// messages may have ended.
	leaving := *c
	if fresh || time.Since(c.sent) > heldUpAfter {
		leaving.attempts = clear(c)
	}
	results := alike(c, result{outcome: policy.NotSent})
	if len(leaving.attempts) == 0 {
		conn.keep()
		return results
	}
	if last := leaving.lastUntil(); last.Before(leaving.until) {
		leaving.until = last // that of a message which leaves no more
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, last)
		defer cancel()
	}
	req, err := newRequest(&leaving)
	if err != nil {
		conn.keep()
		return results
	}
	for i, res := range h.exchange(ctx, req, &leaving, conn) {
		results[slices.Index(c.attempts, leaving.attempts[i])] = res
	}
	return results
}

// exchange writes the request, reads its answer, and keeps or drops the connection.
func (h *hosts) exchange(ctx context.Context, req *http.Request, c *call, conn *hostConn) []result {
	// A call is given up by closing its connection: no answer to it is read any more.
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(netconn.Past) })
	began := time.Now()
	err := writeRequest(conn, req)
	written := err == nil
	if written {
		h.written(len(c.attempts))
	}
	several := len(c.attempts) > 1
	a := readAnswer(conn, req, several) // there may be an answer though not all could be written
	if stop() && a.err == nil && written {
		conn.SetDeadline(time.Time{})
		conn.keep()
	} else {
		conn.drop()
	}
	if a.came.IsZero() {
		a.came = time.Now()
	}
	r := h.told(a.head)
	r.took = a.came.Sub(began)
	spoilt := a.err != nil && !errors.Is(a.err, errLast)
	if spoilt && !gone(a.err) {
		h.spoilt.Log(h.log, "route", c.route, "err", a.err)
	}
	switch {
	case a.head != nil && a.head.StatusCode == http.StatusOK && !several:
		r.outcome = policy.OK // with the first line: what follows means nothing
	case spoilt:
		// The last byte tells: without it no host has begun. Whatever is doubtful may have run.
		r.outcome = broken(ctx, written)
	case a.head.StatusCode == http.StatusOK:
		return bundleResults(c, r, a.body)
	default:
		r.outcome, r.gone = outcome(a.head)
	}
	return alike(c, r)
}

// gone tells whether an answer did not come for the peer's silence or end, and not for what the peer sent.
func gone(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// writeRequest writes a request in one go.
func writeRequest(conn *hostConn, req *http.Request) error {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	_, err := conn.Write(text.Bytes())
	return err
}

// hostAnswer is what came in answer to a call.
type hostAnswer struct {
	head *http.Response // of a spoilt one perhaps its first line alone; nil if that cannot be read either
	body []byte         // of an answer to several messages
	err  error          // why it is not whole, or more than whole: its connection is of no further use
	came time.Time      // its first byte
}

// readAnswer reads an answer, to several messages or to one.
func readAnswer(conn *hostConn, req *http.Request, several bool) (a hostAnswer) {
	conn.AllowBytes(netconn.MaxHeaderSize)
	if _, a.err = conn.Reader.Peek(1); a.err != nil {
		return a
	}
	// Where the call ended this very moment, this takes the place of its deadline, and it ends so much later.
	a.came = time.Now()
	conn.SetReadDeadline(a.came.Add(wholeFor))
	for range informMost {
		var line []byte
		if line, a.err = peekLine(conn.Reader); a.err != nil {
			return a
		}
		if a.head, a.err = http.ReadResponse(conn.Reader, req); a.err != nil {
			a.head = firstLine(line, req)
			return a
		}
		if a.head.StatusCode >= 200 {
			a.body, a.err = readRest(conn, a.head, several)
			return a
		}
		a.head = nil
	}
	a.err = errSpoilt
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

// firstLine reads a first line by itself; nil if it cannot be read.
func firstLine(line []byte, req *http.Request) *http.Response {
	head, err := http.ReadResponse(
		bufio.NewReader(io.MultiReader(bytes.NewReader(line), strings.NewReader("\r\n"))),
		req,
	)
	if err != nil {
		return nil
	}
	return head
}

// readRest reads an answer's body. It returns an error also if the connection can carry no further call.
func readRest(conn *hostConn, head *http.Response, several bool) (body []byte, err error) {
	if head.ContentLength > bodyMost {
		return nil, errSpoilt
	}
	conn.AllowBytes(wireMost)
	rest := io.LimitReader(head.Body, bodyMost+1)
	if several && head.StatusCode == http.StatusOK {
		if body, err = io.ReadAll(rest); err == nil && len(body) > bodyMost {
			err = errSpoilt
		}
	} else if n, copyErr := io.Copy(io.Discard, rest); copyErr != nil || n > bodyMost {
		err = cmp.Or(copyErr, errSpoilt)
	}
	switch {
	case err != nil:
		return nil, err
	case conn.Reader.Buffered() > 0, head.Close, head.ContentLength < 0 && len(head.TransferEncoding) == 0:
		return body, errLast
	}
	return body, nil
}

// broken is the outcome of a call whose answer did not come.
func broken(ctx context.Context, written bool) policy.Outcome {
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
func newRequest(c *call) (*http.Request, error) {
	path, body := "/events", c.attempts[0].body
	header := http.Header{"X-Expires-In-Ms": {strconv.FormatInt(max(1, time.Until(c.until).Milliseconds()), 10)}}
	if len(c.attempts) > 1 {
		path, body = "/events/bundle", bundle(c)
		header.Set("Content-Type", "application/json")
	} else {
		m := c.attempts[0].m
		header.Set("X-Trace-Id", m.TraceID)
		if m.IdempotencyKey != "" {
			header.Set("Idempotency-Key", m.IdempotencyKey)
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.addr+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = header
	if req.ContentLength = int64(len(body)); len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	return req, nil
}

// item is a message in a bundle.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// itemSize is the most that a message takes in a bundle: any byte of an id may be escaped.
func itemSize(m *message) int {
	return base64.StdEncoding.EncodedLen(
		m.Size(),
	) + 6*(len(m.TraceID)+len(m.IdempotencyKey)) + len(
		`{"id":"","key":"","body":""},[]`,
	)
}

func bundle(c *call) []byte {
	items := make([]item, 0, len(c.attempts))
	for _, a := range c.attempts {
		items = append(items, item{a.m.TraceID, a.m.IdempotencyKey, append([]byte{}, a.body...)}) // null is no body
	}
	data, err := json.Marshal(items)
	if err != nil {
		panic(err) // strings and bytes only: cannot fail
	}
	return data
}

// told is what a head tells besides its message's end.
func (h *hosts) told(head *http.Response) (r result) {
	if head != nil {
		r.wait = seconds(head.Header.Get("Retry-After"))
		r.report = h.report(head.Header.Get("Endpoint-Load-Metrics"))
	}
	return r
}

// outcome is what a status other than 200 says.
func outcome(head *http.Response) (o policy.Outcome, gone bool) {
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

// bundleResults reads the end of each message of a bundle. One that is missing or unreadable may have run.
func bundleResults(c *call, r result, body []byte) []result {
	unread := r
	unread.outcome = policy.Error
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
	results := alike(c, unread)
	for i, a := range c.attempts {
		switch states[a.m.TraceID] {
		case "ok":
			results[i].outcome = policy.OK
		case "error":
			results[i].outcome = policy.Error
		case "later":
			results[i].outcome = policy.Overloaded
		case "gone":
			results[i].outcome, results[i].gone = policy.NotSent, true
		case "exhausted":
			results[i].outcome = policy.NotSent
		}
	}
	return results
}

// report reads what a host tells of its limit.
func (h *hosts) report(text string) policy.LimitReport {
	var rep policy.LimitReport
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok {
		return rep
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		// NaN compares as false.
		if err != nil || !(x >= 0 && x <= reportMost) || !slices.Contains(h.reports, name) {
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

// seconds reads a Retry-After, whole or decimal; 0 if there is none that can be read.
func seconds(text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0) || x > 1e6 {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

// alike gives every attempt of a call the same end.
func alike(c *call, r result) []result {
	results := make([]result, len(c.attempts))
	for i := range results {
		results[i] = r
	}
	return results
}
