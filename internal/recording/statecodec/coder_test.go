package statecodec

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// node is a state with every kind of field. Its pointers may be shared and may form cycles.
type node struct {
	name   string
	n      int
	small  uint8
	big    uint64
	on     bool
	x      float64
	at     time.Duration
	list   []int
	peers  []*node
	parent *node
	named  map[string]int
}

func code(c *Coder, p **node) {
	Pointer(c, p, func(x *node) {
		c.Text(&x.name)
		c.Ints(&x.n)
		Uint(c, &x.small)
		Uint(c, &x.big)
		c.Bools(&x.on)
		c.Floats(&x.x)
		c.Durations(&x.at)
		List(c, &x.list, func(i *int) { c.Ints(i) })
		List(c, &x.peers, func(p **node) { code(c, p) })
		code(c, &x.parent)
		if x.named == nil {
			x.named = map[string]int{}
		}
		Map(c, x.named, func(key *string, value *int) {
			c.Text(key)
			c.Ints(value)
		})
	})
}

func drawNode(t *rapid.T) *node {
	nodes := make([]*node, rapid.IntRange(1, 6).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = &node{
			name:  rapid.String().Draw(t, "name"),
			n:     rapid.Int().Draw(t, "n"),
			small: rapid.Uint8().Draw(t, "small"),
			big:   rapid.Uint64().Draw(t, "big"),
			on:    rapid.Bool().Draw(t, "on"),
			x:     rapid.Float64().Draw(t, "x"),
			at:    time.Duration(rapid.Int64().Draw(t, "at")),
			list:  rapid.SliceOfN(rapid.Int(), 1, 3).Draw(t, "list"),
			named: rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "named"),
		}
	}
	for _, x := range nodes {
		x.parent = nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "parent")]
		x.peers = append(x.peers, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")], nil)
	}
	return nodes[0]
}

func TestReaderReadsWhatWriterWrote(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := drawNode(rt)
		w := NewWriter([]byte("before"))
		code(w, &want)
		if err := w.Close(); err != nil {
			rt.Fatal(err)
		}
		data := w.Bytes()[len("before"):]
		var got *node
		r := NewReader(data)
		code(r, &got)
		if err := r.Close(); err != nil || !reflect.DeepEqual(got, want) {
			rt.Fatalf("%v: %+v, want %+v", err, got, want)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(rt, "cut")
		r = NewReader(data[:cut])
		code(r, &got)
		if err := r.Close(); !errors.Is(err, ErrMalformed) {
			rt.Fatalf("cut at %d of %d: %v", cut, len(data), err)
		}
	})
}

func TestReaderRejectsMalformed(t *testing.T) {
	deep := []byte{}
	for i := range 3000 { // the pointer numbers 1, 2, 3 and so on, two bytes each
		deep = append(deep, byte(i+1)&0x7f|0x80, byte((i+1)>>7))
	}
	for name, data := range map[string][]byte{
		"pointer number that skips one": {5},
		"list longer than the data": {
			1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f,
		},
		"uint8 too large":          {1, 0, 0, 0xff, 0x7f},
		"boolean of two":           {1, 0, 0, 0, 0, 2},
		"varint without an end":    {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"bytes left":               {0, 0},
		"pointers nested too deep": deep,
	} {
		t.Run(name, func(t *testing.T) {
			var x *node
			r := NewReader(data)
			code(r, &x)
			if err := r.Close(); !errors.Is(err, ErrMalformed) {
				t.Errorf("accepted as %+v: %v", x, err)
			}
		})
	}
}

func TestNonNilRejectsNil(t *testing.T) {
	var p *node
	r := NewReader([]byte{0})
	NonNil(r, &p, func(*node) {})
	if err := r.Close(); !errors.Is(err, ErrMalformed) || p == nil {
		t.Errorf("a nil pointer is read as %v: %v", p, err)
	}
}

// TestPointerRejectsOtherType checks that a pointer's number is rejected where it is read as a pointer of another type.
func TestPointerRejectsOtherType(t *testing.T) {
	r := NewReader([]byte{1, 1})
	var a *int
	var b *string
	Pointer(r, &a, func(*int) {})
	Pointer(r, &b, func(*string) {})
	if err := r.Close(); !errors.Is(err, ErrMalformed) {
		t.Errorf("a pointer to another type is accepted: %v", err)
	}
}

// FuzzReader checks that data accepted by a reader, written again, is accepted again.
func FuzzReader(f *testing.F) {
	x := &node{name: "a", list: []int{1, 2}, named: map[string]int{"k": 1}}
	x.parent = x
	x.peers = []*node{x, nil}
	w := NewWriter(nil)
	code(w, &x)
	f.Add(w.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var got *node
		r := NewReader(data)
		code(r, &got)
		if r.Close() != nil || got == nil {
			return
		}
		w := NewWriter(nil)
		code(w, &got)
		var again *node
		r = NewReader(w.Bytes())
		code(r, &again)
		if err := r.Close(); err != nil {
			t.Fatalf("what was read and written again is malformed: %x: %v", w.Bytes(), err)
		}
	})
}
