package hollow

import (
	"fmt"
	"runtime"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	agentStepInterval       = 250 * time.Millisecond // of virtual time
	measuredChanges         = 11                     // changes of one endpoint each
	endpointsPerDestination = 2
)

// MeasureAgent measures the cost of an endpoint list, with two endpoints for each destination, to the agent of one
// member: the agent's memory, and the processor time of the snapshot, of a change of one endpoint and of a step without
// events. The fleet has one other member, which sends nothing.
func MeasureAgent(destinations int, shareQuota bool) Measurement {
	before := memoryInUse()
	a := agent.New(agent.Settings{
		Self:             "a",
		Incarnation:      loadreport.Incarnation{Generation: 1, Boot: 1},
		Members:          []string{"a", "b"},
		DestinationKinds: destinationKinds(),
		ShareQuota:       shareQuota,
		FleetSize:        2,
	})
	values := agentStepTimes(a, agentEndpoints(destinations))
	values[Memory] = growth(before, memoryInUse())
	runtime.KeepAlive(a)
	return Measurement{destinations, values}
}

// agentStepTimes returns the processor time of the agent's steps in microseconds: the snapshot, and the medians of the
// changes of one endpoint and of the steps without events.
func agentStepTimes(a *agent.Agent, endpoints []policy.Endpoint) map[Metric]float64 {
	now := time.Second
	step := func(events ...policy.Event) float64 {
		now += agentStepInterval
		return microseconds(usage.ThreadCPU(func() { a.Step(now, agent.Input{Events: events}) }))
	}
	snapshotTime := step(policy.Event{Kind: policy.EndpointSnapshot, Endpoints: endpoints})
	var deltaTimes, idleTimes []float64
	for i := range measuredChanges {
		changed := endpoints[i*len(endpoints)/measuredChanges]
		changed.Weight++
		delta := policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{changed}}
		deltaTimes = append(deltaTimes, step(delta))
		idleTimes = append(idleTimes, step())
	}
	return map[Metric]float64{
		SnapshotTime: snapshotTime,
		DeltaTime:    median(deltaTimes),
		IdleStepTime: median(idleTimes),
	}
}

func agentEndpoints(destinations int) []policy.Endpoint {
	endpoints := make([]policy.Endpoint, 0, endpointsPerDestination*destinations)
	for destination := range policy.DestinationID(destinations) {
		for zone := range endpointsPerDestination {
			endpoints = append(endpoints, policy.Endpoint{
				ID:          fmt.Sprintf("s-%06d-%d", destination, zone),
				Destination: destination,
				Zone:        zone,
				Weight:      8.6,
				InService:   true,
			})
		}
	}
	return endpoints
}
