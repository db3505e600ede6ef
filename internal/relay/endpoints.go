package relay

import (
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// endpointState is the loop's state of the endpoint list. The catalog holds the whole list. The policy holds the
// whole list, too, if it has no more than catalog.MaxEagerEndpoints endpoints. Of a longer list the policy holds only
// the destinations of the working set: see largelist.go.
type endpointState struct {
	catalog           *catalog.Catalog
	listVersion       int64
	listReceived      bool // a list was applied: destinations that no list has named are rejected
	drainingEndpoints int  // listed endpoints that are not in service
	receivingSnapshot bool // a long list is being received, or its transfer broke off
	snapshotNeeded    bool // the list known at the start may lack endpoints: discovery's full list is fetched first
	snapshotTruncated bool // the list being received has more endpoints than the catalog may hold

	catalogFull       ratelog.Warning // the catalog may hold no more endpoints
	unreadableEntries ratelog.Warning

	workingSet *catalog.WorkingSet // destinations of a long list that the policy holds; nil while the list is short
	evictAt    time.Time           // when the next step for evictions is due; zero: none is scheduled
	scratch    []catalog.Endpoint  // reused by the functions that list a destination's endpoints
}

func newEndpointState() endpointState {
	return endpointState{
		catalogFull:       ratelog.Warning{Message: "endpoint catalog full"},
		unreadableEntries: ratelog.Warning{Message: "unreadable entry of the endpoint list"},
	}
}

// applyList applies an endpoint list, or changes to the list, and returns the event for the policy, if there is any.
// An unreadable entry is skipped. If it names a known endpoint, that endpoint stays unchanged.
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

// markEndpointsKnown marks the endpoint list as known once the catalog has an endpoint.
func (r *Relay) markEndpointsKnown() {
	r.budget.SetEndpointList(r.catalog.Size())
	if r.catalog.EndpointCount() > 0 {
		r.listReceived = true
		r.endpointsKnown.Store(true)
	}
}

// applyEntry applies an entry of a list, and appends the changes for the policy to updates.
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
		// An endpoint's rate-limit scope belongs to its destination. The endpoint gets a new scope at its new
		// destination, so the policy must remove the old endpoint first.
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

// recordChange updates the state that depends on a changed entry of the catalog: the working set, the number of
// draining endpoints and the idle connections. Idle connections to an address that an endpoint has left are closed,
// so that no call uses them.
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

// endpointsRemoved handles endpoints that a complete list no longer names. It appends their removal to updates only
// if the list is long: a short list goes to the policy as a whole.
func (r *Relay) endpointsRemoved(updates []policy.Endpoint, removed []catalog.Endpoint) []policy.Endpoint {
	for _, old := range removed {
		r.recordChange(&catalog.Change{Old: old, Kind: catalog.Removed})
		if r.largeList.Load() && r.isActive(old.Destination) {
			updates = append(updates, removedEndpoint(old))
		}
	}
	return updates
}

// removedEndpoint returns the policy's update for an endpoint that was removed.
func removedEndpoint(e catalog.Endpoint) policy.Endpoint {
	return policy.Endpoint{ID: e.ID, Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, Removed: true}
}
