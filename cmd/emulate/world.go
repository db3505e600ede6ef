package main

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// zoneLatency is the additional one-way latency between a relay and an endpoint of another zone in a large simulation.
const zoneLatency = 2 * time.Millisecond

// simulationSize is the size of a large simulation.
type simulationSize struct{ relays, destinations int }

// loadFlags are the flags for the load on a large simulation.
type loadFlags struct {
	Rate   float64       `help:"Messages per second from all clients together." default:"200"`
	Length time.Duration `help:"Length of the run in virtual time." default:"1m"`
}

// scenario returns a scenario of a size. It is the same for all sizes otherwise: each destination accepts twice its
// mean load, and a tenth of the destinations fail all calls for at most ten seconds from the middle of the run.
func (l loadFlags) scenario(size simulationSize) scenario.File {
	file := scenario.File{
		Name:    "scale",
		Length:  scenario.Duration(l.Length),
		Relays:  size.relays,
		Zones:   []string{"north", "south"},
		Classes: largeSimulationClasses(),
		DestinationKinds: []scenario.DestinationKind{{
			Name:                 "store",
			ServiceTime:          scenario.Duration(200 * time.Millisecond),
			ServiceTimeVariation: 0.5,
			MaxConcurrentCalls:   8,
			Limit:                "rate",
			RetryAfterRatio:      0.5,
			MinRetryAfter:        scenario.Duration(300 * time.Millisecond),
		}},
		Destinations: []scenario.Destination{{
			Kind:      "store",
			Count:     size.destinations,
			LimitRate: max(1, 2*l.Rate/float64(size.destinations)),
		}},
		Traffic: []scenario.Traffic{{Rate: l.Rate}},
		Faults: []scenario.Fault{{
			Kind:     scenario.FaultFailCalls,
			Start:    scenario.Duration(l.Length / 2),
			Duration: scenario.Duration(min(10*time.Second, l.Length/4)),
			Share:    0.1,
		}},
	}
	file.SetDefaults()
	return file
}

func largeSimulationClasses() []scenario.Class {
	const lateWeightRatio = 0.4
	return []scenario.Class{
		{
			Name:             "order",
			TrafficShare:     8,
			Effect:           "keyed",
			DedupWindow:      scenario.Duration(10 * time.Second),
			LatencyObjective: scenario.Duration(3 * time.Second),
			Deadline:         scenario.Duration(12 * time.Second),
			LateWeightRatio:  lateWeightRatio,
		},
		{
			Name:             "payment",
			TrafficShare:     1,
			Effect:           "unsafe",
			LatencyObjective: scenario.Duration(3 * time.Second),
			Deadline:         scenario.Duration(10 * time.Second),
			LateWeightRatio:  lateWeightRatio,
		},
		{
			Name:             "status",
			TrafficShare:     1,
			Effect:           "safe",
			LatencyObjective: scenario.Duration(4 * time.Second),
			Deadline:         scenario.Duration(10 * time.Second),
			LateWeightRatio:  lateWeightRatio,
		},
	}
}
