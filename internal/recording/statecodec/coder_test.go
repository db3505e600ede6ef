package statecodec

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// node is a state with every kind of field, shared pointers and a circle.
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
		Map(c, x.named, func(k *string, v *int) { c.Text(k); c.Ints(v) })
	})
}

func draw(t *rapid.T) *node {
	nodes := make([]*node, rapid.IntRange(1, 6).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = &node{
			name: rapid.String().
				Draw(t, "name"),
			n: rapid.Int().Draw(t, "n"), small: rapid.Uint8().Draw(t, "small"), big: rapid.Uint64().Draw(t, "big"),
			on: rapid.Bool().
				Draw(t, "on"),
			x: rapid.Float64().Draw(t, "x"), at: time.Duration(rapid.Int64().Draw(t, "at")),
			list: rapid.SliceOfN(rapid.Int(), 1, 3).
				Draw(t, "list"),
			named: rapid.MapOf(rapid.String(), rapid.Int()).Draw(t, "named"),
		}
	}
	for _, x := range nodes {
		x.parent = nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "parent")]
		x.peers = append(x.peers, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")], nil)
	}
	return nodes[0]
}

func TestReadsWhatItWrote(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := draw(rt)
		w := NewWriter([]byte("before"))
		code(w, &want)
		if err := w.Close(); err != nil {
			rt.Fatal(err)
		}
		data := w.Bytes()[len("before"):]
		var got *node
		r := NewReader(data)
		if code(r, &got); r.Close() != nil || !reflect.DeepEqual(got, want) {
			rt.Fatalf("%v: %+v, want %+v", r.Close(), got, want)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(rt, "cut")
		r = NewReader(data[:cut])
		if code(r, &got); !errors.Is(r.Close(), ErrMalformed) {
			rt.Fatalf("cut at %d of %d: %v", cut, len(data), r.Close())
		}
	})
}

func TestRefusesWhatItNeverWrites(t *testing.T) {
	deep := []byte{}
	for i := range 3000 { // each one the parent of the one before
		deep = append(deep, byte(i+1)&0x7f|0x80, byte((i+1)>>7))
	}
	for name, data := range map[string][]byte{
		"a number that is not next": {5},
		"a list longer than all":    {1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"a small number too large":  {1, 0, 0, 0xff, 0x7f},
		"a truth of two":            {1, 0, 0, 0, 0, 2},
		"a varint without an end":   {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"something left":            {0, 0},
		"references without end":    deep,
	} {
		var x *node
		r := NewReader(data)
		code(r, &x)
		if !errors.Is(r.Close(), ErrMalformed) {
			t.Errorf("%s is taken: %+v", name, x)
		}
	}
	var missing *node
	r := NewReader([]byte{0})
	if NonNil(r, &missing, func(*node) {}); !errors.Is(r.Close(), ErrMalformed) || missing == nil {
		t.Error("a pointer that is never nil is taken as nil")
	}
	// A pointer of one type where one of another was written.
	r = NewReader([]byte{1, 1})
	var a *int
	var b *string
	Pointer(r, &a, func(*int) {})
	if Pointer(r, &b, func(*string) {}); !errors.Is(r.Close(), ErrMalformed) {
		t.Error("a pointer to another type is taken")
	}
}

func FuzzReader(f *testing.F) {
	x := &node{name: "a", list: []int{1, 2}, named: map[string]int{"k": 1}}
	x.parent, x.peers = x, []*node{x, nil}
	w := NewWriter(nil)
	code(w, &x)
	f.Add(w.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		var got *node
		r := NewReader(data)
		if code(r, &got); r.Close() != nil || got == nil {
			return
		}
		w := NewWriter(nil)
		code(w, &got)
		var again *node
		r = NewReader(w.Bytes())
		if code(r, &again); r.Close() != nil {
			t.Fatalf("what was read and written again is malformed: %x", w.Bytes())
		}
	})
}
