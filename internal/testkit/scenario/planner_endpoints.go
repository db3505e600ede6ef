package scenario

import (
	"math/rand/v2"
	"time"
)

const (
	// drainedProcessTime is how long the process of a drained endpoint runs on after the endpoint is removed from the
	// endpoint list, so that the calls that it has received can complete.
	drainedProcessTime = 2 * time.Second
	// newEndpointLead is how long a new endpoint is listed before the old one drains or is removed.
	newEndpointLead = time.Second
	// addressReuseDelay is the time from the end of a process until a new process listens at its address.
	addressReuseDelay = 100 * time.Millisecond
)

// addEndpointFault adds the steps of a fault that drains or removes endpoints. The batches of endpoints are spread
// evenly over the duration of the fault. With ReplaceEndpoints each endpoint is replaced by a new one.
// addEndpointFault returns the ids of the endpoints that leave.
func (p *planner) addEndpointFault(random *rand.Rand, fault Fault) (ids []string) {
	leaving := p.chooseEndpoints(random, fault)
	batches := (len(leaving) + fault.BatchSize - 1) / fault.BatchSize
	for i, index := range leaving {
		old := p.Endpoints[index]
		p.removed[old.ID] = true
		ids = append(ids, old.ID)
		batch := time.Duration(i / fault.BatchSize)
		leavesAt := fault.Start.AsDuration() + batch*fault.Duration.AsDuration()/time.Duration(batches)
		stopsAt := p.addRemoval(fault, old.ID, leavesAt)
		if fault.ReplaceEndpoints {
			p.addReplacement(random, fault, old, leavesAt, stopsAt)
		}
	}
	return ids
}

// chooseEndpoints returns the indexes of the endpoints that a fault affects, in the order in which they leave.
func (p *planner) chooseEndpoints(random *rand.Rand, fault Fault) []int {
	destinations := setOf(fault.Destinations)
	var indexes []int
	for i, e := range p.Endpoints {
		inDestinations := len(destinations) == 0 || destinations[e.Destination]
		inZone := fault.Zone == "" || e.Zone == fault.Zone
		if !p.removed[e.ID] && inDestinations && inZone {
			indexes = append(indexes, i)
		}
	}
	shuffle(random, indexes)
	if fault.Share > 0 {
		indexes = indexes[:shareOf(fault.Share, len(indexes))]
	}
	return indexes
}

// addRemoval adds the steps by which an endpoint leaves, and returns the time at which its process ends.
func (p *planner) addRemoval(fault Fault, id string, leavesAt time.Duration) (stopsAt time.Duration) {
	removedAt, stopsAt := leavesAt, leavesAt
	if fault.Kind == FaultDrain {
		p.addStep(Step{At: leavesAt, Op: OpDrainEndpoint, Target: id})
		removedAt += fault.DrainTime.AsDuration()
		stopsAt = removedAt + drainedProcessTime
	}
	p.addStep(Step{At: removedAt, Op: OpRemoveEndpoint, Target: id})
	p.addStep(Step{At: stopsAt, Op: OpStopEndpoint, Target: id})
	return stopsAt
}

// addReplacement adds a new endpoint that replaces an old one. The new endpoint has an address of its own and is listed
// before the old one leaves, or it reuses the old one's address and is listed after the old process has ended.
func (p *planner) addReplacement(random *rand.Rand, fault Fault, old Endpoint, leavesAt, stopsAt time.Duration) {
	replacement := old
	replacement.ID, replacement.AddedLater, replacement.ReusesAddressOf = "", true, ""
	addedAt := max(0, leavesAt-newEndpointLead)
	if random.Float64() < fault.SameAddressRatio {
		replacement.ReusesAddressOf = old.ID
		addedAt = stopsAt + addressReuseDelay
	}
	added := p.addEndpoint(replacement)
	if old.Service == old.ID {
		added.Service = added.ID
		spec := p.specOf(old.Service)
		p.addService(Service{Name: added.ID, Destination: old.Destination, Spec: spec, Seed: random.Uint64()})
	}
	p.addStep(Step{At: addedAt, Op: OpAddEndpoint, Target: added.ID})
}
