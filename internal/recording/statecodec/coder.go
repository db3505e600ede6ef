// Package statecodec encodes and decodes the state of a pure state machine with one description for both directions:
// each method of a Coder takes pointers, and either writes the values that they point to or reads into them. A value
// that several pointers share is written once, and is shared again after reading. The package does no I/O and does not
// depend on the types of the state.
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

// ErrMalformed reports that the data cannot have been written with the description that reads it.
var ErrMalformed = errors.New("statecodec: malformed")

// maxDepth limits the nesting of pointers in the data that is read, and so the size of the stack.
const maxDepth = 1000

const float64Size = 8

// Coder encodes or decodes a state. It keeps the first error; values read after it are zero.
type Coder struct {
	reading         bool
	buf             []byte // written so far, or left to read
	err             error
	writtenPointers map[any]uint64 // numbers of the pointers written so far, from 1
	readPointers    []any          // pointers read so far; number n is at index n-1
	depth           int            // nesting of the pointer being read
}

// NewWriter returns a Coder that appends to buf.
func NewWriter(buf []byte) *Coder { return &Coder{buf: buf, writtenPointers: map[any]uint64{}} }

// NewReader returns a Coder that reads data. Whatever lengths data states, the Coder uses no more memory than a small
// multiple of data's size.
func NewReader(data []byte) *Coder { return &Coder{reading: true, buf: data} }

// Reading reports whether the Coder reads.
func (c *Coder) Reading() bool { return c.reading }

// Bytes returns what was written.
func (c *Coder) Bytes() []byte { return c.buf }

// Close returns the first error. If a reader has no error but bytes are left, it returns ErrMalformed.
func (c *Coder) Close() error {
	if c.err == nil && c.reading && len(c.buf) > 0 {
		c.err = ErrMalformed
	}
	return c.err
}

// Fail marks the data as malformed, so that Close returns ErrMalformed unless there was an earlier error.
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

// Int writes or reads a signed integer in zigzag encoding.
func Int[T ~int | ~int64](c *Coder, x *T) {
	value := uint64(*x)<<1 ^ uint64(int64(*x)>>63)
	c.uvarint(&value)
	*x = T(int64(value>>1) ^ -int64(value&1))
}

// Uint writes or reads an unsigned integer.
func Uint[T ~uint8 | ~uint32 | ~uint64](c *Coder, x *T) {
	value := uint64(*x)
	c.uvarint(&value)
	if uint64(T(value)) != value {
		c.Fail()
	}
	*x = T(value)
}

// Durations writes or reads durations.
func (c *Coder) Durations(xs ...*time.Duration) {
	for _, x := range xs {
		Int(c, x)
	}
}

// Ints writes or reads integers.
func (c *Coder) Ints(xs ...*int) {
	for _, x := range xs {
		Int(c, x)
	}
}

// Bools writes or reads booleans.
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

// Floats writes or reads floating-point numbers. Every bit is preserved.
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

// Text writes or reads a string.
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

// List writes or reads a slice. It calls each for every entry. An empty slice is read as nil.
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
	if n > uint64(len(c.buf)) { // an entry takes at least one byte
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

// Map writes or reads a map, in the order of its keys. It calls each for every entry. A reader adds the entries to m,
// which must not be nil.
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

// Pointer writes or reads a pointer as a number, 0 for nil. At the first occurrence of a pointer, body writes or reads
// the value that it points to.
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

// NonNil is Pointer for a pointer that must not be nil.
func NonNil[T any](c *Coder, p **T, body func(*T)) {
	Pointer(c, p, body)
	if *p == nil {
		c.Fail()
		*p = new(T)
	}
}
