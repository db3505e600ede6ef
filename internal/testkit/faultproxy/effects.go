package faultproxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// throttledWritesPerSecond is into how many writes a second a throttled direction is divided.
	throttledWritesPerSecond = 50
	// maxDelayedChunks bounds the chunks in a delayed direction. When it is reached, the sender waits.
	maxDelayedChunks = 256
)

// corruption replaces the next bytes of a direction.
type corruption struct {
	remaining   int
	replacement []byte // empty: random bytes, each different from the original
}

// apply replaces bytes in place.
func (c *corruption) apply(data []byte, random *rand.Rand) {
	n := min(c.remaining, len(data))
	for i := range n {
		if len(c.replacement) > 0 {
			data[i] = c.replacement[len(c.replacement)-c.remaining+i]
		} else {
			data[i] ^= byte(1 + random.IntN(255))
		}
	}
	c.remaining -= n
}

// duplication sends the next bytes of a direction a second time.
type duplication struct {
	remaining int
	original  []byte // the bytes to send again, as far as they have come
}

// apply returns data with the second copy in it, if the last of the bytes to duplicate has come: all of them pass once
// before the first of them passes again, however they are divided into reads.
func (d *duplication) apply(data []byte) []byte {
	n := min(d.remaining, len(data))
	if n == 0 {
		return data
	}
	d.original = append(d.original, data[:n]...)
	d.remaining -= n
	if d.remaining > 0 {
		return data
	}
	data = slices.Concat(data[:n], d.original, data[n:])
	d.original = nil
	return data
}

// throttle is the rate limit of a direction. It is safe for concurrent use: a delay queue reads it, too.
type throttle struct {
	mu             sync.Mutex
	bytesPerSecond int
	until          time.Time // zero: without end
}

// set sets the limit, for a time or, if that is 0, without end.
func (t *throttle) set(bytesPerSecond int, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesPerSecond = bytesPerSecond
	t.until = time.Time{}
	if duration > 0 {
		t.until = time.Now().Add(duration)
	}
}

// rate returns the limit in force, in bytes a second; 0: none.
func (t *throttle) rate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.until.IsZero() && !time.Now().Before(t.until) {
		t.bytesPerSecond = 0
	}
	return t.bytesPerSecond
}

// delayQueue holds the bytes of a direction until they are due. Its goroutine writes them.
type delayQueue struct {
	stream  *stream
	delay   time.Duration
	chunks  chan delayedChunk
	drained chan struct{} // closed when the goroutine ends
}

type delayedChunk struct {
	dueAt time.Time
	data  []byte
}

func newDelayQueue(s *stream) *delayQueue {
	q := &delayQueue{
		stream:  s,
		chunks:  make(chan delayedChunk, maxDelayedChunks),
		drained: make(chan struct{}),
	}
	s.conn.proxy.goroutines.Go(q.run)
	return q
}

// run writes each chunk when it is due, until the queue is closed.
func (q *delayQueue) run() {
	defer close(q.drained)
	writing := true
	for chunk := range q.chunks {
		writing = writing && q.stream.sleep(time.Until(chunk.dueAt)) && q.stream.write(chunk.data)
	}
}

// add queues a copy of data. It reports whether the connection has not ended.
func (q *delayQueue) add(data []byte) bool {
	select {
	case q.chunks <- delayedChunk{dueAt: time.Now().Add(q.delay), data: slices.Clone(data)}:
		return true
	case <-q.stream.conn.done:
		q.stream.closeDelays()
		return false
	}
}

// close waits until all chunks are written, or the connection has ended. It is called once.
func (q *delayQueue) close() {
	close(q.chunks)
	<-q.drained
}
