// Package gossip holds how news of a fleet's members goes round: the figures that the link, its model in virtual time and the seam share. The
// seam must not tell more than the links have room for. It is pure.
package gossip

import (
	"math"
	"time"
)

// The figures that do not depend on the fleet's size.
const (
	Every         = 100 * time.Millisecond // each member tells a few others
	DatagramBytes = 1350                   // of news at most, so that no network splits it
	SyncEvery     = 10 * time.Second       // digests are exchanged with one other so often, less often in large fleets
	AskEvery      = 250 * time.Millisecond // another is asked for its clock, until it answers
	AsideMost     = 8                      // messages that wait for their sender's clock to be known

	// PagesInDatagram is what fits one, more or less, where a page tells of two destinations.
	PagesInDatagram = 12

	nodesLeast  = 10 // that a fleet's size is taken for: a small one's datagrams get lost like a large one's
	largeFleet  = 99 // members from which on a page is sent on less often by each, and to more at once
	multFew     = 3
	multMany    = 2
	targetsFew  = 3
	targetsMany = 5
	roomShare   = 0.8 // of what the links carry, that is planned for: the rest is what is told anew where datagrams are lost
)

// Nodes is the size that a fleet of n members is taken for.
func Nodes(n int) int { return max(nodesLeast, n) }

// Targets is how many others each member tells at once.
func Targets(n int) int {
	if n < largeFleet {
		return targetsFew
	}
	return targetsMany
}

// Mult is what the order of magnitude of a fleet's size is multiplied with for Times: memberlist's RetransmitMult.
func Mult(n int) int {
	if n < largeFleet {
		return multFew
	}
	return multMany
}

// Times is how often each member sends a page on. One in four hundred members is not met by any of six; what they lack comes with the next
// version or digest.
func Times(n int) int { return Mult(n) * int(math.Ceil(math.Log10(float64(Nodes(n)+1)))) }

// Room is how many pages a second a fleet's members may tell in all, for all to hear of each before it has to be told again. Each page passes over every
// member's links, so that it does not grow with the fleet.
func Room(n int) float64 {
	return roomShare * float64(Targets(n)*PagesInDatagram) / Every.Seconds() / float64(Times(n))
}
