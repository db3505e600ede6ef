// Package gossip holds how news of a fleet's members goes round: the figures that the link, its model in virtual time
// and the seam share. The seam must not tell more than the links have room for. It is pure.
package gossip

import (
	"math"
	"time"
)

// The figures that do not depend on the fleet's size.
const (
	Interval        = 100 * time.Millisecond // each member tells a few others
	MaxDatagramSize = 1350                   // of news at most, so that no network splits it
	// digests are exchanged with one other so often, less often in large fleets
	SyncInterval         = 10 * time.Second
	ClockRequestInterval = 250 * time.Millisecond // another is asked for its clock, until it answers
	MaxDeferredMessages  = 8                      // messages that wait for their sender's clock to be known

	// ReportsPerDatagram is what fits one, more or less, where a page tells of two destinations.
	ReportsPerDatagram = 12

	minEffectiveSize               = 10 // that a fleet's size is taken for: a small one's datagrams get lost like a large one's
	largeFleetSize                 = 99 // members from which on a page is sent on less often by each, and to more at once
	smallFleetRetransmitMultiplier = 3
	largeFleetRetransmitMultiplier = 2
	smallFleetFanOut               = 3
	largeFleetFanOut               = 5
	// of what the links carry, that is planned for: the rest is what is told anew where datagrams are lost
	plannedLoadRatio = 0.8
)

// EffectiveSize is the size that a fleet of n members is taken for.
func EffectiveSize(n int) int { return max(minEffectiveSize, n) }

// FanOut is how many others each member tells at once.
func FanOut(n int) int {
	if n < largeFleetSize {
		return smallFleetFanOut
	}
	return largeFleetFanOut
}

// RetransmitMultiplier is what the order of magnitude of a fleet's size is multiplied with for Times: memberlist's
// RetransmitMult.
func RetransmitMultiplier(n int) int {
	if n < largeFleetSize {
		return smallFleetRetransmitMultiplier
	}
	return largeFleetRetransmitMultiplier
}

// Retransmissions is how often each member sends a page on. One in four hundred members is not met by any of six; what
// they lack comes with the next version or digest.
func Retransmissions(n int) int {
	return RetransmitMultiplier(n) * int(math.Ceil(math.Log10(float64(EffectiveSize(n)+1))))
}

// MaxReportRate is how many pages a second a fleet's members may tell in all, for all to hear of each before it has to
// be told again. Each page passes over every member's links, so that it does not grow with the fleet.
func MaxReportRate(n int) float64 {
	return plannedLoadRatio * float64(FanOut(n)*ReportsPerDatagram) / Interval.Seconds() / float64(Retransmissions(n))
}
