package catalog

import "math/bits"

const perChunk = 1024

// table is an array that grows and shrinks without being copied: a change costs the same at any size.
type table[T any] struct {
	chunks []*[perChunk]T
	n      int
}

func (t *table[T]) at(i uint32) *T { return &t.chunks[i/perChunk][i%perChunk] }

// add appends an empty record and returns its number.
func (t *table[T]) add() uint32 {
	if t.n == len(t.chunks)*perChunk {
		t.chunks = append(t.chunks, new([perChunk]T))
	}
	i := uint32(t.n)
	t.n++
	*t.at(i) = *new(T)
	return i
}

// pop takes the last record off. One chunk stays spare.
func (t *table[T]) pop() {
	t.n--
	if last := len(t.chunks) - 1; last > (t.n+perChunk-1)/perChunk {
		t.chunks[last] = nil
		t.chunks = t.chunks[:last]
	}
}

// index finds records by a hash: linear hashing, which grows and shrinks by one bucket with a record. The records hold
// the chains.
type index struct {
	heads table[uint32]
	n     int // records
	next  func(uint32) *uint32
	hash  func(uint32) uint64
}

func newIndex(next func(uint32) *uint32, hash func(uint32) uint64) index {
	x := index{next: next, hash: hash}
	x.heads.add()
	return x
}

func (x *index) number(h uint64) uint32 {
	mask := uint32(1)<<bits.Len(uint(x.heads.n-1)) - 1
	b := uint32(h) & mask
	if int(b) >= x.heads.n {
		b &= mask >> 1
	}
	return b
}

// bucket returns the first record that may have this hash; 0: none.
func (x *index) bucket(h uint64) uint32 { return *x.heads.at(x.number(h)) }

// place returns what refers to a record.
func (x *index) place(i uint32) *uint32 {
	p := x.heads.at(x.number(x.hash(i)))
	for *p != i {
		p = x.next(*p)
	}
	return p
}

func (x *index) add(i uint32) {
	p := x.heads.at(x.number(x.hash(i)))
	*x.next(i), *p = *p, i
	if x.n++; x.n > x.heads.n {
		x.split()
	}
}

func (x *index) remove(i uint32) {
	p := x.place(i)
	*p = *x.next(i)
	for x.n--; x.heads.n > 1 && x.n < x.heads.n/2; {
		x.merge()
	}
}

// renumber has the index refer to a record by another number; its chain goes with it.
func (x *index) renumber(from, to uint32) { *x.place(from) = to }

// twin is the bucket that the last one was split off.
func (x *index) twin() *uint32 {
	last := uint(x.heads.n - 1)
	return x.heads.at(uint32(last &^ (1 << (bits.Len(last) - 1))))
}

func (x *index) split() {
	fresh := x.heads.add()
	to, p := x.heads.at(fresh), x.twin()
	for *p != 0 {
		i := *p
		if x.number(x.hash(i)) != fresh {
			p = x.next(i)
			continue
		}
		*p = *x.next(i)
		*x.next(i), *to = *to, i
	}
}

func (x *index) merge() {
	p := x.twin()
	for *p != 0 {
		p = x.next(*p)
	}
	*p = *x.heads.at(uint32(x.heads.n - 1))
	x.heads.pop()
}
