package ingress

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
)

const (
	// newConnGrace is how long a new connection may stay silent before it is the first to be closed to make room.
	newConnGrace = 100 * time.Millisecond
	// stalledAfter is how long a request may be incomplete before its connection is closed rather than an idle one.
	stalledAfter = 250 * time.Millisecond
	// refuseAfter is how long a request may be incomplete before it is refused because all connections are in use.
	refuseAfter = 50 * time.Millisecond
	// surplusIdleTime is how long a connection may stay idle while more than maxKeptConns are open.
	surplusIdleTime = 2 * time.Second
	// evictionRetryInterval is the time after which connections that could not be closed are examined again.
	evictionRetryInterval = 10 * time.Millisecond
	// maxSparedConns bounds how many connections are spared in one search because bytes have just arrived on them.
	maxSparedConns = 8
)

// makeRoom waits until another connection may be added, and closes one if necessary. With forced set, it closes one
// even below the limit, unless responses are awaited on all connections. pressed reports that there was no room.
func (s *Server) makeRoom(forced bool) (pressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for forced || len(s.conns) >= s.maxConns {
		pressed = true
		if !s.evict(now) && !forced {
			s.refuseForRoom(now)
			s.wait()
		}
		forced = false
		now = time.Now()
	}
	s.closeSurplus(now)
	return pressed
}

// reserveConn waits until the memory of another connection is reserved, and closes connections if necessary. pressed
// reports that there was not enough memory.
func (s *Server) reserveConn() (pressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.budget.Reserve(memory.ClientConnections, connSize) {
		pressed = true
		if s.ending > 0 {
			s.wait()
		} else if !s.evict(time.Now()) {
			s.refuseForRoom(time.Now())
			s.wait()
		}
	}
	return pressed
}

// wait waits for a change of the connections. The caller holds s.mu.
func (s *Server) wait() {
	defer time.AfterFunc(evictionRetryInterval, s.wakeWaiters).Stop()
	s.changed.Wait()
}

// refuseForRoom gives up a request that is incomplete after refuseAfter, on a connection without an answered request.
// The caller holds s.mu.
func (s *Server) refuseForRoom(now time.Time) {
	s.refuseOldest(now.Add(-refuseAfter), func(c *Conn) bool { return !c.answered })
}

// closeSurplus closes connections that have been idle for surplusIdleTime if more than maxKeptConns are kept. Clients
// that send one request and keep their connections open must not use up the limit. Clients that send many requests are
// seldom affected, because their connections are in use.
func (s *Server) closeSurplus(now time.Time) {
	if len(s.conns) <= s.maxKeptConns || s.answeredConns() <= s.maxKeptConns {
		return
	}
	for c := range s.conns {
		if c.phase == phaseIdle && now.Sub(c.phaseSince) > surplusIdleTime && c.nothingPending() {
			s.drop(c, CloseEvictedIdle)
		}
	}
}

// answeredConns returns the number of connections on which a request was answered. Other connections cannot be kept by
// clients that send complete requests, and are closed in time.
func (s *Server) answeredConns() int {
	n := 0
	for c := range s.conns {
		if c.answered || c.phase == phaseIdle {
			n++
		}
	}
	return n
}

// crowded reports whether c, on which a request is being answered, exceeds the connections that are kept.
func (s *Server) crowded(c *Conn) bool {
	if len(s.conns) <= s.maxKeptConns {
		return false
	}
	kept := s.answeredConns()
	if !c.answered {
		kept++
	}
	return kept > s.maxKeptConns
}

// evictionRank orders connections by how much is lost when they are closed. The lowest rank is closed first.
type evictionRank int

const (
	rankSilent     evictionRank = iota + 1 // no request has begun within newConnGrace
	rankStalled                            // a request has been incomplete for stalledAfter, or was rejected
	rankUnused                             // idle for surplusIdleTime
	rankIncomplete                         // a first request was read in part
	rankNew                                // no request has begun yet
	rankIdle                               // idle for a short time
	rankServed                             // a request was read in part, after others that were answered
	rankHandling                           // a response is awaited; never closed
)

func (c *Conn) evictionRank(now time.Time) evictionRank {
	age := now.Sub(c.phaseSince)
	switch c.phase {
	case phaseNew:
		if age > newConnGrace {
			return rankSilent
		}
		return rankNew
	case phaseIdle:
		if age > surplusIdleTime {
			return rankUnused
		}
		return rankIdle
	case phaseLingering:
		return rankStalled
	case phaseReading:
		switch {
		case age > stalledAfter:
			return rankStalled
		case c.answered:
			return rankServed
		}
		return rankIncomplete
	}
	return rankHandling
}

// evictionReason returns the reason that the observer gets if the connection is closed to make room.
func (c *Conn) evictionReason() CloseReason {
	switch c.phase {
	case phaseNew:
		return CloseEvictedSilent
	case phaseIdle:
		return CloseEvictedIdle
	}
	return CloseEvictedPartial
}

// evict closes the connection with the lowest rank, and of those the one that has been longest in its phase. It spares
// connections on which bytes have just arrived: these may complete a request, and the client would lose it. They are
// not spared at the expense of a client that is served. It returns false if it closed none. The caller holds s.mu.
func (s *Server) evict(now time.Time) bool {
	spared := map[*Conn]bool{}
	for len(spared) < maxSparedConns {
		c := s.evictionCandidate(now, spared)
		if c == nil || len(spared) > 0 && c.evictionRank(now) >= rankIdle {
			return false
		}
		if c.phase == phaseLingering || c.nothingPending() {
			s.drop(c, c.evictionReason())
			return true
		}
		spared[c] = true
	}
	// Clients that never stop sending are not spared for ever.
	c := s.evictionCandidate(now, nil)
	if c.evictionRank(now) != rankStalled {
		return false
	}
	s.drop(c, CloseEvictedPartial)
	return true
}

// evictionCandidate returns the connection to close when room is needed, except spared ones, or nil.
func (s *Server) evictionCandidate(now time.Time, spared map[*Conn]bool) *Conn {
	var candidate *Conn
	lowest := rankHandling
	for c := range s.conns {
		rank := c.evictionRank(now)
		if rank == rankHandling || rank > lowest || spared[c] {
			continue
		}
		if rank < lowest || c.phaseSince.Before(candidate.phaseSince) {
			candidate = c
			lowest = rank
		}
	}
	return candidate
}
