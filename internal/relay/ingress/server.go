// Package ingress serves the relay's clients. It accepts connections, reads one HTTP request at a time from each,
// and writes the response that the handler returns.
//
// It does not use the server of net/http, which does not give clients the following guarantees. A request that has
// arrived completely gets a response even if connections are closed to make room or at shutdown. A client that
// leaves while its response is awaited is detected. Unreadable input is answered within a bounded time.
package ingress

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
)

const (
	// acceptRetryDelay is the pause after a failed accept, because the cause rarely disappears at once.
	acceptRetryDelay = 10 * time.Millisecond
)

// Handler returns the response to a request. It reads the body with Conn.ReadBody. Before it waits for the result
// of the request it calls Conn.BeginHandling, and afterwards Conn.EndHandling.
type Handler func(conn *Conn, request *http.Request) Response

// Config configures a Server.
type Config struct {
	MaxConns int
	Handler  Handler
	Observer Observer       // nil: none
	Budget   *memory.Budget // bounds the memory of connections and requests; nil: no bounds
	Log      *slog.Logger
}

// Server serves the connections of clients. At its limit of connections it closes those that are not in use.
type Server struct {
	log          *slog.Logger
	handler      Handler
	observer     Observer
	budget       *memory.Budget
	throttle     *netconn.Throttle
	maxConns     int
	maxKeptConns int // with more answered connections than this, they are closed early

	mu            sync.Mutex
	changed       sync.Cond // signalled when a connection is closed or becomes idle
	conns         map[*Conn]struct{}
	ending        int             // connections that were dropped, and whose goroutines still hold memory
	memoryWaiters []*memoryWaiter // requests that wait for memory, in the order in which they began to wait

	keepAliveOff bool // connections are closed after their next response
	closed       bool

	badRequests ratelog.Warning
}

// New returns a server without connections.
func New(config Config) *Server {
	s := &Server{
		log:          config.Log,
		handler:      config.Handler,
		observer:     config.Observer,
		budget:       config.Budget,
		throttle:     netconn.NewThrottle(runtime.GOMAXPROCS(0), freeInputSize),
		maxConns:     config.MaxConns,
		maxKeptConns: config.MaxConns * 3 / 8,
		conns:        map[*Conn]struct{}{},
		badRequests:  ratelog.Warning{Message: "bad request"},
	}
	s.changed.L = &s.mu
	if s.observer == nil {
		s.observer = noObserver{}
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	acceptFailures := ratelog.Warning{Message: "cannot accept a connection"}
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example, descriptors have run out, or the client has left already. Accepting goes on.
			acceptFailures.Log(s.log, "err", err)
			s.makeRoom(true)
			time.Sleep(acceptRetryDelay)
			continue
		}
		pressed := s.makeRoom(false)
		pressed = s.reserveConn() || pressed
		s.observer.ConnOpened()
		c := s.newConn(accepted)
		if s.add(c) {
			go s.serveConn(c)
		} else {
			c.stream.Discard()
			s.observer.ConnClosed(CloseNotWanted)
			s.budget.Release(memory.ClientConnections, connSize)
		}
		if pressed {
			runtime.Gosched() // clients that return at once must not keep the other goroutines from running
		}
	}
}

func (s *Server) newConn(accepted net.Conn) *Conn {
	return &Conn{server: s, stream: netconn.New(accepted), phaseSince: time.Now()}
}

// add registers a connection. It returns false if the server is closed and the client has sent no bytes.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed && c.nothingPending() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// drop closes a connection and unregisters it. The caller holds s.mu.
func (s *Server) drop(c *Conn, reason CloseReason) {
	if c.dropped {
		return
	}
	c.dropped = true
	c.refuse()
	c.stream.Discard()
	delete(s.conns, c)
	s.ending++
	s.observer.ConnClosed(reason)
	s.changed.Broadcast()
}

// setPhase sets the phase of a connection. It returns false if the connection was closed meanwhile, or if p is
// phaseIdle and keep-alive is off.
func (s *Server) setPhase(c *Conn, p phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.phase = p
	c.phaseSince = time.Now()
	switch p {
	case phaseReading, phaseLingering:
		s.changed.Signal() // the connection may make room now
	case phaseIdle:
		s.changed.Signal()
		return !c.dropped && !s.keepAliveOff
	}
	return !c.dropped
}

// endsAfterResponse reports whether connections are closed after their next response. The number of connections that
// all clients together can open is limited, too. If the server kept many connections open, clients that send one
// request and stay connected would prevent other clients from connecting long before the server reaches its own limit.
func (s *Server) endsAfterResponse(c *Conn, response Response) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crowded := s.crowded(c)
	c.answered = c.answered || !response.isClientError()
	return s.keepAliveOff || crowded
}

// DisableKeepAlive makes the server close connections after their next response. Idle connections stay open,
// because a request may be on its way.
func (s *Server) DisableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
}

// Drain closes idle connections, and makes the server close the others after their next response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
	for c := range s.conns {
		if c.phase == phaseIdle && c.nothingPending() {
			s.drop(c, CloseNotWanted)
		}
	}
}

// Emptied returns a channel that is closed when no connection is left, or after the timeout.
func (s *Server) Emptied(timeout time.Duration) <-chan struct{} {
	emptied := make(chan struct{})
	deadline := time.Now().Add(timeout)
	wake := time.AfterFunc(timeout, s.wakeWaiters)
	go func() {
		defer close(emptied)
		defer wake.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		for len(s.conns) > 0 && time.Now().Before(deadline) {
			s.changed.Wait()
		}
	}()
	return emptied
}

// Close closes connections without an unanswered request. It waits for the others until the deadline and then
// closes them, too.
func (s *Server) Close(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer time.AfterFunc(time.Until(deadline), s.wakeWaiters).Stop()
	for len(s.conns) > 0 {
		late := !time.Now().Before(deadline)
		for c := range s.conns {
			if late || c.awaitsRequest() && c.nothingPending() {
				s.drop(c, CloseNotWanted)
			}
		}
		if len(s.conns) > 0 {
			s.changed.Wait()
		}
	}
}

// wakeWaiters wakes the goroutines that wait for s.changed, so that they check their deadlines.
func (s *Server) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}
