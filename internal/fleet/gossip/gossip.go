// Package gossip holds the parameters by which load reports spread through a fleet. The membership protocol, its
// simulation in virtual time and the agent share them, because the agent must not publish more reports than the
// datagrams of the protocol can carry. The package has no state and no I/O.
package gossip

import (
	"math"
	"time"
)

// Parameters that do not depend on the fleet's size.
const (
	// Interval is the time between two gossip rounds of a member. In each round it sends to FanOut other members.
	Interval = 100 * time.Millisecond
	// MaxDatagramSize bounds the bytes of reports in a datagram, so that no network fragments the datagram.
	MaxDatagramSize = 1350
	// SyncInterval is the time between two exchanges of digests of a member with one other. It is longer in large
	// fleets.
	SyncInterval = 10 * time.Second
	// ClockRequestInterval is the time between two clock requests to a member that has not answered.
	ClockRequestInterval = 250 * time.Millisecond
	// MaxDeferredMessages bounds the messages of one sender that are deferred until its clock is known.
	MaxDeferredMessages = 8
	// ReportsPerDatagram is the approximate number of reports that fit a datagram if each has two destinations.
	ReportsPerDatagram = 12
)

const (
	// minEffectiveSize is the number of members that a smaller fleet is assumed to have. A small fleet loses datagrams
	// as often as a large one, so it needs as many retransmissions.
	minEffectiveSize = 10
	// largeFleetSize is the number of members from which on the parameters of large fleets apply: a smaller
	// RetransmitMultiplier and a greater FanOut.
	largeFleetSize                 = 99
	smallFleetRetransmitMultiplier = 3
	largeFleetRetransmitMultiplier = 2
	smallFleetFanOut               = 3
	largeFleetFanOut               = 5
	// plannedLoadRatio is the fraction of the gossip capacity that MaxReportRate uses. The remainder is for reports
	// that are published again because datagrams were lost.
	plannedLoadRatio = 0.8
)

// EffectiveSize is the number of members that Retransmissions assumes for a fleet of n members.
func EffectiveSize(n int) int { return max(minEffectiveSize, n) }

// FanOut is the number of other members that a member sends to in one gossip round, in a fleet of n members.
func FanOut(n int) int {
	if n < largeFleetSize {
		return smallFleetFanOut
	}
	return largeFleetFanOut
}

// RetransmitMultiplier is the number of retransmissions per order of magnitude of the fleet size n. It is
// RetransmitMult of memberlist.
func RetransmitMultiplier(n int) int {
	if n < largeFleetSize {
		return smallFleetRetransmitMultiplier
	}
	return largeFleetRetransmitMultiplier
}

// Retransmissions is how many copies of a report each member sends in a fleet of n members. If each member sends six
// copies, one in four hundred members receives none. It gets the report by an exchange of digests, or gets the report's
// next version.
func Retransmissions(n int) int {
	return RetransmitMultiplier(n) * int(math.Ceil(math.Log10(float64(EffectiveSize(n)+1))))
}

// MaxReportRate is how many reports a second all n members together may publish so that each report reaches all members
// before it has to be published again. Every member forwards every report, so the rate does not grow with the fleet.
func MaxReportRate(n int) float64 {
	return plannedLoadRatio * float64(FanOut(n)*ReportsPerDatagram) / Interval.Seconds() / float64(Retransmissions(n))
}
