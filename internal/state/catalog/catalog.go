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

// slot is one endpoint. Numbers of slots and places begin at 1; 0 is none.
type slot struct {
	text       uint32 // where its text stands
	chain      uint32 // next of its bucket
	prev, next uint32 // in the order listed
	before     uint32 // the same within its destination
	after      uint32
	place      uint32
}

// place is one destination that a list has named. Its number is in two halves, for a record without padding.
type place struct {
	low, high uint32
	chain     uint32 // next of its bucket, or the next free place
	// its endpoints; of a destination without: bare and the one before, and the one after, in the order that they lost
	// the last
	first, last uint32
}

const bare = 1 << 31 // no number of a slot or place has this bit

func (p *place) number() int { return int(uint64(p.high)<<32 | uint64(p.low)) }

func (p *place) empty() bool { return p.first&bare != 0 }

// Catalog is all endpoints. It must be made by New.
type Catalog struct {
	seed    maphash.Seed // decides only how long a search takes
	text    arena
	scratch []byte // the text of the entry that is put

	slots       table[slot]
	ids         index
	first, last uint32 // in the order listed
	whole       bool   // a whole list is being read: what it has named is moved to the end
	named       uint32 // the first of those; 0: none yet

	places         table[place]
	free           uint32 // places, by chain
	numbers        index
	filled         int // places with an endpoint
	most           int // so many at one time, apart from those that a whole list was yet to sweep
	empties        int // places without one
	oldest, newest uint32
}

// New returns a Catalog of nothing.
func New() *Catalog {
	c := &Catalog{seed: maphash.MakeSeed()}
	c.slots.add() // 0 is none
	c.places.add()
	c.ids = newIndex(func(i uint32) *uint32 { return &c.slots.at(i).chain },
		func(i uint32) uint64 { return maphash.Bytes(c.seed, c.id(i)) })
	c.numbers = newIndex(func(i uint32) *uint32 { return &c.places.at(i).chain },
		func(i uint32) uint64 { return maphash.Comparable(c.seed, c.places.at(i).number()) })
	return c
}

// EndpointCount is how many there are.
func (c *Catalog) EndpointCount() int { return c.slots.n - 1 }

// DestinationCount is how many have an endpoint now.
func (c *Catalog) DestinationCount() int { return c.filled }

// HasDestination tells whether a list has named a destination. Of those without an endpoint now as many are remembered
// as the most that ever had one, or MaxEagerEndpoints if that is more: those longest without are forgotten first.
func (c *Catalog) HasDestination(dest int) bool {
	return c.place(dest) != 0
}

// RememberDestination has a destination count as named, as an earlier process knew it.
func (c *Catalog) RememberDestination(dest int) {
	if c.place(dest) == 0 {
		c.abandon(c.newPlace(dest))
	}
}

// RememberedDestinations are the destinations that a list has named and that have no endpoint now, those longest
// without first.
func (c *Catalog) RememberedDestinations() iter.Seq[int] {
	return func(yield func(int) bool) {
		for p := c.oldest; p != 0; {
			x := c.places.at(p)
			if !yield(x.number()) {
				return
			}
			p = x.last
		}
	}
}

// Endpoint returns what is known of an id.
func (c *Catalog) Endpoint(id string) (Endpoint, bool) {
	i := c.find(id)
	if i == 0 {
		return Endpoint{}, false
	}
	return c.read(i, id), true
}

// AppendEndpoints appends a destination's endpoints, in the order listed.
func (c *Catalog) AppendEndpoints(dest int, into []Endpoint) []Endpoint {
	p := c.place(dest)
	if p == 0 || c.places.at(p).empty() {
		return into
	}
	for i := c.places.at(p).first; i != 0; i = c.slots.at(i).after {
		into = append(into, c.read(i, ""))
	}
	return into
}

// All is all endpoints in the order listed: as the last whole list named them, and what changes added since behind. It
// must not be changed meanwhile.
func (c *Catalog) All() iter.Seq[Endpoint] {
	return func(yield func(Endpoint) bool) {
		for i := c.first; i != 0; i = c.slots.at(i).next {
			if !yield(c.read(i, "")) {
				return
			}
		}
	}
}

// BeginSnapshot begins a whole list: its entries follow by Put and Keep, then Sweep. One that broke off is forgotten,
// what it said stays in force.
func (c *Catalog) BeginSnapshot() { c.whole, c.named = true, 0 }

// Upsert takes an entry of a list. One that is gone is removed. In a whole list it counts as named and comes behind
// what was named before.
func (c *Catalog) Upsert(e Endpoint) Change {
	i := c.find(e.ID)
	switch {
	case e.Removed && i == 0:
		return Change{e, e, Unchanged}
	case e.Removed:
		was := c.read(i, e.ID)
		c.remove(i)
		return Change{was, e, Removed}
	}
	c.scratch = appendText(c.scratch[:0], &e)
	if i == 0 {
		c.add(e.Destination)
		return Change{New: e, Kind: Added}
	}
	s := c.slots.at(i)
	here := c.places.at(s.place).number() == e.Destination
	if here && bytes.HasPrefix(c.text.from(s.text), c.scratch) { // an entry's text tells its own end
		c.name(i)
		return Change{e, e, Unchanged}
	}
	was := c.read(i, e.ID)
	c.rewrite(i)
	if !here {
		c.leave(i)
		c.enter(i, e.Destination)
		c.unlink(i)
		c.link(i)
	}
	c.name(i)
	if here && was.Addr == e.Addr {
		return Change{was, e, Updated}
	}
	return Change{was, e, Moved}
}

// MarkSeen has an entry that could not be read count as named; what is known of it stays.
func (c *Catalog) MarkSeen(id string) (Endpoint, bool) {
	i := c.find(id)
	if i == 0 {
		return Endpoint{}, false
	}
	e := c.read(i, id)
	c.name(i)
	return e, true
}

// Sweep removes, after the last entry of a whole list, what it did not name: so many at most, in the order listed. done
// tells that this was all.
func (c *Catalog) Sweep(most int) (removed []Endpoint, done bool) {
	for ; c.whole && c.first != c.named && most > 0; most-- {
		removed = append(removed, c.read(c.first, ""))
		c.remove(c.first)
	}
	if c.whole && c.first == c.named {
		c.whole, c.named, c.most = false, 0, max(c.most, c.filled)
	}
	return removed, !c.whole
}

// Texts.

// number4 tells whether an address may be an IPv4 address and port. Guards against the parser's error, which takes room
// for each name.
func number4(addr string) bool {
	for i := range len(addr) {
		if b := addr[i]; b != '.' && b != ':' && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

const (
	inService = 1 << iota
	asNumber  // the address is four bytes and two of its port
)

// appendText appends what is kept of an entry but its destination. The id comes first.
func appendText(b []byte, e *Endpoint) []byte {
	b = binary.AppendUvarint(b, uint64(len(e.ID)))
	b = append(b, e.ID...)
	at := len(b)
	b = append(b, 0)
	if e.InService {
		b[at] |= inService
	}
	b = binary.AppendVarint(b, int64(e.Kind))
	b = binary.AppendVarint(b, int64(e.Zone))
	b = binary.AppendUvarint(b, bits.ReverseBytes64(math.Float64bits(e.Weight))) // short for round numbers
	if number4(e.Addr) {
		var room [21]byte
		if a, err := netip.ParseAddrPort(e.Addr); err == nil && a.Addr().Is4() &&
			string(a.AppendTo(room[:0])) == e.Addr {
			b[at] |= asNumber
			four := a.Addr().As4()
			return binary.BigEndian.AppendUint16(append(b, four[:]...), a.Port())
		}
	}
	b = binary.AppendUvarint(b, uint64(len(e.Addr)))
	return append(b, e.Addr...)
}

// reader takes a text apart.
type reader []byte

func (r *reader) take(n int) []byte {
	b := (*r)[:n]
	*r = (*r)[n:]
	return b
}

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(*r)
	*r = (*r)[n:]
	return x
}

func (r *reader) int() int {
	x, n := binary.Varint(*r)
	*r = (*r)[n:]
	return int(x)
}

// skipText returns the length of the text that b begins with, and the id in it.
func skipText(b []byte) (id []byte, length int) {
	r := reader(b)
	id = r.take(int(r.uint()))
	head := r.take(1)[0]
	r.int()
	r.int()
	r.uint()
	n := 6
	if head&asNumber == 0 {
		n = int(r.uint())
	}
	r.take(n)
	return id, len(b) - len(r)
}

// id is that of a slot, as it stands in its text.
func (c *Catalog) id(i uint32) []byte {
	r := reader(c.text.from(c.slots.at(i).text))
	return r.take(int(r.uint()))
}

// read returns the endpoint of a slot; id is its own if the caller has it, else empty.
func (c *Catalog) read(i uint32, id string) (e Endpoint) {
	s := c.slots.at(i)
	r := reader(c.text.from(s.text))
	if raw := r.take(int(r.uint())); id == "" {
		id = string(raw)
	}
	head := r.take(1)[0]
	e.Endpoint = policy.Endpoint{ID: id, Destination: c.places.at(s.place).number(), InService: head&inService != 0}
	e.Kind, e.Zone = r.int(), r.int()
	e.Weight = math.Float64frombits(bits.ReverseBytes64(r.uint()))
	if head&asNumber != 0 {
		four := [4]byte(r.take(4))
		e.Addr = netip.AddrPortFrom(netip.AddrFrom4(four), binary.BigEndian.Uint16(r)).String()
	} else {
		e.Addr = string(r.take(int(r.uint())))
	}
	return e
}

// write keeps scratch as a new text, and returns where. It may move other texts.
func (c *Catalog) write() uint32 {
	at, full := c.text.add(c.scratch)
	c.tidy(full)
	return at
}

// rewrite has scratch take the place of a slot's text.
func (c *Catalog) rewrite(i uint32) {
	at := c.write()
	s := c.slots.at(i)
	old := s.text
	s.text = at
	c.drop(old)
}

// drop gives up a text that no slot has any more.
func (c *Catalog) drop(at uint32) {
	_, n := skipText(c.text.from(at))
	c.tidy(c.text.drop(at, n))
}

// tidy moves the last texts out of a chunk that is mostly dead, and gives it up.
func (c *Catalog) tidy(chunk int) {
	for chunk >= 0 && c.text.sparse(chunk) {
		next := -1
		for at, all := 0, c.text.chunks[chunk].data; at < len(all); {
			id, n := skipText(all[at:])
			if i, ok := c.has(id, position(chunk, at)); ok {
				var full int
				if c.slots.at(i).text, full = c.text.add(all[at : at+n]); full >= 0 {
					next = full
				}
			}
			at += n
		}
		c.text.release(chunk)
		chunk = next
	}
}

// Slots.

// find returns an id's slot; 0: none.
func (c *Catalog) find(id string) uint32 {
	if c.whole && c.first != 0 && string(c.id(c.first)) == id {
		return c.first // a whole list mostly names its entries in the order of the last
	}
	i := c.ids.bucket(maphash.String(c.seed, id))
	for i != 0 && string(c.id(i)) != id {
		i = c.slots.at(i).chain
	}
	return i
}

// has tells whether a slot with this id has its text there.
func (c *Catalog) has(id []byte, at uint32) (i uint32, ok bool) {
	i = c.ids.bucket(maphash.Bytes(c.seed, id))
	for i != 0 && c.slots.at(i).text != at {
		i = c.slots.at(i).chain
	}
	return i, i != 0
}

// add makes a slot of the text in scratch.
func (c *Catalog) add(dest int) {
	at := c.write()
	i := c.slots.add()
	c.slots.at(i).text = at
	c.ids.add(i)
	c.enter(i, dest)
	c.link(i)
	c.name(i)
}

// remove forgets a slot. The last one takes its number.
func (c *Catalog) remove(i uint32) {
	at := c.slots.at(i).text
	c.ids.remove(i)
	c.leave(i)
	c.unlink(i)
	if last := uint32(c.slots.n - 1); last != i {
		c.move(last, i)
	}
	c.slots.pop()
	c.drop(at)
}

// move gives the slot from the number to, which nothing refers to any more.
func (c *Catalog) move(from, to uint32) {
	c.ids.renumber(from, to)
	s := c.slots.at(to)
	*s = *c.slots.at(from)
	*c.nextOf(s.prev), *c.prevOf(s.next) = to, to
	p := c.places.at(s.place)
	*c.afterOf(p, s.before), *c.beforeOf(p, s.after) = to, to
	if c.named == from {
		c.named = to
	}
}

// name has a whole list name a slot: it goes to the end.
func (c *Catalog) name(i uint32) {
	if !c.whole {
		return
	}
	c.unlink(i)
	c.link(i)
	if c.named == 0 {
		c.named = i
	}
	s := c.slots.at(i)
	p := c.places.at(s.place)
	if p.last != i {
		c.unlinkHere(p, s)
		c.linkHere(p, s, i)
	}
}

// The fields that tell what comes behind and before a slot of all, and of its destination; 0 is the ends.

func (c *Catalog) nextOf(i uint32) *uint32 {
	if i == 0 {
		return &c.first
	}
	return &c.slots.at(i).next
}

func (c *Catalog) prevOf(i uint32) *uint32 {
	if i == 0 {
		return &c.last
	}
	return &c.slots.at(i).prev
}

func (c *Catalog) afterOf(p *place, i uint32) *uint32 {
	if i == 0 {
		return &p.first
	}
	return &c.slots.at(i).after
}

func (c *Catalog) beforeOf(p *place, i uint32) *uint32 {
	if i == 0 {
		return &p.last
	}
	return &c.slots.at(i).before
}

// link puts a slot at the end of all.
func (c *Catalog) link(i uint32) {
	s := c.slots.at(i)
	s.prev, s.next = c.last, 0
	*c.nextOf(c.last), c.last = i, i
}

// unlink takes a slot out of the order of all.
func (c *Catalog) unlink(i uint32) {
	s := c.slots.at(i)
	if c.named == i {
		c.named = s.next
	}
	*c.nextOf(s.prev), *c.prevOf(s.next) = s.next, s.prev
}

func (c *Catalog) linkHere(p *place, s *slot, i uint32) {
	s.before, s.after = p.last, 0
	*c.afterOf(p, p.last), p.last = i, i
}

func (c *Catalog) unlinkHere(p *place, s *slot) {
	*c.afterOf(p, s.before), *c.beforeOf(p, s.after) = s.after, s.before
}

// Destinations.

// place returns a destination's; 0: none.
func (c *Catalog) place(dest int) uint32 {
	p := c.numbers.bucket(maphash.Comparable(c.seed, dest))
	for p != 0 && c.places.at(p).number() != dest {
		p = c.places.at(p).chain
	}
	return p
}

func (c *Catalog) newPlace(dest int) uint32 {
	p := c.free
	if p == 0 {
		p = c.places.add()
	} else {
		c.free = c.places.at(p).chain
	}
	*c.places.at(p) = place{low: uint32(dest), high: uint32(uint64(dest) >> 32)}
	c.numbers.add(p)
	return p
}

// enter puts a slot at the end of a destination.
func (c *Catalog) enter(i uint32, dest int) {
	n := c.place(dest)
	if n == 0 {
		n = c.newPlace(dest)
	}
	p := c.places.at(n)
	if p.empty() {
		c.recall(p)
	}
	if p.first == 0 {
		c.filled++
	}
	if !c.whole {
		c.most = max(c.most, c.filled)
	}
	s := c.slots.at(i)
	s.place = n
	c.linkHere(p, s, i)
}

// leave takes a slot out of its destination.
func (c *Catalog) leave(i uint32) {
	s := c.slots.at(i)
	p := c.places.at(s.place)
	if c.unlinkHere(p, s); p.first == 0 {
		c.filled--
		c.abandon(s.place)
	}
}

// abandon remembers a destination without endpoints, and forgets the one that has been so longest if they are too many.
func (c *Catalog) abandon(n uint32) {
	p := c.places.at(n)
	p.first, p.last = c.newest|bare, 0
	if c.newest == 0 {
		c.oldest = n
	} else {
		c.places.at(c.newest).last = n
	}
	c.newest = n
	if c.empties++; c.empties > max(MaxEagerEndpoints, c.most) {
		n := c.oldest
		p := c.places.at(n)
		c.recall(p)
		c.numbers.remove(n)
		p.chain, c.free = c.free, n
	}
}

// recall takes a destination out of those without endpoints.
func (c *Catalog) recall(p *place) {
	prev, next := p.first&^bare, p.last
	if prev == 0 {
		c.oldest = next
	} else {
		c.places.at(prev).last = next
	}
	if next == 0 {
		c.newest = prev
	} else {
		c.places.at(next).first = prev | bare
	}
	p.first, p.last = 0, 0
	c.empties--
}
