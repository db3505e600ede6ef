package reload

import (
	"slices"
	"strconv"
	"strings"
)

const (
	pathSeparator = "."
	anyIndex      = "*"     // stands for the index of an entry in a list
	listLength    = "count" // the last part of a path whose value is the length of a list of objects
)

// Shape counts the values of a file by their paths, in which anyIndex stands for the index of an entry in a list.
type Shape map[string]int

// ShapeOf returns the shape of a file, of which it takes the values by path. A path that ends with listLength gives the
// length of a list of objects.
func ShapeOf(values map[string]string) Shape {
	shape := Shape{}
	for path, value := range values {
		parts := strings.Split(path, pathSeparator)
		for i, part := range parts {
			if _, err := strconv.Atoi(part); err == nil {
				parts[i] = anyIndex
			}
		}
		key := strings.Join(parts, pathSeparator)
		length, err := strconv.Atoi(value)
		if err == nil && parts[len(parts)-1] == listLength {
			shape[key] = length
			continue
		}
		shape[key]++
	}
	return shape
}

// missing returns the paths that the old file had throughout and this one has not. A path below a list is there
// throughout if every entry has it.
func (s Shape) missing(old Shape) []string {
	var paths []string
	for path, oldCount := range old {
		list, _, inList := strings.Cut(path, pathSeparator+anyIndex)
		wantCount := 1
		if inList {
			lengthPath := list + pathSeparator + listLength
			if oldCount < old[lengthPath] {
				continue // optional: some entries did without it
			}
			wantCount = s[lengthPath]
		}
		if s[path] < wantCount {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}
