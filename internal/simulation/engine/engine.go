// Package engine is a discrete-event scheduler: a virtual clock and the events that are scheduled on it. Events run in
// a total order: by time, and events of the same time in the order in which they were scheduled. A run is therefore
// reproducible on any machine. An Engine is not safe for concurrent use.
package engine

import (
	"errors"
	"fmt"
	"time"
)

// ErrTooManyEvents means that a run reached its limit on events before its end time.
var ErrTooManyEvents = errors.New("simulation engine: more events than the run may have")

// Engine holds a virtual clock and the events scheduled on it. The zero value is ready for use, at time 0.
type Engine struct {
	now          time.Duration
	lastSequence uint64
	eventCount   uint64
	maxEvents    uint64 // 0: no limit
	pending      eventHeap
}

// Now returns the virtual time.
func (e *Engine) Now() time.Duration { return e.now }

// EventCount returns how many events have run. The event that exceeds the limit of SetMaxEvents counts too, though it
// does not run.
func (e *Engine) EventCount() uint64 { return e.eventCount }

// PendingCount returns how many scheduled events have not run yet.
func (e *Engine) PendingCount() int { return len(e.pending) }

// SetMaxEvents limits the number of events that the engine runs in all: Run returns ErrTooManyEvents instead of
// running one more. 0 removes the limit. The limit guards against events that schedule each other endlessly while
// virtual time does not advance.
func (e *Engine) SetMaxEvents(maxEvents uint64) { e.maxEvents = maxEvents }

// Schedule schedules an event at a virtual time. An event in the past runs at the present time, after all events that
// are already scheduled for the present time.
func (e *Engine) Schedule(at time.Duration, run func()) {
	e.lastSequence++
	e.pending.push(event{at: max(at, e.now), sequence: e.lastSequence, run: run})
}

// ScheduleAfter schedules an event after a delay from the present virtual time.
func (e *Engine) ScheduleAfter(delay time.Duration, run func()) { e.Schedule(e.now+delay, run) }

// Run runs all events up to and including a virtual time, and advances the clock to that time.
func (e *Engine) Run(until time.Duration) error {
	for len(e.pending) > 0 && e.pending[0].at <= until {
		e.eventCount++
		if e.maxEvents > 0 && e.eventCount > e.maxEvents {
			return fmt.Errorf("%w: %d, at %v", ErrTooManyEvents, e.maxEvents, e.now)
		}
		next := e.pending.pop()
		e.now = next.at
		next.run()
	}
	e.now = max(e.now, until)
	return nil
}
