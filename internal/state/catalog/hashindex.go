package catalog

import "math/bits"

// hashIndex finds records by a hash. It uses linear hashing: the number of buckets grows and shrinks by one as the
// number of records does, so that no change rebuilds the table. The records of a bucket form a linked list, whose
// links are stored in the records.
type hashIndex struct {
	buckets table[uint32]        // the first record of each bucket
	count   int                  // number of records
	next    func(uint32) *uint32 // returns a record's link to the next record of its bucket
	hash    func(uint32) uint64  // returns a record's hash
}

// newHashIndex returns an empty index. next returns a record's link to the next record of its bucket, and hash
// returns a record's hash.
func newHashIndex(next func(uint32) *uint32, hash func(uint32) uint64) hashIndex {
	x := hashIndex{next: next, hash: hash}
	x.buckets.add()
	return x
}

// bucketOf returns the bucket of a hash.
func (x *hashIndex) bucketOf(hash uint64) uint32 {
	mask := uint32(1)<<bits.Len(uint(x.buckets.count-1)) - 1
	bucket := uint32(hash) & mask
	if int(bucket) >= x.buckets.count {
		bucket &= mask >> 1
	}
	return bucket
}

// first returns the first record of the bucket for a hash, or none.
func (x *hashIndex) first(hash uint64) uint32 { return *x.buckets.at(x.bucketOf(hash)) }

// reference returns the link to a record, which is in the bucket or in the record before it.
func (x *hashIndex) reference(i uint32) *uint32 {
	ref := x.buckets.at(x.bucketOf(x.hash(i)))
	for *ref != i {
		ref = x.next(*ref)
	}
	return ref
}

func (x *hashIndex) add(i uint32) {
	bucket := x.buckets.at(x.bucketOf(x.hash(i)))
	*x.next(i) = *bucket
	*bucket = i
	x.count++
	if x.count > x.buckets.count {
		x.split()
	}
}

func (x *hashIndex) remove(i uint32) {
	*x.reference(i) = *x.next(i)
	x.count--
	for x.buckets.count > 1 && x.count < x.buckets.count/2 {
		x.merge()
	}
}

// renumber changes the number of a record. The caller moves the record, including its link to the next one.
func (x *hashIndex) renumber(from, to uint32) { *x.reference(from) = to }

// splitSource returns the bucket from which the last bucket was split.
func (x *hashIndex) splitSource() *uint32 {
	last := uint(x.buckets.count - 1)
	highestBit := uint(1) << (bits.Len(last) - 1)
	return x.buckets.at(uint32(last &^ highestBit))
}

// split adds a bucket, and moves to it the records whose hash belongs there now.
func (x *hashIndex) split() {
	added := x.buckets.add()
	target := x.buckets.at(added)
	ref := x.splitSource()
	for *ref != none {
		i := *ref
		if x.bucketOf(x.hash(i)) != added {
			ref = x.next(i)
			continue
		}
		*ref = *x.next(i)
		*x.next(i) = *target
		*target = i
	}
}

// merge removes the last bucket, and appends its records to the bucket from which it was split.
func (x *hashIndex) merge() {
	ref := x.splitSource()
	for *ref != none {
		ref = x.next(*ref)
	}
	*ref = *x.buckets.at(uint32(x.buckets.count - 1))
	x.buckets.pop()
}
