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

// ErrEndless tells that a run had as many events as it may have, and time had not passed.
var ErrEndless = errors.New("des: more events than the run may have")

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Engine is a virtual clock with its events. The zero value is at time 0.
type Engine struct {
	now  time.Duration
	seq  uint64
	ran  uint64
	most uint64
	heap []event // four children to a node: fewer cache lines than two
}

// Now is the virtual time.
func (e *Engine) Now() time.Duration { return e.now }

// Ran is how many events have run.
func (e *Engine) Ran() uint64 { return e.ran }

// Planned is how many events are still to run.
func (e *Engine) Planned() int { return len(e.heap) }

// Bound has Run end with ErrEndless after so many events in all; 0: none. Guards against a plan that never ends.
func (e *Engine) Bound(most uint64) { e.most = most }

// At plans an event. One in the past runs now, behind all that is planned for now.
func (e *Engine) At(at time.Duration, do func()) {
	e.seq++
	e.heap = append(e.heap, event{max(at, e.now), e.seq, do})
	i := len(e.heap) - 1
	x := e.heap[i]
	for i > 0 {
		up := (i - 1) / 4
		if !x.before(&e.heap[up]) {
			break
		}
		e.heap[i] = e.heap[up]
		i = up
	}
	e.heap[i] = x
}

// After plans an event so long from now.
func (e *Engine) After(d time.Duration, do func()) { e.At(e.now+d, do) }

// Run runs all that is planned up to a time, that time included, and lets it be that time.
func (e *Engine) Run(until time.Duration) error {
	for len(e.heap) > 0 && e.heap[0].at <= until {
		if e.ran++; e.most > 0 && e.ran > e.most {
			return fmt.Errorf("%w: %d, at %v", ErrEndless, e.most, e.now)
		}
		x := e.pop()
		e.now = x.at
		x.do()
	}
	e.now = max(e.now, until)
	return nil
}

func (e *Engine) pop() event {
	first := e.heap[0]
	n := len(e.heap) - 1
	x := e.heap[n]
	e.heap[n] = event{}
	e.heap = e.heap[:n]
	i := 0
	for {
		least := 4*i + 1
		if least >= n {
			break
		}
		for c := least + 1; c < min(4*i+5, n); c++ {
			if e.heap[c].before(&e.heap[least]) {
				least = c
			}
		}
		if !e.heap[least].before(&x) {
			break
		}
		e.heap[i] = e.heap[least]
		i = least
	}
	if n > 0 {
		e.heap[i] = x
	}
	return first
}

// Stream is the random stream of a component. Each name and number has one of its own, so that a component more or a
// draw more in one leaves all others as they were.
func Stream(seed uint64, component string, n int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", seed, component, n))))
}
