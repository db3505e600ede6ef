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
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
)

const (
	// newConnGrace is how long a new connection may stay silent before it is the first to be closed to make room.
	newConnGrace = 100 * time.Millisecond
	// surplusIdleTime is how long a connection may stay idle while more than maxKeptConns are open.
	surplusIdleTime = 2 * time.Second
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
	Observer Observer // nil: none
	Log      *slog.Logger
}

// Server serves the connections of clients. At its limit of connections it closes those that are not in use.
type Server struct {
	log          *slog.Logger
	handler      Handler
	observer     Observer
	maxConns     int
	maxKeptConns int // with more connections than this, idle ones are closed early

	mu           sync.Mutex
	changed      sync.Cond // signalled when a connection is closed or becomes idle
	conns        map[*Conn]struct{}
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
		s.makeRoom(false)
		s.observer.ConnOpened()
		c := s.newConn(accepted)
		if s.add(c) {
			go s.serveConn(c)
		} else {
			c.stream.Discard()
			s.observer.ConnClosed(CloseNotWanted)
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

// makeRoom waits until another connection may be added, and closes one if necessary. With forced set, it closes one
// even below the limit, unless responses are awaited on all connections.
func (s *Server) makeRoom(forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.conns) >= s.maxConns || forced {
		c := s.evictionCandidate(now)
		if c != nil && c.awaitsRequest() && !c.nothingPending() {
			c.phase = phaseReading // a request has arrived: prefer to close another connection
			continue
		}
		if c != nil {
			s.drop(c, c.evictionReason(now))
		} else if !forced {
			s.changed.Wait()
		}
		forced = false
	}
	// Clients that send one request and keep their connections open must not use up the limit. Clients that send many
	// requests are seldom affected, because their connections are in use.
	if len(s.conns) > s.maxKeptConns {
		for c := range s.conns {
			if c.phase == phaseIdle && now.Sub(c.phaseSince) > surplusIdleTime && c.nothingPending() {
				s.drop(c, CloseEvictedIdle)
			}
		}
	}
}

// evictionRank orders connections by how much is lost when they are closed. The lowest rank is closed first.
type evictionRank int

const (
	rankSilent     evictionRank = iota + 1 // no request has begun within newConnGrace
	rankIdle                               // no request is in progress
	rankIncomplete                         // a request was read in part, or rejected
	rankHandling                           // a response is awaited; never closed
)

func (c *Conn) evictionRank(now time.Time) evictionRank {
	switch {
	case c.phase == phaseNew && now.Sub(c.phaseSince) > newConnGrace:
		return rankSilent
	case c.awaitsRequest():
		return rankIdle
	case c.phase == phaseReading || c.phase == phaseLingering:
		return rankIncomplete
	}
	return rankHandling
}

// evictionCandidate returns the connection to close when room is needed: of those with the lowest rank, the one
// that has been longest in its phase. It returns nil if responses are awaited on all connections.
func (s *Server) evictionCandidate(now time.Time) *Conn {
	var candidate *Conn
	lowest := rankHandling
	for c := range s.conns {
		rank := c.evictionRank(now)
		if rank == rankHandling || rank > lowest {
			continue
		}
		if rank < lowest || c.phaseSince.Before(candidate.phaseSince) {
			candidate = c
			lowest = rank
		}
	}
	return candidate
}

// evictionReason returns the reason that the observer gets if the connection is closed to make room.
func (c *Conn) evictionReason(now time.Time) CloseReason {
	switch c.evictionRank(now) {
	case rankSilent:
		return CloseEvictedSilent
	case rankIdle:
		return CloseEvictedIdle
	}
	return CloseEvictedPartial
}

// drop closes a connection and unregisters it. The caller holds s.mu.
func (s *Server) drop(c *Conn, reason CloseReason) {
	if c.dropped {
		return
	}
	c.dropped = true
	c.stream.Discard()
	delete(s.conns, c)
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
	if p == phaseIdle {
		s.changed.Signal()
		return !c.dropped && !s.keepAliveOff
	}
	return !c.dropped
}

// endsAfterResponse reports whether connections are closed after their next response. The number of connections that
// all clients together can open is limited, too. If the server kept many connections open, clients that send one
// request and stay connected would prevent other clients from connecting long before the server reaches its own limit.
func (s *Server) endsAfterResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAliveOff || len(s.conns) > s.maxKeptConns
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
