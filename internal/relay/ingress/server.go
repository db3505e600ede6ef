// Package ingress serves the clients' side of the relay: it accepts connections, reads one HTTP request at a time from
// each, and writes the response that its handler gives.
//
// It is a server of its own, as the one of net/http does not do what clients are promised here: a request that has come
// to its end has a response also where connections are closed to make room or at a shutdown, a client that leaves while
// its response is awaited is noticed, and whatever cannot be read is answered within a bounded time.
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
	// newConnGrace is how long a connection on which nothing came yet is not the first to be closed for another one.
	newConnGrace = 100 * time.Millisecond
	// surplusIdleTime is how long a connection may stand idle where more than maxKeptConns are open.
	surplusIdleTime = 2 * time.Second
	// acceptRetryDelay passes after a failed accept: its cause seldom goes at once.
	acceptRetryDelay = 10 * time.Millisecond
)

// Handler answers a request. It reads the request's body by Conn.ReadBody and stands between Conn.BeginHandling and
// Conn.EndHandling while the response is awaited.
type Handler func(conn *Conn, request *http.Request) Response

// Config configures a Server.
type Config struct {
	MaxConns int
	Handler  Handler
	Log      *slog.Logger
}

// Server serves the connections of clients. Where it may hold no more of them, it closes those that are
// not in use.
type Server struct {
	log          *slog.Logger
	handler      Handler
	maxConns     int
	maxKeptConns int // with more connections than that, none stays idle for long

	mu           sync.Mutex
	changed      sync.Cond // signalled when a connection ends or falls idle
	conns        map[*Conn]struct{}
	keepAliveOff bool // responses end their connections
	closed       bool

	badRequests ratelog.Warning
}

// New returns a server without connections.
func New(config Config) *Server {
	s := &Server{
		log:          config.Log,
		handler:      config.Handler,
		maxConns:     config.MaxConns,
		maxKeptConns: config.MaxConns * 3 / 8,
		conns:        map[*Conn]struct{}{},
		badRequests:  ratelog.Warning{Message: "bad request"},
	}
	s.changed.L = &s.mu
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	acceptFailures := ratelog.Warning{Message: "accept"}
	for {
		accepted, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, say, or a client that left at once: no reason to end.
			acceptFailures.Log(s.log, "err", err)
			s.makeRoom(true)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.makeRoom(false)
		c := s.newConn(accepted)
		if s.add(c) {
			go s.serveConn(c)
		} else {
			c.stream.Discard()
		}
	}
}

func (s *Server) newConn(accepted net.Conn) *Conn {
	return &Conn{server: s, stream: netconn.New(accepted), phaseSince: time.Now()}
}

// add takes a connection in; false if the server is closed and no request is on the connection.
func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed && c.nothingPending() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// makeRoom waits until another connection may be added, if need be by closing one. Forced, it closes one in any case.
func (s *Server) makeRoom(forced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.conns) >= s.maxConns || forced {
		c := s.evictionCandidate(now)
		if c != nil && c.awaitsRequest() && !c.nothingPending() {
			c.phase = phaseReading // as good as: others make way first
			continue
		}
		if c != nil {
			s.drop(c)
		} else if !forced {
			s.changed.Wait()
		}
		forced = false
	}
	// Clients that send one request and keep their connections must not fill the table for good. Those that send many
	// seldom pay for that: their connections are in use.
	if len(s.conns) > s.maxKeptConns {
		for c := range s.conns {
			if c.phase == phaseIdle && now.Sub(c.phaseSince) > surplusIdleTime && c.nothingPending() {
				s.drop(c)
			}
		}
	}
}

// evictionRank orders connections by how little is lost with them; the lowest goes first.
type evictionRank int

const (
	rankSilent     evictionRank = iota + 1 // nothing ever came
	rankIdle                               // no request is under way
	rankIncomplete                         // a request is not read to its end, or is rejected
	rankHandling                           // never evicted: its response is awaited
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

// evictionCandidate returns the connection to close where room is short: of the lowest rank the one that is longest in
// its phase. It returns nil if the responses of all are awaited.
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

// drop closes a connection and forgets it. The mutex is held.
func (s *Server) drop(c *Conn) {
	if c.dropped {
		return
	}
	c.dropped = true
	c.stream.Discard()
	delete(s.conns, c)
	s.changed.Broadcast()
}

// setPhase notes what a connection is at; false if it was closed meanwhile, or ends with the response just written.
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

// endsAfterResponse reports whether connections are closed with their next response. Clients can hold only so many
// connections, too: where many are held, those that send one request and stay would keep the others from connecting,
// long before the table here is full.
func (s *Server) endsAfterResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepAliveOff || len(s.conns) > s.maxKeptConns
}

// DisableKeepAlive has connections closed with their next response. Idle ones stay open: a request may be on its way.
func (s *Server) DisableKeepAlive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
}

// Drain closes idle connections and has the others closed with their next response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAliveOff = true
	for c := range s.conns {
		if c.phase == phaseIdle && c.nothingPending() {
			s.drop(c)
		}
	}
}

// Emptied returns a channel that is closed once no connection is left, or after a time-out.
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

// Close closes the connections whose response is not awaited, waits for the others until the deadline, and closes them
// too.
func (s *Server) Close(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	defer time.AfterFunc(time.Until(deadline), s.wakeWaiters).Stop()
	for len(s.conns) > 0 {
		late := !time.Now().Before(deadline)
		for c := range s.conns {
			if late || c.awaitsRequest() && c.nothingPending() {
				s.drop(c)
			}
		}
		if len(s.conns) > 0 {
			s.changed.Wait()
		}
	}
}

// wakeWaiters has those that wait for a change look at the clock.
func (s *Server) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}
