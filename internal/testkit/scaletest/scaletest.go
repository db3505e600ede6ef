// Package scaletest has the flags that tests with large input sizes share, and records the values that such tests
// measure. It is for tests only.
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
	full  = flag.Bool("full", false, "run at all sizes that fit one machine: takes up to half an hour and gigabytes")
	sizes = flag.String("sizes", "", "JSON array of sizes that replace the usual ones of -full")
	file  = flag.String("readings", "", "file to which measured values are appended, one JSON object per line")
)

// Full reports whether the test runs with -full.
func Full() bool { return *full }

// Sizes returns the short sizes. With -full it returns those of -sizes, or the long ones if -sizes is not set.
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
		t.Fatalf("-sizes %q is not a JSON array of integers: %v", *sizes, err)
	}
	return chosen
}

// record is a line of the -readings file.
type record[Metric ~string] struct {
	Case   string             `json:"what"`
	Size   int                `json:"n"`
	Values map[Metric]float64 `json:"values"`
}

// Record logs the values of a case at one size, and appends them to the -readings file if that flag is set.
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
		t.Fatalf("append to the -readings file: %v", err)
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
