package faultproxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// throttledWritesPerSecond is how many writes a second the data of a throttled direction is divided into.
	throttledWritesPerSecond = 50
	// maxDelayedChunks bounds the chunks in a delay queue. While the queue is full, the proxy does not read from the
	// sender.
	maxDelayedChunks = 256
)

// corruption replaces the next bytes of a direction.
type corruption struct {
	remaining   int    // bytes still to replace
	replacement []byte // empty: random bytes, each different from the original
}

// apply replaces the first bytes of data in place.
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
	remaining int    // bytes still to arrive
	original  []byte // the bytes to send again that have arrived so far
}

// apply returns the data to send. If data contains the last of the bytes to duplicate, the second copy of these bytes
// is inserted after it. The second copy thus follows the complete first one, however the bytes are divided into reads.
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

// throttle is the rate limit of a direction. It is safe for concurrent use, since the goroutine of a delay queue reads
// the limit, too.
type throttle struct {
	mu             sync.Mutex
	bytesPerSecond int       // 0: no limit
	until          time.Time // zero: the limit does not expire
}

// set sets the limit for a duration; 0: the limit does not expire.
func (t *throttle) set(bytesPerSecond int, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesPerSecond = bytesPerSecond
	t.until = time.Time{}
	if duration > 0 {
		t.until = time.Now().Add(duration)
	}
}

// rate returns the limit in force, in bytes a second; 0: no limit.
func (t *throttle) rate() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.until.IsZero() && !time.Now().Before(t.until) {
		t.bytesPerSecond = 0
	}
	return t.bytesPerSecond
}

// delayQueue holds the bytes of a direction until they are due. Its own goroutine then writes them.
type delayQueue struct {
	stream  *stream
	delay   time.Duration
	chunks  chan delayedChunk
	drained chan struct{} // closed when the goroutine ends
}

// delayedChunk is data with the time to write it.
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

// run writes each chunk when it is due, until the queue is closed. If the connection ends, it discards the remaining
// chunks.
func (q *delayQueue) run() {
	defer close(q.drained)
	writing := true
	for chunk := range q.chunks {
		writing = writing && q.stream.sleep(time.Until(chunk.dueAt)) && q.stream.write(chunk.data)
	}
}

// add queues a copy of data. It returns false if the connection has ended.
func (q *delayQueue) add(data []byte) bool {
	select {
	case q.chunks <- delayedChunk{dueAt: time.Now().Add(q.delay), data: slices.Clone(data)}:
		return true
	case <-q.stream.conn.done:
		q.stream.closeDelays()
		return false
	}
}

// close closes the queue and waits until all chunks are written or the connection has ended. It must be called only
// once.
func (q *delayQueue) close() {
	close(q.chunks)
	<-q.drained
}
