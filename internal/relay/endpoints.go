package relay

import (
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// endpointState is what the loop knows of endpoints. All of the list is in the catalog. The policy holds all of it,
// too, up to catalog.MaxEagerEndpoints; of a longer one it holds the destinations of the working set: see largelist.go.
type endpointState struct {
	catalog           *catalog.Catalog
	listVersion       int64
	listReceived      bool // a list was read: a destination that none has named is unknown
	drainingEndpoints int  // endpoints that are not in service
	receivingSnapshot bool // a long list is being received, or broke off
	snapshotNeeded    bool // the list that the configuration has may lack endpoints
	snapshotTruncated bool // the list that is being received has more entries than the catalog may hold

	catalogFull       ratelog.Warning // endpoints beyond what the catalog may hold
	unreadableEntries ratelog.Warning

	workingSet *catalog.WorkingSet // of a long list, the destinations that the policy holds; else nil
	evictAt    time.Time           // when the next step for evictions is due; zero: none is asked for
	scratch    []catalog.Endpoint  // reused by the functions that list a destination's endpoints
}

func newEndpointState() endpointState {
	return endpointState{
		catalogFull:       ratelog.Warning{Message: "endpoint catalog full"},
		unreadableEntries: ratelog.Warning{Message: "unreadable entry of the endpoint list"},
	}
}

// applyList applies an endpoint list, or changes of it, and returns the policy's event. An unreadable entry is skipped;
// if it names a known endpoint, that stays as it was.
func (r *Relay) applyList(list discovery.List) []policy.Event {
	large := r.largeList.Load()
	r.listVersion = list.Version
	if list.Full {
		r.catalog.BeginSnapshot()
	}
	event := policy.Event{Kind: policy.EndpointDelta}
	if large {
		event.Endpoints = r.applyEntries(list.Entries)
	} else {
		for i := range list.Entries {
			event.Endpoints = r.applyEntry(event.Endpoints, &list.Entries[i])
		}
	}
	if list.Full {
		removed, _ := r.catalog.Sweep(math.MaxInt)
		event.Endpoints = r.endpointsRemoved(event.Endpoints, removed)
	}
	r.markEndpointsKnown()
	if large {
		if len(event.Endpoints) == 0 {
			return nil
		}
		return []policy.Event{event}
	}
	if list.Full {
		event.Kind = policy.EndpointSnapshot
	}
	if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
		r.switchToLargeList()
	}
	return []policy.Event{event}
}

// markEndpointsKnown notes that a whole list was applied.
func (r *Relay) markEndpointsKnown() {
	if r.catalog.EndpointCount() > 0 {
		r.listReceived = true
		r.endpointsKnown.Store(true)
	}
}

// applyEntry applies an entry of a list, and appends to updates what the policy has to know of it.
func (r *Relay) applyEntry(updates []policy.Endpoint, e *discovery.Entry) []policy.Endpoint {
	if e.Err != nil {
		r.unreadableEntries.Log(r.log, "entry", e.Text, "err", e.Err)
		known, ok := r.catalog.MarkSeen(e.ID)
		if ok && !r.largeList.Load() {
			return append(updates, known.Endpoint)
		}
		return updates
	}
	change := r.catalog.Upsert(e.Endpoint)
	r.recordChange(&change)
	if change.Kind == catalog.Moved && change.Old.Destination != e.Destination && r.isActive(change.Old.Destination) {
		// An endpoint's limit scope belongs to its destination: it begins anew at the other one.
		updates = append(updates, removedEndpoint(change.Old))
	}
	switch {
	case !r.largeList.Load():
		return append(updates, e.Endpoint.Endpoint)
	case change.Kind == catalog.Unchanged:
		return updates
	case change.Kind == catalog.Removed && r.isActive(change.Old.Destination):
		return append(updates, removedEndpoint(change.Old))
	case change.Kind != catalog.Removed && r.isActive(e.Destination):
		return append(updates, e.Endpoint.Endpoint)
	}
	return updates
}

// recordChange carries a change of the catalog on to what depends on it. Idle connections to an address that an
// endpoint has left are closed, so that no call goes there.
func (r *Relay) recordChange(c *catalog.Change) {
	var hadOld, hasNew, changedDestination, changedAddr bool
	switch c.Kind {
	case catalog.Added:
		hasNew = true
		changedDestination = true
	case catalog.Updated:
		hadOld = true
		hasNew = true
	case catalog.Moved:
		hadOld = true
		hasNew = true
		changedDestination = c.Old.Destination != c.New.Destination
		changedAddr = c.Old.Addr != c.New.Addr
	case catalog.Removed:
		hadOld = true
		changedAddr = true
	}
	if changedDestination && r.workingSet != nil {
		r.workingSet.EndpointAdded(c.New.Destination, r.now())
	}
	if changedAddr {
		r.egress.CloseIdle(c.Old.ID)
	}
	if hadOld && !c.Old.InService {
		r.drainingEndpoints--
	}
	if hasNew && !c.New.InService {
		r.drainingEndpoints++
	}
}

// endpointsRemoved handles endpoints that a complete list did not name, and appends to updates what the policy has to
// know of them. A policy that gets the complete list needs nothing.
func (r *Relay) endpointsRemoved(updates []policy.Endpoint, removed []catalog.Endpoint) []policy.Endpoint {
	for _, old := range removed {
		r.recordChange(&catalog.Change{Old: old, Kind: catalog.Removed})
		if r.largeList.Load() && r.isActive(old.Destination) {
			updates = append(updates, removedEndpoint(old))
		}
	}
	return updates
}

// removedEndpoint is the policy's update for an endpoint that is gone.
func removedEndpoint(e catalog.Endpoint) policy.Endpoint {
	return policy.Endpoint{ID: e.ID, Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, Removed: true}
}
