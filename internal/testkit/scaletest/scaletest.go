// Package scaletest has the flags that tests of large sizes share, and records what such tests measure. It is for tests
// only.
package scaletest

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
)

var (
	full  = flag.Bool("full", false, "measure at all sizes that fit a machine, for up to half an hour and gigabytes")
	sizes = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	file  = flag.String("readings", "", "file that readings are added to, one JSON object a line")
)

// Full reports whether the test runs with -full.
func Full() bool { return *full }

// Sizes returns the short sizes or, with -full, the long ones or those of -sizes.
func Sizes(t testing.TB, short []int, long ...int) []int {
	t.Helper()
	if !*full {
		return short
	}
	if *sizes == "" {
		return long
	}
	var chosen []int
	if err := json.Unmarshal([]byte(*sizes), &chosen); err != nil {
		t.Fatalf("-sizes: %v", err)
	}
	return chosen
}

// record is a line of the file of -readings.
type record[Metric ~string] struct {
	Case   string             `json:"what"`
	Size   int                `json:"n"`
	Values map[Metric]float64 `json:"values"`
}

// Record logs the values that a case has at one size, and appends them to the file of -readings.
func Record[Metric ~string](t testing.TB, name string, size int, values map[Metric]float64) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", name, size)
	for _, metric := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf(" %s %.4g", metric, values[metric])
	}
	t.Log(text)
	if *file == "" {
		return
	}
	if err := appendLine(*file, record[Metric]{name, size, values}); err != nil {
		t.Fatalf("-readings: %v", err)
	}
}

func appendLine(path string, value any) (err error) {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	_, err = f.Write(append(line, '\n'))
	return err
}
