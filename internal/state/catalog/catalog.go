// Package catalog keeps all endpoints of discovery's list in little room, and tells what changed between any two lists.
// A relay whose list is long tells its decision module of the destinations in use alone (WorkingSet); the rest stands
// here. It is pure: no clock, no I/O, and equal calls give equal results.
package catalog

import (
	"bytes"
	"encoding/binary"
	"hash/maphash"
	"iter"
	"math"
	"math/bits"
	"net/netip"

	"cherrytrestle.example/cherrytrestle/policy"
)

// MaxEagerEndpoints is how many endpoints a list may have that is told to the module whole, and how many removed
// destinations are remembered at least.
const MaxEagerEndpoints = 4096

// Endpoint is one entry of discovery's list.
type Endpoint struct {
	policy.Endpoint
	Addr string
}

// ChangeKind is what an entry does to what was known.
type ChangeKind int

// The kinds of change.
const (
	Unchanged ChangeKind = iota // nothing; also the removal of what is not known
	Added                       // it was not known
	Updated                     // its state, weight, zone or kind differs
	Moved                       // its address or destination differs
	Removed
)

// Change is what Put did. Was is as Is after Same, and empty after Added; of what was removed Is is as given.
type Change struct {
	Old, New Endpoint
	Kind     ChangeKind
}

// endpointSlot is one endpoint. Numbers of slots and places begin at 1; 0 is none.
type endpointSlot struct {
	text        uint32 // where its text stands
	bucketNext  uint32 // next of its bucket
	prev, next  uint32 // in the order listed
	destPrev    uint32 // the same within its destination
	destNext    uint32
	destination uint32
}

// destinationSlot is one destination that a list has named. Its number is in two halves, for a record without padding.
type destinationSlot struct {
	low, high  uint32
	bucketNext uint32 // next of its bucket, or the next free place
	// its endpoints; of a destination without: bare and the one before, and the one after, in the order that they lost
	// the last
	first, last uint32
}

const emptyMark = 1 << 31 // no number of a slot or place has this bit

func (p *destinationSlot) id() int { return int(uint64(p.high)<<32 | uint64(p.low)) }

func (p *destinationSlot) empty() bool { return p.first&emptyMark != 0 }

// Catalog is all endpoints. It must be made by New.
type Catalog struct {
	seed    maphash.Seed // decides only how long a search takes
	texts   textArena
	scratch []byte // the text of the entry that is put

	endpoints     table[endpointSlot]
	endpointIndex hashIndex
	first, last   uint32 // in the order listed
	inSnapshot    bool   // a whole list is being read: what it has named is moved to the end
	firstSeen     uint32 // the first of those; 0: none yet

	destinations             table[destinationSlot]
	freeDestination          uint32 // places, by chain
	destinationIndex         hashIndex
	nonEmpty                 int // places with an endpoint
	peakNonEmpty             int // so many at one time, apart from those that a whole list was yet to sweep
	emptyCount               int // places without one
	oldestEmpty, newestEmpty uint32
}

// New returns a Catalog of nothing.
func New() *Catalog {
	c := &Catalog{seed: maphash.MakeSeed()}
	c.endpoints.add() // 0 is none
	c.destinations.add()
	c.endpointIndex = newHashIndex(func(i uint32) *uint32 { return &c.endpoints.at(i).bucketNext },
		func(i uint32) uint64 { return maphash.Bytes(c.seed, c.endpointID(i)) })
	c.destinationIndex = newHashIndex(func(i uint32) *uint32 { return &c.destinations.at(i).bucketNext },
		func(i uint32) uint64 { return maphash.Comparable(c.seed, c.destinations.at(i).id()) })
	return c
}

// EndpointCount is how many there are.
func (c *Catalog) EndpointCount() int { return c.endpoints.count - 1 }

// DestinationCount is how many have an endpoint now.
func (c *Catalog) DestinationCount() int { return c.nonEmpty }

// HasDestination tells whether a list has named a destination. Of those without an endpoint now as many are remembered
// as the most that ever had one, or MaxEagerEndpoints if that is more: those longest without are forgotten first.
func (c *Catalog) HasDestination(dest int) bool {
	return c.findDestination(dest) != 0
}

// RememberDestination has a destination count as named, as an earlier process knew it.
func (c *Catalog) RememberDestination(dest int) {
	if c.findDestination(dest) == 0 {
		c.addEmpty(c.newDestination(dest))
	}
}

// RememberedDestinations are the destinations that a list has named and that have no endpoint now, those longest
// without first.
func (c *Catalog) RememberedDestinations() iter.Seq[int] {
	return func(yield func(int) bool) {
		for p := c.oldestEmpty; p != 0; {
			x := c.destinations.at(p)
			if !yield(x.id()) {
				return
			}
			p = x.last
		}
	}
}

// Endpoint returns what is known of an id.
func (c *Catalog) Endpoint(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == 0 {
		return Endpoint{}, false
	}
	return c.readEndpoint(i, id), true
}

// AppendEndpoints appends a destination's endpoints, in the order listed.
func (c *Catalog) AppendEndpoints(dest int, into []Endpoint) []Endpoint {
	p := c.findDestination(dest)
	if p == 0 || c.destinations.at(p).empty() {
		return into
	}
	for i := c.destinations.at(p).first; i != 0; i = c.endpoints.at(i).destNext {
		into = append(into, c.readEndpoint(i, ""))
	}
	return into
}

// All is all endpoints in the order listed: as the last whole list named them, and what changes added since behind. It
// must not be changed meanwhile.
func (c *Catalog) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		for i := c.first; i != 0; i = c.endpoints.at(i).next {
			if !yield(c.readEndpoint(i, "")) {
				return
			}
		}
	}
}

// BeginSnapshot begins a whole list: its entries follow by Put and Keep, then Sweep. One that broke off is forgotten,
// what it said stays in force.
func (c *Catalog) BeginSnapshot() { c.inSnapshot, c.firstSeen = true, 0 }

// Upsert takes an entry of a list. One that is gone is removed. In a whole list it counts as named and comes behind
// what was named before.
func (c *Catalog) Upsert(e Endpoint) Change {
	i := c.findEndpoint(e.ID)
	switch {
	case e.Removed && i == 0:
		return Change{e, e, Unchanged}
	case e.Removed:
		was := c.readEndpoint(i, e.ID)
		c.removeEndpoint(i)
		return Change{was, e, Removed}
	}
	c.scratch = appendText(c.scratch[:0], &e)
	if i == 0 {
		c.addEndpoint(e.Destination)
		return Change{New: e, Kind: Added}
	}
	s := c.endpoints.at(i)
	here := c.destinations.at(s.destination).id() == e.Destination
	if here && bytes.HasPrefix(c.texts.bytesAt(s.text), c.scratch) { // an entry's text tells its own end
		c.moveToSeen(i)
		return Change{e, e, Unchanged}
	}
	was := c.readEndpoint(i, e.ID)
	c.replaceText(i)
	if !here {
		c.detach(i)
		c.attach(i, e.Destination)
		c.unlink(i)
		c.linkLast(i)
	}
	c.moveToSeen(i)
	if here && was.Addr == e.Addr {
		return Change{was, e, Updated}
	}
	return Change{was, e, Moved}
}

// MarkSeen has an entry that could not be read count as named; what is known of it stays.
func (c *Catalog) MarkSeen(id string) (Endpoint, bool) {
	i := c.findEndpoint(id)
	if i == 0 {
		return Endpoint{}, false
	}
	e := c.readEndpoint(i, id)
	c.moveToSeen(i)
	return e, true
}

// Sweep removes, after the last entry of a whole list, what it did not name: so many at most, in the order listed. done
// tells that this was all.
func (c *Catalog) Sweep(most int) (removed []Endpoint, done bool) {
	for ; c.inSnapshot && c.first != c.firstSeen && most > 0; most-- {
		removed = append(removed, c.readEndpoint(c.first, ""))
		c.removeEndpoint(c.first)
	}
	if c.inSnapshot && c.first == c.firstSeen {
		c.inSnapshot, c.firstSeen, c.peakNonEmpty = false, 0, max(c.peakNonEmpty, c.nonEmpty)
	}
	return removed, !c.inSnapshot
}

// Texts.

// mayBeIPv4 tells whether an address may be an IPv4 address and port. Guards against the parser's error, which takes room
// for each name.
func mayBeIPv4(addr string) bool {
	for i := range len(addr) {
		if b := addr[i]; b != '.' && b != ':' && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

const (
	flagInService = 1 << iota
	flagIPv4      // the address is four bytes and two of its port
)

// appendText appends what is kept of an entry but its destination. The id comes first.
func appendText(b []byte, e *Endpoint) []byte {
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	at := len(b)
	b = append(b, 0)
	if e.InService {
		b[at] |= flagInService
	}
	b = binary.AppendVarint(b, int64(e.Kind))
	b = binary.AppendVarint(b, int64(e.Zone))
	b = binary.AppendUvarint(b, bits.ReverseBytes64(math.Float64bits(e.Weight))) // short for round numbers
	if mayBeIPv4(e.Addr) {
		var room [21]byte
		if a, err := netip.ParseAddrPort(e.Addr); err == nil && a.Addr().Is4() &&
			string(a.AppendTo(room[:0])) == e.Addr {
			b[at] |= flagIPv4
			four := a.Addr().As4()
			return binary.BigEndian.AppendUint16(append(b, four[:]...), a.Port())
		}
	}
	b = binary.AppendUvarint(b, uint64(len(e.Addr)))
	return append(b, e.Addr...)
}

// textReader takes a text apart.
type textReader []byte

func (r *textReader) take(n int) []byte {
	b := (*r)[:n]
	*r = (*r)[n:]
	return b
}

func (r *textReader) uint() uint64 {
	x, n := binary.Uvarint(*r)
	*r = (*r)[n:]
	return x
}

func (r *textReader) int() int {
	x, n := binary.Varint(*r)
	*r = (*r)[n:]
	return int(x)
}

// measureText returns the length of the text that b begins with, and the id in it.
func measureText(b []byte) (id []byte, length int) {
	r := textReader(b)
	id = r.take(int(r.uint()))
	head := r.take(1)[0]
	r.int()
	r.int()
	r.uint()
	n := 6
	if head&flagIPv4 == 0 {
		n = int(r.uint())
	}
	r.take(n)
	return id, len(b) - len(r)
}

// endpointID is that of a slot, as it stands in its text.
func (c *Catalog) endpointID(i uint32) []byte {
	r := textReader(c.texts.bytesAt(c.endpoints.at(i).text))
	return r.take(int(r.uint()))
}

// readEndpoint returns the endpoint of a slot; id is its own if the caller has it, else empty.
func (c *Catalog) readEndpoint(i uint32, id string) (e Endpoint) {
	s := c.endpoints.at(i)
	r := textReader(c.texts.bytesAt(s.text))
	if raw := r.take(int(r.uint())); id == "" {
		id = string(raw)
	}
	head := r.take(1)[0]
	e.Endpoint = policy.Endpoint{ID: id, Destination: c.destinations.at(s.destination).id(), InService: head&flagInService != 0}
	e.Kind, e.Zone = r.int(), r.int()
	e.Weight = math.Float64frombits(bits.ReverseBytes64(r.uint()))
	if head&flagIPv4 != 0 {
		four := [4]byte(r.take(4))
		e.Addr = netip.AddrPortFrom(netip.AddrFrom4(four), binary.BigEndian.Uint16(r)).String()
	} else {
		e.Addr = string(r.take(int(r.uint())))
	}
	return e
}

// storeText keeps scratch as a new text, and returns where. It may move other texts.
func (c *Catalog) storeText() uint32 {
	at, full := c.texts.add(c.scratch)
	c.compactChunks(full)
	return at
}

// replaceText has scratch take the place of a slot's text.
func (c *Catalog) replaceText(i uint32) {
	at := c.storeText()
	s := c.endpoints.at(i)
	old := s.text
	s.text = at
	c.releaseText(old)
}

// releaseText gives up a text that no slot has any more.
func (c *Catalog) releaseText(at uint32) {
	_, n := measureText(c.texts.bytesAt(at))
	c.compactChunks(c.texts.markDead(at, n))
}

// compactChunks moves the last texts out of a chunk that is mostly dead, and gives it up.
func (c *Catalog) compactChunks(chunk int) {
	for chunk >= 0 && c.texts.sparse(chunk) {
		next := -1
		for at, all := 0, c.texts.chunks[chunk].data; at < len(all); {
			id, n := measureText(all[at:])
			if i, ok := c.findEndpointByText(id, position(chunk, at)); ok {
				var full int
				if c.endpoints.at(i).text, full = c.texts.add(all[at : at+n]); full >= 0 {
					next = full
				}
			}
			at += n
		}
		c.texts.release(chunk)
		chunk = next
	}
}

// Slots.

// findEndpoint returns an id's slot; 0: none.
func (c *Catalog) findEndpoint(id string) uint32 {
	if c.inSnapshot && c.first != 0 && string(c.endpointID(c.first)) == id {
		return c.first // a whole list mostly names its entries in the order of the last
	}
	i := c.endpointIndex.first(maphash.String(c.seed, id))
	for i != 0 && string(c.endpointID(i)) != id {
		i = c.endpoints.at(i).bucketNext
	}
	return i
}

// findEndpointByText tells whether a slot with this id has its text there.
func (c *Catalog) findEndpointByText(id []byte, at uint32) (i uint32, ok bool) {
	i = c.endpointIndex.first(maphash.Bytes(c.seed, id))
	for i != 0 && c.endpoints.at(i).text != at {
		i = c.endpoints.at(i).bucketNext
	}
	return i, i != 0
}

// addEndpoint makes a slot of the text in scratch.
func (c *Catalog) addEndpoint(dest int) {
	at := c.storeText()
	i := c.endpoints.add()
	c.endpoints.at(i).text = at
	c.endpointIndex.add(i)
	c.attach(i, dest)
	c.linkLast(i)
	c.moveToSeen(i)
}

// removeEndpoint forgets a slot. The last one takes its number.
func (c *Catalog) removeEndpoint(i uint32) {
	at := c.endpoints.at(i).text
	c.endpointIndex.remove(i)
	c.detach(i)
	c.unlink(i)
	if last := uint32(c.endpoints.count - 1); last != i {
		c.renumberEndpoint(last, i)
	}
	c.endpoints.pop()
	c.releaseText(at)
}

// renumberEndpoint gives the slot from the number to, which nothing refers to any more.
func (c *Catalog) renumberEndpoint(from, to uint32) {
	c.endpointIndex.renumber(from, to)
	s := c.endpoints.at(to)
	*s = *c.endpoints.at(from)
	*c.nextLink(s.prev), *c.prevLink(s.next) = to, to
	p := c.destinations.at(s.destination)
	*c.destNextLink(p, s.destPrev), *c.destPrevLink(p, s.destNext) = to, to
	if c.firstSeen == from {
		c.firstSeen = to
	}
}

// moveToSeen has a whole list name a slot: it goes to the end.
func (c *Catalog) moveToSeen(i uint32) {
	if !c.inSnapshot {
		return
	}
	c.unlink(i)
	c.linkLast(i)
	if c.firstSeen == 0 {
		c.firstSeen = i
	}
	s := c.endpoints.at(i)
	p := c.destinations.at(s.destination)
	if p.last != i {
		c.unlinkInDestination(p, s)
		c.linkLastInDestination(p, s, i)
	}
}

// The fields that tell what comes behind and before a slot of all, and of its destination; 0 is the ends.

func (c *Catalog) nextLink(i uint32) *uint32 {
	if i == 0 {
		return &c.first
	}
	return &c.endpoints.at(i).next
}

func (c *Catalog) prevLink(i uint32) *uint32 {
	if i == 0 {
		return &c.last
	}
	return &c.endpoints.at(i).prev
}

func (c *Catalog) destNextLink(p *destinationSlot, i uint32) *uint32 {
	if i == 0 {
		return &p.first
	}
	return &c.endpoints.at(i).destNext
}

func (c *Catalog) destPrevLink(p *destinationSlot, i uint32) *uint32 {
	if i == 0 {
		return &p.last
	}
	return &c.endpoints.at(i).destPrev
}

// linkLast puts a slot at the end of all.
func (c *Catalog) linkLast(i uint32) {
	s := c.endpoints.at(i)
	s.prev, s.next = c.last, 0
	*c.nextLink(c.last), c.last = i, i
}

// unlink takes a slot out of the order of all.
func (c *Catalog) unlink(i uint32) {
	s := c.endpoints.at(i)
	if c.firstSeen == i {
		c.firstSeen = s.next
	}
	*c.nextLink(s.prev), *c.prevLink(s.next) = s.next, s.prev
}

func (c *Catalog) linkLastInDestination(p *destinationSlot, s *endpointSlot, i uint32) {
	s.destPrev, s.destNext = p.last, 0
	*c.destNextLink(p, p.last), p.last = i, i
}

func (c *Catalog) unlinkInDestination(p *destinationSlot, s *endpointSlot) {
	*c.destNextLink(p, s.destPrev), *c.destPrevLink(p, s.destNext) = s.destNext, s.destPrev
}

// Destinations.

// findDestination returns a destination's; 0: none.
func (c *Catalog) findDestination(dest int) uint32 {
	p := c.destinationIndex.first(maphash.Comparable(c.seed, dest))
	for p != 0 && c.destinations.at(p).id() != dest {
		p = c.destinations.at(p).bucketNext
	}
	return p
}

func (c *Catalog) newDestination(dest int) uint32 {
	p := c.freeDestination
	if p == 0 {
		p = c.destinations.add()
	} else {
		c.freeDestination = c.destinations.at(p).bucketNext
	}
	*c.destinations.at(p) = destinationSlot{low: uint32(dest), high: uint32(uint64(dest) >> 32)}
	c.destinationIndex.add(p)
	return p
}

// attach puts a slot at the end of a destination.
func (c *Catalog) attach(i uint32, dest int) {
	n := c.findDestination(dest)
	if n == 0 {
		n = c.newDestination(dest)
	}
	p := c.destinations.at(n)
	if p.empty() {
		c.removeEmpty(p)
	}
	if p.first == 0 {
		c.nonEmpty++
	}
	if !c.inSnapshot {
		c.peakNonEmpty = max(c.peakNonEmpty, c.nonEmpty)
	}
	s := c.endpoints.at(i)
	s.destination = n
	c.linkLastInDestination(p, s, i)
}

// detach takes a slot out of its destination.
func (c *Catalog) detach(i uint32) {
	s := c.endpoints.at(i)
	p := c.destinations.at(s.destination)
	if c.unlinkInDestination(p, s); p.first == 0 {
		c.nonEmpty--
		c.addEmpty(s.destination)
	}
}

// addEmpty remembers a destination without endpoints, and forgets the one that has been so longest if they are too many.
func (c *Catalog) addEmpty(n uint32) {
	p := c.destinations.at(n)
	p.first, p.last = c.newestEmpty|emptyMark, 0
	if c.newestEmpty == 0 {
		c.oldestEmpty = n
	} else {
		c.destinations.at(c.newestEmpty).last = n
	}
	c.newestEmpty = n
	if c.emptyCount++; c.emptyCount > max(MaxEagerEndpoints, c.peakNonEmpty) {
		n := c.oldestEmpty
		p := c.destinations.at(n)
		c.removeEmpty(p)
		c.destinationIndex.remove(n)
		p.bucketNext, c.freeDestination = c.freeDestination, n
	}
}

// removeEmpty takes a destination out of those without endpoints.
func (c *Catalog) removeEmpty(p *destinationSlot) {
	prev, next := p.first&^emptyMark, p.last
	if prev == 0 {
		c.oldestEmpty = next
	} else {
		c.destinations.at(prev).last = next
	}
	if next == 0 {
		c.newestEmpty = prev
	} else {
		c.destinations.at(next).first = prev | emptyMark
	}
	p.first, p.last = 0, 0
	c.emptyCount--
}
