package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// mutantEngine is the engine of a mutant: a correct one, whose events and actions the mutant changes.
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

// Step gives the engine the changed events, after those whose delay has passed, and returns the allowed actions.
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

// changeEvent has the engine get an event as the mutant changes it.
func (m *mutantEngine) changeEvent(now time.Duration, e policy.Event) {
	if m.mutant.ChangeEvent == nil {
		m.events = append(m.events, e)
		return
	}
	e.Endpoints = slices.Clone(e.Endpoints) // other relays share them
	switch delay := m.mutant.ChangeEvent(&e); {
	case delay == 0:
		m.events = append(m.events, e)
	case delay > 0:
		m.delayed = append(m.delayed, delayedEvent{due: now + delay, event: e})
		m.stepAfter(delay)
	}
}

// Views returns the views of the engine.
func (m *mutantEngine) Views() ([]policy.EndpointView, int) {
	if v, ok := m.DecisionEngine.(viewer); ok {
		return v.Views()
	}
	return nil, 0
}

// Evictable returns what the engine returns.
func (m *mutantEngine) Evictable(destination policy.DestinationID) bool {
	e, ok := m.DecisionEngine.(evicter)
	return ok && e.Evictable(destination)
}
