package stricttoml

import (
	"maps"
	"testing"
)

const linesText = `name = "x"

[set]
"settings.slots" = 5 # of all
a.b = 1
[[factor]]
path = "p"
values = [
  1,
]
[[factor]]
path = "q"
broken =`

func TestLines(t *testing.T) {
	got := Lines([]byte(linesText))
	want := map[string]int{
		"name":               1,
		"set":                3,
		"set.settings.slots": 4,
		"set.a.b":            5,
		"factor[1]":          6,
		"factor[1].path":     7,
		"factor[1].values":   8,
		"factor[2]":          11,
		"factor[2].path":     12,
	}
	if !maps.Equal(got, want) {
		t.Errorf("lines %v, want %v", got, want)
	}
}

func FuzzLines(f *testing.F) {
	f.Add([]byte("a = 1\n[[b]]\nc.\"d\" = [1, 2]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		for path, line := range Lines(data) {
			if line < 1 {
				t.Errorf("%q is on line %d", path, line)
			}
		}
	})
}
