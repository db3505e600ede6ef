package emulate

import (
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// receiveListUpdate applies a change of the endpoint list that reached the relay. The relay's version of the list is
// updated even while its process is down.
func (r *relay) receiveListUpdate(u *listUpdate) {
	if r.discoverySilent {
		r.withheldUpdates = append(r.withheldUpdates, u)
		return
	}
	e := u.endpoint
	r.listVersion = u.version
	r.listLength += u.growth
	if r.world.options.OnListChange != nil {
		r.world.options.OnListChange(r.index, e.ID, u.state)
	}
	if u.state == eventlog.StateGone {
		r.dropPool(e)
	}
	if !r.running {
		return
	}
	r.world.record(eventlog.Event{
		Kind:        eventlog.RelayNotified,
		Relay:       r.name,
		Endpoint:    e.ID,
		State:       u.state,
		Destination: e.Destination,
	})
	if r.hasLargeList() && u.growth > 0 {
		r.workingSet.EndpointAdded(policy.DestinationID(e.Destination), r.now())
	}
	if r.hasLargeList() && !r.workingSet.Contains(policy.DestinationID(e.Destination)) {
		return // the engine gets the entry when the destination becomes active
	}
	r.postEvent(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{e.entry(u.state)}})
	if !r.hasLargeList() && r.listLength > r.world.options.MaxEagerEndpoints {
		r.switchToLargeList()
	}
}

// silenceDiscovery withholds all list updates from the relay if on is set. Otherwise it delivers the withheld updates.
func (r *relay) silenceDiscovery(on bool) {
	r.discoverySilent = on
	if on {
		return
	}
	updates := r.withheldUpdates
	r.withheldUpdates = nil
	for _, u := range updates {
		r.receiveListUpdate(u)
	}
}

// kindOf returns the index of an endpoint's destination kind, or 0 if the relay's version of the list lacks the
// endpoint.
func (r *relay) kindOf(e *endpoint) int {
	if e.stateAt(r.listVersion) == "" {
		return 0
	}
	return e.kind
}
