// Package backoff decides when one of many clients calls a service that they share, so that they do not jam it when all
// of them have to call at once. It is pure: it has no clock and no I/O, and random numbers are the caller's.
//
// A service that answers calls in turn, and whose callers give up after a while, can jam for good: once its queue is as
// long as callers wait, everything that it answers has been given up on, and the retries keep the queue as it is. Only
// a time with fewer calls ends that. So the delay of retries grows with the number of clients, doubles while calls fail
// up to a bound, and has retries arrive in turns.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// spreadPerClient is what each client adds to the window over which retries spread.
	spreadPerClient = 60 * time.Millisecond
	// maxInterval bounds the time from the beginning of a call that failed to the next one. What a service has counts
	// as delivered six seconds after the service could be reached, however the calls before went, and a call takes a
	// while, too.
	maxInterval = 5 * time.Second
	// maxJitter bounds the last part of its window that a delay is drawn from. The part is half of the window at most.
	maxJitter = 1500 * time.Millisecond
	// graceRatio is the part of the grace over which calls spread that may find news which binds at once.
	graceRatio = 0.5
	// smallGroupSize is a number of clients that any such service bears at once.
	smallGroupSize = 6

	// Bounds of the delay between the calls of a small group. It stays within the group's part of the grace, too.
	minDelay = 50 * time.Millisecond
	maxDelay = time.Second
	// maxDoublings bounds the doublings of a delay: it is far beyond the upper bound by then.
	maxDoublings = 10
)

// Backoff paces the calls of one client. The zero value paces the only client of a service.
type Backoff struct {
	Clients int           // all clients of the service, this one included
	Grace   time.Duration // how long after news could have been read it need not be followed

	failures  int  // calls that failed in a row
	succeeded bool // the last call did
}

// graceWindow is how long news may wait to be read: well within the grace.
func (b *Backoff) graceWindow() time.Duration { return time.Duration(graceRatio * float64(b.Grace)) }

// InitialDelay returns how long to wait before the first call of a client that has something from an earlier process to
// go by. The wait ends well within the grace: what changed while no process ran could be read from the first moment on.
// It keeps a restarted fleet from going on for seconds with a list that has changed.
func (b *Backoff) InitialDelay(rng *rand.Rand) time.Duration {
	if b.Clients <= smallGroupSize {
		return 0
	}
	window := min(time.Duration(b.Clients)*2*spreadPerClient, b.graceWindow())
	return time.Duration(rng.Float64() * float64(window))
}

// Failed notes a call that took so long and failed or was rejected, or whose response has ended, and returns how long
// to wait before the next one. In the last case the service was there a moment ago and may have news: the next call
// comes as a first one does.
//
// The windows of many clients grow to maxInterval and no further, so it is not by calling seldom that they leave a slow
// service capacity, but by calling in turns: clients that were rejected together retry together, within the jitter, and
// until then the service works off its queue. Drawn from all of the window, the delays of 300 clients would spread
// evenly over it and keep a queue full for good.
func (b *Backoff) Failed(rng *rand.Rand, took time.Duration) time.Duration {
	doublings := min(b.failures, maxDoublings)
	b.failures++
	if b.Clients <= smallGroupSize {
		return b.smallGroupDelay(doublings)
	}
	if b.succeeded {
		b.failures = 0
		b.succeeded = false
		return minDelay + b.InitialDelay(rng)
	}
	window := min(maxInterval, (time.Duration(b.Clients)*spreadPerClient)<<doublings)
	earliest := max(window/2, window-maxJitter)
	window = max(0, window-took)
	earliest = max(0, earliest-took)
	return minDelay + earliest + time.Duration(rng.Float64()*float64(window-earliest))
}

// smallGroupDelay is the delay between the calls of few clients, which need no spread.
func (b *Backoff) smallGroupDelay(doublings int) time.Duration {
	upperBound := maxDelay
	if b.Grace > 0 {
		upperBound = min(upperBound, b.graceWindow())
	}
	return min(upperBound, minDelay<<doublings)
}

// Succeeded notes a call that was answered.
func (b *Backoff) Succeeded() {
	b.failures = 0
	b.succeeded = true
}
