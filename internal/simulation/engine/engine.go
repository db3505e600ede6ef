// Package des is a discrete-event engine: a virtual clock and what is planned on it. Events run in a total order: by
// their times, and those of one time in the order in which they were planned. The same events therefore run in the same
// order whatever machine or goroutine the engine is on. An Engine is for one goroutine.
package engine

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// ErrTooManyEvents tells that a run had as many events as it may have, and time had not passed.
var ErrTooManyEvents = errors.New("des: more events than the run may have")

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.sequence < o.sequence }

// Engine is a virtual clock with its events. The zero value is at time 0.
type Engine struct {
	now          time.Duration
	lastSequence uint64
	eventCount   uint64
	maxEvents    uint64
	pending      []event // four children to a node: fewer cache lines than two
}

// Now is the virtual time.
func (e *Engine) Now() time.Duration { return e.now }

// EventCount is how many events have run.
func (e *Engine) EventCount() uint64 { return e.eventCount }

// PendingCount is how many events are still to run.
func (e *Engine) PendingCount() int { return len(e.pending) }

// SetMaxEvents has Run end with ErrTooManyEvents after so many events in all; 0: none. Guards against a plan that never
// ends.
func (e *Engine) SetMaxEvents(maxEvents uint64) { e.maxEvents = maxEvents }

// Schedule plans an event. One in the past runs now, behind all that is planned for now.
func (e *Engine) Schedule(at time.Duration, run func()) {
	e.lastSequence++
	e.pending = append(e.pending, event{max(at, e.now), e.lastSequence, run})
	i := len(e.pending) - 1
	x := e.pending[i]
	for i > 0 {
		up := (i - 1) / 4
		if !x.before(&e.pending[up]) {
			break
		}
		e.pending[i] = e.pending[up]
		i = up
	}
	e.pending[i] = x
}

// ScheduleAfter plans an event so long from now.
func (e *Engine) ScheduleAfter(d time.Duration, run func()) { e.Schedule(e.now+d, run) }

// Run runs all that is planned up to a time, that time included, and lets it be that time.
func (e *Engine) Run(until time.Duration) error {
	for len(e.pending) > 0 && e.pending[0].at <= until {
		if e.eventCount++; e.maxEvents > 0 && e.eventCount > e.maxEvents {
			return fmt.Errorf("%w: %d, at %v", ErrTooManyEvents, e.maxEvents, e.now)
		}
		x := e.pop()
		e.now = x.at
		x.run()
	}
	e.now = max(e.now, until)
	return nil
}

func (e *Engine) pop() event {
	first := e.pending[0]
	n := len(e.pending) - 1
	x := e.pending[n]
	e.pending[n] = event{}
	e.pending = e.pending[:n]
	i := 0
	for {
		least := 4*i + 1
		if least >= n {
			break
		}
		for c := least + 1; c < min(4*i+5, n); c++ {
			if e.pending[c].before(&e.pending[least]) {
				least = c
			}
		}
		if !e.pending[least].before(&x) {
			break
		}
		e.pending[i] = e.pending[least]
		i = least
	}
	if n > 0 {
		e.pending[i] = x
	}
	return first
}

// NewRandom is the random stream of a component. Each name and number has one of its own, so that a component more or a
// draw more in one leaves all others as they were.
func NewRandom(seed uint64, component string, n int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", seed, component, n))))
}
