// Package catalog stores all endpoints of discovery's list in a compact form, and reports what each new entry changes.
// If the list is long, the relay passes only the destinations in use (WorkingSet) to its engine. All others are
// stored only here. The package is pure: it reads no clock, does no I/O, and equal calls give equal results.
package catalog

import (
	"bytes"
	"hash/maphash"
	"iter"

	"cherrytrestle.example/cherrytrestle/policy"
)

// MaxEagerEndpoints is the number of endpoints up to which a list is passed to the engine as a whole. A Catalog can
// keep at least this number of destinations without endpoints: see HasDestination.
const MaxEagerEndpoints = 4096

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// ChangeKind is the effect of a list entry on the catalog.
type ChangeKind int

const (
	// Unchanged means that the entry has no effect. This includes the removal of an unknown endpoint.
	Unchanged ChangeKind = iota
	// Added means that the endpoint was unknown before.
	Added
	// Updated means that the endpoint's state, weight, zone or kind has changed, but not its address or destination.
	Updated
	// Moved means that the endpoint's address or destination has changed.
	Moved
	// Removed means that the endpoint was removed.
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

// Change is the result of Upsert. Old equals New if the kind is Unchanged, and is empty if it is Added. New is the
// entry as given, also if the kind is Removed.
type Change struct {
	Old, New Endpoint
	Kind     ChangeKind
}

// none stands for no slot where a slot index is expected. Slots have indexes from 1.
const none = 0

// Catalog holds all endpoints of a list. It must be created by New.
type Catalog struct {
	seed    maphash.Seed // of all hashes; affects only the duration of lookups
	arena   byteArena
	scratch []byte // reused for the encoding of the entry that Upsert applies

	endpoints     table[endpointSlot]
	endpointIndex hashIndex // by endpoint id
	first, last   uint32    // the first and the last endpoint in list order: see All
	inSnapshot    bool      // a snapshot is being applied, whose endpoints move to the end of the list order
	firstSeen     uint32    // the first endpoint in list order that the snapshot has named, or none

	destinations     table[destinationSlot]
	freeDestination  uint32    // first unused slot; bucketNext links it to the next one
	destinationIndex hashIndex // by destination id
	nonEmpty         int       // number of destinations with endpoints
	peakNonEmpty     int       // highest nonEmpty so far; a snapshot counts after its sweep
	emptyCount       int       // number of destinations without endpoints
	oldestEmpty      uint32    // destination that has been without endpoints for longest
	newestEmpty      uint32    // destination that has been without endpoints for the shortest time
}

// New returns an empty Catalog.
func New() *Catalog {
	c := &Catalog{seed: maphash.MakeSeed()}
	// Index 0 means none, so the first slot of each table stays unused.
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

// HasDestination reports whether a list has named a destination. The catalog also keeps destinations without endpoints.
// Their number is limited to the highest number of destinations that had endpoints at the same time, or to
// MaxEagerEndpoints if that is more. Beyond the limit, the destination that has been without endpoints for longest is
// removed.
func (c *Catalog) HasDestination(destination policy.DestinationID) bool {
	return c.findDestination(destination) != none
}

// RememberDestination adds a destination without endpoints, unless the catalog has it already. It restores a
// destination that a list has named in an earlier process.
func (c *Catalog) RememberDestination(destination policy.DestinationID) {
	if c.findDestination(destination) == none {
		c.addEmpty(c.newDestination(destination))
	}
}

// RememberedDestinations returns the destinations that a list has named and that have no endpoints now. Destinations
// that have been without endpoints for longest come first.
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

// Endpoint returns the endpoint with the given id, and false if there is none.
func (c *Catalog) Endpoint(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == none {
		return Endpoint{}, false
	}
	return c.readEndpoint(i, id), true
}

// AppendEndpoints appends a destination's endpoints to into, in list order, and returns the extended slice.
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

// All returns all endpoints in list order: first in the order of the last snapshot, then those that later entries have
// added or given another destination. The catalog must not be changed during the iteration.
func (c *Catalog) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		for i := c.first; i != none; i = c.endpoints.at(i).next {
			if !yield(c.readEndpoint(i, "")) {
				return
			}
		}
	}
}

// BeginSnapshot begins a list of all endpoints. The caller passes each entry to Upsert or MarkSeen, and then calls
// Sweep until it is done. An earlier snapshot that was not finished is abandoned, but the changes by its entries
// stay.
func (c *Catalog) BeginSnapshot() {
	c.inSnapshot = true
	c.firstSeen = none
}

// Upsert applies an entry of a list. An entry with Removed set removes the endpoint. During a snapshot, any other entry
// marks the endpoint as seen, and the endpoint moves to the end of the list order.
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
	c.scratch = encodeEndpoint(c.scratch[:0], &e)
	if i == none {
		c.addEndpoint(e.Destination)
		return Change{New: e, Kind: Added}
	}
	slot := c.endpoints.at(i)
	sameDestination := c.destinations.at(slot.destination).id() == e.Destination
	// Encodings contain their lengths, so none is a prefix of another: a match of the prefix is a match of the whole.
	if sameDestination && bytes.HasPrefix(c.arena.bytesAt(slot.position), c.scratch) {
		c.moveToSeen(i)
		return Change{Old: e, New: e, Kind: Unchanged}
	}
	old := c.readEndpoint(i, e.ID)
	c.replaceEncoding(i)
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

// MarkSeen marks an endpoint as seen without changing it, for a snapshot entry that could not be read. It returns the
// endpoint, and false if there is none with this id.
func (c *Catalog) MarkSeen(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == none {
		return Endpoint{}, false
	}
	e := c.readEndpoint(i, id)
	c.moveToSeen(i)
	return e, true
}

// Sweep removes the endpoints that the snapshot has not named, in list order. It is called after the last entry of the
// snapshot. Each call removes at most maxRemoved endpoints, and reports done once all are removed.
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
