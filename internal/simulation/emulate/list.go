package emulate

import (
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Discovery's list is one for all relays. Each change of an entry has a number, and since a relay hears all changes in
// their order, the number of the last that it heard tells what it holds of every entry: nothing is kept for a pair of
// relay and destination.

// telling is a change of an entry.
type entryChange struct {
	version int // its number, from 1
	state   string
}

// stateAt is how an entry stands after so many changes of the list; "" where it is not listed.
func (h *endpoint) stateAt(changes int) string {
	state := eventlog.StateReady
	if h.addedLater {
		state = ""
	}
	for _, t := range h.changes {
		if t.version > changes {
			break
		}
		state = t.state
	}
	if state == eventlog.StateGone {
		return ""
	}
	return state
}

// listing is how the list has an entry.
func (w *World) listEntry(h *endpoint, state string) policy.Endpoint {
	return policy.Endpoint{
		ID: h.ID, Destination: h.Destination, Zone: h.zone, Weight: h.Weight, Kind: h.kind,
		InService: state == eventlog.StateReady, Removed: state == eventlog.StateGone,
	}
}

// listed appends a destination's entries after so many changes, in the order in which they were first listed.
func (w *World) appendListed(all []policy.Endpoint, dest, changes int) []policy.Endpoint {
	var hosts []*endpoint
	for _, p := range w.Services(dest) {
		for _, h := range p.endpoints {
			if h.stateAt(changes) != "" {
				hosts = append(hosts, h)
			}
		}
	}
	slices.SortFunc(hosts, func(a, b *endpoint) int { return a.index - b.index })
	for _, h := range hosts {
		all = append(all, w.listEntry(h, h.stateAt(changes)))
	}
	return all
}

// whole is the whole list after so many changes, by its ids. All relays that ask for the same are given one.
func (w *World) listSnapshot(changes int) []policy.Endpoint {
	if w.snapshot != nil && w.snapshotVersion == changes {
		return w.snapshot
	}
	all := make([]policy.Endpoint, 0, len(w.endpoints))
	for _, h := range w.endpoints {
		if state := h.stateAt(changes); state != "" {
			all = append(all, w.listEntry(h, state))
		}
	}
	slices.SortFunc(all, func(a, b policy.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	w.snapshot, w.snapshotVersion = all, changes
	return all
}

// Tell has discovery tell each relay of a change of an entry, as late as it is and in the order of the changes.
func (w *World) ChangeEndpoint(id, state string) {
	h := w.endpoints[id]
	w.recordEndpointChange(h.Endpoint, state)
	w.listVersion++
	h.changes = append(h.changes, entryChange{w.listVersion, state})
	c := &listUpdate{entryChange{w.listVersion, state}, h, 0}
	switch was := h.stateAt(w.listVersion - 1); {
	case was == "" && state != eventlog.StateGone:
		c.growth = 1
	case was != "" && state == eventlog.StateGone:
		c.growth = -1
	}
	d := w.plan.File.Discovery
	for _, r := range w.relays {
		late := d.MinDelay.AsDuration() + time.Duration(w.discoveryRandom.Float64()*float64(d.MaxDelay-d.MinDelay)) + r.discoveryDelay
		if w.options.ListDelay != nil {
			late = w.options.ListDelay(r.index)
		}
		r.nextListUpdateAt = max(r.nextListUpdateAt, w.Now()+late)
		w.Schedule(r.nextListUpdateAt, func() { r.receiveListUpdate(c) })
	}
}

// change is a change of the list on its way to the relays.
type listUpdate struct {
	entryChange
	endpoint *endpoint
	growth   int // entries that the list has more after it
}

// Discovery's agent of a relay.

// news is a change of the list that has come to the relay's agent.
func (r *relay) receiveListUpdate(c *listUpdate) {
	if r.discoverySilent {
		r.withheldUpdates = append(r.withheldUpdates, c)
		return
	}
	w, h := r.world, c.endpoint
	r.listVersion = c.version
	r.listLength += c.growth
	if w.options.OnListChange != nil {
		w.options.OnListChange(r.index, h.ID, c.state)
	}
	if c.state == eventlog.StateGone {
		r.dropPool(h)
	}
	if !r.running {
		return // the next process begins with it
	}
	w.record(eventlog.Event{Kind: eventlog.RelayNotified, Relay: r.name, Endpoint: h.ID, State: c.state, Destination: h.Destination})
	if r.hasLargeList() && c.growth > 0 {
		r.workingSet.EndpointAdded(h.Destination, r.now())
	}
	if r.hasLargeList() && !r.workingSet.Contains(h.Destination) {
		return // it is at rest: what the list has is told when it wakes
	}
	r.postEvent(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{w.listEntry(h, c.state)}})
	if !r.hasLargeList() && r.listLength > w.options.MaxEagerEndpoints {
		r.switchToLargeList()
	}
}

func (r *relay) silenceDiscovery(on bool) {
	if r.discoverySilent = on; on {
		return
	}
	unsaid := r.withheldUpdates
	r.withheldUpdates = nil
	for _, c := range unsaid {
		r.receiveListUpdate(c)
	}
}

// kindOf is the kind of a route as the relay's list has it.
func (r *relay) kindOf(h *endpoint) int {
	if h.stateAt(r.listVersion) == "" {
		return 0
	}
	return h.kind
}

func (w *World) kindIndex(e scenario.Endpoint) int {
	return slices.IndexFunc(w.plan.File.DestinationKinds, func(k scenario.DestinationKind) bool { return k.Name == e.Kind })
}
