package catalog

import (
	"hash/maphash"

	"cherrytrestle.example/cherrytrestle/policy"
)

// endpointSlot is one endpoint. It holds no pointers, so that the garbage collector does not scan the table.
type endpointSlot struct {
	position          uint32 // of the encoding in the arena
	bucketNext        uint32 // the next slot of the same hash bucket
	prev, next        uint32 // neighbors in list order
	prevInDestination uint32 // neighbors in list order among the endpoints of the destination
	nextInDestination uint32
	destination       uint32 // slot index
}

// endpointID returns the id of a slot's endpoint. The result is a part of the stored encoding.
func (c *Catalog) endpointID(i uint32) []byte {
	r := fieldReader(c.arena.bytesAt(c.endpoints.at(i).position))
	return r.bytes()
}

// readEndpoint returns the endpoint of a slot. A caller that has the endpoint's id passes it as id, which saves an
// allocation. Other callers pass "".
func (c *Catalog) readEndpoint(i uint32, id string) Endpoint {
	slot := c.endpoints.at(i)
	var decoded decodedEndpoint
	decoded.parse(c.arena.bytesAt(slot.position))
	if id == "" {
		id = string(decoded.id)
	}
	return Endpoint{
		Endpoint: policy.Endpoint{
			ID:          id,
			Destination: c.destinations.at(slot.destination).id(),
			Kind:        decoded.kind,
			Zone:        decoded.zone,
			Weight:      decoded.weight,
			InService:   decoded.inService,
		},
		Addr: decoded.addr(),
	}
}

// findEndpoint returns the slot of the endpoint with the given id, or none.
func (c *Catalog) findEndpoint(id string) uint32 {
	if c.inSnapshot && c.first != none && string(c.endpointID(c.first)) == id {
		return c.first // snapshots mostly have the order of the one before, so this is the most likely endpoint
	}
	i := c.endpointIndex.first(maphash.String(c.seed, id))
	for i != none && string(c.endpointID(i)) != id {
		i = c.endpoints.at(i).bucketNext
	}
	return i
}

// findEndpointByPosition returns the slot of the endpoint with the given id whose encoding is at the given position, or
// none.
func (c *Catalog) findEndpointByPosition(id []byte, position uint32) uint32 {
	i := c.endpointIndex.first(maphash.Bytes(c.seed, id))
	for i != none && c.endpoints.at(i).position != position {
		i = c.endpoints.at(i).bucketNext
	}
	return i
}

// addEndpoint adds an endpoint of a destination. Its encoding is in scratch.
func (c *Catalog) addEndpoint(destination policy.DestinationID) {
	position := c.storeEncoding()
	i := c.endpoints.add()
	c.endpoints.at(i).position = position
	c.endpointIndex.add(i)
	c.attach(i, destination)
	c.linkLast(i)
	c.moveToSeen(i)
}

// removeEndpoint removes an endpoint. The last slot of the table moves to the free index, so that the table has no
// gaps.
func (c *Catalog) removeEndpoint(i uint32) {
	position := c.endpoints.at(i).position
	c.endpointIndex.remove(i)
	c.detach(i)
	c.unlink(i)
	if last := uint32(c.endpoints.count - 1); last != i {
		c.renumberEndpoint(last, i)
	}
	c.endpoints.pop()
	c.releaseEncoding(position)
}

// renumberEndpoint moves a slot to an index to which nothing refers any more, and updates all links to the slot.
func (c *Catalog) renumberEndpoint(from, to uint32) {
	c.endpointIndex.renumber(from, to)
	slot := c.endpoints.at(to)
	*slot = *c.endpoints.at(from)
	*c.nextLink(slot.prev) = to
	*c.prevLink(slot.next) = to
	d := c.destinations.at(slot.destination)
	*c.nextLinkInDestination(d, slot.prevInDestination) = to
	*c.prevLinkInDestination(d, slot.nextInDestination) = to
	if c.firstSeen == from {
		c.firstSeen = to
	}
}

// moveToSeen marks an endpoint as seen during a snapshot by moving it to the end of the list order. The endpoints not
// seen yet are those in front of firstSeen, so that slots need no mark.
func (c *Catalog) moveToSeen(i uint32) {
	if !c.inSnapshot {
		return
	}
	c.unlink(i)
	c.linkLast(i)
	if c.firstSeen == none {
		c.firstSeen = i
	}
	slot := c.endpoints.at(i)
	d := c.destinations.at(slot.destination)
	if d.last != i {
		c.unlinkInDestination(d, slot)
		c.linkLastInDestination(d, slot, i)
	}
}

// nextLink returns the link from slot i to the next one in list order. If i is none, it returns the link to the first
// slot.
func (c *Catalog) nextLink(i uint32) *uint32 {
	if i == none {
		return &c.first
	}
	return &c.endpoints.at(i).next
}

// prevLink returns the link from slot i to the previous one in list order. If i is none, it returns the link to the
// last slot.
func (c *Catalog) prevLink(i uint32) *uint32 {
	if i == none {
		return &c.last
	}
	return &c.endpoints.at(i).prev
}

// nextLinkInDestination is like nextLink, but among the endpoints of a destination.
func (c *Catalog) nextLinkInDestination(d *destinationSlot, i uint32) *uint32 {
	if i == none {
		return &d.first
	}
	return &c.endpoints.at(i).nextInDestination
}

// prevLinkInDestination is like prevLink, but among the endpoints of a destination.
func (c *Catalog) prevLinkInDestination(d *destinationSlot, i uint32) *uint32 {
	if i == none {
		return &d.last
	}
	return &c.endpoints.at(i).prevInDestination
}

// linkLast adds a slot at the end of the list order.
func (c *Catalog) linkLast(i uint32) {
	slot := c.endpoints.at(i)
	slot.prev = c.last
	slot.next = none
	*c.nextLink(c.last) = i
	c.last = i
}

// unlink removes a slot from the list order.
func (c *Catalog) unlink(i uint32) {
	slot := c.endpoints.at(i)
	if c.firstSeen == i {
		c.firstSeen = slot.next
	}
	*c.nextLink(slot.prev) = slot.next
	*c.prevLink(slot.next) = slot.prev
}

// linkLastInDestination adds a slot at the end of the endpoints of its destination.
func (c *Catalog) linkLastInDestination(d *destinationSlot, slot *endpointSlot, i uint32) {
	slot.prevInDestination = d.last
	slot.nextInDestination = none
	*c.nextLinkInDestination(d, d.last) = i
	d.last = i
}

// unlinkInDestination removes a slot from the endpoints of its destination.
func (c *Catalog) unlinkInDestination(d *destinationSlot, slot *endpointSlot) {
	*c.nextLinkInDestination(d, slot.prevInDestination) = slot.nextInDestination
	*c.prevLinkInDestination(d, slot.nextInDestination) = slot.prevInDestination
}
