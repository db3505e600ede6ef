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
	maxEvictions  = 128
	evictInterval = time.Second
	defaultWarmUp = 30 * time.Second // where settings tell no time to warm up
)

// rester is a module that tells whether a destination may be taken away from it: nothing that it knows of it would be
// missed.
type evicter interface{ Evictable(dest int) bool }

func (r *relay) hasLargeList() bool { return r.workingSet != nil }

// newWorking begins a working set: the module knows nothing of a list that is large.
func (r *relay) newWorkingSet() {
	r.workingSet, r.evictAt = catalog.NewWorkingSet(cmp.Or(r.settings.WarmUpDuration, defaultWarmUp)), 0
}

// becomeLarge is a list that has grown beyond what is told whole. It stays large until the process ends.
func (r *relay) switchToLargeList() {
	r.newWorkingSet()
	for _, l := range r.world.listSnapshot(r.listVersion) {
		r.workingSet.Activate(l.Destination, r.now())
	}
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		r.workingSet.Activate(r.messages[id].destination, r.now())
	}
}

// rouse has the module told of destinations at rest before what concerns them, and of changes of the list before all
// else. Then it puts some to rest that have nothing to remember.
func (r *relay) updateWorkingSet(evs []policy.Event) []policy.Event {
	if !r.hasLargeList() {
		return evs
	}
	w, now := r.world, r.now()
	var woken, resting []policy.Endpoint
	wake := func(dest int) {
		if r.workingSet.Activate(dest, now) {
			w.Activations++
			from := len(woken)
			woken = w.appendListed(woken, dest, r.listVersion)
			for i := range woken[from:] {
				woken[from+i].Relisted = r.workingSet.Settled(dest, now)
			}
		}
	}
	for i := range evs {
		switch e := &evs[i]; e.Kind {
		case policy.MessageAccepted:
			wake(e.Destination)
		case policy.AttemptFinished, policy.HealthChecked:
			if h := w.endpoints[e.Endpoint]; h != nil {
				if r.workingSet.Touch(h.Destination, now); e.RetryAfter > 0 || e.Kind == policy.HealthChecked {
					wake(h.Destination)
				}
			}
		}
	}
	if m, ok := r.engine.(evicter); ok {
		for _, dest := range r.workingSet.EvictIdle(now, maxEvictions, m.Evictable) {
			resting = w.appendListed(resting, dest, r.listVersion)
		}
	}
	for i := range resting {
		resting[i].InService, resting[i].Removed = false, true
	}
	r.scheduleEviction(len(resting) > 0)
	if len(woken)+len(resting) == 0 {
		return evs
	}
	out := r.workingSetBuffer[:0]
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
	r.workingSetBuffer = out
	return out
}

// restAgain asks for a step in which more destinations are put to rest.
func (r *relay) scheduleEviction(more bool) {
	if r.workingSet.Len() == 0 || r.world.Now() < r.evictAt {
		return
	}
	after := evictInterval
	if more {
		after = r.world.plan.File.Settings.Tick.AsDuration()
	}
	r.evictAt = r.world.Now() + after
	r.schedule(after, r.scheduleStep)
}

// Evictable passes on what the module would say.
func (m *mutantEngine) Evictable(dest int) bool {
	x, ok := m.DecisionEngine.(evicter)
	return ok && x.Evictable(dest)
}

// Idle connections.

// dropPool closes a relay's idle connections to a host.
func (r *relay) dropPool(h *endpoint) {
	if p := r.pools[h]; p != nil {
		delete(r.pools, h)
		delete(h.pools, p)
	}
}

// addPool is a pool for a host that a relay has none for. Once there are twice as many as were left the last time,
// those that hold no connection are forgotten.
func (r *relay) addPool(h *endpoint) *connectionPool {
	if len(r.pools) >= r.maxPools {
		since := r.world.Now() - r.world.idleTimeout()
		for h, p := range r.pools {
			if p.epoch != h.connectionEpoch || p.countOpen(since) == 0 {
				r.dropPool(h)
			}
		}
		r.maxPools = max(minPoolLimit, 2*len(r.pools))
	}
	p := &connectionPool{epoch: h.connectionEpoch}
	r.pools[h] = p
	if r.world.options.MaxConnections > 0 {
		if h.pools == nil {
			h.pools = map[*connectionPool]struct{}{}
		}
		h.pools[p] = struct{}{}
	}
	return p
}

const minPoolLimit = 64

// dropPools forgets those of a process that has ended.
func (r *relay) resetPools() {
	for h := range r.pools {
		r.dropPool(h)
	}
	r.pools, r.maxPools = map[*endpoint]*connectionPool{}, minPoolLimit
}
