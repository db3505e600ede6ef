package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	bodyMost = 64 << 10
	wireMost = 8 * bodyMost // a body in chunks, however small
	idMost   = 256          // bytes of an id or a key

	// A client that sends nothing, or nothing that can be read, is owed an error or a close within 3 s of its
	// connecting.
	requestFor = 2 * time.Second
	keptFor    = 2 * time.Minute // an idle connection
	writeFor   = time.Second
	// What was refused may still be on its way: closed before it has come, the connection would be reset, and the
	// answer lost with it.
	lingerFor  = 3 * time.Second
	lingerMost = 128 << 20

	lastFor   = 500 * time.Millisecond // for what begins in the last moment
	silentFor = 100 * time.Millisecond // after this a connection on which nothing came makes way first
	spareFor  = 2 * time.Second        // and an idle one may be closed without need
)

// answer is what a client is told of the message that it handed in.
type answer struct {
	status int
	again  time.Duration // advice with a refusal; 0: none
	text   string
}

func bad(format string, args ...any) answer {
	return answer{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// phase is what a client's connection is at.
type phase int

const (
	silent    phase = iota // nothing has come yet
	reading                // a request is coming
	busy                   // it is being answered
	idle                   // it has been
	lingering              // refused, and closed but for what still comes
)

// client is one connection of a client.
type client struct {
	*netconn.Conn
	phase phase // this and since: guarded by clients.mu
	since time.Time
	gone  bool
}

// clients serves the connections of clients. Where room is short, those that say nothing make way.
type clients struct {
	log    *slog.Logger
	answer func(c *client, req *http.Request) answer
	most   int // connections
	roomy  int // with more than so many, none is kept for long

	mu     sync.Mutex
	room   sync.Cond // signalled when a connection ends or falls idle
	conns  map[*client]struct{}
	ending bool // answers end their connections
	closed bool

	bad ratelog.Warning // requests
}

func newClients(log *slog.Logger, most int, answer func(*client, *http.Request) answer) *clients {
	s := &clients{log: log, answer: answer, most: most, roomy: most * 3 / 8, conns: map[*client]struct{}{}}
	s.room.L, s.bad.Message = &s.mu, "bad request"
	return s
}

// run accepts connections until the listener is closed.
func (s *clients) run(l net.Listener) error {
	unaccepted := ratelog.Warning{Message: "accept"}
	for {
		nc, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// Out of descriptors, say, or a client that left at once: no reason to end.
			unaccepted.Log(s.log, "err", err)
			s.makeRoom(true)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.makeRoom(false)
		c := &client{Conn: netconn.New(nc), since: time.Now()}
		s.mu.Lock()
		if s.closed && c.quiet() {
			s.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// makeRoom waits until another connection may be held, if need be by closing one; forced, it closes one anyway.
func (s *clients) makeRoom(forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.conns) >= s.most || forced {
		c := s.leastNeeded(now)
		if c != nil && c.rests() && !c.quiet() {
			c.phase = reading // all but: others make way first
			continue
		}
		if c != nil {
			s.drop(c)
		} else if !forced {
			s.room.Wait()
		}
		forced = false
	}
	// Clients that ask once and keep their connections must not fill the table for good. The usual ones seldom pay:
	// theirs are in use.
	if len(s.conns) > s.roomy {
		for c := range s.conns {
			if c.phase == idle && now.Sub(c.since) > spareFor && c.quiet() {
				s.drop(c)
			}
		}
	}
}

// leastNeeded is the connection to close where room is short; nil if all are being answered.
func (s *clients) leastNeeded(now time.Time) *client {
	rank := func(c *client) int {
		switch age := now.Sub(c.since); {
		case c.phase == silent && age > silentFor:
			return 1
		case c.rests():
			return 2
		case c.phase == reading || c.phase == lingering:
			return 3
		}
		return 4
	}
	var least *client
	for c := range s.conns {
		if d := rank(c); d < 4 && (least == nil || d < rank(least) || d == rank(least) && c.since.Before(least.since)) {
			least = c
		}
	}
	return least
}

// drop closes a connection and forgets it.
func (s *clients) drop(c *client) {
	if !c.gone {
		c.gone = true
		c.Close()
		delete(s.conns, c)
		s.room.Broadcast()
	}
}

// rests tells whether nothing of a request was read on a client's connection that is not answered.
func (c *client) rests() bool { return c.phase == silent || c.phase == idle }

// quiet tells whether nothing came of a client that was not read: closed over that, its connection would be reset, and
// a request that was whole be left without an answer. One on which something came is about to be served.
func (c *client) quiet() bool { return c.Pending() != netconn.PendingBytes }

// enter notes what a connection is at; false if it was dropped meanwhile, or is not to be kept.
func (s *clients) enter(c *client, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.since = p, time.Now()
	if p == idle {
		s.room.Signal()
		return !c.gone && !s.ending
	}
	return !c.gone
}

// finish has connections closed with their next answers, and leaves the idle ones open: a request may be on its way.
func (s *clients) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
}

// empty is closed once no connection is left, or after d.
func (s *clients) empty(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	end := time.Now().Add(d)
	wake := time.AfterFunc(d, func() { s.mu.Lock(); s.room.Broadcast(); s.mu.Unlock() })
	go func() {
		defer close(done)
		defer wake.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		for len(s.conns) > 0 && time.Now().Before(end) {
			s.room.Wait()
		}
	}()
	return done
}

// drain closes idle connections and has the others closed with their next answer.
func (s *clients) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for c := range s.conns {
		if c.phase == idle && c.quiet() {
			s.drop(c)
		}
	}
}

// close closes the connections that are not being answered, waits for the others until by, and closes them too.
func (s *clients) close(by time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer time.AfterFunc(time.Until(by), func() { s.mu.Lock(); s.room.Broadcast(); s.mu.Unlock() }).Stop()
	for len(s.conns) > 0 {
		late := !time.Now().Before(by)
		for c := range s.conns {
			if late || c.rests() && c.quiet() {
				s.drop(c)
			}
		}
		if len(s.conns) > 0 {
			s.room.Wait()
		}
	}
}

// serve reads requests off a connection until one side ends it.
func (s *clients) serve(c *client) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
	by := time.Now().Add(requestFor)
	for {
		if !s.comes(c, by) || !s.enter(c, reading) {
			return
		}
		c.SetReadDeadline(wholeBy(time.Now(), by))
		if !s.request(c) || !s.enter(c, idle) {
			return
		}
		by = time.Now().Add(keptFor)
	}
}

// wholeBy is when a request that begins now must have come, on a connection that was given until by to begin one. One
// that began in the last moment has a little longer.
func wholeBy(now, by time.Time) time.Time {
	switch soon := now.Add(requestFor); {
	case soon.Before(by): // it was idle before
		return soon
	case by.Sub(now) < lastFor:
		return now.Add(lastFor)
	}
	return by
}

// comes waits until a request begins, until by. A deadline that has passed hides what came just before it.
func (s *clients) comes(c *client, by time.Time) bool {
	c.SetReadDeadline(by)
	c.AllowBytes(netconn.MaxHeaderSize)
	_, err := c.Reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Time{})
		if c.Pending() == netconn.PendingBytes {
			_, err = c.Reader.Peek(1)
		}
	}
	return err == nil
}

// request reads a request and answers it; false if the connection is of no further use.
func (s *clients) request(c *client) bool {
	c.StartCapture()
	req, err := http.ReadRequest(c.Reader)
	head := c.Captured()
	c.StopCapture()
	if err != nil {
		return s.refuse(c, unreadable(err))
	}
	switch {
	case twoLengths(req, head):
		// One of the two hides what the other does not count: a request in a body, or the other way round.
		return s.refuse(c, bad("both Content-Length and Transfer-Encoding"))
	case req.ContentLength > bodyMost:
		return s.refuse(c, answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"})
	}
	c.AllowBytes(wireMost)
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.Conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	whole := int64(c.Reader.Buffered()) >= req.ContentLength && req.ContentLength >= 0
	a := s.answer(c, req)
	switch {
	case a.status == 0:
		return false // the client has left
	case a.status >= 400 && a.status < 500:
		if whole {
			io.Copy(io.Discard, req.Body) // waits for nothing
		}
		if !whole || c.Reader.Buffered() > 0 {
			return s.refuse(c, a)
		}
	}
	last, err := s.reply(c, a, req.Close)
	return err == nil && !last
}

// unreadable is the answer to what cannot be read; none to a client that left or never spoke.
func unreadable(err error) answer {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return answer{status: http.StatusRequestTimeout, text: "request not whole in time"}
	case errors.Is(err, netconn.ErrReadBudget):
		return answer{status: http.StatusRequestHeaderFieldsTooLarge, text: "head or body too large"}
	}
	return bad("unreadable request")
}

// twoLengths tells whether a head gives its body's length in both ways. package http takes one of them and shows the
// other no more, so the head is read once more, by the reader that package http goes by.
func twoLengths(req *http.Request, head []byte) bool {
	if len(req.TransferEncoding) == 0 && req.ProtoAtLeast(1, 1) {
		return false // there was no Transfer-Encoding
	}
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return true
	}
	header, err := r.ReadMIMEHeader()
	return err != nil || header["Content-Length"] != nil && header["Transfer-Encoding"] != nil
}

// refuse answers what is not taken. Where the end of it has not come or cannot be told, the connection ends, but not
// before the rest has come.
func (s *clients) refuse(c *client, a answer) bool {
	if _, err := s.reply(c, a, true); err != nil || !s.enter(c, lingering) {
		return false
	}
	if half, ok := c.Conn.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerFor))
	io.Copy(io.Discard, io.LimitReader(c.Conn.Conn, lingerMost))
	return false
}

// reply writes an answer, with advice if there is any. It returns whether the connection ends with it, asked for or
// not.
func (s *clients) reply(c *client, a answer, last bool) (bool, error) {
	if a.status >= 400 && a.status < 500 {
		s.bad.Log(s.log, "from", c.RemoteAddr(), "status", a.status, "text", a.text)
	}
	s.mu.Lock()
	// Clients can hold only so many connections, too: where many are held, those that ask once and stay would keep
	// the others from connecting, long before the table here is full.
	last = last || s.ending || len(s.conns) > s.roomy
	s.mu.Unlock()
	res := http.Response{StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: last}
	if a.again > 0 {
		res.Header.Set("Retry-After", strconv.FormatFloat(a.again.Seconds(), 'f', 3, 64))
	}
	if a.text != "" {
		res.Header.Set("Content-Type", "text/plain; charset=utf-8")
		res.Body, res.ContentLength = io.NopCloser(strings.NewReader(a.text+"\n")), int64(len(a.text)+1)
	}
	var text bytes.Buffer
	if err := res.Write(&text); err != nil {
		return last, err
	}
	c.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.Write(text.Bytes())
	return last, err
}

// request answers a client's request.
func (r *Relay) request(c *client, req *http.Request) answer {
	switch {
	case req.URL.Path == "/_health" && req.Method == http.MethodGet:
		if !r.endpointsKnown.Load() || r.terminating.Load() {
			return answer{status: http.StatusServiceUnavailable}
		}
		return answer{status: http.StatusOK}
	case req.Method != http.MethodPost:
		return answer{status: http.StatusMethodNotAllowed, text: "messages are handed in by POST"}
	}
	return r.handInFrom(c, req)
}

// handInFrom takes one message. Whatever is malformed ends here and never reaches the decision module.
func (r *Relay) handInFrom(c *client, req *http.Request) answer {
	came := time.Now()
	m, left, err := r.parse(req)
	if err != nil {
		return bad("%v", err)
	}
	m.Deadline = came.Add(left)
	if m.Body, err = readBody(req); errors.Is(err, netconn.ErrReadBudget) {
		return answer{status: http.StatusRequestEntityTooLarge, text: "body over 64 KiB"}
	} else if err != nil {
		return unreadable(err)
	}
	if c.Reader.Buffered() > 0 {
		// Clients send one request at a time: the length was wrong, and the body is not what was meant.
		return bad("more bytes than the length tells")
	}
	if !r.clients.enter(c, busy) {
		return answer{}
	}
	in := &submitEvent{message: m, reply: make(chan answer, 1)}
	c.Watch(nil)
	if !r.post(in) {
		c.Unwatch()
		return answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
	}
	a := <-in.reply
	if open, _ := c.Unwatch(); open {
		return a
	}
	// A client that has left without the answer hands the message in anew: this one must not be sent as well.
	if m.ID != 0 {
		r.post(cancelEvent{m.ID})
	}
	return answer{}
}

// readBody reads a body, which is as long as its head tells, or comes in chunks.
func readBody(req *http.Request) ([]byte, error) {
	if req.ContentLength >= 0 {
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(req.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, bodyMost+1))
	if err == nil && len(body) > bodyMost {
		err = netconn.ErrReadBudget
	}
	return body, err
}

// parse reads all of a request but its body.
func (r *Relay) parse(req *http.Request) (m *journal.Message, left time.Duration, err error) {
	class, t := strings.TrimPrefix(req.URL.Path, "/"), r.clientConfig.Load()
	m = &journal.Message{
		TraceID:        req.Header.Get("X-Trace-Id"),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
		OrderingKey:    req.URL.Query().Get("key"), // what the message is about, where its class keeps order
		Class:          slices.Index(t.ClassNames, class), ClassName: class,
	}
	switch {
	case m.Class < 0:
		return nil, 0, fmt.Errorf("unknown class %q", class)
	case req.Header.Get("X-Qos") != class:
		return nil, 0, errors.New("X-Qos and the path differ")
	case m.TraceID == "" || max(len(m.TraceID), len(m.IdempotencyKey), len(m.OrderingKey)) > idMost:
		return nil, 0, errors.New("no X-Trace-Id, or an id or key too long")
	case len(req.Header["X-Trace-Id"]) > 1 || len(req.Header["Idempotency-Key"]) > 1:
		return nil, 0, errors.New("more than one id or key")
	case m.IdempotencyKey == "" && t.Settings.Classes[m.Class].Effect == policy.IdempotentByKey:
		return nil, 0, errors.New("no Idempotency-Key")
	}
	if len(t.TenantNames) > 0 {
		if m.Tenant = slices.Index(t.TenantNames, req.Header.Get("X-Customer")); m.Tenant < 0 {
			return nil, 0, fmt.Errorf("unknown customer %q", req.Header.Get("X-Customer"))
		}
	}
	ms, err := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	if most := maxTimeLeft(t.Settings.Classes[m.Class]); err != nil || ms < 0 || ms > most.Milliseconds() {
		return nil, 0, errors.New("bad X-Expires-In-Ms")
	}
	if m.Destination, err = destination(req.Header.Get("Envelope")); err != nil {
		return nil, 0, err
	}
	return m, time.Duration(ms) * time.Millisecond, nil
}

// destination finds dest among the name=value pairs of an envelope.
func destination(envelope string) (int, error) {
	for _, pair := range strings.FieldsFunc(envelope, func(c rune) bool { return strings.ContainsRune(",;& ", c) }) {
		if value, ok := strings.CutPrefix(pair, "dest="); ok {
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 {
				return 0, fmt.Errorf("bad dest %q", value)
			}
			return n, nil
		}
	}
	return 0, errors.New("Envelope names no dest")
}
