package catalog

import "math/bits"

const tableChunkSize = 1024

// table is an array that grows and shrinks without being copied: a change costs the same at any size.
type table[T any] struct {
	chunks []*[tableChunkSize]T
	count  int
}

func (t *table[T]) at(i uint32) *T { return &t.chunks[i/tableChunkSize][i%tableChunkSize] }

// add appends an empty record and returns its number.
func (t *table[T]) add() uint32 {
	if t.count == len(t.chunks)*tableChunkSize {
		t.chunks = append(t.chunks, new([tableChunkSize]T))
	}
	i := uint32(t.count)
	t.count++
	*t.at(i) = *new(T)
	return i
}

// pop takes the last record off. One chunk stays spare.
func (t *table[T]) pop() {
	t.count--
	if last := len(t.chunks) - 1; last > (t.count+tableChunkSize-1)/tableChunkSize {
		t.chunks[last] = nil
		t.chunks = t.chunks[:last]
	}
}

// hashIndex finds records by a hash: linear hashing, which grows and shrinks by one bucket with a record. The records hold
// the chains.
type hashIndex struct {
	buckets table[uint32]
	count   int // records
	next    func(uint32) *uint32
	hash    func(uint32) uint64
}

func newHashIndex(next func(uint32) *uint32, hash func(uint32) uint64) hashIndex {
	x := hashIndex{next: next, hash: hash}
	x.buckets.add()
	return x
}

func (x *hashIndex) bucketOf(h uint64) uint32 {
	mask := uint32(1)<<bits.Len(uint(x.buckets.count-1)) - 1
	b := uint32(h) & mask
	if int(b) >= x.buckets.count {
		b &= mask >> 1
	}
	return b
}

// first returns the first record that may have this hash; 0: none.
func (x *hashIndex) first(h uint64) uint32 { return *x.buckets.at(x.bucketOf(h)) }

// reference returns what refers to a record.
func (x *hashIndex) reference(i uint32) *uint32 {
	p := x.buckets.at(x.bucketOf(x.hash(i)))
	for *p != i {
		p = x.next(*p)
	}
	return p
}

func (x *hashIndex) add(i uint32) {
	p := x.buckets.at(x.bucketOf(x.hash(i)))
	*x.next(i), *p = *p, i
	if x.count++; x.count > x.buckets.count {
		x.split()
	}
}

func (x *hashIndex) remove(i uint32) {
	p := x.reference(i)
	*p = *x.next(i)
	for x.count--; x.buckets.count > 1 && x.count < x.buckets.count/2; {
		x.merge()
	}
}

// renumber has the index refer to a record by another number; its chain goes with it.
func (x *hashIndex) renumber(from, to uint32) { *x.reference(from) = to }

// splitSource is the bucket that the last one was split off.
func (x *hashIndex) splitSource() *uint32 {
	last := uint(x.buckets.count - 1)
	return x.buckets.at(uint32(last &^ (1 << (bits.Len(last) - 1))))
}

func (x *hashIndex) split() {
	fresh := x.buckets.add()
	to, p := x.buckets.at(fresh), x.splitSource()
	for *p != 0 {
		i := *p
		if x.bucketOf(x.hash(i)) != fresh {
			p = x.next(i)
			continue
		}
		*p = *x.next(i)
		*x.next(i), *to = *to, i
	}
}

func (x *hashIndex) merge() {
	p := x.splitSource()
	for *p != 0 {
		p = x.next(*p)
	}
	*p = *x.buckets.at(uint32(x.buckets.count - 1))
	x.buckets.pop()
}
