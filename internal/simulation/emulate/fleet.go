package emulate

import (
	"math/rand/v2"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	// linkLatency is the one-way latency between relays.
	linkLatency = 500 * time.Microsecond
	// maxReorderDelay is by how long a reordering link delays datagrams.
	maxReorderDelay = 30 * time.Millisecond
	// maxClockDrift is by how much the clocks of two relays differ in speed, as a ratio.
	maxClockDrift = 0.01
)

// fleetNetwork is the network between the relays, and what is true about the reports on it. It models the gossip of
// package gossip: each relay sends news to a few others at a time, they forward what is news to them, and now and then
// relays exchange digests. It leaves out membership, as each relay tries all members of its list, and the encoding.
type fleetNetwork struct {
	world          *World
	random         *rand.Rand
	linkFaults     map[string]scenario.Step // by the names of the links; none: healthy
	clockDrift     []float64                // by relay, as a ratio
	absurdRelay    int                      // see Options.AbsurdReporter, counted from 0; below 0: none
	duplicateRelay int                      // see Options.NameDuplicate, likewise
	mergedFleets   int                      // see Options.MergedFleets

	datagramCount int
	byteCount     int // the approximate size of all datagrams
	fleetChecks
}

// newFleetNetwork returns the network between the relays; nil if the plan has none.
func newFleetNetwork(w *World) *fleetNetwork {
	if !w.plan.File.Fleet.Enabled {
		return nil
	}
	n := &fleetNetwork{
		world:          w,
		random:         engine.NewRandom(w.plan.Seed, "fleet", 0),
		linkFaults:     map[string]scenario.Step{},
		absurdRelay:    w.options.AbsurdReporter - 1,
		duplicateRelay: w.options.NameDuplicate - 1,
		mergedFleets:   max(1, w.options.MergedFleets),
		fleetChecks:    newFleetChecks(),
	}
	for range w.plan.File.Relays {
		n.clockDrift = append(n.clockDrift, (n.random.Float64()-0.5)*maxClockDrift)
	}
	w.ScheduleAfter(checkInterval, n.checkAll)
	return n
}

// sameFleet reports whether two relays belong to one fleet.
func (n *fleetNetwork) sameFleet(a, b int) bool { return a%n.mergedFleets == b%n.mergedFleets }

// applyLinkStep carries out a step of the plan about a link. Without a network there are no links.
func (n *fleetNetwork) applyLinkStep(s scenario.Step) {
	if n == nil {
		return
	}
	state := eventlog.LinkFaulty
	switch s.Op {
	case scenario.OpLinkCut:
		state = eventlog.LinkCut
	case scenario.OpLinkRestore:
		state = eventlog.LinkHealthy
	}
	from, to := scenario.LinkEnds(s.Target)
	n.world.record(eventlog.Event{
		Kind:  eventlog.LinkChanged,
		Relay: from,
		Name:  to,
		State: state,
		Cause: string(s.Op),
	})
	n.linkFaults[s.Target] = s
}

// connected reports whether the link from one relay to another is not cut.
func (n *fleetNetwork) connected(from, to *relay) bool {
	return n.linkFaults[scenario.LinkName(from.name, to.name)].Op != scenario.OpLinkCut
}

// drawDelays draws after which delays a datagram arrives: usually there is one, none if it is lost, and two if the link
// duplicates it.
func (n *fleetNetwork) drawDelays(from, to *relay) []time.Duration {
	switch fault := n.linkFaults[scenario.LinkName(from.name, to.name)]; fault.Op {
	case scenario.OpLinkCut:
		return nil
	case scenario.OpLinkLoss:
		if n.random.Float64() < fault.Value {
			return nil
		}
	case scenario.OpLinkDelay:
		return []time.Duration{linkLatency + fault.Duration}
	case scenario.OpLinkThrottle:
		transmission := gossip.MaxDatagramSize / fault.Value * float64(time.Second)
		return []time.Duration{linkLatency + time.Duration(transmission)}
	case scenario.OpLinkReorder:
		return n.drawReordered(fault.Value)
	}
	return []time.Duration{linkLatency}
}

// drawReordered draws the delays on a link that duplicates a ratio of the datagrams, and delays the same ratio.
func (n *fleetNetwork) drawReordered(ratio float64) []time.Duration {
	delays := []time.Duration{linkLatency}
	if n.random.Float64() < ratio {
		delays = append(delays, linkLatency+time.Duration(n.random.Int64N(int64(maxReorderDelay))))
	}
	if n.random.Float64() < ratio {
		delays[0] += maxReorderDelay
	}
	return delays
}
