package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
)

var (
	full     = flag.Bool("full", false, "scale tests at all their sizes, for some minutes and gigabytes")
	sizes    = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	readings = flag.String("readings", "", "file that readings of the scale tests are added to, one JSON object a line")
)

// testSizes returns the sizes to measure: the small ones or, with -full, those of -sizes or the large ones.
func testSizes(t *testing.T, small []int, large ...int) []int {
	t.Helper()
	if !*full {
		return small
	}
	if *sizes != "" {
		var chosen []int
		must(t, json.Unmarshal([]byte(*sizes), &chosen))
		return chosen
	}
	return large
}

// recordReading logs a reading, and adds it to the -readings file.
func recordReading(t *testing.T, what string, n int, values map[string]float64) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", what, n)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf(" %s %.4g", name, values[name])
	}
	t.Log(text)
	if *readings == "" {
		return
	}
	line, err := json.Marshal(map[string]any{"what": what, "n": n, "values": values})
	must(t, err)
	f, err := os.OpenFile(*readings, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(t, err)
	defer closeQuietly(f)
	_, err = f.Write(append(line, '\n'))
	must(t, err)
}
