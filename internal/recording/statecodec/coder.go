// Package archive writes and reads the state of a pure state machine with one description for both directions: each
// method of a Coder takes a pointer, writes what it points to or fills it in. It knows nothing of what it carries and
// does no I/O. Pointers that several records share are written once and are shared again when read.
package statecodec

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// ErrMalformed tells that what was read is not what the same description wrote.
var ErrMalformed = errors.New("archive: malformed")

// Coder goes through a state in one direction. The first error sticks; values filled in after it are zero.
type Coder struct {
	reading bool
	buf     []byte // written so far, or left to read
	err     error
	writtenPointers map[any]uint64 // of pointers written
	readPointers    []any          // pointers read, by number
	depth   int
}

// maxDepth bounds how deep references nest in what is read.
const maxDepth = 1000

// NewWriter returns a Coder that appends to buf.
func NewWriter(buf []byte) *Coder { return &Coder{buf: buf, writtenPointers: map[any]uint64{}} }

// NewReader returns a Coder that reads data. No length in data makes it use more memory than a small multiple of data's.
func NewReader(data []byte) *Coder { return &Coder{reading: true, buf: data} }

// Reading tells the direction.
func (c *Coder) Reading() bool { return c.reading }

// Bytes is what was written.
func (c *Coder) Bytes() []byte { return c.buf }

// Close tells whether all was read, and nothing is left.
func (c *Coder) Close() error {
	if c.err == nil && c.reading && len(c.buf) > 0 {
		c.err = ErrMalformed
	}
	return c.err
}

// Fail makes what is read malformed.
func (c *Coder) Fail() {
	if c.err == nil {
		c.err = ErrMalformed
	}
	c.buf = nil
}

func (c *Coder) uint(x *uint64) {
	if !c.reading {
		c.buf = binary.AppendUvarint(c.buf, *x)
		return
	}
	v, n := binary.Uvarint(c.buf)
	if n <= 0 {
		*x = 0
		c.Fail()
		return
	}
	*x, c.buf = v, c.buf[n:]
}

// Int carries any signed integer.
func Int[T ~int | ~int64](c *Coder, x *T) {
	v := uint64(*x)<<1 ^ uint64(int64(*x)>>63)
	c.uint(&v)
	*x = T(int64(v>>1) ^ -int64(v&1))
}

// Uint carries any unsigned integer.
func Uint[T ~uint8 | ~uint32 | ~uint64](c *Coder, x *T) {
	v := uint64(*x)
	if c.uint(&v); uint64(T(v)) != v {
		c.Fail()
	}
	*x = T(v)
}

// Durations carries durations.
func (c *Coder) Durations(xs ...*time.Duration) {
	for _, x := range xs {
		Int(c, x)
	}
}

// Ints carries integers.
func (c *Coder) Ints(xs ...*int) {
	for _, x := range xs {
		Int(c, x)
	}
}

// Bools carries truths.
func (c *Coder) Bools(xs ...*bool) {
	for _, x := range xs {
		v := uint64(0)
		if *x {
			v = 1
		}
		if c.uint(&v); v > 1 {
			c.Fail()
		}
		*x = v == 1
	}
}

// Floats carries numbers, bit by bit.
func (c *Coder) Floats(xs ...*float64) {
	for _, x := range xs {
		if !c.reading {
			c.buf = binary.LittleEndian.AppendUint64(c.buf, math.Float64bits(*x))
			continue
		}
		if *x = 0; len(c.buf) < 8 {
			c.Fail()
			continue
		}
		*x, c.buf = math.Float64frombits(binary.LittleEndian.Uint64(c.buf)), c.buf[8:]
	}
}

// Text carries a string.
func (c *Coder) Text(x *string) {
	n := uint64(len(*x))
	c.uint(&n)
	if !c.reading {
		c.buf = append(c.buf, *x...)
		return
	}
	if *x = ""; n > uint64(len(c.buf)) {
		c.Fail()
		return
	}
	*x, c.buf = string(c.buf[:n]), c.buf[n:]
}

// List carries a slice, entry by entry. An empty one is read as nil.
func List[T any](c *Coder, xs *[]T, each func(*T)) {
	n := uint64(len(*xs))
	c.uint(&n)
	if !c.reading {
		for i := range *xs {
			each(&(*xs)[i])
		}
		return
	}
	if *xs = nil; n > uint64(len(c.buf)) { // an entry takes a byte at least
		c.Fail()
		return
	}
	for range n {
		var x T
		if each(&x); c.err != nil {
			return
		}
		*xs = append(*xs, x)
	}
}

// Map carries a map, in the order of its keys. It fills in a map that is there.
func Map[K cmp.Ordered, V any](c *Coder, m map[K]V, each func(*K, *V)) {
	var keys []K
	if !c.reading {
		keys = slices.Sorted(maps.Keys(m))
	}
	List(c, &keys, func(k *K) {
		v := m[*k]
		if each(k, &v); c.reading && c.err == nil {
			m[*k] = v
		}
	})
}

// Pointer carries a pointer. Where it points is gone through the first time that it comes.
func Pointer[T any](c *Coder, p **T, body func(*T)) {
	if !c.reading {
		n, known := uint64(0), *p == nil
		if !known {
			if n, known = c.writtenPointers[*p]; !known {
				n = uint64(len(c.writtenPointers) + 1)
				c.writtenPointers[*p] = n
			}
		}
		c.uint(&n)
		if !known {
			body(*p)
		}
		return
	}
	var n uint64
	c.uint(&n)
	switch {
	case n == 0:
		*p = nil
	case n <= uint64(len(c.readPointers)):
		x, ok := c.readPointers[n-1].(*T)
		if *p = x; !ok {
			c.Fail()
		}
	case n == uint64(len(c.readPointers)+1):
		*p = new(T)
		c.readPointers = append(c.readPointers, *p)
		if c.depth++; c.depth > maxDepth {
			c.Fail()
			return
		}
		body(*p)
		c.depth--
	default:
		*p = nil
		c.Fail()
	}
}

// NonNil is Ref for a pointer that is never nil.
func NonNil[T any](c *Coder, p **T, body func(*T)) {
	if Pointer(c, p, body); *p == nil {
		c.Fail()
		*p = new(T)
	}
}
