// Package gossip holds the parameters by which load reports spread through a fleet. The membership protocol, its model
// in virtual time and the agent share them: the agent must not publish more than the network's datagrams can carry. It
// is pure.
package gossip

import (
	"math"
	"time"
)

// Parameters that do not depend on the fleet's size.
const (
	// Interval is how often each member sends to a few others.
	Interval = 100 * time.Millisecond
	// MaxDatagramSize bounds the bytes of reports in a datagram, so that no network fragments it.
	MaxDatagramSize = 1350
	// SyncInterval is how often a member exchanges digests with one other; less often in large fleets.
	SyncInterval = 10 * time.Second
	// ClockRequestInterval is how often a member is asked for its clock until it answers.
	ClockRequestInterval = 250 * time.Millisecond
	// MaxDeferredMessages bounds the messages that wait for their sender's clock to be known.
	MaxDeferredMessages = 8
	// ReportsPerDatagram is about how many reports fit a datagram, where each has two destinations.
	ReportsPerDatagram = 12
)

const (
	// minEffectiveSize is the size that a small fleet is taken for: its datagrams get lost like those of a large one.
	minEffectiveSize = 10
	// largeFleetSize is the size from which on each member forwards a report less often, and to more members at once.
	largeFleetSize                 = 99
	smallFleetRetransmitMultiplier = 3
	largeFleetRetransmitMultiplier = 2
	smallFleetFanOut               = 3
	largeFleetFanOut               = 5
	// plannedLoadRatio is the part of the network's capacity that is planned for. The rest is for what is published
	// again where datagrams are lost.
	plannedLoadRatio = 0.8
)

// EffectiveSize is the size that a fleet of n members is taken for.
func EffectiveSize(n int) int { return max(minEffectiveSize, n) }

// FanOut is to how many others each member sends at once.
func FanOut(n int) int {
	if n < largeFleetSize {
		return smallFleetFanOut
	}
	return largeFleetFanOut
}

// RetransmitMultiplier is the factor of the fleet size's order of magnitude in Retransmissions: RetransmitMult of
// memberlist.
func RetransmitMultiplier(n int) int {
	if n < largeFleetSize {
		return smallFleetRetransmitMultiplier
	}
	return largeFleetRetransmitMultiplier
}

// Retransmissions is how often each member forwards a report. One in four hundred members gets none of six copies; what
// it lacks comes with the next version or digest.
func Retransmissions(n int) int {
	return RetransmitMultiplier(n) * int(math.Ceil(math.Log10(float64(EffectiveSize(n)+1))))
}

// MaxReportRate is how many reports a second all members together may publish so that each reaches all others before it
// has to be published again. Each report passes through every member, so that the rate does not grow with the fleet.
func MaxReportRate(n int) float64 {
	return plannedLoadRatio * float64(FanOut(n)*ReportsPerDatagram) / Interval.Seconds() / float64(Retransmissions(n))
}
