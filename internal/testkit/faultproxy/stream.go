package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// readBufferSize is the most that is read from a socket at once, in bytes.
const readBufferSize = 128 << 10

// stream is one direction of a connection. Its goroutine reads bytes, checks which rules they trigger, and writes them
// to the other side.
type stream struct {
	conn       *connection
	direction  Direction
	from, to   *net.TCPConn
	startedAt  time.Time
	generation int64 // of the proxy's rules when triggers was last updated
	triggers   []*trigger
	passed     int64 // bytes processed so far, including bytes that were not forwarded
	random     *rand.Rand

	// The effects of rules that have triggered.
	corruption  corruption
	toDrop      int // number of the next bytes to drop
	duplication duplication
	truncated   bool        // no more bytes are forwarded
	delays      *delayQueue // nil: no delay
	throttle    throttle
}

func newStream(c *connection, direction Direction) *stream {
	return &stream{
		conn:       c,
		direction:  direction,
		from:       c.sides[direction],
		to:         c.sides[1-direction],
		startedAt:  time.Now(),
		generation: -1,
		random:     rand.New(rand.NewPCG(c.proxy.seed, uint64(c.number)<<1|uint64(direction))),
	}
}

// run forwards the bytes of the direction until it ends.
func (s *stream) run() {
	defer s.closeDelays()
	buffer := make([]byte, readBufferSize)
	for {
		n, err := s.from.Read(buffer)
		s.conn.proxy.bytes[s.direction].Add(int64(n))
		if n > 0 && !s.process(buffer[:n]) {
			return
		}
		if err == nil {
			continue
		}
		s.closeDelays() // delayed bytes must arrive before the end
		if errors.Is(err, io.EOF) {
			_ = s.to.CloseWrite() // fails if that side was closed already
		} else {
			s.conn.reset() // a reset of one side resets the other
		}
		return
	}
}

// process forwards data and applies the rules that data triggers. It returns false if the connection has ended.
func (s *stream) process(data []byte) bool {
	for {
		s.refreshTriggers()
		first, offset := s.firstTrigger(data)
		before := data[:min(offset, int64(len(data)))]
		for _, t := range s.triggers {
			if t != first {
				t.advance(before)
			}
		}
		s.passed += int64(len(before))
		if !s.send(before) {
			return false
		}
		if first == nil {
			return true
		}
		first.done = true
		if !s.apply(first.numberedRule) {
			return false
		}
		if data = data[len(before):]; len(data) == 0 {
			return true
		}
	}
}

// refreshTriggers adds triggers for rules that were added and removes those of rules that were removed.
func (s *stream) refreshTriggers() {
	proxy := s.conn.proxy
	generation := proxy.generation.Load()
	if generation == s.generation {
		return
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	s.generation = generation
	var triggers []*trigger
	for _, rule := range proxy.rules {
		known := slices.IndexFunc(s.triggers, func(t *trigger) bool { return t.id == rule.id })
		switch {
		case known >= 0:
			triggers = append(triggers, s.triggers[known])
		case rule.Direction == s.direction && rule.appliesTo(s.conn.number) && rule.Fault != Refuse:
			added := newTrigger(rule)
			if len(rule.Match) == 0 {
				added.remaining = max(0, added.remaining-s.passed)
			}
			triggers = append(triggers, added)
		}
	}
	s.triggers = triggers
}

// firstTrigger returns the rule that triggers first within data, and after how many bytes. If no rule triggers, it
// returns nil and never.
func (s *stream) firstTrigger(data []byte) (first *trigger, offset int64) {
	offset = never
	for _, t := range s.triggers {
		if t.After > 0 && time.Since(s.startedAt) < t.After {
			continue
		}
		if n := t.nextOffset(data); n >= 0 && n < offset {
			first, offset = t, n
		}
	}
	return first, offset
}

// apply applies a rule that triggers. It returns false if the connection has ended. HalfClose does not end the
// connection: the stream still reads bytes, but no longer forwards them.
func (s *stream) apply(rule numberedRule) bool {
	if rule.Fault.endsDirection() {
		s.closeDelays()
		s.conn.applyEnd(rule)
		s.truncated = true
		return rule.Fault == HalfClose
	}
	s.conn.proxy.ruleTriggered(rule.id)
	switch rule.Fault {
	case Delay:
		if s.delays == nil {
			s.delays = newDelayQueue(s)
		}
		s.delays.delay = rule.Duration
	case Throttle:
		s.throttle.set(rule.BytesPerSecond, rule.Duration)
	case Stall:
		return s.stall(rule.Duration)
	case Corrupt:
		s.corruption = corruption{remaining: rule.affectedBytes(), replacement: rule.Replacement}
	case Drop:
		s.toDrop = rule.affectedBytes()
	case Duplicate:
		s.duplication.remaining = rule.affectedBytes()
	case Truncate:
		s.truncated = true
	}
	return true
}

// stall waits for a duration, or until the connection ends if the duration is 0. It returns false if the connection has
// ended.
func (s *stream) stall(duration time.Duration) bool {
	if duration == 0 {
		<-s.conn.done
		return false
	}
	return s.sleep(duration)
}

// sleep waits for a duration. It returns false if the connection ends first.
func (s *stream) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.conn.done:
		return false
	}
}

// send forwards data with the effects in force, and may modify data. It returns false if the connection has ended.
func (s *stream) send(data []byte) bool {
	if s.truncated || len(data) == 0 {
		return true
	}
	s.corruption.apply(data, s.random)
	dropped := min(s.toDrop, len(data))
	s.toDrop -= dropped
	data = s.duplication.apply(data[dropped:])
	if s.delays != nil {
		return s.delays.add(data)
	}
	return s.write(data)
}

// write writes data no faster than the throttle allows. It returns false if the connection has ended.
func (s *stream) write(data []byte) bool {
	for rate := s.throttle.rate(); rate > 0 && len(data) > 0; rate = s.throttle.rate() {
		n := min(len(data), max(1, rate/throttledWritesPerSecond))
		if !s.writeNow(data[:n]) || !s.sleep(time.Duration(n)*time.Second/time.Duration(rate)) {
			return false
		}
		data = data[n:]
	}
	return len(data) == 0 || s.writeNow(data)
}

func (s *stream) writeNow(data []byte) bool {
	if _, err := s.to.Write(data); err != nil {
		s.conn.reset()
		return false
	}
	return true
}

// closeDelays closes the delay queue, if there is one, and waits until all delayed bytes are written or the connection
// has ended.
func (s *stream) closeDelays() {
	if s.delays == nil {
		return
	}
	delays := s.delays
	s.delays = nil
	delays.close()
}
