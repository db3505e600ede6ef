package catalog

import (
	"hash/maphash"

	"cherrytrestle.example/cherrytrestle/policy"
)

// destinationSlot is one destination that a list has named. Its 64-bit id is stored in two halves, so that the slot has
// no padding.
type destinationSlot struct {
	idLow, idHigh uint32
	bucketNext    uint32 // the next slot of the same hash bucket; in an unused slot, the next unused one
	// first and last are the first and the last endpoint of the destination. If it has no endpoints, they link it into
	// the list of empty destinations: first is the one that became empty before it, with emptyMark set, and last is the
	// one that became empty after it.
	first, last uint32
}

// emptyMark in destinationSlot.first marks a destination without endpoints. Slot indexes do not use this bit.
const emptyMark = 1 << 31

func (d *destinationSlot) id() policy.DestinationID {
	return policy.DestinationID(uint64(d.idHigh)<<32 | uint64(d.idLow))
}

// empty reports whether the destination is in the list of empty destinations.
func (d *destinationSlot) empty() bool { return d.first&emptyMark != 0 }

// olderEmpty returns the destination that became empty before this one, or none.
func (d *destinationSlot) olderEmpty() uint32 { return d.first &^ emptyMark }

// newerEmpty returns the destination that became empty after this one, or none.
func (d *destinationSlot) newerEmpty() uint32 { return d.last }

// findDestination returns a destination's slot, or none.
func (c *Catalog) findDestination(destination policy.DestinationID) uint32 {
	i := c.destinationIndex.first(maphash.Comparable(c.seed, destination))
	for i != none && c.destinations.at(i).id() != destination {
		i = c.destinations.at(i).bucketNext
	}
	return i
}

// newDestination adds a destination that has no endpoints and is not in the list of empty destinations. The caller adds
// an endpoint to it or adds it to that list.
func (c *Catalog) newDestination(destination policy.DestinationID) uint32 {
	i := c.freeDestination
	if i == none {
		i = c.destinations.add()
	} else {
		c.freeDestination = c.destinations.at(i).bucketNext
	}
	*c.destinations.at(i) = destinationSlot{idLow: uint32(destination), idHigh: uint32(uint64(destination) >> 32)}
	c.destinationIndex.add(i)
	return i
}

// attach appends an endpoint to those of a destination. It adds the destination if the catalog lacks it.
func (c *Catalog) attach(endpoint uint32, destination policy.DestinationID) {
	i := c.findDestination(destination)
	if i == none {
		i = c.newDestination(destination)
	}
	d := c.destinations.at(i)
	if d.empty() {
		c.removeEmpty(d)
	}
	if d.first == none {
		c.nonEmpty++
	}
	if !c.inSnapshot {
		c.peakNonEmpty = max(c.peakNonEmpty, c.nonEmpty)
	}
	slot := c.endpoints.at(endpoint)
	slot.destination = i
	c.linkLastInDestination(d, slot, endpoint)
}

// detach removes an endpoint from its destination. If it was the last one, the destination becomes empty.
func (c *Catalog) detach(endpoint uint32) {
	slot := c.endpoints.at(endpoint)
	d := c.destinations.at(slot.destination)
	c.unlinkInDestination(d, slot)
	if d.first == none {
		c.nonEmpty--
		c.addEmpty(slot.destination)
	}
}

// addEmpty appends a destination to the list of empty destinations, and removes the oldest one if they are too many.
func (c *Catalog) addEmpty(i uint32) {
	d := c.destinations.at(i)
	d.first = c.newestEmpty | emptyMark
	d.last = none
	if c.newestEmpty == none {
		c.oldestEmpty = i
	} else {
		c.destinations.at(c.newestEmpty).last = i
	}
	c.newestEmpty = i
	c.emptyCount++
	if c.emptyCount > max(MaxEagerEndpoints, c.peakNonEmpty) {
		c.removeDestination(c.oldestEmpty)
	}
}

// removeDestination removes an empty destination from the catalog and frees its slot.
func (c *Catalog) removeDestination(i uint32) {
	d := c.destinations.at(i)
	c.removeEmpty(d)
	c.destinationIndex.remove(i)
	d.bucketNext = c.freeDestination
	c.freeDestination = i
}

// removeEmpty removes a destination from the list of empty destinations.
func (c *Catalog) removeEmpty(d *destinationSlot) {
	older := d.olderEmpty()
	newer := d.newerEmpty()
	if older == none {
		c.oldestEmpty = newer
	} else {
		c.destinations.at(older).last = newer
	}
	if newer == none {
		c.newestEmpty = older
	} else {
		c.destinations.at(newer).first = older | emptyMark
	}
	d.first = none
	d.last = none
	c.emptyCount--
}
