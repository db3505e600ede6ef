// Package herd decides when one of many clients calls a service that they share, so that they do not jam it when all have
// to call at once. It is pure: no clock, no I/O; random numbers are the caller's.
//
// A service that answers calls in turn and whose callers give up after a while can jam for good: once its queue is as long as
// they wait, all that it answers is given up on, and what comes again keeps the queue as it is. Only fewer calls end that.
// So the time over which calls that come again spread grows with the number of clients, and doubles while calls fail.
package herd

import (
	"math/rand/v2"
	"time"
)

const (
	share = 60 * time.Millisecond // what a client adds to the spread of all that call again
	// soonMost bounds that of the first call after one that failed: what a service tells may count as told some seconds after it
	// changed (six, and a grace), whether a client has called by then or not.
	soonMost   = 5 * time.Second
	spreadMost = 10 * time.Second // of further ones: services bear one call of each in less
	// graceShare is the part of the grace over which calls spread that may find news which binds at once.
	graceShare = 0.5
	// few is a number of clients that any such service bears at once.
	few = 6

	// Bounds of the pause between the calls of few clients; it stays within their part of the grace, too.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// Caller is one of the clients. The zero value is the only one.
type Caller struct {
	Clients int           // all of them, this one too
	Grace   time.Duration // after news could have been heard, so long nothing need heed it

	failed   int  // calls in a row
	answered bool // the last call was
}

// heeded is how long news may wait to be heard, well within the grace.
func (c *Caller) heeded() time.Duration { return time.Duration(graceShare * float64(c.Grace)) }

// First is how long to wait before the first call, where what an earlier one told is still of use. It ends well within the grace:
// what changed while no process ran can be heard from the first moment on. Guards against a restarted fleet of which
// some go on for seconds by a list that has changed.
func (c *Caller) First(rng *rand.Rand) time.Duration {
	if c.Clients <= few {
		return 0
	}
	window := min(time.Duration(c.Clients)*2*share, c.heeded())
	return time.Duration(rng.Float64() * float64(window))
}

// Failed is how long to wait before the next call, after one that failed or was turned away, or whose answer has ended. In the
// last case the service was there a moment ago and may have news: the next call comes as a first one does.
func (c *Caller) Failed(rng *rand.Rand) time.Duration {
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
		return pauseFirst + c.First(rng)
	}
	window := min(spreadMost, (time.Duration(c.Clients)*share)<<k)
	if k == 0 {
		window = min(soonMost, window)
	}
	return pauseFirst + time.Duration(rng.Float64()*float64(window))
}

// Answered notes a call that was answered.
func (c *Caller) Answered() { c.failed, c.answered = 0, true }
