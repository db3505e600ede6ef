// Package backoff decides when one of many clients calls a service that they share, so that the clients do not overload
// the service when all of them have to call at the same time. It is pure: it has no clock and does no I/O, and the
// caller provides the random numbers.
//
// A service that answers calls in the order of their arrival, and whose callers give up after a timeout, can stay
// overloaded forever. Once a call waits in the queue for longer than the timeout, its caller has given up before the
// answer comes, and the retries keep the queue as long as it is. Only a period with fewer calls ends the overload. The
// delay of a retry therefore grows with the number of clients and doubles, up to a limit, while calls fail. Retries
// arrive in groups, with pauses in which the service can clear its queue.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// spreadPerClient is how much each client adds to the window over which calls are spread.
	spreadPerClient = 60 * time.Millisecond
	// maxInterval bounds the time from the start of a failed call to the start of the next one. A change that the
	// service has counts as delivered six seconds after the service could be reached, however earlier calls ended. The
	// difference is left for the call that reads the change.
	maxInterval = 5 * time.Second
	// maxJitter bounds the random part of a delay. A delay is drawn from the end of its window: from the last
	// maxJitter, or from the second half if that is shorter.
	maxJitter = 1500 * time.Millisecond
	// graceRatio is the fraction of Backoff.Grace over which calls are spread that may read a change whose grace has
	// begun.
	graceRatio = 0.5
	// smallGroupSize is a number of clients that any such service can serve at once. The calls of a group up to this
	// size need not be spread.
	smallGroupSize = 6

	// Bounds of the delay between the calls of a small group. The delay does not exceed graceWindow, either.
	minDelay = 50 * time.Millisecond
	maxDelay = time.Second
	// maxDoublings bounds how often a delay is doubled. By then the delay is far beyond its upper bound.
	maxDoublings = 10
)

// Backoff computes the delays between the calls of one client. The zero value suits a service with a single client.
type Backoff struct {
	Clients int           // number of clients of the service, including this one
	Grace   time.Duration // how long after a change can be read a client may still act on the state before the change

	failures  int  // number of consecutive failed calls
	succeeded bool // the last call was answered
}

// graceWindow returns how long a change may wait until it is read: well within the grace.
func (b *Backoff) graceWindow() time.Duration { return time.Duration(graceRatio * float64(b.Grace)) }

// InitialDelay returns the delay before the first call of a client that starts with data from an earlier process. A
// change that was made while no process ran can be read from the start, so the delay ends well within the grace. With a
// longer delay, a restarted fleet would use an outdated list for seconds.
func (b *Backoff) InitialDelay(rng *rand.Rand) time.Duration {
	if b.Clients <= smallGroupSize {
		return 0
	}
	window := min(time.Duration(b.Clients)*2*spreadPerClient, b.graceWindow())
	return time.Duration(rng.Float64() * float64(window))
}

// Failed records that a call failed or was rejected, or that its response has ended, and returns the delay before the
// next call. took is how long the call took. If a response has ended, the service could be reached a moment ago and may
// have a change, so the next call comes as soon as a client's first call.
//
// With many clients the window reaches maxInterval and grows no further, so a slow service is not relieved by rare
// calls. It is relieved because calls come in groups: clients that were rejected together retry together, within
// maxJitter, and the service clears its queue in the meantime. If the delays of 300 clients were drawn from the whole
// window, their calls would spread evenly over it and keep the queue full forever.
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

// smallGroupDelay returns the delay between the calls of a small group, whose calls need not be spread.
func (b *Backoff) smallGroupDelay(doublings int) time.Duration {
	upperBound := maxDelay
	if b.Grace > 0 {
		upperBound = min(upperBound, b.graceWindow())
	}
	return min(upperBound, minDelay<<doublings)
}

// Succeeded records that a call was answered.
func (b *Backoff) Succeeded() {
	b.failures = 0
	b.succeeded = true
}
