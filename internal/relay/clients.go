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
	maxIDSize = 256 // bytes of an id or a key

	// A client that sends nothing, or nothing that can be read, is owed an error or a close within 3 s of its
	// connecting.
	requestTimeout = 2 * time.Second
	idleTimeout    = 2 * time.Minute // an idle connection
	writeTimeout   = time.Second
	// What was refused may still be on its way: closed before it has come, the connection would be reset, and the
	// answer lost with it.
	lingerTimeout = 3 * time.Second
	maxLingerSize = 128 << 20

	lateRequestTimeout = 500 * time.Millisecond // for what begins in the last moment
	silentGrace        = 100 * time.Millisecond // after this a connection on which nothing came makes way first
	surplusIdleTime    = 2 * time.Second        // and an idle one may be closed without need
)

// Response is what a client is told of the message that it handed in.
type Response struct {
	Status     int
	RetryAfter time.Duration // advice with a refusal; 0: none
	Text       string
}

func BadRequest(format string, args ...any) Response {
	return Response{Status: http.StatusBadRequest, Text: fmt.Sprintf(format, args...)}
}

// connPhase is what a client's connection is at.
type connPhase int

const (
	phaseNew       connPhase = iota // nothing has come yet
	phaseReading                    // a request is coming
	phaseHandling                   // it is being answered
	phaseIdle                       // it has been
	phaseLingering                  // refused, and closed but for what still comes
)

// IngressConn is one connection of a client.
type IngressConn struct {
	*netconn.Conn
	phase      connPhase // this and since: guarded by clients.mu
	phaseSince time.Time
	dropped    bool
}

// IngressServer serves the connections of clients. Where room is short, those that say nothing make way.
type IngressServer struct {
	log          *slog.Logger
	handler      func(c *IngressConn, req *http.Request) Response
	maxConns     int // connections
	maxKeptConns int // with more than so many, none is kept for long

	mu           sync.Mutex
	released     sync.Cond // signalled when a connection ends or falls idle
	conns        map[*IngressConn]struct{}
	keepAliveOff bool // answers end their connections
	closed       bool

	badRequests ratelog.Warning // requests
}

func NewIngressServer(log *slog.Logger, most int, answer func(*IngressConn, *http.Request) Response) *IngressServer {
	s := &IngressServer{log: log, handler: answer, maxConns: most, maxKeptConns: most * 3 / 8, conns: map[*IngressConn]struct{}{}}
	s.released.L, s.badRequests.Message = &s.mu, "bad request"
	return s
}

// Serve accepts connections until the listener is closed.
func (s *IngressServer) Serve(l net.Listener) error {
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
		c := &IngressConn{Conn: netconn.New(nc), phaseSince: time.Now()}
		s.mu.Lock()
		if s.closed && c.nothingPending() {
			s.mu.Unlock()
			nc.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

// makeRoom waits until another connection may be held, if need be by closing one; forced, it closes one anyway.
func (s *IngressServer) makeRoom(forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.conns) >= s.maxConns || forced {
		c := s.evictionCandidate(now)
		if c != nil && c.awaitsRequest() && !c.nothingPending() {
			c.phase = phaseReading // all but: others make way first
			continue
		}
		if c != nil {
			s.drop(c)
		} else if !forced {
			s.released.Wait()
		}
		forced = false
	}
	// Clients that ask once and keep their connections must not fill the table for good. The usual ones seldom pay:
	// theirs are in use.
	if len(s.conns) > s.maxKeptConns {
		for c := range s.conns {
			if c.phase == phaseIdle && now.Sub(c.phaseSince) > surplusIdleTime && c.nothingPending() {
				s.drop(c)
			}
		}
	}
}

// evictionCandidate is the connection to close where room is short; nil if all are being answered.
func (s *IngressServer) evictionCandidate(now time.Time) *IngressConn {
	rank := func(c *IngressConn) int {
		switch age := now.Sub(c.phaseSince); {
		case c.phase == phaseNew && age > silentGrace:
			return 1
		case c.awaitsRequest():
			return 2
		case c.phase == phaseReading || c.phase == phaseLingering:
			return 3
		}
		return 4
	}
	var least *IngressConn
	for c := range s.conns {
		if d := rank(c); d < 4 && (least == nil || d < rank(least) || d == rank(least) && c.phaseSince.Before(least.phaseSince)) {
			least = c
		}
	}
	return least
}

// drop closes a connection and forgets it.
func (s *IngressServer) drop(c *IngressConn) {
	if !c.dropped {
		c.dropped = true
		c.Close()
		delete(s.conns, c)
		s.released.Broadcast()
	}
}

// awaitsRequest tells whether nothing of a request was read on a client's connection that is not answered.
func (c *IngressConn) awaitsRequest() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// nothingPending tells whether nothing came of a client that was not read: closed over that, its connection would be reset, and
// a request that was whole be left without an answer. One on which something came is about to be served.
func (c *IngressConn) nothingPending() bool { return c.Pending() != netconn.PendingBytes }

// setPhase notes what a connection is at; false if it was dropped meanwhile, or is not to be kept.
func (s *IngressServer) setPhase(c *IngressConn, p connPhase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase, c.phaseSince = p, time.Now()
	if p == phaseIdle {
		s.released.Signal()
		return !c.dropped && !s.keepAliveOff
	}
	return !c.dropped
}

// DisableKeepAlive has connections closed with their next answers, and leaves the idle ones open: a request may be on its way.
func (s *IngressServer) DisableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
}

// Emptied is closed once no connection is left, or after d.
func (s *IngressServer) Emptied(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	end := time.Now().Add(d)
	wake := time.AfterFunc(d, func() { s.mu.Lock(); s.released.Broadcast(); s.mu.Unlock() })
	go func() {
		defer close(done)
		defer wake.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		for len(s.conns) > 0 && time.Now().Before(end) {
			s.released.Wait()
		}
	}()
	return done
}

// Drain closes idle connections and has the others closed with their next answer.
func (s *IngressServer) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
	for c := range s.conns {
		if c.phase == phaseIdle && c.nothingPending() {
			s.drop(c)
		}
	}
}

// Close closes the connections that are not being answered, waits for the others until by, and closes them too.
func (s *IngressServer) Close(by time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer time.AfterFunc(time.Until(by), func() { s.mu.Lock(); s.released.Broadcast(); s.mu.Unlock() }).Stop()
	for len(s.conns) > 0 {
		late := !time.Now().Before(by)
		for c := range s.conns {
			if late || c.awaitsRequest() && c.nothingPending() {
				s.drop(c)
			}
		}
		if len(s.conns) > 0 {
			s.released.Wait()
		}
	}
}

// serveConn reads requests off a connection until one side ends it.
func (s *IngressServer) serveConn(c *IngressConn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	}()
	by := time.Now().Add(requestTimeout)
	for {
		if !s.awaitRequest(c, by) || !s.setPhase(c, phaseReading) {
			return
		}
		c.SetReadDeadline(requestDeadline(time.Now(), by))
		if !s.serveRequest(c) || !s.setPhase(c, phaseIdle) {
			return
		}
		by = time.Now().Add(idleTimeout)
	}
}

// requestDeadline is when a request that begins now must have come, on a connection that was given until by to begin one. One
// that began in the last moment has a little longer.
func requestDeadline(now, by time.Time) time.Time {
	switch soon := now.Add(requestTimeout); {
	case soon.Before(by): // it was idle before
		return soon
	case by.Sub(now) < lateRequestTimeout:
		return now.Add(lateRequestTimeout)
	}
	return by
}

// awaitRequest waits until a request begins, until by. A deadline that has passed hides what came just before it.
func (s *IngressServer) awaitRequest(c *IngressConn, by time.Time) bool {
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

// serveRequest reads a request and answers it; false if the connection is of no further use.
func (s *IngressServer) serveRequest(c *IngressConn) bool {
	c.StartCapture()
	req, err := http.ReadRequest(c.Reader)
	head := c.Captured()
	c.StopCapture()
	if err != nil {
		return s.reject(c, ReadErrorResponse(err))
	}
	switch {
	case hasConflictingLengths(req, head):
		// One of the two hides what the other does not count: a request in a body, or the other way round.
		return s.reject(c, BadRequest("both Content-Length and Transfer-Encoding"))
	case req.ContentLength > netconn.MaxBodySize:
		return s.reject(c, Response{Status: http.StatusRequestEntityTooLarge, Text: "body over 64 KiB"})
	}
	c.AllowBytes(netconn.MaxWireSize)
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		io.WriteString(c.Conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	whole := int64(c.Reader.Buffered()) >= req.ContentLength && req.ContentLength >= 0
	a := s.handler(c, req)
	switch {
	case a.Status == 0:
		return false // the client has left
	case a.Status >= 400 && a.Status < 500:
		if whole {
			io.Copy(io.Discard, req.Body) // waits for nothing
		}
		if !whole || c.Reader.Buffered() > 0 {
			return s.reject(c, a)
		}
	}
	last, err := s.writeResponse(c, a, req.Close)
	return err == nil && !last
}

// ReadErrorResponse is the answer to what cannot be read; none to a client that left or never spoke.
func ReadErrorResponse(err error) Response {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Response{Status: http.StatusRequestTimeout, Text: "request not whole in time"}
	case errors.Is(err, netconn.ErrReadBudget):
		return Response{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "head or body too large"}
	}
	return BadRequest("unreadable request")
}

// hasConflictingLengths tells whether a head gives its body's length in both ways. package http takes one of them and shows the
// other no more, so the head is read once more, by the reader that package http goes by.
func hasConflictingLengths(req *http.Request, head []byte) bool {
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

// reject answers what is not taken. Where the end of it has not come or cannot be told, the connection ends, but not
// before the rest has come.
func (s *IngressServer) reject(c *IngressConn, a Response) bool {
	if _, err := s.writeResponse(c, a, true); err != nil || !s.setPhase(c, phaseLingering) {
		return false
	}
	if half, ok := c.Conn.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn.Conn, maxLingerSize))
	return false
}

// writeResponse writes an answer, with advice if there is any. It returns whether the connection ends with it, asked for or
// not.
func (s *IngressServer) writeResponse(c *IngressConn, a Response, last bool) (bool, error) {
	if a.Status >= 400 && a.Status < 500 {
		s.badRequests.Log(s.log, "from", c.RemoteAddr(), "status", a.Status, "text", a.Text)
	}
	s.mu.Lock()
	// Clients can hold only so many connections, too: where many are held, those that ask once and stay would keep
	// the others from connecting, long before the table here is full.
	last = last || s.keepAliveOff || len(s.conns) > s.maxKeptConns
	s.mu.Unlock()
	res := http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: last}
	if a.RetryAfter > 0 {
		res.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.Text != "" {
		res.Header.Set("Content-Type", "text/plain; charset=utf-8")
		res.Body, res.ContentLength = io.NopCloser(strings.NewReader(a.Text+"\n")), int64(len(a.Text)+1)
	}
	var text bytes.Buffer
	if err := res.Write(&text); err != nil {
		return last, err
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(text.Bytes())
	return last, err
}

// handleRequest answers a client's request.
func (r *Relay) handleRequest(c *IngressConn, req *http.Request) Response {
	switch {
	case req.URL.Path == "/_health" && req.Method == http.MethodGet:
		if !r.endpointsKnown.Load() || r.terminating.Load() {
			return Response{Status: http.StatusServiceUnavailable}
		}
		return Response{Status: http.StatusOK}
	case req.Method != http.MethodPost:
		return Response{Status: http.StatusMethodNotAllowed, Text: "messages are handed in by POST"}
	}
	return r.receiveMessage(c, req)
}

// receiveMessage takes one message. Whatever is malformed ends here and never reaches the decision module.
func (r *Relay) receiveMessage(c *IngressConn, req *http.Request) Response {
	came := time.Now()
	m, left, err := r.parseMessage(req)
	if err != nil {
		return BadRequest("%v", err)
	}
	m.Deadline = came.Add(left)
	if m.Body, err = readBody(req); errors.Is(err, netconn.ErrReadBudget) {
		return Response{Status: http.StatusRequestEntityTooLarge, Text: "body over 64 KiB"}
	} else if err != nil {
		return ReadErrorResponse(err)
	}
	if c.Reader.Buffered() > 0 {
		// Clients send one request at a time: the length was wrong, and the body is not what was meant.
		return BadRequest("more bytes than the length tells")
	}
	if !r.ingress.setPhase(c, phaseHandling) {
		return Response{}
	}
	in := &submitEvent{message: m, reply: make(chan Response, 1)}
	c.Watch(nil)
	if !r.post(in) {
		c.Unwatch()
		return Response{Status: http.StatusServiceUnavailable, RetryAfter: policy.MinRetryAfter}
	}
	a := <-in.reply
	if open, _ := c.Unwatch(); open {
		return a
	}
	// A client that has left without the answer hands the message in anew: this one must not be sent as well.
	if m.ID != 0 {
		r.post(cancelEvent{m.ID})
	}
	return Response{}
}

// readBody reads a body, which is as long as its head tells, or comes in chunks.
func readBody(req *http.Request) ([]byte, error) {
	if req.ContentLength >= 0 {
		body := make([]byte, req.ContentLength)
		_, err := io.ReadFull(req.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, netconn.MaxBodySize+1))
	if err == nil && len(body) > netconn.MaxBodySize {
		err = netconn.ErrReadBudget
	}
	return body, err
}

// parseMessage reads all of a request but its body.
func (r *Relay) parseMessage(req *http.Request) (m *journal.Message, left time.Duration, err error) {
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
	case m.TraceID == "" || max(len(m.TraceID), len(m.IdempotencyKey), len(m.OrderingKey)) > maxIDSize:
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
	if m.Destination, err = parseDestination(req.Header.Get("Envelope")); err != nil {
		return nil, 0, err
	}
	return m, time.Duration(ms) * time.Millisecond, nil
}

// parseDestination finds dest among the name=value pairs of an envelope.
func parseDestination(envelope string) (int, error) {
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
