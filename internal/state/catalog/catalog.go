// Package catalog holds all endpoints of discovery's list in a compact form, and reports what changes between any two
// lists. A relay with a long list passes to its decision module only the destinations in use (WorkingSet); all others
// are stored here. The package is pure: no clock, no I/O, and equal calls give equal results.
package catalog

import (
	"bytes"
	"hash/maphash"
	"iter"

	"cherrytrestle.example/cherrytrestle/policy"
)

// MaxEagerEndpoints is how many endpoints a list may have that is passed to the decision module as a whole, and how
// many destinations without endpoints are remembered at least.
const MaxEagerEndpoints = 4096

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// ChangeKind says what an entry changes.
type ChangeKind int

const (
	// Unchanged is an entry that changes nothing. So is the removal of an endpoint that is not known.
	Unchanged ChangeKind = iota
	// Added is an entry of an endpoint that was not known.
	Added
	// Updated is one with another state, weight, zone or kind.
	Updated
	// Moved is one with another address or destination.
	Moved
	// Removed is the removal of an endpoint.
	Removed
)

// String returns the kind's name.
func (k ChangeKind) String() string {
	switch k {
	case Unchanged:
		return "unchanged"
	case Added:
		return "added"
	case Updated:
		return "updated"
	case Moved:
		return "moved"
	case Removed:
		return "removed"
	}
	return "unknown"
}

// Change is what Upsert did. Old equals New after Unchanged, and is empty after Added. After Removed New is the entry
// as given.
type Change struct {
	Old, New Endpoint
	Kind     ChangeKind
}

// none is the index of no slot. Slots have indexes from 1 on.
const none = 0

// Catalog holds all endpoints. It must be made by New.
type Catalog struct {
	seed    maphash.Seed // affects only how long a search takes
	texts   textArena
	scratch []byte // reused for the text of the entry that is upserted

	endpoints     table[endpointSlot]
	endpointIndex hashIndex // by id
	first, last   uint32    // in the order listed
	inSnapshot    bool      // a snapshot is being read: the endpoints that it has named are moved to the end
	firstSeen     uint32    // the first of those

	destinations     table[destinationSlot]
	freeDestination  uint32    // unused slots, by bucketNext
	destinationIndex hashIndex // by id
	nonEmpty         int       // destinations with an endpoint
	peakNonEmpty     int       // its maximum, without endpoints that a snapshot has yet to sweep
	emptyCount       int       // destinations without an endpoint
	oldestEmpty      uint32    // the one that has been without for longest
	newestEmpty      uint32
}

// New returns an empty Catalog.
func New() *Catalog {
	c := &Catalog{seed: maphash.MakeSeed()}
	// The slots with index none.
	c.endpoints.add()
	c.destinations.add()
	c.endpointIndex = newHashIndex(
		func(i uint32) *uint32 { return &c.endpoints.at(i).bucketNext },
		func(i uint32) uint64 { return maphash.Bytes(c.seed, c.endpointID(i)) },
	)
	c.destinationIndex = newHashIndex(
		func(i uint32) *uint32 { return &c.destinations.at(i).bucketNext },
		func(i uint32) uint64 { return maphash.Comparable(c.seed, c.destinations.at(i).id()) },
	)
	return c
}

// EndpointCount returns the number of endpoints.
func (c *Catalog) EndpointCount() int { return c.endpoints.count - 1 }

// DestinationCount returns the number of destinations that have an endpoint.
func (c *Catalog) DestinationCount() int { return c.nonEmpty }

// HasDestination reports whether a list has named a destination. Of those without an endpoint as many are remembered as
// the most that ever had one at a time, or MaxEagerEndpoints if that is more. Those that have been without for longest
// are forgotten first.
func (c *Catalog) HasDestination(destination policy.DestinationID) bool {
	return c.findDestination(destination) != none
}

// RememberDestination has a destination count as named, as an earlier process knew it.
func (c *Catalog) RememberDestination(destination policy.DestinationID) {
	if c.findDestination(destination) == none {
		c.addEmpty(c.newDestination(destination))
	}
}

// RememberedDestinations returns the destinations that a list has named and that have no endpoint now, those that have
// been without for longest first.
func (c *Catalog) RememberedDestinations() iter.Seq[policy.DestinationID] {
	return func(yield func(policy.DestinationID) bool) {
		for i := c.oldestEmpty; i != none; {
			d := c.destinations.at(i)
			if !yield(d.id()) {
				return
			}
			i = d.newerEmpty()
		}
	}
}

// Endpoint returns what is known of an id.
func (c *Catalog) Endpoint(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == none {
		return Endpoint{}, false
	}
	return c.readEndpoint(i, id), true
}

// AppendEndpoints appends a destination's endpoints, in the order listed.
func (c *Catalog) AppendEndpoints(destination policy.DestinationID, into []Endpoint) []Endpoint {
	d := c.findDestination(destination)
	if d == none || c.destinations.at(d).empty() {
		return into
	}
	for i := c.destinations.at(d).first; i != none; i = c.endpoints.at(i).nextInDestination {
		into = append(into, c.readEndpoint(i, ""))
	}
	return into
}

// All returns all endpoints in the order listed: as the last snapshot named them, followed by those that later entries
// added. The catalog must not be changed meanwhile.
func (c *Catalog) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		for i := c.first; i != none; i = c.endpoints.at(i).next {
			if !yield(c.readEndpoint(i, "")) {
				return
			}
		}
	}
}

// BeginSnapshot begins a list of all endpoints: its entries follow by Upsert and MarkSeen, then Sweep. A snapshot that
// broke off before is abandoned; what its entries changed stays.
func (c *Catalog) BeginSnapshot() {
	c.inSnapshot = true
	c.firstSeen = none
}

// Upsert takes an entry of a list. One with Removed set removes the endpoint. In a snapshot the endpoint counts as
// seen, and follows those seen before in the order listed.
func (c *Catalog) Upsert(e Endpoint) Change {
	i := c.findEndpoint(e.ID)
	switch {
	case e.Removed && i == none:
		return Change{Old: e, New: e, Kind: Unchanged}
	case e.Removed:
		old := c.readEndpoint(i, e.ID)
		c.removeEndpoint(i)
		return Change{Old: old, New: e, Kind: Removed}
	}
	c.scratch = appendText(c.scratch[:0], &e)
	if i == none {
		c.addEndpoint(e.Destination)
		return Change{New: e, Kind: Added}
	}
	slot := c.endpoints.at(i)
	sameDestination := c.destinations.at(slot.destination).id() == e.Destination
	// A text states its own length: one that begins with another is equal to it.
	if sameDestination && bytes.HasPrefix(c.texts.bytesAt(slot.text), c.scratch) {
		c.moveToSeen(i)
		return Change{Old: e, New: e, Kind: Unchanged}
	}
	old := c.readEndpoint(i, e.ID)
	c.replaceText(i)
	if !sameDestination {
		c.detach(i)
		c.attach(i, e.Destination)
		c.unlink(i)
		c.linkLast(i)
	}
	c.moveToSeen(i)
	if sameDestination && old.Addr == e.Addr {
		return Change{Old: old, New: e, Kind: Updated}
	}
	return Change{Old: old, New: e, Kind: Moved}
}

// MarkSeen has an endpoint whose entry could not be read count as seen. What is known of it stays.
func (c *Catalog) MarkSeen(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == none {
		return Endpoint{}, false
	}
	e := c.readEndpoint(i, id)
	c.moveToSeen(i)
	return e, true
}

// Sweep removes, after the last entry of a snapshot, the endpoints that were not seen, in the order listed, and at most
// maxRemoved of them. It reports whether none is left.
func (c *Catalog) Sweep(maxRemoved int) (removed []Endpoint, done bool) {
	for ; c.inSnapshot && c.first != c.firstSeen && maxRemoved > 0; maxRemoved-- {
		removed = append(removed, c.readEndpoint(c.first, ""))
		c.removeEndpoint(c.first)
	}
	if c.inSnapshot && c.first == c.firstSeen {
		c.inSnapshot = false
		c.firstSeen = none
		c.peakNonEmpty = max(c.peakNonEmpty, c.nonEmpty)
	}
	return removed, !c.inSnapshot
}
