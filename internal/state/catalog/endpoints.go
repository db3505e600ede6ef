package catalog

import (
	"hash/maphash"

	"cherrytrestle.example/cherrytrestle/policy"
)

// endpointSlot is one endpoint. It holds no pointers, so that the garbage collector skips the table.
type endpointSlot struct {
	text              uint32 // position in the arena
	bucketNext        uint32 // the next slot of its bucket
	prev, next        uint32 // in the order listed
	prevInDestination uint32 // in the order listed of its destination
	nextInDestination uint32
	destination       uint32
}

// endpointID returns a slot's id, as its text holds it.
func (c *Catalog) endpointID(i uint32) []byte {
	r := textReader(c.texts.bytesAt(c.endpoints.at(i).text))
	return r.bytes()
}

// readEndpoint returns the endpoint of a slot. id is its own if the caller has it, which saves an allocation; else "".
func (c *Catalog) readEndpoint(i uint32, id string) Endpoint {
	slot := c.endpoints.at(i)
	var t endpointText
	t.parse(c.texts.bytesAt(slot.text))
	if id == "" {
		id = string(t.id)
	}
	return Endpoint{
		Endpoint: policy.Endpoint{
			ID:          id,
			Destination: c.destinations.at(slot.destination).id(),
			Kind:        t.kind,
			Zone:        t.zone,
			Weight:      t.weight,
			InService:   t.inService,
		},
		Addr: t.addr(),
	}
}

// findEndpoint returns an id's slot, or none.
func (c *Catalog) findEndpoint(id string) uint32 {
	if c.inSnapshot && c.first != none && string(c.endpointID(c.first)) == id {
		return c.first // a snapshot mostly names its entries in the order of the last one
	}
	i := c.endpointIndex.first(maphash.String(c.seed, id))
	for i != none && string(c.endpointID(i)) != id {
		i = c.endpoints.at(i).bucketNext
	}
	return i
}

// findEndpointByText returns the slot with this id whose text is at a position, or none.
func (c *Catalog) findEndpointByText(id []byte, text uint32) uint32 {
	i := c.endpointIndex.first(maphash.Bytes(c.seed, id))
	for i != none && c.endpoints.at(i).text != text {
		i = c.endpoints.at(i).bucketNext
	}
	return i
}

// addEndpoint adds an endpoint of a destination with the text in scratch.
func (c *Catalog) addEndpoint(destination policy.DestinationID) {
	text := c.storeText()
	i := c.endpoints.add()
	c.endpoints.at(i).text = text
	c.endpointIndex.add(i)
	c.attach(i, destination)
	c.linkLast(i)
	c.moveToSeen(i)
}

// removeEndpoint removes an endpoint. The last slot takes its index, so that the table has no gaps.
func (c *Catalog) removeEndpoint(i uint32) {
	text := c.endpoints.at(i).text
	c.endpointIndex.remove(i)
	c.detach(i)
	c.unlink(i)
	if last := uint32(c.endpoints.count - 1); last != i {
		c.renumberEndpoint(last, i)
	}
	c.endpoints.pop()
	c.releaseText(text)
}

// renumberEndpoint moves a slot to another index, which nothing refers to any more.
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

// moveToSeen has an endpoint count as seen in a snapshot: it moves to the end. What was not seen is so what stands in
// front, and needs no mark.
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

// nextLink returns what refers to the slot behind i in the order listed; behind none is the first.
func (c *Catalog) nextLink(i uint32) *uint32 {
	if i == none {
		return &c.first
	}
	return &c.endpoints.at(i).next
}

// prevLink returns what refers to the slot before i in the order listed; before none is the last.
func (c *Catalog) prevLink(i uint32) *uint32 {
	if i == none {
		return &c.last
	}
	return &c.endpoints.at(i).prev
}

// nextLinkInDestination is nextLink within a destination.
func (c *Catalog) nextLinkInDestination(d *destinationSlot, i uint32) *uint32 {
	if i == none {
		return &d.first
	}
	return &c.endpoints.at(i).nextInDestination
}

// prevLinkInDestination is prevLink within a destination.
func (c *Catalog) prevLinkInDestination(d *destinationSlot, i uint32) *uint32 {
	if i == none {
		return &d.last
	}
	return &c.endpoints.at(i).prevInDestination
}

// linkLast puts a slot at the end of the order listed.
func (c *Catalog) linkLast(i uint32) {
	slot := c.endpoints.at(i)
	slot.prev = c.last
	slot.next = none
	*c.nextLink(c.last) = i
	c.last = i
}

// unlink takes a slot out of the order listed.
func (c *Catalog) unlink(i uint32) {
	slot := c.endpoints.at(i)
	if c.firstSeen == i {
		c.firstSeen = slot.next
	}
	*c.nextLink(slot.prev) = slot.next
	*c.prevLink(slot.next) = slot.prev
}

// linkLastInDestination puts a slot at the end of its destination.
func (c *Catalog) linkLastInDestination(d *destinationSlot, slot *endpointSlot, i uint32) {
	slot.prevInDestination = d.last
	slot.nextInDestination = none
	*c.nextLinkInDestination(d, d.last) = i
	d.last = i
}

// unlinkInDestination takes a slot out of the order of its destination.
func (c *Catalog) unlinkInDestination(d *destinationSlot, slot *endpointSlot) {
	*c.nextLinkInDestination(d, slot.prevInDestination) = slot.nextInDestination
	*c.prevLinkInDestination(d, slot.nextInDestination) = slot.prevInDestination
}
