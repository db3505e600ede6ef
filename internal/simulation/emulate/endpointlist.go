package emulate

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// All relays share one endpoint list. Its changes are numbered, and each relay receives them in this order. The number
// of the last change that a relay received is the relay's version of the list, and determines the state of every entry
// at this relay. So no state is kept for a pair of a relay and a destination.

// entryChange is a change of an entry of the endpoint list.
type entryChange struct {
	version int    // first version of the list with this change, counted from 1
	state   string // a State constant of package eventlog
}

// listUpdate is a change of the endpoint list on its way to the relays.
type listUpdate struct {
	entryChange
	endpoint *endpoint
	growth   int // change in the number of entries: 1, 0 or -1
}

// stateAt returns the state of the endpoint's entry in a version of the list; "" if that version has no such entry.
func (e *endpoint) stateAt(version int) string {
	state := eventlog.StateReady
	if e.AddedLater {
		state = ""
	}
	for _, c := range e.changes {
		if c.version > version {
			break
		}
		state = c.state
	}
	if state == eventlog.StateGone {
		return ""
	}
	return state
}

// entry returns the endpoint's entry in a given state, in the form of package policy.
func (e *endpoint) entry(state string) policy.Endpoint {
	return policy.Endpoint{
		ID:          e.ID,
		Destination: policy.DestinationID(e.Destination),
		Zone:        e.zone,
		Weight:      e.Weight,
		Kind:        e.kind,
		InService:   state == eventlog.StateReady,
		Removed:     state == eventlog.StateGone,
	}
}

// appendEntries appends a destination's entries in a version of the list, in the order in which they were added.
func (w *World) appendEntries(entries []policy.Endpoint, destination, version int) []policy.Endpoint {
	var listed []*endpoint
	for _, s := range w.Services(destination) {
		for _, e := range s.endpoints {
			if e.stateAt(version) != "" {
				listed = append(listed, e)
			}
		}
	}
	slices.SortFunc(listed, func(a, b *endpoint) int { return cmp.Compare(a.index, b.index) })
	for _, e := range listed {
		entries = append(entries, e.entry(e.stateAt(version)))
	}
	return entries
}

// listSnapshot returns a version of the list, sorted by ID. The result is shared and must not be changed.
func (w *World) listSnapshot(version int) []policy.Endpoint {
	if w.snapshot != nil && w.snapshotVersion == version {
		return w.snapshot
	}
	entries := make([]policy.Endpoint, 0, len(w.endpoints))
	for _, e := range w.endpoints {
		if state := e.stateAt(version); state != "" {
			entries = append(entries, e.entry(state))
		}
	}
	slices.SortFunc(entries, func(a, b policy.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	w.snapshot, w.snapshotVersion = entries, version
	return entries
}

// ChangeEndpoint changes the entry of an endpoint in the list. Each relay receives the change after its own discovery
// delay, and receives all changes in order.
func (w *World) ChangeEndpoint(id, state string) {
	e := w.endpoints[id]
	w.recordEndpointChange(e.Endpoint, state)
	before := e.stateAt(w.listVersion)
	w.listVersion++
	change := entryChange{version: w.listVersion, state: state}
	e.changes = append(e.changes, change)
	update := &listUpdate{entryChange: change, endpoint: e}
	switch {
	case before == "" && state != eventlog.StateGone:
		update.growth = 1
	case before != "" && state == eventlog.StateGone:
		update.growth = -1
	}
	for _, r := range w.relays {
		// Updates do not overtake each other.
		r.nextListUpdateAt = max(r.nextListUpdateAt, w.Now()+w.drawListDelay(r))
		w.Schedule(r.nextListUpdateAt, func() { r.receiveListUpdate(update) })
	}
}

// drawListDelay draws the delay of a list update to a relay. Options.ListDelay replaces the drawn delay.
func (w *World) drawListDelay(r *relay) time.Duration {
	discovery := &w.plan.File.Discovery
	spread := float64(discovery.MaxDelay - discovery.MinDelay)
	delay := discovery.MinDelay.AsDuration() + time.Duration(w.discoveryRandom.Float64()*spread) + r.discoveryDelay
	if w.options.ListDelay != nil {
		return w.options.ListDelay(r.index)
	}
	return delay
}

func (w *World) recordEndpointChange(e scenario.Endpoint, state string) {
	change := eventlog.Event{
		Kind:        eventlog.EndpointChanged,
		Endpoint:    e.ID,
		Destination: e.Destination,
		Zone:        e.Zone,
		State:       state,
	}
	if e.Service == e.ID {
		change.Service = e.ID // the endpoint has limits of its own
	}
	w.record(change)
}
