package statecodec

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenNode returns a state with a value of every kind, a shared pointer and a cycle of pointers.
func goldenNode() *node {
	child := &node{name: "child", n: -2, list: []int{3}, named: map[string]int{}}
	root := &node{
		name:  "root",
		n:     300,
		small: 255,
		big:   1 << 63,
		on:    true,
		x:     -1.5,
		at:    time.Minute,
		list:  []int{1, -1, 1 << 40},
		named: map[string]int{"b": 2, "a": 1},
	}
	root.peers = []*node{child, nil, child}
	child.parent = root
	return root
}

// TestGoldenArchive checks that this build writes and reads the same bytes as earlier builds.
func TestGoldenArchive(t *testing.T) {
	const name = "node.archive"
	want := goldenNode()
	w := NewWriter(nil)
	code(w, &want)
	golden.Check(t, *update, name, w.Bytes())
	var got *node
	r := NewReader(golden.Read(t, name))
	code(r, &got)
	if err := r.Close(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
}
