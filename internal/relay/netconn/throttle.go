package netconn

import "runtime"

// Throttle bounds how many connections at a time process what they have received, beyond a part that each may process
// freely. Connections that send much then cannot keep the goroutines of all others from running.
type Throttle struct {
	slots     chan struct{}
	freeBytes int
}

// NewThrottle returns a Throttle that lets so many connections process their input at a time, beyond the first
// freeBytes bytes of each message.
func NewThrottle(connections, freeBytes int) *Throttle {
	return &Throttle{slots: make(chan struct{}, connections), freeBytes: freeBytes}
}

// BeginThrottle applies a throttle to what is read from now on, until EndThrottle. It may be nil: the reads are free.
func (c *Conn) BeginThrottle(t *Throttle) {
	c.EndThrottle()
	c.throttle = t
	c.throttled = 0
}

// EndThrottle ends the effect of BeginThrottle.
func (c *Conn) EndThrottle() {
	c.PauseThrottle()
	c.throttle = nil
}

// PauseThrottle lets another connection process its input. It must be called before the goroutine of the connection
// waits for anything but the connection's input.
func (c *Conn) PauseThrottle() {
	if c.holdsSlot {
		<-c.throttle.slots
		c.holdsSlot = false
	}
}

// resumeThrottle waits until the connection may process n more bytes. It returns false if Abandon was called before.
func (c *Conn) resumeThrottle(n int) bool {
	if c.throttle == nil {
		return true
	}
	c.throttled += n
	if c.throttled <= c.throttle.freeBytes {
		return true
	}
	select {
	case c.throttle.slots <- struct{}{}:
		c.holdsSlot = true
		runtime.Gosched() // the scheduler prefers a goroutine that was just woken; others must run first
		return true
	case <-c.abandoned:
		return false
	}
}

// Abandon makes the reads of the connection fail with os.ErrDeadlineExceeded from now on, also one that waits for its
// turn. It must be called at most once, and may be called while another goroutine reads.
func (c *Conn) Abandon() {
	close(c.abandoned)
	c.ExpireReadsAt(Past)
}

// Abandoned returns a channel that is closed by Abandon.
func (c *Conn) Abandoned() <-chan struct{} { return c.abandoned }
