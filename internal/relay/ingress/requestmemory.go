package ingress

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
)

const (
	// connSize estimates the memory of a connection, in bytes: its read buffer, two goroutines, what the runtime keeps
	// for its socket, and a small request.
	connSize = 16<<10 + smallRequestSize
	// smallRequestSize is the memory that a request may take without a reservation of its own, in bytes. Clients with
	// small requests are therefore served even if others use up the memory for large ones.
	smallRequestSize = 8 << 10
	// freeInputSize is the part of a request that is processed at once, in bytes, however many clients send more.
	freeInputSize = 4 << 10
	// memoryWait is how long a request waits for memory before it is refused. A request that takes longer to arrive is
	// refused when another one waits.
	memoryWait = stalledAfter
)

// memoryWaiter is a request that waits for memory.
type memoryWaiter struct {
	conn    *Conn
	bytes   int64
	granted chan struct{} // closed when the memory is reserved
}

// reserve reserves memory for the request that is being read, until the request has its response.
func (c *Conn) reserve(bytes int) bool {
	before := max(0, c.requestSize-smallRequestSize)
	c.requestSize += bytes
	needed := max(0, c.requestSize-smallRequestSize) - before
	return needed == 0 || c.server.reserveForRequest(c, int64(needed))
}

// reserveForRequest reserves memory beyond smallRequestSize. If there is none, it waits for up to memoryWait, and has a
// request refused that is still incomplete after that time.
func (s *Server) reserveForRequest(c *Conn, bytes int64) bool {
	waiter := s.reserveOrWait(c, bytes)
	if waiter == nil {
		return true
	}
	c.stream.PauseThrottle()
	timeout := time.NewTimer(memoryWait)
	defer timeout.Stop()
	select {
	case <-waiter.granted:
		return !s.wasDropped(c)
	case <-c.stream.Abandoned():
	case <-timeout.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.memoryWaiters, waiter)
	if i < 0 {
		return !c.dropped // granted just now
	}
	s.memoryWaiters = slices.Delete(s.memoryWaiters, i, i+1)
	s.grantMemory() // others that need less may have waited behind this one
	return false
}

// wasDropped reports whether c was closed, so that no memory was reserved for it when it waited.
func (s *Server) wasDropped(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.dropped
}

// reserveOrWait reserves memory, or returns a waiter for it.
func (s *Server) reserveOrWait(c *Conn, bytes int64) *memoryWaiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.memoryWaiters) == 0 && s.budget.Reserve(memory.ClientRequests, bytes) {
		c.reserved += bytes
		return nil
	}
	s.refuseStalled(time.Now())
	waiter := &memoryWaiter{c, bytes, make(chan struct{})}
	s.memoryWaiters = append(s.memoryWaiters, waiter)
	return waiter
}

// refuseStalled gives up an incomplete request that holds memory and has taken longer than memoryWait, if there is one.
// The caller holds s.mu.
func (s *Server) refuseStalled(now time.Time) {
	s.refuseOldest(now.Add(-memoryWait), func(c *Conn) bool { return c.reserved > 0 })
}

// refuseOldest gives up the incomplete request that has taken longest, of those that began before a time and are
// eligible. Its reads fail, and its client is asked to submit it again. The caller holds s.mu.
func (s *Server) refuseOldest(before time.Time, eligible func(c *Conn) bool) {
	var oldest *Conn
	for c := range s.conns {
		if c.phase != phaseReading || c.refused || !c.phaseSince.Before(before) || !eligible(c) {
			continue
		}
		if oldest == nil || c.phaseSince.Before(oldest.phaseSince) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.refuse()
	}
}

// refuse makes the reads of the connection fail, and ends its wait for memory. The caller holds the server's mutex.
func (c *Conn) refuse() {
	if !c.refused {
		c.refused = true
		c.stream.Abandon()
	}
}

// wasRefused reports whether the request of c was given up for lack of memory.
func (s *Server) wasRefused(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.refused
}

// releaseRequest releases the memory of the request of c, which nothing refers to any more.
func (s *Server) releaseRequest(c *Conn) {
	c.requestSize = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.reserved == 0 {
		return
	}
	s.budget.Release(memory.ClientRequests, c.reserved)
	c.reserved = 0
	s.grantMemory()
}

// grantMemory reserves memory for the requests that have waited longest, as far as there is enough. The caller holds
// s.mu.
func (s *Server) grantMemory() {
	for len(s.memoryWaiters) > 0 {
		waiter := s.memoryWaiters[0]
		if !waiter.conn.dropped {
			if !s.budget.Reserve(memory.ClientRequests, waiter.bytes) {
				return
			}
			waiter.conn.reserved += waiter.bytes
		}
		s.memoryWaiters = s.memoryWaiters[1:]
		close(waiter.granted)
	}
}

// release releases the memory of a connection that was dropped, at the end of its goroutine.
func (s *Server) release(c *Conn) {
	s.releaseRequest(c)
	s.budget.Release(memory.ClientConnections, connSize)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending--
	s.changed.Broadcast()
}
