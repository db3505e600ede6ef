package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// mutantEngine is the engine of a mutant: it wraps a correct engine, and changes its events and actions.
type mutantEngine struct {
	DecisionEngine
	mutant    *Mutant
	stepAfter func(delay time.Duration) // schedules a step
	delayed   []delayedEvent
	events    []policy.Event  // buffer
	actions   []policy.Action // buffer
}

type delayedEvent struct {
	due   time.Duration
	event policy.Event
}

// Step passes the changed events to the engine, after the delayed events that are due, and returns the allowed
// actions.
func (m *mutantEngine) Step(now time.Duration, events []policy.Event) []policy.Action {
	m.events = m.events[:0]
	m.delayed = slices.DeleteFunc(m.delayed, func(d delayedEvent) bool {
		if d.due <= now {
			m.events = append(m.events, d.event)
		}
		return d.due <= now
	})
	for _, e := range events {
		m.changeEvent(now, e)
	}
	actions := m.DecisionEngine.Step(now, m.events)
	if m.mutant.AllowsAction == nil {
		return actions
	}
	m.actions = m.actions[:0]
	for _, a := range actions {
		if m.mutant.AllowsAction(&a) {
			m.actions = append(m.actions, a)
		}
	}
	return m.actions
}

// changeEvent applies the mutant to an event, and then passes the event on, delays it or drops it.
func (m *mutantEngine) changeEvent(now time.Duration, e policy.Event) {
	if m.mutant.ChangeEvent == nil {
		m.events = append(m.events, e)
		return
	}
	e.Endpoints = slices.Clone(e.Endpoints) // other relays share the slice
	switch delay := m.mutant.ChangeEvent(&e); {
	case delay == 0:
		m.events = append(m.events, e)
	case delay > 0:
		m.delayed = append(m.delayed, delayedEvent{due: now + delay, event: e})
		m.stepAfter(delay)
	}
}

// Views returns the views of the wrapped engine; nil if it does not provide them.
func (m *mutantEngine) Views() ([]policy.EndpointView, int) {
	if v, ok := m.DecisionEngine.(viewer); ok {
		return v.Views()
	}
	return nil, 0
}

// Evictable reports whether the wrapped engine allows the eviction of a destination.
func (m *mutantEngine) Evictable(destination policy.DestinationID) bool {
	e, ok := m.DecisionEngine.(evicter)
	return ok && e.Evictable(destination)
}
