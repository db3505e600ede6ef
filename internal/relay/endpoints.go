package relay

import (
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// How the loop takes discovery's list. All of it stands in the catalog. One of up to catalog.WholeMost hosts is told to
// the module as it comes. Of a longer one the module hears only what it needs: the destinations in use. Such a list
// comes in parts, each applied between two steps.

const (
	// maxEvictions bounds how many destinations a step looks at that may be put to rest.
	maxEvictions = 128
	// evictInterval is how often that is looked at while nothing else happens.
	evictInterval = time.Second
	// defaultWarmUp is what the module goes by where the settings tell no time to warm up.
	defaultWarmUp = 30 * time.Second
)

// endpointState is what the loop knows of hosts.
type endpointState struct {
	catalog           *catalog.Catalog
	listReceived      bool // a list was read: a destination that none has named is unknown
	drainingEndpoints int  // hosts that are not in service
	receivingSnapshot bool // a long list is coming, or broke off
	snapshotNeeded    bool // what the configuration knows may lack some
	snapshotTruncated bool // entries of the list that comes now found no room

	catalogFull ratelog.Warning // hosts for which there is no room

	// Of a long list:
	workingSet *catalog.WorkingSet // what the module was told of
	evictAt    time.Time           // looked at again then; zero: nobody has asked for that
	scratch    []catalog.Endpoint  // scratch
}

// applyList takes a list of hosts, or changes to it, and returns what the module is told. An entry that cannot be read
// is passed over; if it names a host that is known, that host stays as it was.
func (r *Relay) applyList(l discovery.List) []policy.Event {
	r.listVersion = l.Version
	if l.Full {
		r.catalog.BeginSnapshot()
	}
	e := policy.Event{Kind: policy.EndpointDelta}
	if r.largeList.Load() {
		e.Endpoints = r.applyEntries(l.Entries)
	} else {
		for i := range l.Entries {
			e.Endpoints = r.applyEntry(e.Endpoints, &l.Entries[i])
		}
	}
	if l.Full {
		removed, _ := r.catalog.Sweep(math.MaxInt)
		e.Endpoints = r.endpointsRemoved(e.Endpoints, removed)
	}
	r.markEndpointsKnown()
	if !r.largeList.Load() {
		if l.Full {
			e.Kind = policy.EndpointSnapshot
		}
		if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
			r.switchToLargeList()
		}
	} else if len(e.Endpoints) == 0 {
		return nil
	}
	return []policy.Event{e}
}

// markEndpointsKnown notes that a list is known to its end.
func (r *Relay) markEndpointsKnown() {
	if r.catalog.EndpointCount() > 0 {
		r.listReceived = true
		r.endpointsKnown.Store(true)
	}
}

// applyEntry takes an entry of a list, and adds what the module is told of it.
func (r *Relay) applyEntry(told []policy.Endpoint, e *discovery.Entry) []policy.Endpoint {
	if e.Err != nil {
		r.unreadableEntries.Log(r.log, "entry", e.Text, "err", e.Err)
		if known, ok := r.catalog.MarkSeen(e.ID); ok && !r.largeList.Load() {
			return append(told, known.Endpoint)
		}
		return told
	}
	c := r.catalog.Upsert(e.Endpoint)
	r.recordChange(&c)
	if c.Kind == catalog.Moved && c.Old.Destination != e.Destination && r.isActive(c.Old.Destination) {
		// a route's gate is its destination's for good: it begins anew at the other one
		told = append(told, removedEndpoint(c.Old))
	}
	switch {
	case !r.largeList.Load():
		return append(told, e.Endpoint.Endpoint)
	case c.Kind == catalog.Unchanged:
		return told
	case c.Kind == catalog.Removed && r.isActive(c.Old.Destination):
		return append(told, removedEndpoint(c.Old))
	case c.Kind != catalog.Removed && r.isActive(e.Destination):
		return append(told, e.Endpoint.Endpoint)
	}
	return told
}

// recordChange books a change of the catalog: calls go to no address that a host has left.
func (r *Relay) recordChange(c *catalog.Change) {
	if r.workingSet != nil &&
		(c.Kind == catalog.Added || c.Kind == catalog.Moved && c.Old.Destination != c.New.Destination) {
		r.workingSet.EndpointAdded(c.New.Destination, r.now())
	}
	if c.Kind == catalog.Removed || c.Kind == catalog.Moved && c.Old.Addr != c.New.Addr {
		r.egress.CloseIdle(c.Old.ID)
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Removed) && !c.Old.InService {
		r.drainingEndpoints--
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Added) && !c.New.InService {
		r.drainingEndpoints++
	}
}

// endpointsRemoved takes hosts that a whole list did not name, and adds what the module is told of them. It needs not
// be where it is told the whole.
func (r *Relay) endpointsRemoved(told []policy.Endpoint, removed []catalog.Endpoint) []policy.Endpoint {
	for _, was := range removed {
		r.recordChange(&catalog.Change{Old: was, Kind: catalog.Removed})
		if r.largeList.Load() && r.isActive(was.Destination) {
			told = append(told, removedEndpoint(was))
		}
	}
	return told
}

func removedEndpoint(e catalog.Endpoint) policy.Endpoint {
	return policy.Endpoint{ID: e.ID, Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, Removed: true}
}
