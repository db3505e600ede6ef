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
	// maxReorderDelay is the longest extra delay of a datagram on a reordering link.
	maxReorderDelay = 30 * time.Millisecond
	// maxClockDrift bounds the difference in speed between the clocks of two relays, as a ratio.
	maxClockDrift = 0.01
)

// fleetNetwork is the network between the relays, with checks of the reports that relays hold. It models gossip with
// the parameters of package gossip: each relay sends updated reports to a few others at a time, a receiver forwards the
// reports that updated its own table, and relays exchange digests at intervals. The model leaves out the encoding and
// the membership protocol: each relay sends to any relay of the world.
type fleetNetwork struct {
	world          *World
	random         *rand.Rand
	linkFaults     map[string]scenario.Step // the last step for each link, by link name; no entry: healthy
	clockDrift     []float64                // how much faster than the world each relay's clock is, as a ratio
	absurdRelay    int                      // see Options.AbsurdReporter, counted from 0; below 0: none
	duplicateRelay int                      // see Options.NameDuplicate, counted from 0; below 0: none
	mergedFleets   int                      // see Options.MergedFleets; 1 at least

	datagramCount int
	byteCount     int // approximate size of the reports and quota messages of all datagrams
	fleetChecks
}

// newFleetNetwork returns the network between the relays, or nil if the plan does not enable a fleet.
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

// applyLinkStep applies a step of the plan to a link. It does nothing if the relays are not linked.
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

// drawDelays draws a delay for each copy of a datagram that arrives. There is usually one copy, none if the datagram is
// lost, and two if the link duplicates it.
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

// drawReordered draws the delays on a link that duplicates a ratio of the datagrams, and independently delays the same
// ratio of them by maxReorderDelay.
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
