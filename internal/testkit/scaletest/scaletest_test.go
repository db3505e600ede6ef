package scaletest

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// set sets a flag to a value until the test ends.
func set[T any](t *testing.T, flag *T, value T) {
	t.Helper()
	before := *flag
	*flag = value
	t.Cleanup(func() { *flag = before })
}

func TestSizes(t *testing.T) {
	for _, c := range []struct {
		name  string
		full  bool
		sizes string
		want  []int
	}{
		{"short", false, "", []int{1}},
		{"short, whatever the sizes", false, "[7]", []int{1}},
		{"full", true, "", []int{10, 20}},
		{"chosen", true, "[7,8]", []int{7, 8}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set(t, full, c.full)
			set(t, sizes, c.sizes)
			if got := Sizes(t, []int{1}, 10, 20); !slices.Equal(got, c.want) || Full() != c.full {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestRecord(t *testing.T) {
	path := filepath.Join(t.TempDir(), "readings")
	set(t, file, path)
	Record(t, "a case", 3, map[string]float64{"x_s": 1.5})
	Record(t, "a case", 4, map[string]float64{"x_s": 2})
	const want = `{"what":"a case","n":3,"values":{"x_s":1.5}}` + "\n" +
		`{"what":"a case","n":4,"values":{"x_s":2}}` + "\n"
	if got, err := os.ReadFile(path); err != nil || string(got) != want {
		t.Errorf("%s, %v; want %s", got, err, want)
	}
}
