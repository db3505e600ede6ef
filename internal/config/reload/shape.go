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

// Shape holds the number of values that a file has at each path. In a path, anyIndex stands for all indexes of a list:
// the number at such a path counts the entries that have a value. The number at a path that ends with listLength is the
// length of the list.
type Shape map[string]int

// ShapeOf returns the shape of a file with the given values, which are keyed by path.
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

// missing returns the mandatory paths that the file of s lacks. Every path of the old file is mandatory, except a path
// within the entries of a list that some of the old entries lack. A path within the entries of a list is missing from s
// if any entry lacks it.
func (s Shape) missing(old Shape) []string {
	var paths []string
	for path, oldCount := range old {
		list, _, inList := strings.Cut(path, pathSeparator+anyIndex)
		wantCount := 1
		if inList {
			lengthPath := list + pathSeparator + listLength
			if oldCount < old[lengthPath] {
				continue // optional: some entries of the old file do not have it
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
