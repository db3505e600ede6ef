// Package herd decides when one of many clients calls a service that they share, so that they do not jam it when all have
// to call at once. It is pure: no clock, no I/O; random numbers are the caller's.
//
// A service that answers calls in turn and whose callers give up after a while can jam for good: once its queue is as long as
// they wait, all that it answers is given up on, and what comes again keeps the queue as it is. Only fewer calls end that.
// So the time over which calls spread grows with the number of clients, from the first call on, and doubles while calls
// fail.
package herd

import (
	"math/rand/v2"
	"time"
)

const (
	share      = 60 * time.Millisecond // what a client adds to the spread of all
	spreadMost = 10 * time.Second      // of repeated calls: services bear one call of each in less
	// firstMost bounds the spread of first calls: what a service tells may count as told some seconds after it changed, whether
	// a client has called by then or not.
	firstMost = 5 * time.Second
	// few is a number of clients that any such service bears at once.
	few = 6

	// Bounds of the pause between the calls of few clients.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = time.Second
)

// Caller is one of the clients. The zero value is the only one.
type Caller struct {
	Clients int // all of them, this one too

	failed int // calls in a row
}

// First is how long to wait before the first call, where what an earlier one told is still of use.
func (c *Caller) First(rng *rand.Rand) time.Duration {
	if c.Clients <= few {
		return 0
	}
	window := min(firstMost, time.Duration(c.Clients)*2*share)
	return time.Duration(rng.Float64() * float64(window))
}

// Failed is how long to wait before the next call, after one that failed or was turned away.
func (c *Caller) Failed(rng *rand.Rand) time.Duration {
	k := min(c.failed, 10)
	c.failed++
	if c.Clients <= few {
		return min(pauseMost, pauseFirst<<k)
	}
	n := time.Duration(c.Clients)
	window := min(spreadMost, (n*share)<<k)
	return pauseFirst + time.Duration(rng.Float64()*float64(window))
}

// Answered notes a call that was answered.
func (c *Caller) Answered() { c.failed = 0 }
