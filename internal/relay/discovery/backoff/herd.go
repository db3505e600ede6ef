// Package herd decides when one of many clients calls a service that they share, so that they do not jam it when all
// have to call at once. It is pure: no clock, no I/O; random numbers are the caller's.
//
// A service that answers calls in turn and whose callers give up after a while can jam for good: once its queue is as
// long as they wait, all that it answers is given up on, and what comes again keeps the queue as it is. Only a time
// with fewer calls ends that. So the pauses of calls that come again grow with the number of clients, double while
// calls fail up to a bound, and end in turns.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	share = 60 * time.Millisecond // what a client adds to the spread of all that call again
	// period bounds the time from the beginning of a call that failed to the next one: what a service has counts as
	// told six seconds after it could be reached, however the calls before went, and a call takes a while too.
	period = 5 * time.Second
	jitter = 1500 * time.Millisecond // a pause is drawn from the last part of its window: so much, half of it at most
	// graceShare is the part of the grace over which calls spread that may find news which binds at once.
	graceShare = 0.5
	// few is a number of clients that any such service bears at once.
	few = 6

	// Bounds of the pause between the calls of few clients; it stays within their part of the grace, too.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// Backoff is one of the clients. The zero value is the only one.
type Backoff struct {
	Clients int           // all of them, this one too
	Grace   time.Duration // after news could have been heard, so long nothing need heed it

	failed   int  // calls in a row
	answered bool // the last call was
}

// heeded is how long news may wait to be heard, well within the grace.
func (c *Backoff) heeded() time.Duration { return time.Duration(graceShare * float64(c.Grace)) }

// InitialDelay is how long to wait before the first call, where what an earlier one told is still of use. It ends well
// within the grace: what changed while no process ran can be heard from the first moment on. Guards against a restarted
// fleet of which some go on for seconds by a list that has changed.
func (c *Backoff) InitialDelay(rng *rand.Rand) time.Duration {
	if c.Clients <= few {
		return 0
	}
	window := min(time.Duration(c.Clients)*2*share, c.heeded())
	return time.Duration(rng.Float64() * float64(window))
}

// Failed is how long to wait before the next call, after one that took so long and failed or was turned away, or whose
// answer has ended. In the last case the service was there a moment ago and may have news: the next call comes as a
// first one does.
//
// The windows of many grow to the period and no further, so it is not by calling seldom that they leave a slow service
// room, but by calling in turns: those that were turned away together come again together, within the jitter, and until
// then the service works off what it has. Drawn from all of the window, the pauses of 300 would spread evenly over it
// and keep a queue full for good.
func (c *Backoff) Failed(rng *rand.Rand, took time.Duration) time.Duration {
	k := min(c.failed, 10)
	c.failed++
	switch ended := c.answered; {
	case c.Clients <= few:
		most := pauseMost
		if c.Grace > 0 {
			most = min(most, c.heeded())
		}
		return min(most, pauseFirst<<k)
	case ended:
		c.failed, c.answered = 0, false
		return pauseFirst + c.InitialDelay(rng)
	}
	window := min(period, (time.Duration(c.Clients)*share)<<k)
	least := max(window/2, window-jitter)
	window, least = max(0, window-took), max(0, least-took)
	return pauseFirst + least + time.Duration(rng.Float64()*float64(window-least))
}

// Succeeded notes a call that was answered.
func (c *Backoff) Succeeded() { c.failed, c.answered = 0, true }
