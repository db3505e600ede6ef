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
type telling struct {
	change int // its number, from 1
	state  string
}

// stateAt is how an entry stands after so many changes of the list; "" where it is not listed.
func (h *host) stateAt(changes int) string {
	state := eventlog.StateReady
	if h.later {
		state = ""
	}
	for _, t := range h.told {
		if t.change > changes {
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
func (w *World) listing(h *host, state string) policy.Endpoint {
	return policy.Endpoint{
		ID: h.ID, Destination: policy.DestinationID(h.Dest), Zone: h.zone, Weight: h.Weight, Kind: h.kind,
		InService: state == eventlog.StateReady, Removed: state == eventlog.StateGone,
	}
}

// listed appends a destination's entries after so many changes, in the order in which they were first listed.
func (w *World) listed(all []policy.Endpoint, dest, changes int) []policy.Endpoint {
	var hosts []*host
	for _, p := range w.Places(dest) {
		for _, h := range p.hosts {
			if h.stateAt(changes) != "" {
				hosts = append(hosts, h)
			}
		}
	}
	slices.SortFunc(hosts, func(a, b *host) int { return a.n - b.n })
	for _, h := range hosts {
		all = append(all, w.listing(h, h.stateAt(changes)))
	}
	return all
}

// whole is the whole list after so many changes, by its ids. All relays that ask for the same are given one.
func (w *World) whole(changes int) []policy.Endpoint {
	if w.wholeList != nil && w.wholeAt == changes {
		return w.wholeList
	}
	all := make([]policy.Endpoint, 0, len(w.hosts))
	for _, h := range w.hosts {
		if state := h.stateAt(changes); state != "" {
			all = append(all, w.listing(h, state))
		}
	}
	slices.SortFunc(all, func(a, b policy.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	w.wholeList, w.wholeAt = all, changes
	return all
}

// Tell has discovery tell each relay of a change of an entry, as late as it is and in the order of the changes.
func (w *World) Tell(id, state string) {
	h := w.hosts[id]
	w.changed(h.Endpoint, state)
	w.changes++
	h.told = append(h.told, telling{w.changes, state})
	c := &change{telling{w.changes, state}, h, 0}
	switch was := h.stateAt(w.changes - 1); {
	case was == "" && state != eventlog.StateGone:
		c.more = 1
	case was != "" && state == eventlog.StateGone:
		c.more = -1
	}
	d := w.plan.File.Discovery
	for _, r := range w.relays {
		late := d.Least.D() + time.Duration(w.delays.Float64()*float64(d.Most-d.Least)) + r.late
		if w.opts.ListDelay != nil {
			late = w.opts.ListDelay(r.n)
		}
		r.due = max(r.due, w.Now()+late)
		w.Schedule(r.due, func() { r.news(c) })
	}
}

// change is a change of the list on its way to the relays.
type change struct {
	telling
	h    *host
	more int // entries that the list has more after it
}

// Discovery's agent of a relay.

// news is a change of the list that has come to the relay's agent.
func (r *relay) news(c *change) {
	if r.hushed {
		r.unsaid = append(r.unsaid, c)
		return
	}
	w, h := r.w, c.h
	r.heard = c.change
	r.entries += c.more
	if w.opts.Heard != nil {
		w.opts.Heard(r.n, h.ID, c.state)
	}
	if c.state == eventlog.StateGone {
		r.dropPool(h)
	}
	if !r.up {
		return // the next process begins with it
	}
	w.see(eventlog.Event{Kind: eventlog.RelayNotified, Relay: r.name, Host: h.ID, State: c.state, Destination: h.Dest})
	if r.large() && c.more > 0 {
		r.working.EndpointAdded(policy.DestinationID(h.Dest), r.now())
	}
	if r.large() && !r.working.Contains(policy.DestinationID(h.Dest)) {
		return // it is at rest: what the list has is told when it wakes
	}
	r.tell(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{w.listing(h, c.state)}})
	if !r.large() && r.entries > w.opts.WholeMost {
		r.becomeLarge()
	}
}

func (r *relay) hush(on bool) {
	if r.hushed = on; on {
		return
	}
	unsaid := r.unsaid
	r.unsaid = nil
	for _, c := range unsaid {
		r.news(c)
	}
}

// kindOf is the kind of a route as the relay's list has it.
func (r *relay) kindOf(h *host) int {
	if h.stateAt(r.heard) == "" {
		return 0
	}
	return h.kind
}

func (w *World) kind(e scenario.Endpoint) int {
	return slices.IndexFunc(w.plan.File.Kinds, func(k scenario.Kind) bool { return k.Name == e.Kind })
}
