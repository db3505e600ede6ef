package emulate

import (
	"maps"
	"slices"

	"onyxroad.dev/onyxroad/internal/catalog"
	"onyxroad.dev/onyxroad/policy"
)

// A list of up to Options.WholeMost entries is told to a module whole. Of a larger one it is told of a destination when there is work
// for it, and has it taken away again once the module says that nothing is lost by that: as package relay does it.

// restMost is how many destinations a relay looks at in a step, to put them to rest.
const restMost = 16

// rester is a module that tells whether a destination may be taken away from it: nothing that it knows of it would be missed.
type rester interface{ Resting(dest int) bool }

func (r *relay) large() bool { return r.working != nil }

// becomeLarge is a list that has grown beyond what is told whole. It stays large until the process ends.
func (r *relay) becomeLarge() {
	r.working = catalog.NewWorkingSet(r.set.WarmWithin)
	for _, l := range r.w.whole(r.heard) {
		r.working.Wake(l.Destination, r.now())
	}
	for _, id := range slices.Sorted(maps.Keys(r.msgs)) {
		r.working.Wake(r.msgs[id].dest, r.now())
	}
}

// wake puts a destination's entries before what its module is told of it next, if it was at rest.
func (r *relay) wake(evs []policy.Event, dest int) []policy.Event {
	if !r.large() {
		return evs
	}
	if !r.working.Wake(dest, r.now()) {
		r.working.Touch(dest, r.now())
		return evs
	}
	r.w.Woken++
	if list := r.w.listed(dest, r.heard); len(list) > 0 {
		evs = append(evs, policy.Event{Kind: policy.ListChanges, List: list})
	}
	return evs
}

// rest puts destinations to rest that have been idle for long. The module is told with its next step.
func (r *relay) rest() {
	m, ok := r.module.(rester)
	if !r.large() || !ok {
		return
	}
	var gone []policy.Listing
	for _, dest := range r.working.Rest(r.now(), restMost, m.Resting) {
		for _, l := range r.w.listed(dest, r.heard) {
			l.InService, l.Gone = false, true
			gone = append(gone, l)
		}
	}
	if len(gone) > 0 {
		r.pending = append(r.pending, policy.Event{Kind: policy.ListChanges, List: gone})
	}
}

// Resting passes on what the module would say.
func (m *misled) Resting(dest int) bool {
	x, ok := m.Module.(rester)
	return ok && x.Resting(dest)
}

// Idle connections.

// dropPool closes a relay's idle connections to a host.
func (r *relay) dropPool(h *host) {
	if p := r.pools[h]; p != nil {
		delete(r.pools, h)
		delete(h.pools, p)
	}
}

// addPool is a pool for a host that a relay has none for. Once there are twice as many as were left the last time, those that hold no
// connection are forgotten.
func (r *relay) addPool(h *host) *pool {
	if len(r.pools) >= r.poolsMost {
		since := r.w.Now() - r.w.keep()
		for h, p := range r.pools {
			if p.life != h.life || p.open(since) == 0 {
				r.dropPool(h)
			}
		}
		r.poolsMost = max(poolsLeast, 2*len(r.pools))
	}
	p := &pool{life: h.life}
	r.pools[h] = p
	if r.w.opts.Connections > 0 {
		if h.pools == nil {
			h.pools = map[*pool]struct{}{}
		}
		h.pools[p] = struct{}{}
	}
	return p
}

const poolsLeast = 64

// dropPools forgets those of a process that has ended.
func (r *relay) dropPools() {
	for h := range r.pools {
		r.dropPool(h)
	}
	r.pools, r.poolsMost = map[*host]*pool{}, poolsLeast
}
