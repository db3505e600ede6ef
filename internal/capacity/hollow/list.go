package hollow

import (
	"fmt"
	"runtime"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Seam measures what a list of destinations, two endpoints each, costs the seam of a member alone: its memory, the
// whole list, a change of one entry, and steps in which nothing happens. Hollow are the link and all others.
func Seam(destinations int, shares bool) Reading {
	before := heap()
	s := agent.New(agent.Settings{
		Self: "a", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, Members: []string{"a", "b"}, DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}}, ShareQuota: shares, FleetSize: 2,
	})
	now := time.Second
	step := func(e ...policy.Event) float64 {
		now += 250 * time.Millisecond
		return micros(spent(func() { s.Step(now, agent.Input{Events: e}) }))
	}
	whole := policy.Event{Kind: policy.EndpointSnapshot, Endpoints: make([]policy.Endpoint, 0, 2*destinations)}
	for d := range destinations {
		for k := range 2 {
			whole.Endpoints = append(
				whole.Endpoints,
				policy.Endpoint{
					ID:          fmt.Sprintf("s-%06d-%d", d, k),
					Destination: policy.DestinationID(d),
					Zone:        k,
					Weight:      8.6,
					InService:   true,
				},
			)
		}
	}
	values := map[string]float64{"whole_list_us": step(whole)}
	const changes = 11
	var change, idle []float64
	for i := range changes {
		l := whole.Endpoints[i*len(whole.Endpoints)/changes]
		l.Weight++
		change = append(change, step(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{l}}))
		idle = append(idle, step())
	}
	values["change_us"], values["idle_step_us"] = median(change), median(idle)
	whole.Endpoints = nil
	after := heap()
	values["memory_bytes"] = float64(after - min(before, after))
	runtime.KeepAlive(s)
	return Reading{destinations, values}
}
