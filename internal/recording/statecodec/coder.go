// Package statecodec writes and reads the state of a pure state machine by one description for both directions: each
// method of a Coder takes a pointer, and writes what it points to or fills it in. It knows nothing of the state and
// does no I/O. Pointers that several records share are written once, and are shared again when read.
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

// ErrMalformed reports that what was read is not what the same description wrote.
var ErrMalformed = errors.New("statecodec: malformed")

// maxDepth bounds how deep pointers nest in what is read, and so the stack.
const maxDepth = 1000

const float64Size = 8

// Coder goes through a state in one direction. The first error is kept; values filled in after it are zero.
type Coder struct {
	reading         bool
	buf             []byte // written so far, or left to read
	err             error
	writtenPointers map[any]uint64 // their numbers, from 1
	readPointers    []any          // by number
	depth           int
}

// NewWriter returns a Coder that appends to buf.
func NewWriter(buf []byte) *Coder { return &Coder{buf: buf, writtenPointers: map[any]uint64{}} }

// NewReader returns a Coder that reads data. Whatever lengths data states, it uses no more memory than a small multiple
// of data's.
func NewReader(data []byte) *Coder { return &Coder{reading: true, buf: data} }

// Reading reports whether the Coder reads.
func (c *Coder) Reading() bool { return c.reading }

// Bytes returns what was written.
func (c *Coder) Bytes() []byte { return c.buf }

// Close returns the first error. Bytes that were not read are one.
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

func (c *Coder) uvarint(x *uint64) {
	if !c.reading {
		c.buf = binary.AppendUvarint(c.buf, *x)
		return
	}
	value, n := binary.Uvarint(c.buf)
	if n <= 0 {
		*x = 0
		c.Fail()
		return
	}
	*x = value
	c.buf = c.buf[n:]
}

// Int carries a signed integer, zigzag encoded.
func Int[T ~int | ~int64](c *Coder, x *T) {
	value := uint64(*x)<<1 ^ uint64(int64(*x)>>63)
	c.uvarint(&value)
	*x = T(int64(value>>1) ^ -int64(value&1))
}

// Uint carries an unsigned integer.
func Uint[T ~uint8 | ~uint32 | ~uint64](c *Coder, x *T) {
	value := uint64(*x)
	c.uvarint(&value)
	if uint64(T(value)) != value {
		c.Fail()
	}
	*x = T(value)
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

// Bools carries booleans.
func (c *Coder) Bools(xs ...*bool) {
	for _, x := range xs {
		value := uint64(0)
		if *x {
			value = 1
		}
		c.uvarint(&value)
		if value > 1 {
			c.Fail()
		}
		*x = value == 1
	}
}

// Floats carries floating-point numbers, bit by bit.
func (c *Coder) Floats(xs ...*float64) {
	for _, x := range xs {
		if !c.reading {
			c.buf = binary.LittleEndian.AppendUint64(c.buf, math.Float64bits(*x))
			continue
		}
		*x = 0
		if len(c.buf) < float64Size {
			c.Fail()
			continue
		}
		*x = math.Float64frombits(binary.LittleEndian.Uint64(c.buf))
		c.buf = c.buf[float64Size:]
	}
}

// Text carries a string.
func (c *Coder) Text(x *string) {
	n := uint64(len(*x))
	c.uvarint(&n)
	if !c.reading {
		c.buf = append(c.buf, *x...)
		return
	}
	*x = ""
	if n > uint64(len(c.buf)) {
		c.Fail()
		return
	}
	*x = string(c.buf[:n])
	c.buf = c.buf[n:]
}

// List carries a slice, entry by entry. An empty one is read as nil.
func List[T any](c *Coder, xs *[]T, each func(*T)) {
	n := uint64(len(*xs))
	c.uvarint(&n)
	if !c.reading {
		for i := range *xs {
			each(&(*xs)[i])
		}
		return
	}
	*xs = nil
	if n > uint64(len(c.buf)) { // an entry takes at least a byte
		c.Fail()
		return
	}
	for range n {
		var x T
		each(&x)
		if c.err != nil {
			return
		}
		*xs = append(*xs, x)
	}
}

// Map carries a map, in the order of its keys. A reader fills in m, which must exist.
func Map[K cmp.Ordered, V any](c *Coder, m map[K]V, each func(*K, *V)) {
	var keys []K
	if !c.reading {
		keys = slices.Sorted(maps.Keys(m))
	}
	List(c, &keys, func(key *K) {
		value := m[*key]
		each(key, &value)
		if c.reading && c.err == nil {
			m[*key] = value
		}
	})
}

// Pointer carries a pointer as its number, 0 for nil. body carries what it points to, the first time that the pointer
// comes.
func Pointer[T any](c *Coder, p **T, body func(*T)) {
	if c.reading {
		readPointer(c, p, body)
	} else {
		writePointer(c, *p, body)
	}
}

func writePointer[T any](c *Coder, p *T, body func(*T)) {
	number := uint64(0)
	known := p == nil
	if !known {
		number, known = c.writtenPointers[p]
	}
	if !known {
		number = uint64(len(c.writtenPointers) + 1)
		c.writtenPointers[p] = number
	}
	c.uvarint(&number)
	if !known {
		body(p)
	}
}

func readPointer[T any](c *Coder, p **T, body func(*T)) {
	var number uint64
	c.uvarint(&number)
	next := uint64(len(c.readPointers) + 1)
	switch {
	case number == 0:
		*p = nil
	case number < next:
		known, ok := c.readPointers[number-1].(*T)
		*p = known
		if !ok {
			c.Fail()
		}
	case number == next:
		*p = new(T)
		c.readPointers = append(c.readPointers, *p)
		c.depth++
		if c.depth > maxDepth {
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

// NonNil is Pointer for a pointer that is never nil.
func NonNil[T any](c *Coder, p **T, body func(*T)) {
	Pointer(c, p, body)
	if *p == nil {
		c.Fail()
		*p = new(T)
	}
}
