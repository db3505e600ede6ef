package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A list of up to Options.WholeMost entries is told to a module whole. Of a larger one it is told of a destination when
// there is work for it, and has it taken away again once the module says that nothing is lost by that: as package relay
// does it.

// The figures of package relay: how many destinations a step looks at that may be put to rest, and how often that is
// looked at while nothing else happens.
const (
	restMost  = 128
	restEvery = time.Second
	usualWarm = 30 * time.Second // where settings tell no time to warm up
)

// rester is a module that tells whether a destination may be taken away from it: nothing that it knows of it would be
// missed.
type rester interface {
	Evictable(dest policy.DestinationID) bool
}

func (r *relay) large() bool { return r.working != nil }

// newWorking begins a working set: the module knows nothing of a list that is large.
func (r *relay) newWorking() {
	r.working, r.restAt = catalog.NewWorkingSet(cmp.Or(r.set.WarmUpDuration, usualWarm)), 0
}

// becomeLarge is a list that has grown beyond what is told whole. It stays large until the process ends.
func (r *relay) becomeLarge() {
	r.newWorking()
	for _, l := range r.w.whole(r.heard) {
		r.working.Activate(l.Destination, r.now())
	}
	for _, id := range slices.Sorted(maps.Keys(r.msgs)) {
		r.working.Activate(policy.DestinationID(r.msgs[id].dest), r.now())
	}
}

// rouse has the module told of destinations at rest before what concerns them, and of changes of the list before all
// else. Then it puts some to rest that have nothing to remember.
func (r *relay) rouse(evs []policy.Event) []policy.Event {
	if !r.large() {
		return evs
	}
	w, now := r.w, r.now()
	var woken, resting []policy.Endpoint
	wake := func(dest policy.DestinationID) {
		if r.working.Activate(dest, now) {
			w.Woken++
			from := len(woken)
			woken = w.listed(woken, int(dest), r.heard)
			for i := range woken[from:] {
				woken[from+i].Relisted = r.working.Settled(dest, now)
			}
		}
	}
	for i := range evs {
		switch e := &evs[i]; e.Kind {
		case policy.MessageAccepted:
			wake(e.Destination)
		case policy.AttemptFinished, policy.HealthChecked:
			if h := w.hosts[e.Endpoint]; h != nil {
				if r.working.Touch(policy.DestinationID(h.Dest), now); e.RetryAfter > 0 || e.Kind == policy.HealthChecked {
					wake(policy.DestinationID(h.Dest))
				}
			}
		}
	}
	if m, ok := r.module.(rester); ok {
		for _, dest := range r.working.EvictIdle(now, restMost, m.Evictable) {
			resting = w.listed(resting, int(dest), r.heard)
		}
	}
	for i := range resting {
		resting[i].InService, resting[i].Removed = false, true
	}
	r.restAgain(len(resting) > 0)
	if len(woken)+len(resting) == 0 {
		return evs
	}
	out := r.roused[:0]
	tell := func(list []policy.Endpoint) {
		if len(list) > 0 {
			out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: list})
		}
	}
	isList := func(e *policy.Event) bool { return e.Kind == policy.EndpointDelta || e.Kind == policy.EndpointSnapshot }
	for i := range evs {
		if isList(&evs[i]) {
			out = append(out, evs[i])
		}
	}
	tell(woken)
	for i := range evs {
		if !isList(&evs[i]) {
			out = append(out, evs[i])
		}
	}
	tell(resting)
	r.roused = out
	return out
}

// restAgain asks for a step in which more destinations are put to rest.
func (r *relay) restAgain(more bool) {
	if r.working.Len() == 0 || r.w.Now() < r.restAt {
		return
	}
	after := restEvery
	if more {
		after = r.w.plan.File.Settings.Tick.D()
	}
	r.restAt = r.w.Now() + after
	r.in(after, r.plan)
}

// Evictable passes on what the module would say.
func (m *misled) Evictable(dest policy.DestinationID) bool {
	x, ok := m.Module.(rester)
	return ok && x.Evictable(dest)
}

// Idle connections.

// dropPool closes a relay's idle connections to a host.
func (r *relay) dropPool(h *host) {
	if p := r.pools[h]; p != nil {
		delete(r.pools, h)
		delete(h.pools, p)
	}
}

// addPool is a pool for a host that a relay has none for. Once there are twice as many as were left the last time,
// those that hold no connection are forgotten.
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
